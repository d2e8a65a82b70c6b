//! Requests that crash their endpoints.
//!
//! Every request in flight at a crash becomes suspect. A suspect runs alone, so that a second crash
//! has one cause only, and is refused after it. Two crashes in company prove nothing: when several
//! endpoints fail together, the same harmless request may have run at each of them. Crashes carry
//! ids, so that the reports of several instances about one crash count once.

use std::{collections::HashMap, time::Duration};

use crate::{clock::Time, names::EndpointId};

/// Crashes after which a request is refused even if it never ran alone.
const MAX_CRASHES: usize = 3;

/// Bit of a crash's id that says that the request ran alone.
const ALONE_BIT: u64 = 1;

/// Suspects that are remembered.
const MAX_SUSPECTS: usize = 1_024;

/// Time after which a suspect is forgotten.
const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// Time for which news of a suspect is passed on.
const RECENT_AGE: Duration = Duration::from_secs(5);

/// Suspects in one heartbeat.
const MAX_RECENT: usize = 16;

/// Copies of a model over which one part of its suspects is spread.
const SUSPECT_REPLICA_DIVISOR: usize = 4;

/// Id of one crash of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the id of the crash that ended an incarnation of an endpoint.
    ///
    /// `alone` says whether a suspect ran there and nothing else.
    pub fn of(endpoint: &EndpointId, incarnation: u64, alone: bool) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.as_str().as_bytes(), incarnation);
        Self(hash & !ALONE_BIT | u64::from(alone))
    }

    fn is_alone(self) -> bool {
        self.0 & ALONE_BIT != 0
    }

    /// Returns whether both name one crash, which may be reported once as alone and once not.
    fn is_same(self, other: CrashId) -> bool {
        self.0 | ALONE_BIT == other.0 | ALONE_BIT
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunMode {
    /// Like any other.
    Shared,
    /// With nothing else at its endpoint.
    Alone,
    /// Not at all.
    Refuse,
}

#[derive(Clone, Debug)]
struct SuspectRecord {
    crashes: Vec<CrashId>,
    changed_at: Time,
}

impl SuspectRecord {
    /// Adds a crash and returns whether that says anything new.
    fn add_crash(&mut self, crash: CrashId) -> bool {
        let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(crash)) else {
            let room = self.crashes.len() < MAX_CRASHES;
            if room {
                self.crashes.push(crash);
            }
            return room;
        };
        let proves = crash.is_alone() && !known.is_alone();
        known.0 |= crash.0 & ALONE_BIT;
        proves
    }
}

/// The suspects that an instance knows, by the hash of model and body.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<u64, SuspectRecord>,
}

impl Suspects {
    /// Notes that a request was in flight at crashes, and returns whether any was new.
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
        let fresh = SuspectRecord { crashes: Vec::new(), changed_at: now };
        let record = self.records.entry(fingerprint).or_insert(fresh);
        let changed = crashes.filter(|crash| record.add_crash(*crash)).count() > 0;
        if changed {
            record.changed_at = now;
        }
        changed
    }

    /// Drops what expired, and the oldest record when the table is full.
    fn evict_oldest(&mut self, now: Time) {
        if self.records.len() < MAX_SUSPECTS {
            return;
        }
        self.records.retain(|_, record| now.since(record.changed_at) < SUSPECT_TTL);
        while self.records.len() >= MAX_SUSPECTS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.changed_at);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.records.remove(&oldest);
        }
    }

    /// Clears a suspect that ran alone to its end.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Judges a request.
    pub fn run_mode(&self, fingerprint: u64, now: Time) -> RunMode {
        let crashes = self.crashes(fingerprint, now);
        let proved = crashes.len() > 1 && crashes.iter().any(|crash| crash.is_alone());
        match crashes.len() {
            0 => RunMode::Shared,
            MAX_CRASHES.. => RunMode::Refuse,
            _ if proved => RunMode::Refuse,
            _ => RunMode::Alone,
        }
    }

    /// Returns the crashes at which a request was in flight.
    pub fn crashes(&self, fingerprint: u64, now: Time) -> &[CrashId] {
        let record = self.records.get(&fingerprint);
        let record = record.filter(|record| now.since(record.changed_at) < SUSPECT_TTL);
        record.map_or(&[], |record| &record.crashes)
    }

    /// Returns the latest news for other instances.
    pub fn recent(&self, now: Time) -> Vec<(u64, Vec<CrashId>)> {
        let fresh =
            |(_, record): &(&u64, &SuspectRecord)| now.since(record.changed_at) < RECENT_AGE;
        let mut news: Vec<_> = self.records.iter().filter(fresh).collect();
        news.sort_by_key(|(fingerprint, record)| {
            (
                std::cmp::Reverse(record.crashes.len()),
                std::cmp::Reverse(record.changed_at),
                **fingerprint,
            )
        });
        news.truncate(MAX_RECENT);
        news.into_iter().map(|(print, record)| (*print, record.crashes.clone())).collect()
    }
}

/// What an endpoint may start next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The request.
    Start,
    /// Nothing until what runs has ended.
    Wait,
    /// The request must be refused.
    Refuse,
}

/// Decides whether a request may start beside `running` others, of which `alone` must be alone.
pub fn decide_start(verdict: RunMode, running: u32, alone: bool) -> StartDecision {
    match verdict {
        RunMode::Refuse => StartDecision::Refuse,
        _ if alone => StartDecision::Wait,
        RunMode::Alone if running > 0 => StartDecision::Wait,
        RunMode::Alone | RunMode::Shared => StartDecision::Start,
    }
}

/// Returns the position of the copy at which a suspect runs.
///
/// Suspects gather at a part of the copies, so that the other copies go on with all other work.
pub fn replica_index(fingerprint: u64, copies: usize) -> usize {
    let part = copies.div_ceil(SUSPECT_REPLICA_DIVISOR).max(1);
    (fingerprint % part as u64) as usize
}
