//! The limit of the request rate that an endpoint names, and what is left of it.

use std::time::Duration;

use crate::clock::Time;

/// Period whose requests may be sent at once.
const BURST_PERIOD: Duration = Duration::from_secs(1);

/// Lower bound of a limit, in requests a second. Only a response shows that a limit has ended, so an
/// endpoint that takes none gets a request now and then.
const MIN_RATE: f64 = 0.1;

/// Limit of the request rate of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimit {
    /// Requests a second from all instances together.
    rate: f64,
    /// Requests that may be sent now.
    tokens: f64,
    /// When tokens were last added.
    updated_at: Time,
    /// When the limit became known.
    known_since: Time,
}

impl RequestLimit {
    /// Creates a limit of `rate` requests a second, as the endpoint named it. The requests that the
    /// endpoint got before count as the first ones, so that none is left now.
    pub fn new(rate: f64, now: Time) -> Self {
        Self { rate, tokens: 0.0, updated_at: now, known_since: now }
    }

    /// Returns the limit in requests a second, as the endpoint named it.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns whether the limit was known at `sent_at`. The response to a request that was sent before
    /// may be older than the limit, and does not show that it has ended.
    pub fn was_known(&self, sent_at: Time) -> bool {
        sent_at >= self.known_since
    }

    /// Changes the limit.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Returns the requests a second that a `share` of the instances may send.
    pub fn usable_rate(&self, share: f64) -> f64 {
        self.rate.max(MIN_RATE) * share
    }

    /// Returns the time until a `share` of the instances may send the next request.
    pub fn wait(&self, share: f64, now: Time) -> Duration {
        let missing = (1.0 - self.tokens_at(share, now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.usable_rate(share)).unwrap_or(Duration::MAX)
    }

    /// Returns whether a `share` of the instances may send a request now.
    pub fn allows(&self, share: f64, now: Time) -> bool {
        self.wait(share, now).is_zero()
    }

    /// Counts a request. One that another scheduler has granted may exceed this one's share.
    pub fn take(&mut self, share: f64, now: Time) {
        self.tokens = (self.tokens_at(share, now) - 1.0).max(0.0);
        self.updated_at = now;
    }

    fn tokens_at(&self, share: f64, now: Time) -> f64 {
        let rate = self.usable_rate(share);
        let capacity = (rate * BURST_PERIOD.as_secs_f64()).max(1.0);
        (self.tokens + rate * now.since(self.updated_at).as_secs_f64()).min(capacity)
    }
}
