//! Tells an instance that is cut off from one whose platform service is down for everybody.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::stewardship::weight;
use crate::{clock::Time, names::InstanceId};

/// What an instance knows of its contact with the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Age of the youngest contact with the platform's service, its own or a peer's.
    pub age: Duration,
    /// Listed live instances, this one included.
    pub listed: usize,
    /// Listed live instances heard within the bound, this one included.
    pub heard: usize,
}

/// Whether an instance may serve keyed work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// What it knows is young enough.
    Fresh,
    /// The service is down for most instances; serving goes on.
    ServiceDown,
    /// The instance is cut off.
    CutOff,
}

/// Age of the last contact above which an instance asks whether it is cut off.
pub const MAX_CONTACT_AGE: Duration = Duration::from_millis(3_000);

/// Judges a contact.
pub fn freshness_of(contact: Contact) -> Freshness {
    if contact.age <= MAX_CONTACT_AGE {
        Freshness::Fresh
    } else if contact.heard * 2 > contact.listed {
        Freshness::ServiceDown
    } else {
        Freshness::CutOff
    }
}

/// Heartbeats whose time of sending is remembered.
const MAX_SENT_ROUNDS: usize = 64;

/// Peers to which an instance sends heartbeats, whatever the size of the fleet.
pub const MAX_HEARTBEAT_PEERS: usize = 8;

/// Returns the peers to which an instance sends heartbeats.
///
/// Rendezvous hashing spreads them evenly and changes few of them when the list changes.
pub fn heartbeat_peers(own: &InstanceId, live: &[InstanceId]) -> Vec<InstanceId> {
    let others = live.iter().filter(|id| *id != own);
    let mut ranked: Vec<_> = others.map(|id| (weight(own.as_str(), id), id)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().take(MAX_HEARTBEAT_PEERS).map(|(_, id)| id.clone()).collect()
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    heard: Time,
    refused: Option<Time>,
}

/// When an instance was last in contact with the platform's service and with each peer.
///
/// What a peer says counts from when the heartbeat that it answers was sent. A message that was
/// late, or that waited in a socket while the process was paused, therefore never looks younger
/// than it is, and an age that two instances pass to each other only grows.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    platform: Time,
    sent: VecDeque<(u64, Time)>,
    peers: BTreeMap<InstanceId, Peer>,
}

impl Contacts {
    /// Starts a round of heartbeats and returns its number.
    pub fn begin_round(&mut self, now: Time) -> u64 {
        let number = self.sent.back().map_or(1, |(number, _)| number + 1);
        if self.sent.len() == MAX_SENT_ROUNDS {
            self.sent.pop_front();
        }
        self.sent.push_back((number, now));
        number
    }

    /// Notes an answer of the platform's service to a call that was made at `asked`.
    pub fn record_platform_contact(&mut self, asked: Time) {
        self.platform = self.platform.max(asked);
    }

    /// Takes in a peer's answer to the heartbeat `echo` and returns when that one was sent.
    ///
    /// `age` is the age of the peer's last contact when it answered.
    pub fn record_heartbeat_reply(
        &mut self,
        peer: &InstanceId,
        echo: u64,
        age: Duration,
    ) -> Option<Time> {
        let (_, sent) = *self.sent.iter().find(|(number, _)| *number == echo)?;
        self.record_platform_contact(sent - age);
        let peer = self.peers.entry(peer.clone()).or_default();
        peer.heard = peer.heard.max(sent);
        peer.refused = None;
        Some(sent)
    }

    /// Notes that a peer's host refused a connection, so that no process runs there.
    pub fn record_refused_connection(&mut self, peer: &InstanceId, now: Time) {
        self.peers.entry(peer.clone()).or_default().refused = Some(now);
    }

    /// Returns whether a peer's host refused a connection lately.
    pub fn is_refused(&self, peer: &InstanceId, now: Time) -> bool {
        let refused = self.peers.get(peer).and_then(|peer| peer.refused);
        refused.is_some_and(|at| now.since(at) <= MAX_CONTACT_AGE)
    }

    /// Returns the age of the last contact with the platform's service.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.platform)
    }

    /// Returns what an instance knows of its contact, over the live instances that it probes.
    pub fn contact(&self, own: &InstanceId, live: &[InstanceId], now: Time) -> Contact {
        let young = |at: Time| now.since(at) <= MAX_CONTACT_AGE;
        // An instance that is not in its own list, or has none, cannot tell who is there.
        let heard = usize::from(live.contains(own));
        let mut contact = Contact { age: self.age(now), listed: 1, heard };
        for id in heartbeat_peers(own, live) {
            let peer = self.peers.get(&id).copied().unwrap_or_default();
            if peer.refused.is_some_and(young) {
                continue;
            }
            contact.listed += 1;
            contact.heard += usize::from(young(peer.heard));
        }
        contact
    }

    /// Forgets the peers that are not listed.
    pub fn retain_listed(&mut self, listed: impl Fn(&InstanceId) -> bool) {
        self.peers.retain(|id, _| listed(id));
    }
}
