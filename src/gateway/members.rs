//! The members: instances that serve callers.

use std::{net::SocketAddr, time::Duration};

use super::{
    Gateway,
    messages::{MemberFrame, MembersFrame},
};
use crate::{
    clock::Time,
    kernel::{
        membership::{Member, lone_share, store_watchers},
        record_age::{MAX_OPERATOR_AGE, first_read_wait, max_record_age, read_backoff},
    },
};

/// All members, as the leader reported them last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Members in the order of their names.
    pub list: Vec<Member>,
}

impl Members {
    /// Returns the members after the changes in the leader's frame.
    pub fn with_changes(&self, frame: MembersFrame) -> Self {
        let changed: Vec<Member> = frame.changed.into_iter().filter_map(parse_member).collect();
        let is_kept = |member: &&Member| {
            !frame.full
                && frame.removed.iter().all(|name| **name != *member.instance)
                && changed.iter().all(|newer| newer.instance != member.instance)
        };
        let mut list: Vec<Member> = self.list.iter().filter(is_kept).cloned().collect();
        list.extend(changed);
        list.sort();
        Self { list }
    }
}

/// Returns the member of a frame; logs why there is none.
fn parse_member(frame: MemberFrame) -> Option<Member> {
    let member = Member::try_from(frame);
    member.inspect_err(|err| log::warn!("event=member_unreadable reason={err}")).ok()
}

/// Time since the leader's last frame after which an instance leaves its own address out of the
/// directory.
const MAX_FRAME_AGE: Duration = Duration::from_millis(700);

/// Time since the leader's last frame after which an instance that watches no records reads them.
/// Until then it expects the announcement of a new leader, which is elected when the lease of the
/// old one ends.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Number of instances that is assumed while none is known.
const DEFAULT_FLEET_SIZE: usize = 64;

impl Gateway {
    /// Returns the share of all limits that this instance has without a leader.
    pub(super) fn lone_share(&self) -> f64 {
        lone_share(&self.settings.instance, &self.members.load().list, self.fleet_size())
    }

    /// Returns the number of instances, by which an instance without a leader divides the limits.
    ///
    /// Lost instances count until the leader records a smaller number.
    pub(super) fn fleet_size(&self) -> usize {
        let recorded = self.leadership.lock().fleet_size();
        match recorded.max(self.members.load().list.len()) {
            0 => DEFAULT_FLEET_SIZE,
            size => size,
        }
    }

    /// Returns whether this instance watches the leader's record in the store.
    ///
    /// Besides the leader, one member of each data centre does, in case the leader is lost. Another
    /// instance does until its first link to a leader, and if it has no link for a long time.
    pub(super) fn watches_store(&self) -> bool {
        if self.leads() || !self.uplink.was_linked() {
            return true;
        }
        self.is_watcher() || self.uplink.frame_age() > ANNOUNCEMENT_TIMEOUT
    }

    /// Returns whether this instance watches the operators' records in the store. An instance that
    /// has just started gets them from the leader, if there is one. Any instance reads them if what
    /// the leader tells is too old.
    pub(super) fn watches_operator(&self) -> bool {
        !self.expects_first_link()
            && (self.watches_store() || self.has_old_records(MAX_OPERATOR_AGE))
    }

    /// Returns whether what this instance knows of the store's records is older than `max_age`.
    pub(super) fn has_old_records(&self, max_age: Duration) -> bool {
        let max_age = max_record_age(max_age, &self.settings.instance, self.fleet_size());
        self.record_age.get(Time::now()) > max_age
    }

    /// Returns the wait before this instance reads records again after an error of the store. Those
    /// that tell others what they read do not wait for others.
    pub(super) fn read_backoff(&self, backoff: Duration) -> Duration {
        let fleet_size = if self.is_source() { 1 } else { self.fleet_size() };
        read_backoff(backoff, fleet_size, rand::random())
    }

    /// Returns whether this instance tells others what it reads from the store.
    fn is_source(&self) -> bool {
        self.leads() || self.is_watcher()
    }

    /// Returns whether this instance has just started and may soon have a link to the leader. It has
    /// none soon if the leader ended at the same time, which shows when a first attempt fails.
    pub(super) fn expects_first_link(&self) -> bool {
        let has_failed = self.uplink.failed_attempts() > 0;
        let wait = first_read_wait(&self.settings.instance, self.fleet_size(), has_failed);
        !self.leads() && !self.uplink.was_linked() && self.uplink.frame_age() < wait
    }

    /// Returns whether this instance is one of the members that watch the store for all others.
    pub(super) fn is_watcher(&self) -> bool {
        let leader = self.leader();
        let members = self.members.load();
        let watchers = store_watchers(&members.list, leader.as_ref().map(|l| &*l.instance));
        watchers.iter().any(|member| self.is_self(&member.instance))
    }

    /// Returns this instance as a member.
    pub(super) fn own_member(&self) -> Member {
        let settings = &self.settings;
        Member {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            callers: settings.callers,
            peer: settings.peer,
            relay: settings.relay,
            cut_off: self.is_cut_off(),
            strength: settings.resources.strength(),
            named: false,
        }
    }

    /// Returns the addresses that callers may use.
    ///
    /// An instance without a leader has only its own share of the limits and gives no orders to
    /// engines. It therefore names itself only if it knows no other member. Members that are cut off
    /// from the endpoints are named only if all are.
    pub(super) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let members = self.members.load();
        let linked =
            self.leads() && self.peers.count() > 0 || self.uplink.frame_age() < MAX_FRAME_AGE;
        let is_usable = |member: &&Member| match self.is_self(&member.instance) {
            true => linked && self.is_ready(),
            false => true,
        };
        let all_cut_off = members.list.iter().filter(is_usable).all(|member| member.cut_off);
        let usable = members.list.iter().filter(is_usable);
        let usable = usable.filter(|member| all_cut_off || !member.cut_off);
        let named = usable.clone().filter(|member| member.named).map(|member| member.callers);
        let named: Vec<SocketAddr> = named.collect();
        if !named.is_empty() {
            return named;
        }
        let all: Vec<SocketAddr> = usable.map(|member| member.callers).collect();
        match all.is_empty() && self.is_ready() {
            true => vec![self.settings.callers],
            false => all,
        }
    }
}
