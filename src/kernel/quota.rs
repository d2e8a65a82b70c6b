//! Token buckets of teams on one instance.

use std::time::Duration;

use crate::clock::Time;

/// What to do with a request that costs tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Charge {
    /// The tokens are taken.
    Taken,
    /// The tokens will be there after this time if nobody else takes them.
    Wait(Duration),
    /// The request costs more than the bucket can ever hold.
    Never,
}

/// A token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket, as of an instance that just started.
    pub fn empty(rate: f64, burst: f64, now: Time) -> Self {
        Self { rate, burst, level: 0.0, at: now }
    }

    /// Takes `tokens` if they are there.
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

    /// Gives back tokens that a request did not use.
    pub fn give_back(&mut self, tokens: f64, now: Time) {
        self.refill(now);
        self.level = (self.level + tokens).min(self.burst);
    }

    /// Takes tokens out, down to none.
    pub fn take_out(&mut self, tokens: f64, now: Time) {
        self.refill(now);
        self.level = (self.level - tokens).max(0.0);
    }

    /// Changes rate and burst, and never adds tokens.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Returns the tokens that are there.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.level
    }

    fn refill(&mut self, now: Time) {
        let gained = self.rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + gained).min(self.burst);
        self.at = self.at.max(now);
    }
}

/// Time over which the demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(2_000);

/// Tokens a second that were asked for, as a moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    at: Time,
}

impl Demand {
    /// Counts the tokens of a request.
    pub fn add(&mut self, tokens: f64, now: Time) {
        self.rate = self.rate(now) + tokens / DEMAND_WINDOW.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Returns the average.
    pub fn rate(&self, now: Time) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.rate * (-passed / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}
