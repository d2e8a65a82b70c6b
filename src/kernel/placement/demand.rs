//! Demand for a model as moving averages over its requests.
//!
//! Entry instances record the requests and send the averages in their digests to the planner.

use std::time::Duration;

use crate::clock::Time;

/// Time constant of the fast average, which follows bursts.
const FAST_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Time constant of the slow average, which outlasts pauses between bursts.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(300);

/// Demand in tokens a second, as a fast and a slow moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Averages {
    /// Average that follows bursts, at the time of the update.
    fast: f64,
    /// Average that outlasts pauses, at the time of the update.
    slow: f64,
    /// When the latest request was recorded.
    updated_at: Time,
}

impl Averages {
    /// Records a request of this many tokens.
    pub fn record(&mut self, tokens: u64, now: Time) {
        self.fast = self.fast(now) + tokens as f64 / FAST_TIME_CONSTANT.as_secs_f64();
        self.slow = self.slow(now) + tokens as f64 / SLOW_TIME_CONSTANT.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the fast average, which follows bursts, in tokens a second.
    pub fn fast(&self, now: Time) -> f64 {
        self.fast * decay(now.since(self.updated_at), FAST_TIME_CONSTANT)
    }

    /// Returns the slow average, which outlasts pauses, in tokens a second.
    pub fn slow(&self, now: Time) -> f64 {
        self.slow * decay(now.since(self.updated_at), SLOW_TIME_CONSTANT)
    }
}

/// Returns the factor by which an average decays during the elapsed time.
fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
