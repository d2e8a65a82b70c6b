//! Rate of one team in tokens.

use std::time::Duration;

use crate::{catalog::Team, clock::Time};

/// Tokens that a team may use now.
#[derive(Clone, Debug)]
pub struct Bucket {
    tokens: f64,
    at: Time,
}

impl Bucket {
    /// Creates a bucket that holds `part` of the team's burst.
    pub fn new(team: &Team, part: f64, now: Time) -> Self {
        Self { tokens: team.burst * part, at: now }
    }

    /// Takes tokens, or says when they will be there; `share` is the part of the rate in use here.
    pub fn take(
        &mut self,
        team: &Team,
        share: f64,
        tokens: u64,
        now: Time,
    ) -> Result<(), Duration> {
        if team.rate <= 0.0 {
            return Ok(());
        }
        let rate = team.rate * share;
        let cap = (team.burst * share).max(tokens as f64);
        self.tokens = (self.tokens + rate * now.since(self.at).as_secs_f64()).min(cap);
        self.at = now;
        let missing = tokens as f64 - self.tokens;
        if missing > 0.0 {
            return Err(Duration::from_secs_f64(missing / rate));
        }
        self.tokens -= tokens as f64;
        Ok(())
    }

    /// Gives back the tokens of a request that did not run.
    pub fn give_back(&mut self, tokens: u64) {
        self.tokens += tokens as f64;
    }
}
