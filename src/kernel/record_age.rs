//! Decides when an instance reads the records of the platform's store itself.
//!
//! Most instances learn the records from the leader. What the leader tells is as old as the last
//! response that the leader got from the store. An instance for which that is too old reads the
//! store itself, so that a confirmed change is in force in time whatever happens to the leader.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Time;

/// Age above which an instance reads the operators' records itself: half of the time in which a
/// confirmed change must be in force. The rest is for reading them.
pub const MAX_OPERATOR_AGE: Duration = Duration::from_millis(1_000);

/// Fraction of the drain time for which an instance relies on a table that the leader has told. The
/// rest is for reading the store.
const TABLE_AGE_FRACTION: f64 = 0.5;

/// Time of the store for reading the records for one instance.
const READ_TIME: Duration = Duration::from_millis(1);

/// Longest wait of a watch call. Open connections may fall silent while other calls still get responses,
/// so only the watch's own responses show that it lives, and a withdrawn key must be refused within 5 s.
/// Instances that watch beside the leader wait no longer: one that becomes leader in the middle of a long
/// wait would count as silent, and all others would read the store.
pub const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Age of a watch's last own response above which its connection counts as silent. The rest beyond
/// [`WATCH_WAIT`] is for a store that responds slowly.
const MAX_WATCH_AGE: Duration = Duration::from_millis(2_600);

/// When this instance last heard from the store itself that it knows the newest records, by what it
/// watches. The responses to other calls, also to other watches, say nothing about that.
#[derive(Debug, Default)]
pub struct WatchTimes {
    operator: AtomicU64,
    endpoints: AtomicU64,
}

impl WatchTimes {
    /// Records that the operators' records were the newest ones at `at`.
    pub fn record_operator(&self, at: Time) {
        self.operator.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Records that the endpoints' entries were the newest ones at `at`.
    pub fn record_endpoints(&self, at: Time) {
        self.endpoints.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Returns the age of what this instance knows, if the store last carried out any of its calls
    /// `contact` ago. While its watches live, that is the age; the age of a silent watch is its own.
    pub fn source_age(&self, contact: Duration, now: Time) -> Duration {
        let age = self.age(now);
        if age > MAX_WATCH_AGE { age } else { contact.min(age) }
    }

    /// Returns the age of what this instance has read of the endpoints itself.
    pub fn endpoints_age(&self, now: Time) -> Duration {
        now.since(Time(self.endpoints.load(Ordering::Relaxed)))
    }

    /// Returns the age of the older of both watches.
    pub fn age(&self, now: Time) -> Duration {
        let (operator, endpoints) = (&self.operator, &self.endpoints);
        now.since(Time(operator.load(Ordering::Relaxed).min(endpoints.load(Ordering::Relaxed))))
    }
}

/// When the source of an instance's records last heard from the store that it knows the newest ones: the
/// leader, as far as its heartbeats say.
#[derive(Debug)]
pub struct RecordAge {
    /// The time in microseconds, see [`Time`].
    responded_at: AtomicU64,
}

impl RecordAge {
    /// Creates the age of an instance that starts at `now` and waits for its first leader.
    pub fn new(now: Time) -> Self {
        Self { responded_at: AtomicU64::new(now.0) }
    }

    /// Records a heartbeat of the leader, which says how old what it knows is.
    pub fn record(&self, response_age: Duration, now: Time) {
        self.responded_at.fetch_max((now - response_age).0, Ordering::Relaxed);
    }

    /// Returns the age of what this instance knows.
    pub fn get(&self, now: Time) -> Duration {
        now.since(Time(self.responded_at.load(Ordering::Relaxed)))
    }
}

/// Largest fleet whose instances all read the endpoints as soon as they lack a leader. There the store
/// lists the endpoints for all of them within some hundred milliseconds.
const SMALL_FLEET: usize = 96;

/// Time after its start for which an instance of a small fleet expects a link to the leader before it reads
/// the store.
const START_TIMEOUT: Duration = Duration::from_millis(500);

/// Time within which a large fleet has a new leader, if the store responds: the lease of the old one ends
/// after 1.5 s, and the instances join within another 1.5 s.
const LEADER_CHANGE_TIME: Duration = Duration::from_secs(3);

/// Time of the store for listing all endpoints for one instance of a large fleet: 3,000 entries are about
/// 1.5 MB.
const LIST_TIME: Duration = Duration::from_millis(10);

/// Fraction of the drain time after which an instance of a large fleet no longer grants requests by a
/// table that it has not heard of since. The rest is for the leader's updates, which it collects, and for
/// the leader's own table, which may be a tenth of the drain time old besides: 0.75 + 0.1 stays below 1.
const LONE_FRACTION: f64 = 0.75;

/// Time for which all calls to the store have failed after which an instance grants requests by an old
/// table. A store that a large fleet calls after the loss of its leader may fail some calls, but responds
/// within this time. If it is down, neither it nor a new leader can tell the endpoints.
const STORE_LOSS_TIME: Duration = Duration::from_secs(3);

/// Longest time between two failed calls that count as one loss of the store. An instance whose records
/// are old calls the store more often; a call that failed before that time says nothing of the present.
const MAX_FAILURE_GAP: Duration = Duration::from_secs(5);

/// Calls to the store that failed since it last responded.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFailures {
    /// When the first and the last of them failed.
    span: Option<(Time, Time)>,
}

impl CallFailures {
    /// Records that a call failed.
    pub fn record_failure(&mut self, now: Time) {
        let former = self.span.filter(|(_, last)| now.since(*last) <= MAX_FAILURE_GAP);
        self.span = Some((former.map_or(now, |(first, _)| first), now));
    }

