//! Whether and when a failed attempt is made again.

use std::time::Duration;

use crate::clock::Time;

/// Retries that a budget may save up.
const MAX_SAVED_RETRIES: f64 = 64.0;

/// Retries that each first try allows.
const RETRY_FRACTION: f64 = 0.2;

/// A budget of retries as a share of first tries.
///
/// It keeps retries from multiplying the load when most of the requests fail.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// Counts a first try.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + RETRY_FRACTION).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget and returns whether it was there.
    pub fn take(&mut self) -> bool {
        let there = self.saved >= 1.0;
        if there {
            self.saved -= 1.0;
        }
        there
    }
}

/// How an attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The place to which it was sent serves it no more, and it did not run.
    Moved,
    /// No byte of the request reached an endpoint.
    NotRun,
    /// The instance that ran it was lost, its endpoint perhaps not.
    LinkLost,
    /// The endpoint failed; `progress` says whether it answered anything new before.
    Cut {
        /// Whether at least one new event arrived.
        progress: bool,
    },
    /// The endpoint crashed while it ran the request.
    Crash,
}

/// What to do after a lost attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Try again after this time.
    After(Duration),
    /// Give the request up.
    Stop,
}

/// Attempts that one request may make.
const MAX_ATTEMPTS: u32 = 6;

/// Endpoints that one request may cost before it is given up.
const MAX_LOST_ENDPOINTS: u32 = 2;

/// Longest wait before the first retry; it doubles with each further one.
const MAX_FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    made: u32,
    lost_endpoints: u32,
    deadline: Time,
}

impl Attempts {
    /// Creates the count of a request whose first attempt is about to be made.
    pub fn new(deadline: Time) -> Self {
        Self { made: 1, lost_endpoints: 0, deadline }
    }

    /// Decides after a lost attempt; `draw` is a random number for the jitter.
    pub fn next_retry(
        &mut self,
        loss: Loss,
        budget: &mut RetryBudget,
        now: Time,
        draw: u64,
    ) -> Retry {
        let costs = matches!(loss, Loss::Crash | Loss::Cut { progress: false });
        self.lost_endpoints += u32::from(costs);
        if self.lost_endpoints >= MAX_LOST_ENDPOINTS || self.made >= MAX_ATTEMPTS {
            return Retry::Stop;
        }
        let wait = jittered_backoff(self.made, draw);
        if now + wait >= self.deadline {
            return Retry::Stop;
        }
        // A move costs the system no second run, and handovers move many requests at once.
        if loss != Loss::Moved && !budget.take() {
            return Retry::Stop;
        }
        self.made += 1;
        Retry::After(wait)
    }
}

/// Returns a wait between half and all of the doubled first wait.
fn jittered_backoff(made: u32, draw: u64) -> Duration {
    let full = MAX_FIRST_BACKOFF * (1 << made.saturating_sub(1));
    let half = full / 2;
    half + Duration::from_micros(draw % (half.as_micros() as u64 + 1))
}
