//! Budget of repeats for each service, over a sliding window.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Time;

/// How many repeats a service may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond those in a window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Part of the allowed repeats that is used, since windows of several machines are not aligned.
const USED_PART: f64 = 0.8;

/// Part of a window that one count covers.
const STEPS: u32 = 20;

/// Counts requests and repeats of one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    steps: VecDeque<(u64, u32, u32)>,
}

impl RetryBudget {
    /// Counts a request that is sent for the first time.
    pub fn first(&mut self, limits: &RetryLimits, now: Time) {
        self.step(limits, now).1 += 1;
    }

    /// Counts a repeat and returns whether it was within the budget.
    pub fn repeat(&mut self, limits: &RetryLimits, share: f64, now: Time) -> bool {
        self.step(limits, now);
        let firsts: u32 = self.steps.iter().map(|step| step.1).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.2).sum();
        let allowed = limits.ratio * f64::from(firsts) + limits.slack * share;
        if f64::from(repeats + 1) > allowed * USED_PART {
            return false;
        }
        self.step(limits, now).2 += 1;
        true
    }

    fn step(&mut self, limits: &RetryLimits, now: Time) -> &mut (u64, u32, u32) {
        let length = (limits.window.as_micros() as u64 / u64::from(STEPS)).max(1);
        let number = now.0 / length;
        // One step more than the window, since the oldest is over only in part.
        while self.steps.front().is_some_and(|step| step.0 + u64::from(STEPS) < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.0 < number) {
            self.steps.push_back((number, 0, 0));
        }
        self.steps.back_mut().expect("a step was just added")
    }
}
