//! Rate of one team in tokens.

use std::time::Duration;

use crate::{catalog::Team, clock::Time};

/// Part by which a team's rate is exceeded, so that no request within it is refused.
const RATE_EXCESS: f64 = 0.03;

/// Part of the platform's slack that is used.
const SLACK_PART: f64 = 0.5;

/// Tokens that a team may use now.
#[derive(Clone, Debug)]
pub struct Bucket {
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
        (team.burst + self.slack * SLACK_PART) * self.share
    }
}

impl Bucket {
    /// Creates a bucket that holds `part` of the team's burst.
    pub fn new(team: &Team, portion: Portion, part: f64, now: Time) -> Self {
        Self { tokens: team.burst * portion.share * part, at: now }
    }

    /// Takes tokens, or says when they will be there.
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
        self.fill(team, portion, tokens, now);
        let missing = tokens as f64 - self.tokens;
        if missing > 0.0 {
            return Err(Duration::from_secs_f64(missing / portion.rate(team)));
        }
        self.tokens -= tokens as f64;
        Ok(())
    }

    /// Takes the tokens of a request that runs once more, whether they are there or not.
    pub fn owe(&mut self, team: &Team, portion: Portion, tokens: u64, now: Time) {
        self.fill(team, portion, tokens, now);
        self.tokens -= tokens as f64;
    }

    /// Adds what the rate has brought; a request larger than the burst can still be saved up for.
    fn fill(&mut self, team: &Team, portion: Portion, tokens: u64, now: Time) {
        let added = portion.rate(team) * now.since(self.at).as_secs_f64();
        let cap = portion.cap(team).max(tokens as f64);
        self.tokens = (self.tokens + added).min(cap);
        self.at = now;
    }

    /// Gives back the tokens of a request that did not run.
    pub fn give_back(&mut self, tokens: u64) {
        self.tokens += tokens as f64;
    }
}
