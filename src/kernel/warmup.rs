//! How much an endpoint bears while it warms up.

use crate::config::PoolSpec;

/// Warmth of one endpoint, held by its steward alone.
#[derive(Clone, Debug)]
pub struct Warmth {
    cold_limit: u32,
    warm_limit: u32,
    completed: u32,
}

impl Warmth {
    /// Creates the warmth of an endpoint of which nothing is known.
    pub fn cold(pool: &PoolSpec) -> Self {
        Self { cold_limit: pool.cold_limit, warm_limit: pool.warm_limit, completed: 0 }
    }

    /// Counts a request that was answered whole.
    pub fn complete(&mut self) {
        self.completed = self.completed.saturating_add(1);
    }

    /// Returns to cold.
    pub fn reset(&mut self) {
        self.completed = 0;
    }

    /// Returns the requests that may run at once.
    pub fn limit(&self) -> u32 {
        (self.cold_limit + self.completed / 4).min(self.warm_limit)
    }
}
