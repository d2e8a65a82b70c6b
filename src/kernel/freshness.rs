//! Decides whether an instance that lost contact with the platform's service is cut off, or whether
//! the service is down for most instances.
//!
//! An instance that is cut off must not serve requests with a key, since the key may have been
//! withdrawn without its knowledge. If only the service is down, the instance goes on serving.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::stewardship::weight;
use crate::{clock::Time, names::InstanceId};

/// Contact of an instance with the platform's service and with its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Age of the latest contact with the platform's service, by this instance or by a peer that
    /// reported it.
    pub age: Duration,
    /// Number of listed live instances among this one and its heartbeat peers, without those whose
    /// host refused a connection.
    pub listed: usize,
    /// Number of those instances that were heard within [`MAX_CONTACT_AGE`], this one included.
    pub heard: usize,
}

/// Whether an instance may serve requests with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The latest contact with the platform's service is recent enough.
    Fresh,
    /// The service is down for most instances; the instance goes on serving.
    ServiceDown,
    /// The instance is cut off from the service and from most peers.
    CutOff,
}

/// Age of the latest contact above which an instance may be cut off.
pub const MAX_CONTACT_AGE: Duration = Duration::from_millis(3_000);

/// Returns the freshness that follows from a contact. An instance whose latest contact is too old
/// counts as cut off unless it hears the majority of the listed instances.
pub fn freshness_of(contact: Contact) -> Freshness {
    if contact.age <= MAX_CONTACT_AGE {
        Freshness::Fresh
    } else if contact.heard * 2 > contact.listed {
        Freshness::ServiceDown
    } else {
        Freshness::CutOff
    }
}

/// Number of heartbeat rounds whose time of sending is remembered.
const MAX_SENT_ROUNDS: usize = 64;

/// Largest number of peers to which an instance sends heartbeats, whatever the size of the fleet.
pub const MAX_HEARTBEAT_PEERS: usize = 8;

/// Returns the peers to which an instance sends heartbeats.
///
/// Rendezvous hashing spreads the heartbeats evenly and changes few peers when the list changes.
pub fn heartbeat_peers(own: &InstanceId, live: &[InstanceId]) -> Vec<InstanceId> {
    let others = live.iter().filter(|id| *id != own);
    let mut ranked: Vec<_> = others.map(|id| (weight(own.as_str(), id), id)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().take(MAX_HEARTBEAT_PEERS).map(|(_, id)| id.clone()).collect()
}

/// Last contact with one peer.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// When the latest heartbeat that the peer replied to was sent.
    heard_at: Time,
    /// When the peer's host refused a connection, unless the peer has replied since.
    refused_at: Option<Time>,
}

/// When an instance was last in contact with the platform's service and with each peer.
///
/// A peer's reply counts from the time at which the heartbeat was sent. A reply that was late, or
/// that waited in a socket while the process was paused, therefore never looks more recent than it
/// is, and an age that two instances pass to each other only grows.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    /// Latest contact with the platform's service, by this instance or a peer.
    platform: Time,
    /// Number and time of the latest rounds of heartbeats.
    sent_rounds: VecDeque<(u64, Time)>,
    /// Last contact with each peer.
    peers: BTreeMap<InstanceId, Peer>,
}

impl Contacts {
    /// Starts a round of heartbeats and returns its number.
    pub fn begin_round(&mut self, now: Time) -> u64 {
        let number = self.sent_rounds.back().map_or(1, |(number, _)| number + 1);
        if self.sent_rounds.len() == MAX_SENT_ROUNDS {
            self.sent_rounds.pop_front();
        }
        self.sent_rounds.push_back((number, now));
        number
    }

    /// Records a response of the platform's service to a call that was made at `called_at`.
    pub fn record_platform_contact(&mut self, called_at: Time) {
        self.platform = self.platform.max(called_at);
    }

    /// Records a peer's reply to the heartbeat round `echo` and returns when that round was sent,
    /// or `None` if the round is unknown.
    ///
    /// `age` is the age that the peer's latest contact with the service had when it replied.
    pub fn record_heartbeat_reply(
        &mut self,
        peer: &InstanceId,
        echo: u64,
        age: Duration,
    ) -> Option<Time> {
        let (_, sent_at) = *self.sent_rounds.iter().find(|(number, _)| *number == echo)?;
        self.record_platform_contact(sent_at - age);
        let peer = self.peers.entry(peer.clone()).or_default();
        peer.heard_at = peer.heard_at.max(sent_at);
        peer.refused_at = None;
        Some(sent_at)
    }

    /// Records that a peer's host refused a connection, which means that no process listens there.
    pub fn record_refused_connection(&mut self, peer: &InstanceId, now: Time) {
        self.peers.entry(peer.clone()).or_default().refused_at = Some(now);
    }

    /// Returns whether a peer's host refused a connection within [`MAX_CONTACT_AGE`].
    pub fn is_refused(&self, peer: &InstanceId, now: Time) -> bool {
        let refused_at = self.peers.get(peer).and_then(|peer| peer.refused_at);
        refused_at.is_some_and(|at| now.since(at) <= MAX_CONTACT_AGE)
    }

    /// Returns the age of the latest contact with the platform's service.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.platform)
    }

    /// Returns the contact of instance `own` with the service and with its heartbeat peers among
    /// the `live` instances.
    pub fn contact(&self, own: &InstanceId, live: &[InstanceId], now: Time) -> Contact {
        let is_recent = |at: Time| now.since(at) <= MAX_CONTACT_AGE;
        // An instance that is missing from its list, or has no list, does not count itself as
        // heard, since it cannot tell which instances exist.
        let heard = usize::from(live.contains(own));
        let mut contact = Contact { age: self.age(now), listed: 1, heard };
        for id in heartbeat_peers(own, live) {
            let peer = self.peers.get(&id).copied().unwrap_or_default();
            if peer.refused_at.is_some_and(is_recent) {
                continue;
            }
            contact.listed += 1;
            contact.heard += usize::from(is_recent(peer.heard_at));
        }
        contact
    }

    /// Removes the peers for which `listed` is false.
    pub fn retain_listed(&mut self, listed: impl Fn(&InstanceId) -> bool) {
        self.peers.retain(|id, _| listed(id));
    }
}
