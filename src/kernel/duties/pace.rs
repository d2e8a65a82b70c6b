//! Rate of duty calls.

use std::time::Duration;

use crate::clock::Time;

/// Fraction of the allowed rate that is used. The rest covers calls that arrive closer together than
/// they were sent.
const RATE_FRACTION: f64 = 0.8;

/// Shortest wait after a call that failed.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest wait after calls that failed. A report is due ten seconds after its window, so a platform
/// that is back must be noticed within a fraction of that.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Decides when the next duty call may be sent.
#[derive(Clone, Debug)]
pub struct CallPace {
    interval: Duration,
    next_at: Time,
    backoff: Duration,
}

impl CallPace {
    /// Creates the pace of at most `rate` calls a second.
    pub fn new(rate: f64) -> Self {
        let interval = Duration::from_secs_f64(1.0 / (rate * RATE_FRACTION).max(0.01));
        Self { interval, next_at: Time::default(), backoff: MIN_BACKOFF }
    }

    /// Returns when the next call may be sent.
    pub fn next_at(&self) -> Time {
        self.next_at
    }

    /// Returns when the next call may be sent, and plans it for then.
    pub fn reserve(&mut self, now: Time) -> Time {
        let at = self.next_at.max(now);
        self.next_at = at + self.interval;
        at
    }

    /// Records that a call is sent.
    pub fn record_call(&mut self, now: Time) {
        self.next_at = now + self.interval;
    }

    /// Records whether the platform accepted the last call.
    pub fn record_result(&mut self, accepted: bool, now: Time) {
        if accepted {
            self.backoff = MIN_BACKOFF;
            return;
        }
        self.next_at = self.next_at.max(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
