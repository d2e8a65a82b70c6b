//! A budget of retries as a share of first tries.

/// Retries that a budget may save up.
const SAVED_LIMIT: f64 = 10.0;

/// Retries that each first try allows.
const RETRY_SHARE: f64 = 0.2;

/// A budget of retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED_LIMIT }
    }
}

impl RetryBudget {
    /// Counts a first try.
    pub fn first_try(&mut self) {
        self.saved = (self.saved + RETRY_SHARE).min(SAVED_LIMIT);
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