    /// Records that the store carried out a call.
    pub fn record_response(&mut self) {
        self.span = None;
    }

    /// Returns the time from the first to the last failed call.
    pub fn failing_time(&self, now: Time) -> Duration {
        let present = self.span.filter(|(_, last)| now.since(*last) <= MAX_FAILURE_GAP);
        present.map_or(Duration::ZERO, |(first, last)| last.since(first))
    }
}

/// Longest wait after a watch call as a fraction of the drain time. With the watch call itself, the table
/// stays younger than [`LONE_FRACTION`] of the drain time while the watch works.
const WATCH_DELAY_FRACTION: f64 = 0.25;

/// Instances of a large fleet that do not wait for a new leader before they read the endpoints.
const EARLY_READERS: f64 = 16.0;

/// Time of the store for a watch call of one instance of a large fleet.
const WATCH_CALL_TIME: Duration = Duration::from_millis(2);

/// What an instance does with requests while it has no leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoneStep {
    /// Grants requests by the table as it is.
    Grant,
    /// Defers requests until a new leader or the store has told it the endpoints. In a large fleet a new
    /// leader is sooner than the store can list the endpoints for all instances.
    Defer,
}

/// Decides whether an instance without a leader grants requests. The table was up to date `age` ago, and
/// an endpoint that drains gets no more requests after `drain_time`. That does not bind an instance whose
/// calls to the store have all failed for `store_failing`, if that is long: it would refuse all requests for
/// as long as the store is down.
pub fn lone_step(
    age: Duration,
    store_failing: Duration,
    drain_time: Duration,
    fleet_size: usize,
) -> LoneStep {
    let is_old = fleet_size > SMALL_FLEET && age > drain_time.mul_f64(LONE_FRACTION);
    match is_old && store_failing < STORE_LOSS_TIME {
        true => LoneStep::Defer,
        false => LoneStep::Grant,
    }
}

/// Returns the time after its start at which `instance` reads the records and the endpoints itself if it
/// has had no link to a leader. A failed attempt to open the link, which shows that the old leader has ended
/// too, shortens the wait in a small fleet.
pub fn first_read_wait(instance: &str, fleet_size: usize, has_failed: bool) -> Duration {
    match may_read_early(instance, fleet_size) {
        false => LEADER_CHANGE_TIME + list_wait(instance, fleet_size),
        true if has_failed => Duration::ZERO,
        true => START_TIMEOUT,
    }
}

/// Returns the age of the table of endpoints above which `instance` reads it itself. In a large fleet a
/// new leader is sooner, and until then [`lone_step`] guards the endpoints that drain.
pub fn max_table_age(drain_time: Duration, instance: &str, fleet_size: usize) -> Duration {
    match may_read_early(instance, fleet_size) {
        false => LEADER_CHANGE_TIME + list_wait(instance, fleet_size),
        true => max_record_age(drain_time.mul_f64(TABLE_AGE_FRACTION), instance, fleet_size),
    }
}

/// Returns the wait after a watch call about endpoints, so that the next one returns several changes at
/// once: `least`, and more where all instances of a large fleet may watch.
pub fn watch_delay(least: Duration, drain_time: Duration, fleet_size: usize) -> Duration {
    if fleet_size <= SMALL_FLEET {
        return least;
    }
    let delay = WATCH_CALL_TIME * fleet_size as u32;
    least.max(delay.min(drain_time.mul_f64(WATCH_DELAY_FRACTION)))
}

/// Returns whether an instance reads the endpoints as soon as it lacks a leader: all of a small fleet, and
/// some of a large one, which serve callers until there is a leader.
fn may_read_early(instance: &str, fleet_size: usize) -> bool {
    fleet_size <= SMALL_FLEET || position(instance) * (fleet_size as f64) < EARLY_READERS
}

/// Returns the wait of `instance` for those that list the endpoints before it.
fn list_wait(instance: &str, fleet_size: usize) -> Duration {
    (LIST_TIME * fleet_size as u32).mul_f64(position(instance))
}

/// Returns the place of an instance in the order in which instances read, from 0 to 1.
fn position(instance: &str) -> f64 {
    xxh3_64(instance.as_bytes()) as f64 / u64::MAX as f64
}

/// Returns the age above which `instance` reads records itself: `max_age`, and more in a large
/// fleet, whose instances read one after the other.
pub fn max_record_age(max_age: Duration, instance: &str, fleet_size: usize) -> Duration {
    max_age + reading_time(fleet_size).mul_f64(position(instance))
}

/// Returns the wait before an instance reads records again after an error: `backoff`, and more in a
/// large fleet. `draw` is a random number between 0 and 1.
pub fn read_backoff(backoff: Duration, fleet_size: usize, draw: f64) -> Duration {
    backoff.max(reading_time(fleet_size)).mul_f64(0.5 + draw)
}

/// Returns the time in which all instances of a fleet read records.
fn reading_time(fleet_size: usize) -> Duration {
    READ_TIME * fleet_size as u32
}
