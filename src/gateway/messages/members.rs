//! Frames that describe instances: a new link, a new leader and the members.

use std::net::SocketAddr;

use prost::Message;

use crate::kernel::{leadership::Leader, membership::Member, versioned::Changes};

/// First frame of an instance to the leader.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Hello {
    /// The instance.
    #[prost(message, optional, tag = "1")]
    pub member: Option<MemberFrame>,
    /// Term in which the sender expects the receiver to lead.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Digests of the parts of the sender's table of endpoints; empty if the table is small, so that it
    /// is sent whole.
    #[prost(fixed64, repeated, tag = "3")]
    pub digests: Vec<u64>,
    /// Whether the sender reads deflated frames. Earlier releases do not.
    #[prost(bool, tag = "4")]
    pub deflate: bool,
}

/// First frame of a new leader to an instance that is not linked to it yet. The leader closes the
/// connection after it.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Announcement {
    /// Name of the leader.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Address at which the leader accepts links.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Term of the leader.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Start of the leader's process; zero if it is not known.
    #[prost(uint64, tag = "4")]
    pub start: u64,
}

/// Changes of the instances that serve callers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MembersFrame {
    /// Whether the frame holds all members, so that the receiver removes all others.
    #[prost(bool, tag = "1")]
    pub full: bool,
    /// Instances that are new or have changed.
    #[prost(message, repeated, tag = "2")]
    pub changed: Vec<MemberFrame>,
    /// Names of the instances that no longer serve callers.
    #[prost(string, repeated, tag = "3")]
    pub removed: Vec<String>,
}

/// An instance that serves callers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MemberFrame {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Data centre in which the instance runs.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Address at which the instance serves callers.
    #[prost(string, tag = "3")]
    pub callers: String,
    /// Address at which the instance accepts links of other instances.
    #[prost(string, tag = "4")]
    pub peer: String,
    /// Resources of the instance, in thousandths of those that suffice to lead many instances.
    #[prost(uint32, tag = "5")]
    pub strength: u32,
    /// Whether callers are told to connect to the instance.
    #[prost(bool, tag = "6")]
    pub named: bool,
    /// Address at which the instance takes requests of instances that are cut off from the endpoints;
    /// empty if it takes none.
    #[prost(string, tag = "7")]
    pub relay: String,
    /// Whether the instance is cut off from the endpoints itself.
    #[prost(bool, tag = "8")]
    pub cut_off: bool,
}

impl From<&Leader> for Announcement {
    fn from(leader: &Leader) -> Self {
        Self {
            instance: leader.instance.to_string(),
            address: leader.address.to_string(),
            term: leader.term,
            start: leader.start.map_or(0, |start| start.0),
        }
    }
}

/// Why a frame describes no member.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("an address of instance {instance} cannot be parsed: {source}")]
pub struct MemberError {
    instance: String,
    source: std::net::AddrParseError,
}

impl From<&Member> for MemberFrame {
    fn from(member: &Member) -> Self {
        Self {
            instance: member.instance.to_string(),
            data_centre: member.data_centre.to_string(),
            callers: member.callers.to_string(),
            peer: member.peer.to_string(),
            strength: member.strength,
            named: member.named,
            relay: member.relay.to_string(),
            cut_off: member.cut_off,
        }
    }
}

impl TryFrom<MemberFrame> for Member {
    type Error = MemberError;

    fn try_from(frame: MemberFrame) -> Result<Self, MemberError> {
        let parse = |text: &str| {
            let address: Result<SocketAddr, _> = text.parse();
            address.map_err(|source| MemberError { instance: frame.instance.clone(), source })
        };
        Ok(Member {
            callers: parse(&frame.callers)?,
            peer: parse(&frame.peer)?,
            // An earlier release names no such address and relays nothing.
            relay: parse(if frame.relay.is_empty() { &frame.peer } else { &frame.relay })?,
            cut_off: frame.cut_off || frame.relay.is_empty(),
            strength: frame.strength,
            named: frame.named,
            data_centre: frame.data_centre.into(),
            instance: frame.instance.into(),
        })
    }
}

impl From<Changes<Member>> for MembersFrame {
    fn from(changes: Changes<Member>) -> Self {
        Self {
            full: changes.full,
            changed: changes.changed.iter().map(MemberFrame::from).collect(),
            removed: changes.removed.iter().map(|name| name.to_string()).collect(),
        }
    }
}
