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
    pub fn frame(&self) -> MembersFrame {
        let list = self.list.iter().map(|member| MemberFrame {
            instance: member.instance.to_string(),
            callers: member.callers.to_string(),
        });
        MembersFrame { list: list.collect() }
    }

    /// Reads the frame of the leader.
    pub fn read(frame: MembersFrame) -> Self {
        let list = frame.list.into_iter().filter_map(|member| {
            let callers = member.callers.parse().ok()?;
            Some(Member { instance: member.instance.into(), callers })
        });
        Self { list: list.collect() }
    }
}

/// Time without the leader after which an instance sends callers to others.
const ALONE_AFTER: Duration = Duration::from_millis(700);

/// Instances beside the leader that follow the store.
const DEPUTIES: usize = 2;

/// Instances that are assumed before the fleet's size is known.
const UNKNOWN_SIZE: usize = 64;

impl Gateway {
    /// Returns the size of the fleet, by which an instance that decides alone divides the limits.
    ///
    /// Instances that are gone count until the leader records a smaller size.
    pub(super) fn instances(&self) -> usize {
        let recorded = self.leadership.size();
        match recorded.max(self.members.load().list.len()) {
            0 => UNKNOWN_SIZE,
            size => size,
        }
    }

    /// Returns whether this instance follows the leader's and the operators' records in the store.
    ///
    /// Besides the leader two more do, in case it is cut off from the store, and every instance
    /// without a link to the leader or whose leader says that it does not reach the store.
    pub(super) fn watches_store(&self) -> bool {
        let joined = self.uplink.was_joined() && self.uplink.silence() < ALONE_AFTER;
        if self.leadership.leads() || !joined || self.uplink.is_blind() {
            return true;
        }
        let known = self.leadership.known();
        let leader = known.as_ref().map(|leader| &*leader.instance);
        let members = self.members.load();
        let others = members.list.iter().filter(|m| Some(&*m.instance) != leader);
        others.take(DEPUTIES).any(|member| member.instance == self.settings.instance)
    }

    /// Returns this instance as a member.
    pub(super) fn own_member(&self) -> Member {
        Member { instance: self.settings.instance.clone(), callers: self.settings.callers }
    }

    /// Returns the addresses that callers may use.
    ///
    /// An instance that is cut off from the leader serves with a part of the limits and without
    /// orders to engines, so it names itself only where it knows no other.
    pub(super) fn callers_addresses(&self) -> Vec<SocketAddr> {
        let members = self.members.load();
        let others = members.list.iter().filter(|m| m.instance != self.settings.instance);
        let mut addresses: Vec<SocketAddr> = others.map(|member| member.callers).collect();
        let joined = self.leadership.leads() && self.peers.count() > 0
            || self.uplink.silence() < ALONE_AFTER;
        if self.is_ready() && (joined || addresses.is_empty()) {
            addresses.push(self.settings.callers);
        }
        addresses
    }
}
