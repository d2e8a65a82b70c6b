//! Demand for a model as moving averages.

use std::time::Duration;

use crate::clock::Time;

/// Time constant of the average that follows bursts.
const FAST: Duration = Duration::from_secs(10);

/// Time constant of the average that outlasts pauses between bursts.
const SLOW: Duration = Duration::from_secs(300);

/// Requests a second, as a fast and a slow moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Averages {
    fast: f64,
    slow: f64,
    at: Time,
}

impl Averages {
    /// Counts a request.
    pub fn count(&mut self, now: Time) {
        self.fast = self.fast(now) + 1.0 / FAST.as_secs_f64();
        self.slow = self.slow(now) + 1.0 / SLOW.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Returns the average that follows bursts, in requests a second.
    pub fn fast(&self, now: Time) -> f64 {
        self.fast * decay(now.since(self.at), FAST)
    }

    /// Returns the average that outlasts pauses, in requests a second.
    pub fn slow(&self, now: Time) -> f64 {
        self.slow * decay(now.since(self.at), SLOW)
    }
}

fn decay(elapsed: Duration, constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp()
}
