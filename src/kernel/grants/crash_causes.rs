//! Finds out which requests, or which parts of their prompts, crash the endpoints that run them.
//!
//! Whatever the runs that a crash ended hold is a possible cause of it: each request as a whole, and
//! each part of its prompt but the last, which belongs to the request alone. A run that completes
//! shows that what it holds is harmless. What was in [`CRASH_LIMIT`] crashes and in no complete run
//! since is refused, and what was complete lately only after [`SOUND_CRASH_LIMIT`] crashes: a part that
//! most prompts have is in most crashes, whatever causes them. If something that a request does not
//! hold was in all the same crashes, either may be the cause; such requests are tried one at a time,
//! which shows which of the two it is.

use std::{collections::HashMap, time::Duration};

use super::GrantRequest;
use crate::{clock::Time, kernel::suspect::CrashId};

/// Crashes after which a cause is refused.
const CRASH_LIMIT: usize = 3;

/// Crashes after which a part is refused that was in a complete run lately.
const SOUND_CRASH_LIMIT: usize = 8;

/// Time for which a complete run counts in favour of the parts of its prompt.
const SOUND_TTL: Duration = Duration::from_secs(600);

/// Parts that are remembered because they were in a complete run.
const MAX_SOUND_PARTS: usize = 8_192;

/// Crashes that are remembered of one cause.
const MAX_CRASHES: usize = 16;

/// Causes that are remembered.
const MAX_CAUSES: usize = 4_096;

/// Refused causes that are sent to other instances.
const MAX_REFUSED: usize = 256;

/// Time after its last crash for which a cause that is not refused is remembered.
const CAUSE_TTL: Duration = Duration::from_secs(600);

/// Time after a crash for which another scheduler is told of a cause that is not refused. The cause
/// of an older crash may have been in complete runs elsewhere since.
const RECENT_AGE: Duration = Duration::from_secs(10);

/// Time after which a refused cause is tried again. It is short, since refusing a harmless part that
/// many prompts have costs more than a crash.
const MIN_TRIAL_BACKOFF: Duration = Duration::from_secs(2);

/// Factor by which that time grows with each further crash.
const TRIAL_BACKOFF_FACTOR: u32 = 4;

/// Upper bound of the time after which a refused cause is tried again.
const MAX_TRIAL_BACKOFF: Duration = Duration::from_secs(3_600);

/// Time after which a trial whose end was not reported no longer counts.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(15);

/// A possible cause of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// The request with this fingerprint.
    Request(u64),
    /// The part of a prompt with this hash.
    PromptPart(u64),
}

/// What is known of a possible cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// The possible cause.
    pub cause: Cause,
    /// Crashes that ended runs with it, since such a run was last complete.
    pub crashes: Vec<CrashId>,
}

/// Whether a request may run, by what is known of the causes of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashCheck {
    /// The request may run.
    Run,
    /// The request must wait for the end of a trial.
    Wait,
    /// The request must not run.
    Refuse,
}

/// A record as it is stored in the table.
#[derive(Clone, Debug)]
struct Entry {
    record: CrashRecord,
    /// When the last crash became known.
    crashed_at: Time,
    /// When the running trial was granted.
    trial_since: Option<Time>,
    /// Crashes after which the cause is refused.
    limit: usize,
}

impl Entry {
    fn is_refused(&self) -> bool {
        self.record.crashes.len() >= self.limit
    }

    fn add_crash(&mut self, crash: CrashId, now: Time) -> bool {
        let crashes = &mut self.record.crashes;
        if crashes.contains(&crash) {
            return false;
        }
        crashes.push(crash);
        if crashes.len() > MAX_CRASHES {
            crashes.remove(0);
        }
        self.crashed_at = now;
        true
    }

    /// Returns the time after the last crash at which a refused cause is tried again.
    fn trial_backoff(&self) -> Duration {
        let trials = self.record.crashes.len().saturating_sub(self.limit) as u32;
        let factor = TRIAL_BACKOFF_FACTOR.saturating_pow(trials);
        MIN_TRIAL_BACKOFF.saturating_mul(factor).min(MAX_TRIAL_BACKOFF)
    }

