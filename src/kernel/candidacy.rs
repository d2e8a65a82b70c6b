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

/// Returns how long a candidate waits before it tries to become leader.
///
/// `weakness` lies between 0, for an instance that is strong enough to lead a large fleet, and 1.
/// `age` is the time since the start of the process, and `draw` is a random number between 0 and 1.
pub fn candidate_wait(weakness: f64, age: Duration, draw: f64) -> Duration {
    let age_wait = if age >= LONG_RUNNING_AGE { LONG_RUNNING_WAIT } else { Duration::ZERO };
    MAX_RANDOM_WAIT.mul_f64(draw) + MAX_WEAKNESS_WAIT.mul_f64(weakness) + age_wait
}
