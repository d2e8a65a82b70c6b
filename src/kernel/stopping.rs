//! How long an instance that was told to stop takes new requests.

use std::time::Duration;

/// Part of the time to the end for which new requests are taken, since callers keep the
/// directory's answer for a while. What is taken later could be cut by the end.
const TAKE_PART: f64 = 0.35;

/// Returns whether a request that comes `elapsed` after the signal is taken; the process has `grace`
/// from the signal to its end.
pub fn takes_new(elapsed: Duration, grace: Duration) -> bool {
    elapsed < grace.mul_f64(TAKE_PART)
}