    /// Returns whether the cause was in all crashes of another one.
    fn explains(&self, other: &Entry) -> bool {
        other.record.crashes.iter().all(|crash| self.record.crashes.contains(crash))
    }

    fn has_trial(&self, now: Time) -> bool {
        self.trial_since.is_some_and(|since| now.since(since) < TRIAL_TIMEOUT)
    }
}

/// The possible causes of crashes that a scheduler knows.
#[derive(Clone, Debug, Default)]
pub struct CrashCauses {
    entries: HashMap<Cause, Entry>,
    /// When parts of prompts were last in a complete run.
    sound: HashMap<u64, Time>,
    /// Grows with each change of the refused causes.
    version: u64,
}

/// Returns the possible causes of a crash that a request holds.
pub fn possible_causes(request: &GrantRequest) -> Vec<Cause> {
    let parts = request.work.as_ref().map_or(&[][..], |work| &work.parts);
    let shared_parts = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let parts = shared_parts.iter().map(|(hash, _)| Cause::PromptPart(*hash));
    // Zero stands for a request without a fingerprint.
    let whole = (request.fingerprint != 0).then_some(Cause::Request(request.fingerprint));
    whole.into_iter().chain(parts).collect()
}

impl CrashCauses {
    /// Returns the version, which grows with each change of the refused causes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether a request with these causes may run. A refused cause is tried again after a
    /// while only if `may_retry` is set.
    pub fn check(&self, causes: &[Cause], may_retry: bool, now: Time) -> CrashCheck {
        if self.entries.is_empty() {
            return CrashCheck::Run;
        }
        let known = causes.iter().filter_map(|cause| self.entries.get(cause));
        let mut check = CrashCheck::Run;
        for entry in known.filter(|entry| entry.is_refused()) {
            let is_due = may_retry && now.since(entry.crashed_at) >= entry.trial_backoff();
            if !is_due && !self.may_be_harmless(entry, causes) {
                return CrashCheck::Refuse;
            }
            if entry.has_trial(now) {
                check = CrashCheck::Wait;
            }
        }
        check
    }

    /// Returns whether something that is not among `causes` was in all the same crashes, so that it
    /// may be the cause instead.
    fn may_be_harmless(&self, entry: &Entry, causes: &[Cause]) -> bool {
        let others = self.entries.iter().filter(|(cause, _)| !causes.contains(cause));
        let mut others = others.map(|(_, other)| other);
        others.any(|other| other.explains(entry))
    }

    /// Records that a request with these causes was granted. If one of them is refused otherwise,
    /// the run is its trial.
    pub fn record_grant(&mut self, causes: &[Cause], now: Time) {
        for cause in causes {
            let entry = self.entries.get_mut(cause).filter(|entry| entry.is_refused());
            if let Some(entry) = entry {
                entry.trial_since = Some(now);
            }
        }
    }

    /// Records that a run with these causes ended, whatever its outcome.
    pub fn record_end(&mut self, causes: &[Cause]) {
        for cause in causes {
            if let Some(entry) = self.entries.get_mut(cause) {
                entry.trial_since = None;
            }
        }
    }

    /// Records that a run with these causes was complete, which clears them.
    pub fn record_complete(&mut self, causes: &[Cause], now: Time) {
        for cause in causes {
            if let Cause::PromptPart(hash) = cause {
                self.sound.insert(*hash, now);
            }
            let entry = self.entries.remove(cause);
            if entry.is_some_and(|entry| entry.is_refused()) {
                self.version += 1;
            }
        }
        if self.sound.len() > MAX_SOUND_PARTS {
            self.forget_sound_parts(now);
        }
    }

    /// Forgets the older half of the parts that were in complete runs.
    fn forget_sound_parts(&mut self, now: Time) {
        let mut ages: Vec<Duration> = self.sound.values().map(|at| now.since(*at)).collect();
        let middle = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(middle);
        let median = *median;
        self.sound.retain(|_, at| now.since(*at) < median);
    }

    /// Returns the number of crashes after which a cause is refused.
    fn crash_limit(&self, cause: Cause, now: Time) -> usize {
        let Cause::PromptPart(hash) = cause else { return CRASH_LIMIT };
        match self.sound.get(&hash) {
            Some(at) if now.since(*at) < SOUND_TTL => SOUND_CRASH_LIMIT,
            _ => CRASH_LIMIT,
        }
    }

