//! Frames that are exchanged on the link between an instance and the leader.

mod allotments;
mod codec;
mod crashes;
mod duties;
mod endpoints;
mod load;
mod members;
mod origins;
mod rate_limits;
mod requests;
mod retries;

use bytes::Bytes;
use prost::{Message, Oneof};

pub use self::{
    allotments::{AllotmentFrame, AllotmentsFrame, HeldAllotmentsFrame},
    codec::{EncodedFrame, FrameCodec, FrameError},
    crashes::{CauseFrame, CrashRecordFrame, CrashesFrame},
    duties::{DutiesFrame, LedgerFrame, ScaleFrame, StartFrame, UsageFrame, WindowFrame},
    endpoints::{EndpointFrame, EndpointsFrame, LeavingEndpointFrame, LeavingFrame, ModelFrame},
    load::LoadFrame,
    members::{Announcement, Hello, MemberFrame, MembersFrame},
    origins::{OriginsFrame, VersionStreamsFrame},
    rate_limits::{RateLimitFrame, RateLimitsFrame},
    requests::{
        AdoptFrame, EndFrame, GrantFrame, GrantRequestFrame, RatesFrame, RefuseFrame, RequestRef,
    },
    retries::{RetriesFrame, RetryStepFrame, RetryUsageFrame},
};

/// A frame as it is encoded on the link.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Frame {
    /// Content of the frame; `None` if this release does not know it.
    #[prost(
        oneof = "Content",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25"
    )]
    pub content: Option<Content>,
}

/// Content of a frame.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Content {
    /// First frame of an instance to the leader.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// First frame of the leader: the link is accepted.
    #[prost(message, tag = "2")]
    Welcome(Welcome),
    /// Instance to leader: a request waits for a grant.
    #[prost(message, tag = "3")]
    GrantRequest(GrantRequestFrame),
    /// Leader to instance: a request may be sent to an endpoint.
    #[prost(message, tag = "4")]
    Grant(GrantFrame),
    /// Leader to instance: a request may not be sent.
    #[prost(message, tag = "5")]
    Refuse(RefuseFrame),
    /// Instance to leader: the first event of a response has arrived.
    #[prost(message, tag = "6")]
    FirstEvent(RequestRef),
    /// Instance to leader: a request has ended.
    #[prost(message, tag = "7")]
    Ended(EndFrame),
    /// Instance to leader: a request runs under a grant from before the link was opened.
    #[prost(message, tag = "8")]
    Adopt(AdoptFrame),
    /// Heartbeat of an instance to the leader.
    #[prost(message, tag = "9")]
    Heartbeat(Heartbeat),
    /// Reply of the leader to a heartbeat.
    #[prost(message, tag = "10")]
    HeartbeatReply(Heartbeat),
    /// Leader to instance: changes of the instances that serve callers.
    #[prost(message, tag = "11")]
    Members(MembersFrame),
    /// Leader to instance: endpoints that have changed.
    #[prost(message, tag = "12")]
    Endpoints(EndpointsFrame),
    /// In both directions: the operators' records.
    #[prost(message, tag = "13")]
    Operator(OperatorFrame),
    /// First frame of a new leader to an instance that is not linked to it.
    #[prost(message, tag = "14")]
    Announcement(Announcement),
    /// Instance to leader: what the instance has left of the teams' rates.
    #[prost(message, tag = "15")]
    Rates(RatesFrame),
    /// Leader to instance: the causes of crashes that are refused. Instance to leader: what the
    /// instance knows of causes.
    #[prost(message, tag = "16")]
    Crashes(CrashesFrame),
    /// Leader to instance: all limits of the request rate that endpoints have named. Instance to
    /// leader: limits that the instance has seen.
    #[prost(message, tag = "17")]
    RateLimits(RateLimitsFrame),
    /// Instance to leader: what the instance has used of the retry budgets.
    #[prost(message, tag = "18")]
    Retries(RetriesFrame),
    /// Instance to leader, after a return of the store: endpoints that leave.
    #[prost(message, tag = "19")]
    Leaving(LeavingFrame),
    /// Instance to leader: at which software versions streams began.
    #[prost(message, tag = "20")]
    Origins(OriginsFrame),
    /// Instance to leader: the instance's clock and the usage counts that it knows.
    #[prost(message, tag = "21")]
    Usage(UsageFrame),
    /// Leader to instance: true time and what is fixed of the usage reports.
    #[prost(message, tag = "22")]
    Duties(DutiesFrame),
    /// Leader to instance: what the instance may grant without a leader.
    #[prost(message, tag = "23")]
    Allotments(AllotmentsFrame),
    /// Instance to leader: what the instance holds, or that it has applied what it was sent.
    #[prost(message, tag = "24")]
    HeldAllotments(HeldAllotmentsFrame),
    /// Leader to instance: a frame that is deflated because it is large.
    #[prost(bytes = "bytes", tag = "25")]
    Deflated(Bytes),
}

/// Accepts the link of an instance.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Welcome {
    /// Term of the leader.
    #[prost(uint64, tag = "1")]
    pub term: u64,
}

/// A heartbeat of an instance, or the leader's reply.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Heartbeat {
    /// Whether the sender is ready to serve callers.
    #[prost(bool, tag = "1")]
    pub ready: bool,
    /// Ordinal of the store's revision at which the sender's operators' records were read.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Hash of those of the sender's operators' records that have no version.
    #[prost(fixed64, tag = "3")]
    pub hash: u64,
    /// Term of the leader that the sender knows.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Version of the sender's configuration; zero if it has none.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// Time since the store responded to the sender, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub response_age: u32,
    /// Whether the sender is cut off from the endpoints.
    #[prost(bool, tag = "7")]
    pub cut_off: bool,
}

/// The operators' records: the configuration document and the data centres out of service.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct OperatorFrame {
    /// Ordinal of the store's revision at which the records were read.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The configuration document, compressed.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
    /// Data centres that are out of service.
    #[prost(string, repeated, tag = "3")]
    pub evacuated: Vec<String>,
}
