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

/// Returns the age above which `instance` reads records itself: `max_age`, and more in a large
/// fleet, whose instances read one after the other.
pub fn max_record_age(max_age: Duration, instance: &str, fleet_size: usize) -> Duration {
    let position = xxh3_64(instance.as_bytes()) as f64 / u64::MAX as f64;
    max_age + reading_time(fleet_size).mul_f64(position)
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
