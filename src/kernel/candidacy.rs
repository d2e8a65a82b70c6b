//! Computes how long an instance waits before it tries to become leader.
//!
//! Without the wait, all instances would write to the store at once when the leader is lost. In a
//! rolling restart, each new leader could also be the next instance to stop, and engines would
//! receive no orders for a long time.

use std::time::Duration;

/// Longest random part of the wait, which keeps equal instances from writing at the same time.
const MAX_RANDOM_WAIT: Duration = Duration::from_millis(120);

/// Additional wait of the weakest instance, so that a stronger one becomes leader where there is
/// one.
const MAX_WEAKNESS_WAIT: Duration = Duration::from_millis(400);

/// Additional wait of an instance that has run for a long time.
const LONG_RUNNING_WAIT: Duration = Duration::from_millis(130);

/// Age from which an instance counts as running for a long time. A rolling restart stops such
/// instances next, while younger ones were just restarted.
const LONG_RUNNING_AGE: Duration = Duration::from_secs(25);

/// Candidates that may wait at most [`MAX_RANDOM_WAIT`] together. While the first one writes the leader's
/// record, about 30 ms with a remote store, a quarter of them also write, which the store bears.
const CANDIDATES_PER_WAIT: usize = 32;

/// Longest random part of the wait in any fleet.
const MAX_SPREAD: Duration = Duration::from_secs(2);

/// Returns how long a candidate waits before it tries to become leader.
///
/// `weakness` lies between 0, for an instance that is strong enough to lead a large fleet, and 1.
/// `age` is the time since the start of the process, and `draw` is a random number between 0 and 1.
/// `candidates` is the number of instances that may be candidates at the same time: the more there are,
/// the longer is the longest wait, while the shortest of all stays about the same.
pub fn candidate_wait(weakness: f64, age: Duration, draw: f64, candidates: usize) -> Duration {
    let age_wait = if age >= LONG_RUNNING_AGE { LONG_RUNNING_WAIT } else { Duration::ZERO };
    let crowding = candidates as f64 / CANDIDATES_PER_WAIT as f64;
    let spread = MAX_RANDOM_WAIT.mul_f64(crowding.max(1.0)).min(MAX_SPREAD);
    // A weak instance waits longer than most strong ones also where these are spread over more time.
    let weakness_wait = MAX_WEAKNESS_WAIT + (spread - MAX_RANDOM_WAIT);
    spread.mul_f64(draw) + weakness_wait.mul_f64(weakness) + age_wait
}
