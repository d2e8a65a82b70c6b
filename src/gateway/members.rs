//! The instances that serve callers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    Gateway,
    messages::{MemberFrame, MembersFrame},
};

/// An instance that serves callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Name.
    pub instance: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
}

/// The instances that serve callers, as the leader last said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Instances in the order of their names.
    pub list: Vec<Member>,
}

impl Members {
    /// Returns the frame for other instances.
    pub fn to_frame(&self) -> MembersFrame {
        let list = self.list.iter().map(|member| MemberFrame {
            instance: member.instance.to_string(),
            callers: member.callers.to_string(),
        });
        MembersFrame { list: list.collect() }
    }

    /// Reads the frame of the leader.
    pub fn from_frame(frame: MembersFrame) -> Self {
        let list = frame.list.into_iter().filter_map(|member| {
            let callers = member.callers.parse().ok()?;
            Some(Member { instance: member.instance.into(), callers })
        });
        Self { list: list.collect() }
    }
}

/// Time without the leader after which an instance sends callers to others.
const LEADER_TIMEOUT: Duration = Duration::from_millis(700);

/// Instances beside the leader that follow the store.
const EXTRA_WATCHERS: usize = 2;

/// Instances that are assumed before the fleet's size is known.
const DEFAULT_FLEET_SIZE: usize = 64;

impl Gateway {
    /// Returns the size of the fleet, by which an instance that decides alone divides the limits.
    ///
    /// Instances that are gone count until the leader records a smaller size.
    pub(super) fn fleet_size(&self) -> usize {
        let recorded = self.leadership.fleet_size();
        match recorded.max(self.members.load().list.len()) {
            0 => DEFAULT_FLEET_SIZE,
            size => size,
        }
    }

    /// Returns whether this instance follows the leader's and the operators' records in the store.
    ///
    /// Besides the leader two more do, in case it is cut off from the store, and every instance
    /// without a link to the leader or whose leader says that it does not reach the store.
    pub(super) fn watches_store(&self) -> bool {
        let joined = self.uplink.was_linked() && self.uplink.frame_age() < LEADER_TIMEOUT;
        if self.leadership.leads() || !joined || self.uplink.is_store_lost() {
            return true;
        }
        let known = self.leadership.leader();
        let leader = known.as_ref().map(|leader| &*leader.instance);
        let members = self.members.load();
        let others = members.list.iter().filter(|m| Some(&*m.instance) != leader);
        others.take(EXTRA_WATCHERS).any(|member| member.instance == self.settings.instance)
    }

    /// Returns this instance as a member.
    pub(super) fn own_member(&self) -> Member {
        Member { instance: self.settings.instance.clone(), callers: self.settings.callers }
    }

    /// Returns the addresses that callers may use.
    ///
    /// An instance that is cut off from the leader serves with a part of the limits and without
    /// orders to engines, so it names itself only where it knows no other.
    pub(super) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let members = self.members.load();
        let others = members.list.iter().filter(|m| m.instance != self.settings.instance);
        let mut addresses: Vec<SocketAddr> = others.map(|member| member.callers).collect();
        let joined = self.leadership.leads() && self.peers.count() > 0
            || self.uplink.frame_age() < LEADER_TIMEOUT;
        if self.is_ready() && (joined || addresses.is_empty()) {
            addresses.push(self.settings.callers);
        }
        addresses
    }
}
