//! Admission: the teams' rates, the retry budgets and the requests that crash endpoints.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{RETRY_AFTER_RANGE, Scheduler};
use crate::{
    catalog::Team,
    clock::Time,
    kernel::grants::{GrantRequest, Reason, Refusal, TokenBucket, crash_causes::CrashCheck},
};

/// Initial fraction of a team's burst, since an earlier scheduler may have spent the rest.
const INITIAL_BURST_FRACTION: f64 = 0.05;

/// Engine time counted for each output token; it is short because engines run requests in batches.
const OUTPUT_TOKEN_WORK: Duration = Duration::from_micros(80);

/// Tokens of a team's rate that a scheduler did not use while it decided alone.
#[derive(Clone, Debug, PartialEq)]
pub struct UnusedRate {
    /// Name of the team.
    pub team: Arc<str>,
    /// Number of tokens; negative for a debt.
    pub tokens: f64,
}

impl Scheduler {
    /// Returns what is left of this scheduler's share of the teams' rates. The scheduler starts from
    /// nothing then, so that a leader can add these tokens to its own.
    ///
    /// Callers that were refused without a leader return together when there is one. The tokens that
    /// no instance could use meanwhile are for them.
    pub fn release_rates(&mut self, now: Time) -> Vec<UnusedRate> {
        let mut buckets = std::mem::take(&mut self.buckets);
        let catalog = self.catalog.clone();
        let teams = catalog.keys.values().filter(|team| team.rate > 0.0);
        let teams: BTreeMap<&Arc<str>, &Arc<Team>> = teams.map(|t| (&t.name, t)).collect();
        let unused = teams.into_iter().map(|(name, team)| {
            let share = self.team_rate_share(name);
            let bucket = buckets.remove(name).unwrap_or_else(|| {
                TokenBucket::new(team, share, self.initial_burst(team, now), now)
            });
            let tokens = { bucket }.balance(team, share, now);
            UnusedRate { team: name.clone(), tokens }
        });
        let unused: Vec<UnusedRate> = unused.collect();
        self.restart_rates(now);
        let names = unused.iter().map(|unused| unused.team.clone());
        self.buckets.extend(names.map(|team| (team, TokenBucket::with_tokens(0.0, now))));
        unused
    }

    /// Starts from nothing, after the loss of a leader that has used the teams' rates until now.
    pub fn restart_rates(&mut self, now: Time) {
        self.buckets.clear();
        self.started_at = now;
    }

    /// Adds the tokens that other schedulers did not use.
    pub fn add_rates(&mut self, unused: &[UnusedRate], now: Time) {
        for UnusedRate { team, tokens } in unused {
            let bucket = self.buckets.entry(team.clone());
            bucket.or_insert_with(|| TokenBucket::with_tokens(0.0, now)).add(*tokens);
        }
    }

    /// Charges a request to its team and to the retry budget; fails if it must be refused. Returns from
    /// when on it may be granted if that is later than now.
    pub(super) fn admit(
        &mut self,
        request: &GrantRequest,
        now: Time,
    ) -> Result<Option<Time>, Refusal> {
        if self.check_crashes(request, now) == CrashCheck::Refuse {
            return Err(Refusal::CRASHES);
        }
        let share = self.rate_share();
        let limits = self.limits.retries;
        let budget = self.retry_budgets.entry(request.service.clone()).or_default();
        if request.is_retry {
            if !budget.try_retry(&limits, share, now) {
                let retry = Duration::from_secs(1);
                return Err(Refusal { reason: Reason::NoRepeat, retry });
            }
        } else {
            budget.record_request(&limits, now);
        }
        let granted_from = match self.charge(request, now) {
            Ok(()) => None,
            Err(wait) => match self.charge_later(request, wait, now) {
                Some(at) => Some(at),
                None => {
                    self.team_uses.record(request, false);
                    let retry = wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
                    return Err(Refusal { reason: Reason::OverRate, retry });
                }
            },
        };
        self.team_uses.record(request, true);
        if let Some(work) = request.work.as_ref().filter(|_| !request.is_retry) {
            let prefill_seconds = work.prompt_tokens as f64 / 40.0 / 1e3
                * self.speeds.model(&work.model).prefill
                * 0.5;
            let engine_time = Duration::from_secs_f64(prefill_seconds)
                + OUTPUT_TOKEN_WORK * work.output_tokens as u32;
            self.demand.record(&work.model, engine_time, now);
        }
        Ok(granted_from)
    }

    /// Takes the request's tokens from its team's bucket, or returns the time until they are
    /// available.
    fn charge(&mut self, request: &GrantRequest, now: Time) -> Result<(), Duration> {
        let Some(name) = &request.team else { return Ok(()) };
        let Some(team) = self.teams.get(name) else { return Ok(()) };
        let share = self.team_rate_share(name);
        let fraction = self.initial_burst(team, now);
        let new_bucket = || TokenBucket::new(team, share, fraction, now);
        let bucket = self.buckets.entry(name.clone()).or_insert_with(new_bucket);
        if request.is_retry {
            bucket.take_unchecked(team, share, request.charge, now);
            return Ok(());
        }
        bucket.take(team, share, request.charge, now)
    }

    /// Returns the fraction of a team's burst that is available at its first request.
    ///
    /// An earlier scheduler may have spent the burst; the bucket has refilled at the team's rate
    /// since this scheduler started.
    fn initial_burst(&self, team: &Team, now: Time) -> f64 {
        let elapsed = now.since(self.started_at).as_secs_f64();
        (INITIAL_BURST_FRACTION + elapsed * team.rate / team.burst.max(1.0)).min(1.0)
    }

    /// Puts the request's tokens back into its team's bucket.
    pub(super) fn refund(&mut self, request: &GrantRequest) {
        let bucket = request.team.as_ref().and_then(|team| self.buckets.get_mut(team));
        if let Some(bucket) = bucket {
            bucket.refund(request.charge);
        }
        self.team_uses.record_refund(request);
    }
}
