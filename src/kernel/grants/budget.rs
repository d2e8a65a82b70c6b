//! Retry budget of each service, over a sliding window.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Time;

/// How many retries a service may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in each window beyond those that `ratio` allows.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Fraction of the allowed retries that is used, since the windows of several instances are not
/// aligned.
const USED_FRACTION: f64 = 0.8;

/// Number of steps into which a window is divided for counting.
const WINDOW_STEPS: u32 = 20;

/// Requests and retries that were counted in a step of the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryStep {
    /// Time since the step began.
    pub age: Duration,
    /// First attempts of requests.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
}

/// Counts the requests and retries of one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Number of each step, with the requests and retries counted in it.
    steps: VecDeque<(u64, u32, u32)>,
}

/// Returns the length of a step in microseconds.
fn step_length(limits: &RetryLimits) -> u64 {
    (limits.window.as_micros() as u64 / u64::from(WINDOW_STEPS)).max(1)
}

impl RetryBudget {
    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Time) {
        self.current_step(limits, now).1 += 1;
    }

    /// Counts a retry if it is within the budget; returns whether it is.
    pub fn try_retry(&mut self, limits: &RetryLimits, share: f64, now: Time) -> bool {
        self.current_step(limits, now);
        let requests: u32 = self.steps.iter().map(|step| step.1).sum();
        let retries: u32 = self.steps.iter().map(|step| step.2).sum();
        let allowed = limits.ratio * f64::from(requests) + limits.slack * share;
        if f64::from(retries + 1) > allowed * USED_FRACTION {
            return false;
        }
        self.current_step(limits, now).2 += 1;
        true
    }

    /// Counts a retry that another scheduler has granted.
    pub fn record_retry(&mut self, limits: &RetryLimits, now: Time) {
        self.current_step(limits, now).2 += 1;
    }

    /// Returns the steps of the window in which something was counted.
    pub fn steps(&self, limits: &RetryLimits, now: Time) -> Vec<RetryStep> {
        let steps = self.steps.iter().map(|(number, requests, retries)| RetryStep {
            age: now.since(Time(number * step_length(limits))),
            requests: *requests,
            retries: *retries,
        });
        steps.filter(|step| step.age <= limits.window).collect()
    }

    /// Adds what was counted elsewhere.
    pub fn add(&mut self, step: RetryStep, limits: &RetryLimits, now: Time) {
        let number = (now - step.age).0 / step_length(limits);
        let position = self.steps.partition_point(|known| known.0 < number);
        if self.steps.get(position).is_none_or(|known| known.0 != number) {
            self.steps.insert(position, (number, 0, 0));
        }
        let known = &mut self.steps[position];
        known.1 += step.requests;
        known.2 += step.retries;
    }

    /// Returns the step of the current time and removes those that lie before the window.
    fn current_step(&mut self, limits: &RetryLimits, now: Time) -> &mut (u64, u32, u32) {
        let number = now.0 / step_length(limits);
        // Keeps one step more than the window, since the oldest step is only partly outside it.
        while self.steps.front().is_some_and(|step| step.0 + u64::from(WINDOW_STEPS) < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.0 < number) {
            self.steps.push_back((number, 0, 0));
        }
        self.steps.back_mut().expect("a step was just added")
    }
}
