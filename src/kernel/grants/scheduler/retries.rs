//! What a scheduler must know of the retries that others have granted.
//!
//! The retry budget of a service holds for all instances over a window, also if the leader changes
//! in it. Each instance therefore counts the granted requests and retries of its own callers. A new
//! leader adds up what its peers report, and an instance without a leader goes on from its own count.

use std::sync::Arc;

use super::Scheduler;
use crate::{clock::Time, kernel::grants::RetryStep};

/// Granted requests and retries of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryUsage {
    /// Service that got them.
    pub service: Arc<str>,
    /// What was counted in each step of the window.
    pub steps: Vec<RetryStep>,
}

impl Scheduler {
    /// Counts a request of this instance's own callers that was granted, by this scheduler or by the
    /// leader's.
    pub fn record_own_grant(&mut self, service: Arc<str>, is_retry: bool, now: Time) {
        let limits = self.limits.retries;
        let budget = self.own_retries.entry(service).or_default();
        match is_retry {
            true => budget.record_retry(&limits, now),
            false => budget.record_request(&limits, now),
        }
    }

    /// Returns what this instance has used of the retry budgets, for a new leader.
    pub fn retry_usage(&self, now: Time) -> Vec<RetryUsage> {
        let limits = self.limits.retries;
        let usage = self.own_retries.iter().map(|(service, budget)| RetryUsage {
            service: service.clone(),
            steps: budget.steps(&limits, now),
        });
        usage.filter(|usage| !usage.steps.is_empty()).collect()
    }

    /// Adds what another instance has used of the retry budgets.
    pub fn add_retry_usage(&mut self, usage: Vec<RetryUsage>, now: Time) {
        let limits = self.limits.retries;
        for RetryUsage { service, steps } in usage {
            let budget = self.retry_budgets.entry(service).or_default();
            steps.into_iter().for_each(|step| budget.add(step, &limits, now));
        }
    }

    /// Goes on from this instance's own count, after the change or the loss of the leader.
    pub fn restart_retries(&mut self) {
        self.retry_budgets = self.own_retries.clone();
    }
}
