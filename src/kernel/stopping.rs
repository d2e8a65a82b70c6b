//! Decides how long an instance that was told to stop still accepts new requests.

use std::time::Duration;

/// Fraction of the time from the signal to the end of the process for which new requests are
/// accepted, since callers keep the list of instance addresses for a while and still send requests
/// to this instance. A request that is accepted later could be cut off by the end of the process.
const ACCEPT_FRACTION: f64 = 0.35;

/// Fraction of the same time after which no accepted request is sent to an endpoint any more: its answer
/// could be cut off, while its caller can go to another instance.
const SEND_FRACTION: f64 = 0.7;

/// Returns the time that is left to send accepted requests to endpoints, `elapsed` after the signal.
pub fn send_time_left(elapsed: Duration, grace: Duration) -> Duration {
    grace.mul_f64(SEND_FRACTION).saturating_sub(elapsed)
}

/// Returns whether a request that arrives `elapsed` after the signal is accepted; `grace` is the
/// time from the signal to the end of the process.
pub fn accepts_new(elapsed: Duration, grace: Duration) -> bool {
    elapsed < grace.mul_f64(ACCEPT_FRACTION)
}
