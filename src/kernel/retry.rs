//! Decides whether and when a request is retried after an attempt was lost.

use std::time::Duration;

use crate::clock::Time;

/// Largest number of unused retries that a budget accumulates.
const MAX_SAVED_RETRIES: f64 = 64.0;

/// Number of retries that each request adds to the budget.
const RETRY_FRACTION: f64 = 0.2;

/// Budget of retries, which grows by a fraction of the requests.
///
/// The budget keeps retries from multiplying the load when most of the requests fail.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that may still be made.
    saved_retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved_retries: MAX_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// Records a new request, which adds a fraction of a retry to the budget.
    pub fn record_request(&mut self) {
        self.saved_retries = (self.saved_retries + RETRY_FRACTION).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns whether one was available.
    pub fn take(&mut self) -> bool {
        let available = self.saved_retries >= 1.0;
        if available {
            self.saved_retries -= 1.0;
        }
        available
    }
}

/// How an attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The instance or endpoint no longer serves the request, which did not run.
    Moved,
    /// No byte of the request reached an endpoint.
    NotRun,
    /// The link to the instance that ran the attempt was lost; the endpoint may still be working.
    LinkLost,
    /// The endpoint failed before its response was complete.
    Cut {
        /// Whether at least one new event arrived before the failure.
        progress: bool,
    },
    /// The endpoint crashed while it ran the request.
    Crash,
}

/// Decision after a lost attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Make another attempt after this backoff.
    After(Duration),
    /// Make no further attempt; the request fails.
    Stop,
}

/// Largest number of attempts for one request.
const MAX_ATTEMPTS: u32 = 6;

/// Number of endpoints lost to one request after which it is not retried.
const MAX_LOST_ENDPOINTS: u32 = 2;

/// Longest backoff before the first retry; it doubles with each further retry.
const MAX_FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// Counts of the attempts of one request and of the endpoints lost to them.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// Attempts made, including the current one.
    made: u32,
    /// Endpoints that crashed or failed without progress while they ran the request.
    lost_endpoints: u32,
    /// When the response must be complete.
    deadline: Time,
}

impl Attempts {
    /// Creates the counts of a request whose first attempt is about to be made.
    pub fn new(deadline: Time) -> Self {
        Self { made: 1, lost_endpoints: 0, deadline }
    }

    /// Decides whether to retry after a lost attempt; `draw` is a random number for the jitter.
    pub fn next_retry(
        &mut self,
        loss: Loss,
        budget: &mut RetryBudget,
        now: Time,
        draw: u64,
    ) -> Retry {
        let lost_endpoint = matches!(loss, Loss::Crash | Loss::Cut { progress: false });
        self.lost_endpoints += u32::from(lost_endpoint);
        if self.lost_endpoints >= MAX_LOST_ENDPOINTS || self.made >= MAX_ATTEMPTS {
            return Retry::Stop;
        }
        let backoff = jittered_backoff(self.made, draw);
        if now + backoff >= self.deadline {
            return Retry::Stop;
        }
        // A moved request did not run, so its retry adds no load, and a handover moves many
        // requests at once, which would use up the budget.
        if loss != Loss::Moved && !budget.take() {
            return Retry::Stop;
        }
        self.made += 1;
        Retry::After(backoff)
    }
}

/// Returns a random backoff between half of the longest one and all of it.
///
/// The longest backoff doubles with each retry; `made` is the number of attempts made so far.
fn jittered_backoff(made: u32, draw: u64) -> Duration {
    let full = MAX_FIRST_BACKOFF * (1 << made.saturating_sub(1));
    let half = full / 2;
    half + Duration::from_micros(draw % (half.as_micros() as u64 + 1))
}

/// Returns how long an attempt may take that itself is limited to `limit`; `None` if its request has
/// no time left, so that it must not begin.
pub fn attempt_time(limit: Duration, time_left: Duration) -> Option<Duration> {
    Some(limit.min(time_left)).filter(|time| !time.is_zero())
}
