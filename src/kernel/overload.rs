//! What a leader does with requests of its peers while its decisions fall behind.
//!
//! The load that this handles: more frames arrive than the leader's processor can handle. Frames then
//! wait in the links, and a request that waited there is decided later than its caller has use for. Such
//! a request is refused at once, which costs a fraction of a decision, so that the leader catches up and
//! keeps the lead. The refusal is true, since the request has not run.

use std::time::Duration;

use crate::clock::Time;

/// Fraction of the time until the response is due that a request may wait for its decision. The rest is
/// needed to run it.
const MAX_AGE_FRACTION: f64 = 0.5;

/// Least age from which requests are refused, since ages below are within the usual delays of links and
/// processors.
const MIN_SHED_AGE: Duration = Duration::from_millis(100);

/// Bounds of the time after which a refused caller is asked to retry.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(4));

/// Factor from the age of a request to the time after which its caller is asked to retry, so that the
/// leader has caught up by then.
const RETRY_FACTOR: u32 = 2;

/// Measures how long the frames of a link wait until they are handled.
///
/// The clocks of two instances have nothing in common, so the age of a frame is bounded by the time for
/// which the link has not been found empty. Once requests are refused, the link soon is empty, and the
/// next requests are decided again.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkBacklog {
    /// When the first frame was handled since no frame waited.
    busy_since: Option<Time>,
}

impl LinkBacklog {
    /// Records that no frame waits.
    pub fn record_empty(&mut self) {
        self.busy_since = None;
    }

    /// Records that a frame is handled now. Returns an upper bound of its age.
    pub fn record_frame(&mut self, now: Time) -> Duration {
        now.since(*self.busy_since.get_or_insert(now))
    }
}

/// What the leader does with a request of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// The scheduler decides.
    Decide,
    /// The request is refused, since it was not decided in time. A retry is worthwhile after this time.
    Shed(Duration),
}

/// Returns what the leader does with a request that has waited for `age`. Its response is due at `due`,
/// and of no use after `deadline`; only the deadline counts for a request that was late when it was sent.
pub fn intake(age: Duration, due: Time, deadline: Time, now: Time) -> Intake {
    let (to_due, left) = (due.since(now), deadline.since(now));
    let limit = if to_due.is_zero() { left } else { to_due.min(left) };
    match age <= limit.mul_f64(MAX_AGE_FRACTION).max(MIN_SHED_AGE) {
        true => Intake::Decide,
        false => Intake::Shed((age * RETRY_FACTOR).clamp(RETRY_RANGE.0, RETRY_RANGE.1)),
    }
}
