//! Frames in which the leader sends the members to other instances.

use prost::Message;

use crate::kernel::{membership::Member, versioned::Changes};

/// All instances that serve callers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MembersFrame {
    /// The instances, in any order.
    #[prost(message, repeated, tag = "1")]
    pub list: Vec<MemberFrame>,
}

/// Changes of the instances that serve callers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MemberChanges {
    /// Instances that are new or have changed.
    #[prost(message, repeated, tag = "1")]
    pub changed: Vec<MemberFrame>,
    /// Names of the instances that no longer serve callers.
    #[prost(string, repeated, tag = "2")]
    pub removed: Vec<String>,
}

/// An instance that serves callers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MemberFrame {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Address at which the instance serves callers.
    #[prost(string, tag = "2")]
    pub callers: String,
}

impl From<&Member> for MemberFrame {
    fn from(member: &Member) -> Self {
        Self { instance: member.instance.to_string(), callers: member.callers.to_string() }
    }
}

impl MemberFrame {
    /// Returns the member; `None` if its address cannot be parsed.
    pub fn into_member(self) -> Option<Member> {
        let callers = self.callers.parse().ok()?;
        Some(Member { instance: self.instance.into(), callers })
    }
}

impl From<&Changes<Member>> for MembersFrame {
    fn from(changes: &Changes<Member>) -> Self {
        Self { list: changes.changed.iter().map(MemberFrame::from).collect() }
    }
}

impl From<&Changes<Member>> for MemberChanges {
    fn from(changes: &Changes<Member>) -> Self {
        Self {
            changed: changes.changed.iter().map(MemberFrame::from).collect(),
            removed: changes.removed.iter().map(|name| name.to_string()).collect(),
        }
    }
}
