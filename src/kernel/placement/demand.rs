//! Demand for a model as moving averages.

use std::time::Duration;

use crate::clock::Time;

/// Time constant of the average that follows bursts.
const FAST_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Time constant of the average that outlasts pauses between bursts.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(300);

/// Tokens a second, as a fast and a slow moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Averages {
    fast: f64,
    slow: f64,
    at: Time,
}

impl Averages {
    /// Counts a request of so many tokens.
    pub fn record(&mut self, tokens: u64, now: Time) {
        self.fast = self.fast(now) + tokens as f64 / FAST_TIME_CONSTANT.as_secs_f64();
        self.slow = self.slow(now) + tokens as f64 / SLOW_TIME_CONSTANT.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Returns the average that follows bursts, in tokens a second.
    pub fn fast(&self, now: Time) -> f64 {
        self.fast * decay(now.since(self.at), FAST_TIME_CONSTANT)
    }

    /// Returns the average that outlasts pauses, in tokens a second.
    pub fn slow(&self, now: Time) -> f64 {
        self.slow * decay(now.since(self.at), SLOW_TIME_CONSTANT)
    }
}

fn decay(elapsed: Duration, constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp()
}
