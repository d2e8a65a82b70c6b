//! Requests that wait for room, in the order in which they are served.

use std::{sync::Arc, time::Duration};

use super::{GrantKey, GrantRequest};
use crate::clock::Time;

/// Part of a request's time after which it is refused if it still waits.
const HOLD_PART: f64 = 0.6;

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub key: GrantKey,
    pub ask: GrantRequest,
    /// When it began to wait.
    pub since: Time,
    /// Engine that loads an adapter for it.
    pub prepared: Option<(Arc<str>, Time)>,
}

impl Waiting {
    /// Returns the rank in the queue, lowest first.
    ///
    /// What can still meet its goal goes before what is late already, so that a burst makes few
    /// requests late and not all of them.
    pub fn rank(&self, now: Time) -> (bool, u8, Time) {
        (now > self.ask.due, self.ask.priority, self.ask.due)
    }

    /// Returns whether so much of the time has passed that a refusal is better.
    pub fn is_overdue(&self, now: Time) -> bool {
        now.since(self.since) >= self.patience()
    }

    /// Returns how long the request may wait in all.
    pub fn patience(&self) -> Duration {
        self.ask.deadline.since(self.since).mul_f64(HOLD_PART)
    }
}
