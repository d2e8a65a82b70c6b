//! Token bucket that limits the rate of one team.

use std::time::Duration;

use crate::{catalog::Team, clock::Time};

/// Fraction by which a bucket exceeds the team's rate, so that no request within the rate is
/// refused.
const RATE_EXCESS_FRACTION: f64 = 0.08;

/// Fraction by which a bucket exceeds the team's burst.
const BURST_EXCESS_FRACTION: f64 = 0.05;

/// Fraction of the slack that a bucket may use; the rest covers one large request.
const SLACK_FRACTION: f64 = 0.6;

/// Seconds of the team's rate that should have accumulated when a refused caller retries.
const RETRY_MARGIN_SECONDS: f64 = 0.05;

/// Fraction of a team's burst up to which a request counts as small.
const SMALL_REQUEST_FRACTION: f64 = 0.004;

/// Fraction of a team's burst that only small requests may use, since they use up little of it.
const RESERVE_FRACTION: f64 = 0.15;

/// Tokens that a team may currently use.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Available tokens; negative while a debt is repaid.
    tokens: f64,
    /// When tokens were last added.
    updated_at: Time,
}

/// Share of a team's rate that one bucket covers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Fraction of the rate and the burst, from 0 to 1.
    pub fraction: f64,
    /// Tokens beyond the burst that the platform tolerates in a window.
    pub slack: f64,
}

impl RateShare {
    /// Returns the tokens a second that are added to the bucket.
    fn rate(&self, team: &Team) -> f64 {
        team.rate * self.fraction * (1.0 + RATE_EXCESS_FRACTION)
    }

    /// Returns the largest number of tokens that the bucket holds.
    fn capacity(&self, team: &Team) -> f64 {
        (team.burst * (1.0 + BURST_EXCESS_FRACTION) + self.slack * SLACK_FRACTION) * self.fraction
    }
}

impl TokenBucket {
    /// Creates a bucket that holds a fraction of the team's burst.
    pub fn new(team: &Team, share: RateShare, fraction: f64, now: Time) -> Self {
        Self { tokens: team.burst * share.fraction * fraction, updated_at: now }
    }

    /// Creates a bucket that holds these tokens; negative for a debt.
    pub fn with_tokens(tokens: f64, now: Time) -> Self {
        Self { tokens, updated_at: now }
    }

    /// Returns the available tokens; negative while a debt is repaid.
    pub fn balance(&mut self, team: &Team, share: RateShare, now: Time) -> f64 {
        self.refill(team, share, 0.0, now);
        self.tokens
    }

    /// Discards tokens that might be used a second time, after the loss of a leader: what it granted to
    /// others in its last second is not known here. What all instances keep together is within the
    /// platform's tolerance, beside what the leader may have used of it.
    pub fn limit_after_loss(&mut self, team: &Team, share: RateShare, now: Time) {
        self.refill(team, share, 0.0, now);
        let slack = share.slack * (1.0 - SLACK_FRACTION);
        let kept = (team.burst * BURST_EXCESS_FRACTION + slack) * share.fraction;
        self.tokens = self.tokens.min(kept);
    }

    /// Adds tokens that another scheduler had and did not use; negative for its debt.
    pub fn add(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Takes tokens, or returns the time until they are available.
    ///
    /// With the whole rate, a request may take more tokens than are available, and later requests
    /// wait until the debt is repaid: otherwise large requests would lose to small ones while a
    /// team is near its rate. With a smaller share, the remainder must be available, since the
    /// other shares may go into debt as well.
    pub fn take(
        &mut self,
        team: &Team,
        share: RateShare,
        tokens: u64,
        now: Time,
    ) -> Result<(), Duration> {
        if team.rate <= 0.0 {
            return Ok(());
        }
        let needed = tokens as f64;
        self.refill(team, share, needed, now);
        let small = needed <= team.burst * SMALL_REQUEST_FRACTION;
        let min_tokens = match small {
            true => -team.burst * share.fraction * RESERVE_FRACTION,
            false => needed * (1.0 - share.fraction),
        };
        if self.tokens <= min_tokens {
            let missing = min_tokens - self.tokens + share.rate(team) * RETRY_MARGIN_SECONDS;
            return Err(Duration::from_secs_f64(missing / share.rate(team)));
        }
        self.tokens -= needed;
        Ok(())
    }

    /// Takes the tokens of a retried request, whether they are available or not.
    pub fn take_unchecked(&mut self, team: &Team, share: RateShare, tokens: u64, now: Time) {
        self.refill(team, share, 0.0, now);
        self.tokens -= tokens as f64;
    }

    /// Adds the tokens accumulated since the last update; the capacity is never below `needed`.
    fn refill(&mut self, team: &Team, share: RateShare, needed: f64, now: Time) {
        let added = share.rate(team) * now.since(self.updated_at).as_secs_f64();
        let tokens = (self.tokens + added).min(share.capacity(team).max(needed));
        self.tokens = tokens;
        self.updated_at = now;
    }

    /// Puts back the tokens of a request that did not run.
    pub fn refund(&mut self, tokens: u64) {
        self.tokens += tokens as f64;
    }
}
