//! Token buckets and the average demand of a team on one instance.
//!
//! Admission charges each request to the token bucket of its team. The planner uses a token bucket
//! to limit the rate of model loads.

use std::time::Duration;

use crate::clock::Time;

/// The outcome of an attempt to take tokens from a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Charge {
    /// The tokens were taken.
    Taken,
    /// The bucket holds too few tokens, and will hold enough after this time if nobody takes any.
    Wait(Duration),
    /// The bucket can never hold this many tokens.
    Never,
}

/// A token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Largest number of tokens that the bucket holds.
    burst: f64,
    /// Tokens in the bucket at `refilled_at`.
    level: f64,
    /// When `level` was last computed.
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket, so that an instance that just started has no tokens to spend.
    pub fn empty(rate: f64, burst: f64, now: Time) -> Self {
        Self { rate, burst, level: 0.0, refilled_at: now }
    }

    /// Takes `tokens` if the bucket holds at least that many.
    pub fn charge(&mut self, tokens: f64, now: Time) -> Charge {
        self.refill(now);
        if tokens <= self.level {
            self.level -= tokens;
            return Charge::Taken;
        }
        if tokens > self.burst || self.rate <= 0.0 {
            return Charge::Never;
        }
        Charge::Wait(Duration::from_secs_f64((tokens - self.level) / self.rate))
    }

    /// Returns tokens that a request did not use to the bucket, up to its burst.
    pub fn refund(&mut self, tokens: f64, now: Time) {
        self.refill(now);
        self.level = (self.level + tokens).min(self.burst);
    }

    /// Removes tokens without a request, and leaves the bucket empty if it holds fewer.
    pub fn remove(&mut self, tokens: f64, now: Time) {
        self.refill(now);
        self.level = (self.level - tokens).max(0.0);
    }

    /// Changes the rate and the burst without adding tokens.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Returns the number of tokens in the bucket at `now`.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.level
    }

    /// Adds the tokens gained since the last refill. If `now` lies before that refill, no tokens are
    /// added.
    fn refill(&mut self, now: Time) {
        let gained = self.rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(2_000);

/// An exponential moving average of the tokens requested per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandAverage {
    /// Average at `updated_at`, in tokens per second.
    rate: f64,
    /// When a request was last recorded.
    updated_at: Time,
}

impl DemandAverage {
    /// Records the tokens of a request.
    pub fn record(&mut self, tokens: f64, now: Time) {
        self.rate = self.rate(now) + tokens / DEMAND_WINDOW.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the average at `now`, in tokens per second.
    pub fn rate(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}
