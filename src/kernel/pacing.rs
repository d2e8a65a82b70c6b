//! Spreads the bulk output of an instance over time.
//!
//! A leader sends its whole state to each instance that joins. Where many join at once, these bytes
//! would fill the queue of its network link, and its calls to the store and its grants would wait
//! behind them until its lease ends.

use std::time::Duration;

use crate::clock::Time;

/// Assigns send times to bulk messages, so that together they keep to a rate.
#[derive(Clone, Copy, Debug)]
pub struct OutputPacer {
    /// Bytes a second.
    rate: f64,
    /// When all messages so far will have been sent at this rate.
    free_at: Time,
}

impl OutputPacer {
    /// Creates a pacer for `rate` bytes a second. A rate of zero sets no limit.
    pub fn new(rate: f64) -> Self {
        Self { rate, free_at: Time::default() }
    }

    /// Reserves output for a message of `bytes` and returns how long to wait before it is sent.
    pub fn reserve(&mut self, bytes: usize, now: Time) -> Duration {
        if self.rate <= 0.0 {
            return Duration::ZERO;
        }
        let send_at = self.free_at.max(now);
        self.free_at = send_at + Duration::from_secs_f64(bytes as f64 / self.rate);
        send_at.since(now)
    }
}
