//! Requests that wait until their team has the tokens, while this scheduler has only an allotment.
//!
//! The part of one instance is small against a single request. A team that is below its rate would be
//! refused until the tokens of one request have accumulated, so the request waits for them instead.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::{Mode, Scheduler};
use crate::{
    clock::Time,
    kernel::grants::{Action, GrantKey, GrantRequest},
};

/// Longest wait. A new leader has been elected by then in most cases, and decides on what still waits.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Fraction of the time until its deadline for which a request may wait for tokens.
const MAX_DELAY_FRACTION: f64 = 0.5;

/// Requests that wait for tokens, which are taken already.
#[derive(Debug, Default)]
pub(super) struct Delayed {
    last_number: u64,
    requests: BTreeMap<(Time, u64), (GrantKey, GrantRequest)>,
    places: HashMap<GrantKey, (Time, u64)>,
}

impl Delayed {
    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Adds a request that may be granted from `at` on.
    pub fn push(&mut self, key: GrantKey, request: GrantRequest, at: Time) {
        self.last_number += 1;
        let place = (at, self.last_number);
        self.places.insert(key.clone(), place);
        self.requests.insert(place, (key, request));
    }

    /// Removes a request that is no longer of use.
    pub fn remove(&mut self, key: &GrantKey) -> Option<GrantRequest> {
        let place = self.places.remove(key)?;
        self.requests.remove(&place).map(|(_, request)| request)
    }

    /// Removes the next request whose time has come.
    fn pop(&mut self, now: Time) -> Option<(GrantKey, GrantRequest)> {
        let entry = self.requests.first_entry().filter(|entry| entry.key().0 <= now)?;
        let (key, request) = entry.remove();
        self.places.remove(&key);
        Some((key, request))
    }
}

impl Scheduler {
    /// Takes the tokens of a request that are available only after `wait`. Returns from when on it may be
    /// granted; `None` if it must not wait so long.
    pub(super) fn charge_later(
        &mut self,
        request: &GrantRequest,
        wait: Duration,
        now: Time,
    ) -> Option<Time> {
        let has_allotment = self.allotments.is_some() && matches!(self.mode, Mode::Alone { .. });
        let max = request.deadline.since(now).mul_f64(MAX_DELAY_FRACTION).min(MAX_DELAY);
        let bucket = self.buckets.get_mut(request.team.as_ref()?)?;
        if !has_allotment || wait > max {
            return None;
        }
        bucket.add(-(request.charge as f64));
        Some(now + wait)
    }

    /// Grants or queues the requests whose tokens are available now.
    pub(super) fn grant_delayed(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((key, request)) = self.delayed.pop(now) {
            self.grant_or_queue(key, request, now, actions);
        }
    }
}