    /// Records a crash that ended runs, each with its possible causes.
    pub fn record_crash(&mut self, crash: CrashId, runs: &[Vec<Cause>], now: Time) {
        for causes in runs {
            self.record_end(causes);
            for cause in causes {
                self.record(*cause, &[crash], now);
            }
        }
        self.discount_explained();
        self.evict(now);
    }

    /// Adds crashes to a cause.
    fn record(&mut self, cause: Cause, crashes: &[CrashId], now: Time) {
        let limit = self.crash_limit(cause, now);
        let new = || Entry {
            record: CrashRecord { cause, crashes: Vec::new() },
            crashed_at: now,
            trial_since: None,
            limit,
        };
        let entry = self.entries.entry(cause).or_insert_with(new);
        let added = crashes.iter().filter(|crash| entry.add_crash(**crash, now)).count();
        if added > 0 && entry.is_refused() {
            self.version += 1;
        }
    }

    /// Takes the crashes of a refused cause from the causes that are not refused, or have fewer.
    ///
    /// A stream that a crash breaks off goes on at another endpoint, often beside the request that
    /// crashed the first one, and would soon be blamed as well.
    fn discount_explained(&mut self) {
        let refused = self.entries.values().filter(|entry| entry.is_refused());
        let refused: Vec<Vec<CrashId>> =
            refused.map(|entry| entry.record.crashes.clone()).collect();
        for known in refused {
            for entry in self.entries.values_mut() {
                if !entry.is_refused() || entry.record.crashes.len() < known.len() {
                    entry.record.crashes.retain(|crash| !known.contains(crash));
                }
            }
        }
        self.entries.retain(|_, entry| !entry.record.crashes.is_empty());
    }

    /// Forgets the causes that are not refused and are old, and the oldest ones of a full table.
    fn evict(&mut self, now: Time) {
        if self.entries.len() <= MAX_CAUSES {
            return;
        }
        self.entries
            .retain(|_, entry| entry.is_refused() || now.since(entry.crashed_at) < CAUSE_TTL);
        let mut by_age: Vec<(bool, Time, Cause)> = self
            .entries
            .iter()
            .map(|(cause, entry)| (entry.is_refused(), entry.crashed_at, *cause))
            .collect();
        by_age.sort_unstable();
        let excess = self.entries.len().saturating_sub(MAX_CAUSES);
        for (_, _, cause) in by_age.into_iter().take(excess) {
            self.entries.remove(&cause);
        }
    }

    /// Returns the records of the refused causes, at most [`MAX_REFUSED`] of those with the latest
    /// crashes.
    pub fn refused(&self) -> Vec<CrashRecord> {
        let mut refused: Vec<&Entry> =
            self.entries.values().filter(|entry| entry.is_refused()).collect();
        refused.sort_by_key(|entry| (std::cmp::Reverse(entry.crashed_at), entry.record.cause));
        refused.truncate(MAX_REFUSED);
        refused.into_iter().map(|entry| entry.record.clone()).collect()
    }

    /// Returns the records that another scheduler needs if it takes over now: the refused causes and
    /// the recent ones.
    pub fn handover(&self, now: Time) -> Vec<CrashRecord> {
        let is_recent =
            |entry: &&Entry| !entry.is_refused() && now.since(entry.crashed_at) < RECENT_AGE;
        let recent = self.entries.values().filter(is_recent).map(|entry| entry.record.clone());
        self.refused().into_iter().chain(recent.take(MAX_CAUSES)).collect()
    }

    /// Adds the records of another scheduler.
    pub fn merge(&mut self, records: Vec<CrashRecord>, now: Time) {
        for CrashRecord { cause, crashes } in records {
            self.record(cause, &crashes, now);
        }
        self.discount_explained();
        self.evict(now);
    }

    /// Replaces the refused causes by those of the leader, which alone sees all runs.
    pub fn replace_refused(&mut self, records: Vec<CrashRecord>, now: Time) {
        let is_listed = |cause: &Cause| records.iter().any(|record| record.cause == *cause);
        self.entries.retain(|cause, entry| !entry.is_refused() || is_listed(cause));
        self.merge(records, now);
    }
}
