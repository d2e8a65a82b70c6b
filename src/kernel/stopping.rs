//! Decides how long an instance that was told to stop still accepts new requests.

use std::time::Duration;

/// Fraction of the time from the signal to the end of the process for which new requests are
/// accepted, since callers keep the list of instance addresses for a while and still send requests
/// to this instance. A request that is accepted later could be cut off by the end of the process.
const ACCEPT_FRACTION: f64 = 0.35;

/// Returns whether a request that arrives `elapsed` after the signal is accepted; `grace` is the
/// time from the signal to the end of the process.
pub fn accepts_new(elapsed: Duration, grace: Duration) -> bool {
    elapsed < grace.mul_f64(ACCEPT_FRACTION)
}
