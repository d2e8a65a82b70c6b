//! Permits for loads from the weight store, from which engines read model weights.

use crate::{
    clock::Time,
    config::WeightStoreLimits,
    kernel::quota::{Charge, TokenBucket},
};

/// Number of loads that may start at the same moment.
const LOAD_BURST: f64 = 1.0;

/// Permits for loads, which enforce the weight store's limits on the rate and the number of open
/// loads.
///
/// A new planner starts without unused permits and counts the loads that its predecessor left open,
/// so the limits also hold when the planner changes.
#[derive(Clone, Debug)]
pub struct LoadPermits {
    /// Bucket from which each load takes one token.
    bucket: TokenBucket,
    limits: WeightStoreLimits,
}

impl LoadPermits {
    /// Creates the permits of a planner that has just taken over.
    pub fn new(limits: WeightStoreLimits, now: Time) -> Self {
        Self { bucket: TokenBucket::empty(limits.load_rate, LOAD_BURST, now), limits }
    }

    /// Applies changed limits.
    pub fn set_limits(&mut self, limits: WeightStoreLimits, now: Time) {
        self.limits = limits;
        self.bucket.resize(limits.load_rate, LOAD_BURST, now);
    }

    /// Takes a permit while `open` loads are open; returns whether one was available.
    pub fn take(&mut self, open: usize, now: Time) -> bool {
        open < self.limits.max_loads as usize && self.bucket.charge(1.0, now) == Charge::Taken
    }
}
