//! Detects requests that crash their endpoints.
//!
//! Every request that runs at an endpoint when it crashes becomes a suspect. A suspect then runs
//! alone at its endpoint, so that a further crash can have no other cause, and it is refused after
//! that. Two crashes at which other requests ran as well prove nothing: when several endpoints fail
//! together, the same harmless request may have run at each of them. A crash has an id, so that
//! reports from several instances count as one crash.

use std::{collections::HashMap, time::Duration};

use xxhash_rust::xxh3::Xxh3;

use crate::{clock::Time, names::EndpointId};

/// Number of crashes after which a request is refused even if it never ran alone.
const MAX_CRASHES: usize = 3;

/// Bit of a crash's id that is set if a suspect was the only request that ran.
const ALONE_BIT: u64 = 1;

/// Largest number of suspects that an instance remembers.
const MAX_SUSPECTS: usize = 1_024;

/// Time after its latest crash for which a suspect is kept.
const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// Time after a change for which a suspect is sent to peers.
const MAX_RECENT_AGE: Duration = Duration::from_secs(5);

/// Largest number of suspects in one heartbeat.
const MAX_RECENT: usize = 16;

/// Suspects run at one in this many replicas of their model, rounded up.
const SUSPECT_REPLICA_DIVISOR: usize = 4;

/// Id of one crash of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the id of the crash that ended an incarnation of an endpoint.
    ///
    /// `alone` says whether a suspect was the only request that ran there.
    pub fn of(endpoint: &EndpointId, incarnation: u64, alone: bool) -> Self {
        // The incarnation is hashed like the name. As a seed, it would cancel out differences between
        // short names.
        let mut hash = Xxh3::new();
        hash.update(endpoint.as_str().as_bytes());
        hash.update(&incarnation.to_le_bytes());
        Self(hash.digest() & !ALONE_BIT | u64::from(alone))
    }

    /// Returns whether a suspect was the only request that ran.
    fn is_alone(self) -> bool {
        self.0 & ALONE_BIT != 0
    }

    /// Returns whether both ids name the same crash; one report may say that the request ran alone
    /// and another that it did not.
    fn is_same(self, other: CrashId) -> bool {
        self.0 | ALONE_BIT == other.0 | ALONE_BIT
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunMode {
    /// The request may run beside others.
    Shared,
    /// The request may run only while no other request runs at its endpoint.
    Alone,
    /// The request must not run.
    Refuse,
}

/// A request that was running at crashes of endpoints.
#[derive(Clone, Debug)]
struct Suspect {
    /// Crashes at which the request was running.
    crashes: Vec<CrashId>,
    /// When the latest new crash became known.
    changed_at: Time,
}

impl Suspect {
    /// Adds a crash; returns whether it is new, or whether it is new that the request ran alone.
    fn add_crash(&mut self, crash: CrashId) -> bool {
        let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(crash)) else {
            let has_room = self.crashes.len() < MAX_CRASHES;
            if has_room {
                self.crashes.push(crash);
            }
            return has_room;
        };
        let newly_alone = crash.is_alone() && !known.is_alone();
        known.0 |= crash.0 & ALONE_BIT;
        newly_alone
    }
}

/// The suspects that an instance knows, by the fingerprint of the request, a hash of its model and
/// body. Zero stands for a request without a fingerprint, which is ignored.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    suspects: HashMap<u64, Suspect>,
}

impl Suspects {
    /// Records that a request was running at these crashes; returns whether any of them was new.
    pub fn record_crashes(
        &mut self,
        fingerprint: u64,
        crashes: impl IntoIterator<Item = CrashId>,
        now: Time,
    ) -> bool {
        let mut crashes = crashes.into_iter().peekable();
        if fingerprint == 0 || crashes.peek().is_none() {
            return false;
        }
        self.evict_oldest(now);
        let new = Suspect { crashes: Vec::new(), changed_at: now };
        let suspect = self.suspects.entry(fingerprint).or_insert(new);
        let changed = crashes.filter(|crash| suspect.add_crash(*crash)).count() > 0;
        if changed {
            suspect.changed_at = now;
        }
        changed
    }

    /// Makes room in a full table: removes the suspects that expired or else the oldest one.
    fn evict_oldest(&mut self, now: Time) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspect| now.since(suspect.changed_at) < SUSPECT_TTL);
        while self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.changed_at);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.suspects.remove(&oldest);
        }
    }

    /// Removes a suspect that ran alone to its end.
    pub fn clear(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    /// Returns how a request may run.
    pub fn run_mode(&self, fingerprint: u64, now: Time) -> RunMode {
        let crashes = self.crashes(fingerprint, now);
        let confirmed = crashes.len() > 1 && crashes.iter().any(|crash| crash.is_alone());
        match crashes.len() {
            0 => RunMode::Shared,
            MAX_CRASHES.. => RunMode::Refuse,
            _ if confirmed => RunMode::Refuse,
            _ => RunMode::Alone,
        }
    }

    /// Returns the crashes at which a request was running.
    pub fn crashes(&self, fingerprint: u64, now: Time) -> &[CrashId] {
        let suspect = self.suspects.get(&fingerprint);
        let suspect = suspect.filter(|suspect| now.since(suspect.changed_at) < SUSPECT_TTL);
        suspect.map_or(&[], |suspect| &suspect.crashes)
    }

    /// Returns the fingerprints and crashes of the suspects that changed lately, for the heartbeats
    /// to the peers. Those with the most crashes come first.
    pub fn recent(&self, now: Time) -> Vec<(u64, Vec<CrashId>)> {
        let is_recent =
            |(_, suspect): &(&u64, &Suspect)| now.since(suspect.changed_at) < MAX_RECENT_AGE;
        let mut recent: Vec<_> = self.suspects.iter().filter(is_recent).collect();
        recent.sort_by_key(|(fingerprint, suspect)| {
            (
                std::cmp::Reverse(suspect.crashes.len()),
                std::cmp::Reverse(suspect.changed_at),
                **fingerprint,
            )
        });
        recent.truncate(MAX_RECENT);
        recent
            .into_iter()
            .map(|(fingerprint, suspect)| (*fingerprint, suspect.crashes.clone()))
            .collect()
    }
}

/// Decision whether an endpoint may start the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The request starts now.
    Start,
    /// No request starts until the running ones have ended.
    Wait,
    /// The request is refused.
    Refuse,
}

/// Decides whether a request may start at an endpoint with `running` requests.
///
/// `alone` says whether a suspect that must run alone is running there.
pub fn decide_start(mode: RunMode, running: u32, alone: bool) -> StartDecision {
    match mode {
        RunMode::Refuse => StartDecision::Refuse,
        _ if alone => StartDecision::Wait,
        RunMode::Alone if running > 0 => StartDecision::Wait,
        RunMode::Alone | RunMode::Shared => StartDecision::Start,
    }
}

/// Returns the index of the replica at which a suspect runs.
///
/// All suspects run at a fraction of the replicas, so that the other replicas are free for the rest
/// of the work.
pub fn replica_index(fingerprint: u64, replicas: usize) -> usize {
    let eligible = replicas.div_ceil(SUSPECT_REPLICA_DIVISOR).max(1);
    (fingerprint % eligible as u64) as usize
}
