//! Permits for loads from the weight store.

use crate::{
    clock::Time,
    config::WeightStoreLimits,
    kernel::quota::{Charge, TokenBucket},
};

/// Loads that may start at the same moment.
const LOAD_BURST: f64 = 1.0;

/// Permits for loads, which keep to the weight store's rate and to its limit of open loads.
///
/// A new planner starts without saved permits and counts the loads that its predecessor left
/// open, so that the limits span planners.
#[derive(Clone, Debug)]
pub struct LoadPermits {
    bucket: TokenBucket,
    limits: WeightStoreLimits,
}

impl LoadPermits {
    /// Creates the permits of a planner that just took the duty.
    pub fn new(limits: WeightStoreLimits, now: Time) -> Self {
        Self { bucket: TokenBucket::empty(limits.load_rate, LOAD_BURST, now), limits }
    }

    /// Takes over changed limits.
    pub fn set_limits(&mut self, limits: WeightStoreLimits, now: Time) {
        self.limits = limits;
        self.bucket.resize(limits.load_rate, LOAD_BURST, now);
    }

    /// Takes a permit while `open` loads are open, and returns whether it was there.
    pub fn take(&mut self, open: usize, now: Time) -> bool {
        open < self.limits.max_loads as usize && self.bucket.charge(1.0, now) == Charge::Taken
    }
}
