//! The members: instances that serve callers.

use std::{net::SocketAddr, time::Duration};

use super::{
    Gateway,
    messages::{MemberChanges, MemberFrame, MembersFrame},
};
use crate::kernel::membership::Member;

/// All members, as the leader reported them last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Members in the order of their names.
    pub list: Vec<Member>,
}

impl Members {
    /// Creates the members from the leader's frame, without those whose address cannot be parsed.
    pub fn from_frame(frame: MembersFrame) -> Self {
        Self::from_list(frame.list.into_iter().filter_map(MemberFrame::into_member).collect())
    }

    /// Returns the members after the changes in the leader's frame.
    pub fn with_changes(&self, frame: MemberChanges) -> Self {
        let changed: Vec<Member> =
            frame.changed.into_iter().filter_map(MemberFrame::into_member).collect();
        let is_replaced = |member: &&Member| {
            frame.removed.iter().any(|name| **name == *member.instance)
                || changed.iter().any(|newer| newer.instance == member.instance)
        };
        let kept: Vec<Member> =
            self.list.iter().filter(|member| !is_replaced(member)).cloned().collect();
        Self::from_list([kept, changed].concat())
    }

    fn from_list(mut list: Vec<Member>) -> Self {
        list.sort();
        Self { list }
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
