//! Frames between an instance and the leader.

mod codec;
mod endpoints;
mod requests;

use bytes::Bytes;
use prost::{Message, Oneof};

pub use self::{
    codec::{FrameCodec, FrameError},
    endpoints::{EndpointFrame, EndpointsFrame},
    requests::{AdoptFrame, EndFrame, GrantFrame, GrantRequestFrame, RefuseFrame, RequestRef},
};

/// A frame.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Frame {
    /// Content.
    #[prost(oneof = "Content", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub content: Option<Content>,
}

/// Content of a frame.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Content {
    /// An instance introduces itself.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The leader takes an instance in.
    #[prost(message, tag = "2")]
    Welcome(Welcome),
    /// A request needs an endpoint.
    #[prost(message, tag = "3")]
    GrantRequest(GrantRequestFrame),
    /// A request may be sent.
    #[prost(message, tag = "4")]
    Grant(GrantFrame),
    /// A request may not be sent.
    #[prost(message, tag = "5")]
    Refuse(RefuseFrame),
    /// The first event of an answer has come.
    #[prost(message, tag = "6")]
    FirstEvent(RequestRef),
    /// A request has ended.
    #[prost(message, tag = "7")]
    Ended(EndFrame),
    /// A request that was granted before the link was opened.
    #[prost(message, tag = "8")]
    Adopt(AdoptFrame),
    /// Sign of life of an instance.
    #[prost(message, tag = "9")]
    Heartbeat(Heartbeat),
    /// Sign of life of the leader.
    #[prost(message, tag = "10")]
    HeartbeatReply(Heartbeat),
    /// Instances that serve callers.
    #[prost(message, tag = "11")]
    Members(MembersFrame),
    /// Endpoints that changed.
    #[prost(message, tag = "12")]
    Endpoints(EndpointsFrame),
    /// What operators have put in force.
    #[prost(message, tag = "13")]
    Operator(OperatorFrame),
}

/// An instance introduces itself.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Hello {
    /// Name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Address for callers.
    #[prost(string, tag = "2")]
    pub callers: String,
    /// Term of the leader that it wants to reach.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// The leader takes an instance in.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Welcome {
    /// Term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
}

/// A sign of life.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Heartbeat {
    /// Whether the sender serves callers.
    #[prost(bool, tag = "1")]
    pub ready: bool,
    /// Revision of the store at which the sender last read the operators' records.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Hash of those records.
    #[prost(fixed64, tag = "3")]
    pub hash: u64,
    /// Term of the leader that the sender knows.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Whether the sender leads and does not reach the store, so that others must follow it.
    #[prost(bool, tag = "5")]
    pub store_lost: bool,
}

/// Instances that serve callers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MembersFrame {
    /// Instances.
    #[prost(message, repeated, tag = "1")]
    pub list: Vec<MemberFrame>,
}

/// An instance that serves callers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MemberFrame {
    /// Name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Address for callers.
    #[prost(string, tag = "2")]
    pub callers: String,
}

/// What operators have put in force.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct OperatorFrame {
    /// Revision of the store at which it was read.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The document, deflated.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
    /// Data centres that are out of service.
    #[prost(string, repeated, tag = "3")]
    pub evacuated: Vec<String>,
}
