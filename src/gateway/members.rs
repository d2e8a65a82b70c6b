//! The members: instances that serve callers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    Gateway,
    messages::{MemberFrame, MembersFrame},
};

/// A member: an instance that is ready to serve callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Address at which the instance serves callers.
    pub callers: SocketAddr,
}

/// All members, as the leader reported them last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Members in the order of their names.
    pub list: Vec<Member>,
}

impl Members {
    /// Returns the frame that lists the members for other instances.
    pub fn to_frame(&self) -> MembersFrame {
        let members = self.list.iter().map(|member| MemberFrame {
            instance: member.instance.to_string(),
            callers: member.callers.to_string(),
        });
        MembersFrame { list: members.collect() }
    }

    /// Creates the members from the leader's frame, without those whose address cannot be parsed.
    pub fn from_frame(frame: MembersFrame) -> Self {
        let members = frame.list.into_iter().filter_map(|member| {
            let callers = member.callers.parse().ok()?;
            Some(Member { instance: member.instance.into(), callers })
        });
        Self { list: members.collect() }
    }
}

/// Time since the leader's last frame after which an instance reads the store itself and leaves its
/// own address out of the directory.
const MAX_FRAME_AGE: Duration = Duration::from_millis(700);

/// Members besides the leader that watch the leader's and the operators' records in the store.
const EXTRA_WATCHERS: usize = 2;

/// Number of instances that is assumed while none is known.
const DEFAULT_FLEET_SIZE: usize = 64;

impl Gateway {
    /// Returns the number of instances, by which an instance without a leader divides the limits.
    ///
    /// Lost instances count until the leader records a smaller number.
    pub(super) fn fleet_size(&self) -> usize {
        let recorded = self.leadership.fleet_size();
        match recorded.max(self.members.load().list.len()) {
            0 => DEFAULT_FLEET_SIZE,
            size => size,
        }
    }

    /// Returns whether this instance watches the leader's and the operators' records in the store.
    ///
    /// Besides the leader, two members do, in case the leader loses the store. An instance also
    /// does if it has no link to the leader, or if the leader reports that it has lost the store.
    pub(super) fn watches_store(&self) -> bool {
        let linked = self.uplink.was_linked() && self.uplink.frame_age() < MAX_FRAME_AGE;
        if self.leadership.leads() || !linked || self.uplink.is_store_lost() {
            return true;
        }
        let leader = self.leadership.leader();
        let name = leader.as_ref().map(|leader| &*leader.instance);
        let members = self.members.load();
        let others = members.list.iter().filter(|member| Some(&*member.instance) != name);
        others.take(EXTRA_WATCHERS).any(|member| member.instance == self.settings.instance)
    }

    /// Returns this instance as a member.
    pub(super) fn own_member(&self) -> Member {
        Member { instance: self.settings.instance.clone(), callers: self.settings.callers }
    }

    /// Returns the addresses that callers may use.
    ///
    /// An instance without a leader has only its own share of the limits and gives no orders to
    /// engines. It therefore names itself only if it knows no other member.
    pub(super) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let members = self.members.load();
        let others = members.list.iter().filter(|member| member.instance != self.settings.instance);
        let mut addresses: Vec<SocketAddr> = others.map(|member| member.callers).collect();
        let linked = self.leadership.leads() && self.peers.count() > 0
            || self.uplink.frame_age() < MAX_FRAME_AGE;
        if self.is_ready() && (linked || addresses.is_empty()) {
            addresses.push(self.settings.callers);
        }
        addresses
    }
}
