//! How long an instance waits before it stands for leader.
//!
//! Where the leader is gone all instances would write to the store at once, and in a rolling restart
//! each new leader could be the next one to stop, so that no engine is given orders for long.

use std::time::Duration;

/// Longest part of the wait that is drawn at random.
const RANDOM_WAIT: Duration = Duration::from_millis(120);

/// Wait of the weakest machine, so that a strong one leads where there is any.
const WEAK_WAIT: Duration = Duration::from_millis(400);

/// Wait of an instance that has run for long.
const OLD_WAIT: Duration = Duration::from_millis(130);

/// Time after which an instance counts as having run for long; a rolling restart reaches those next.
const OLD_AGE: Duration = Duration::from_secs(25);

/// Returns the wait of a candidate.
///
/// `weakness` lies between 0 and 1, and so does `draw`, a random number; `age` is the time since
/// the start of the process.
pub fn candidate_wait(weakness: f64, age: Duration, draw: f64) -> Duration {
    let old = if age >= OLD_AGE { OLD_WAIT } else { Duration::ZERO };
    RANDOM_WAIT.mul_f64(draw) + WEAK_WAIT.mul_f64(weakness) + old
}
