//! Teams' rates, repeats and requests that crash their endpoints.

use std::time::Duration;

use super::{RETRY_RANGE, Scheduler};
use crate::{
    catalog::Team,
    clock::Time,
    kernel::{
        grants::{GrantRequest, Portion, Reason, Refusal, TokenBucket},
        suspect::RunMode,
    },
};

/// Part of a team's burst with which a scheduler begins, since an earlier one may have spent it.
const FIRST_BURST: f64 = 0.05;

/// Prefill seconds for which a token of an answer counts, since runs are batched.
const ANSWER_WORK: Duration = Duration::from_micros(80);

impl Scheduler {
    /// Charges a request to its team and to the budget of repeats.
    pub(super) fn admit(&mut self, ask: &GrantRequest, now: Time) -> Result<(), Refusal> {
        let refuse = |reason, retry| Err(Refusal { reason, retry });
        if self.suspects.run_mode(ask.fingerprint, now) == RunMode::Refuse {
            return refuse(Reason::Crashes, RETRY_RANGE.1);
        }
        let share = self.share();
        let limits = self.limits.retries;
        let budget = self.repeats.entry(ask.service.clone()).or_default();
        if ask.is_retry {
            if !budget.repeat(&limits, share, now) {
                return refuse(Reason::NoRepeat, Duration::from_secs(1));
            }
        } else {
            budget.first(&limits, now);
        }
        self.charge(ask, now)
            .or_else(|wait| refuse(Reason::OverRate, wait.clamp(RETRY_RANGE.0, RETRY_RANGE.1)))?;
        if let Some(work) = ask.work.as_ref().filter(|_| !ask.is_retry) {
            let reads = work.prompt_tokens as f64 / 40.0 / 1e3 * self.pace(&work.model) * 0.5;
            let cost = Duration::from_secs_f64(reads) + ANSWER_WORK * work.output_tokens as u32;
            self.demand.note(&work.model, cost, now);
        }
        Ok(())
    }

    fn charge(&mut self, ask: &GrantRequest, now: Time) -> Result<(), Duration> {
        let Some(name) = &ask.team else { return Ok(()) };
        let teams = self.catalog.keys.values();
        let Some(team) = teams.into_iter().find(|team| team.name == *name) else { return Ok(()) };
        let portion = Portion { share: self.share(), slack: self.limits.rate_slack };
        let part = self.first_burst(team, now);
        let first = || TokenBucket::new(team, portion, part, now);
        let bucket = self.buckets.entry(name.clone()).or_insert_with(first);
        if ask.is_retry {
            bucket.owe(team, portion, ask.charge, now);
            return Ok(());
        }
        bucket.take(team, portion, ask.charge, now)
    }

    /// Returns the part of a team's burst that is there at its first request.
    ///
    /// An earlier scheduler may have spent it; it has come back after some time.
    fn first_burst(&self, team: &Team, now: Time) -> f64 {
        let since = now.since(self.begun).as_secs_f64();
        (FIRST_BURST + since * team.rate / team.burst.max(1.0)).min(1.0)
    }

    pub(super) fn give_back(&mut self, ask: &GrantRequest) {
        let bucket = ask.team.as_ref().and_then(|team| self.buckets.get_mut(team));
        if let Some(bucket) = bucket {
            bucket.give_back(ask.charge);
        }
    }
}
