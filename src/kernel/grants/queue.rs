//! Requests that wait in the scheduler, and the order in which they are granted.

use std::{sync::Arc, time::Duration};

use super::{GrantKey, GrantRequest};
use crate::clock::Time;

/// Fraction of the time until its deadline for which a request may wait before it is refused.
const MAX_WAIT_FRACTION: f64 = 0.6;

/// A request that waits for an endpoint.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub key: GrantKey,
    pub request: GrantRequest,
    /// When it was queued.
    pub since: Time,
    /// Engine that is loading the request's adapter, and since when the request waits for this.
    pub adapter_load: Option<(Arc<str>, Time)>,
}

impl QueuedRequest {
    /// Returns the rank in the queue; the lowest is granted first.
    ///
    /// Requests that can still meet their due time come before those that are late, so that a burst
    /// makes only a few requests late.
    pub fn rank(&self, now: Time) -> (bool, u8, Time) {
        (now > self.request.due, self.request.priority, self.request.due)
    }

    /// Returns whether the request has waited so long that it must be refused.
    pub fn is_overdue(&self, now: Time) -> bool {
        now.since(self.since) >= self.max_wait()
    }

    /// Returns how long the request may wait in total.
    pub fn max_wait(&self) -> Duration {
        self.request.deadline.since(self.since).mul_f64(MAX_WAIT_FRACTION)
    }
}
