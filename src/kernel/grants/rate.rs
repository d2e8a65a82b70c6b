//! Rate of one team in tokens.

use std::time::Duration;

use crate::{catalog::Team, clock::Time};

/// Part by which a team's rate is exceeded, so that no request within it is refused.
const RATE_EXCESS: f64 = 0.08;

/// Part by which a team's burst is exceeded.
const BURST_EXCESS: f64 = 0.05;

/// Part of the platform's slack that is used; the rest covers one large request.
const SLACK_PART: f64 = 0.6;

/// Seconds of the rate that should be there when a refused caller comes back.
const READY_PART: f64 = 0.05;

/// Part of a team's burst up to which a request counts as small.
const SMALL_PART: f64 = 0.004;

/// Part of a team's burst that only small requests may use, which hardly lower it.
const RESERVE_PART: f64 = 0.15;

/// Tokens that a team may use now.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    at: Time,
}

/// How much of a team's rate a bucket gives out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Portion {
    /// Part of the rate and the burst.
    pub share: f64,
    /// Tokens beyond the burst that the platform tolerates in a window.
    pub slack: f64,
}

impl Portion {
    fn rate(&self, team: &Team) -> f64 {
        team.rate * self.share * (1.0 + RATE_EXCESS)
    }

    fn cap(&self, team: &Team) -> f64 {
        (team.burst * (1.0 + BURST_EXCESS) + self.slack * SLACK_PART) * self.share
    }
}

impl TokenBucket {
    /// Creates a bucket that holds `part` of the team's burst.
    pub fn new(team: &Team, portion: Portion, part: f64, now: Time) -> Self {
        Self { tokens: team.burst * portion.share * part, at: now }
    }

    /// Takes tokens, or says when they will be there.
    ///
    /// With the whole rate a request may take more than is there, and later ones wait until that has
    /// come back: large requests would otherwise lose to small ones wherever a team is near its
    /// rate. With a part of it the rest must be there, since the other parts may lend as well.
    pub fn take(
        &mut self,
        team: &Team,
        portion: Portion,
        tokens: u64,
        now: Time,
    ) -> Result<(), Duration> {
        if team.rate <= 0.0 {
            return Ok(());
        }
        let need = tokens as f64;
        self.fill(team, portion, need, now);
        let small = need <= team.burst * SMALL_PART;
        let least = match small {
            true => -team.burst * portion.share * RESERVE_PART,
            false => need * (1.0 - portion.share),
        };
        if self.tokens <= least {
            let missing = least - self.tokens + portion.rate(team) * READY_PART;
            return Err(Duration::from_secs_f64(missing / portion.rate(team)));
        }
        self.tokens -= need;
        Ok(())
    }

    /// Takes the tokens of a request that runs once more, whether they are there or not.
    pub fn owe(&mut self, team: &Team, portion: Portion, tokens: u64, now: Time) {
        self.fill(team, portion, 0.0, now);
        self.tokens -= tokens as f64;
    }

    /// Adds what the rate has brought; what a request needs can always be saved up.
    fn fill(&mut self, team: &Team, portion: Portion, need: f64, now: Time) {
        let added = portion.rate(team) * now.since(self.at).as_secs_f64();
        let saved = (self.tokens + added).min(portion.cap(team).max(need));
        self.tokens = saved;
        self.at = now;
    }

    /// Gives back the tokens of a request that did not run.
    pub fn give_back(&mut self, tokens: u64) {
        self.tokens += tokens as f64;
    }
}
