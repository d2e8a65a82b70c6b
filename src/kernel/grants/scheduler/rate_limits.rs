//! Limits of the request rate that endpoints name in their responses.

use std::{collections::HashMap, sync::Arc};

use super::Scheduler;
use crate::{
    clock::Time,
    kernel::grants::{EndpointLimit, Incarnation, RequestLimit},
};

impl Scheduler {
    /// Records the limit that the response to a request names which was sent at `sent_at`. Returns
    /// whether the limit has changed.
    pub fn observe_rate_limit(&mut self, limit: &EndpointLimit, sent_at: Time, now: Time) -> bool {
        let endpoint = self.endpoints.get(&limit.endpoint);
        let known = endpoint.and_then(|endpoint| endpoint.rate_limit);
        let is_outdated = known.is_some_and(|known| !known.was_known(sent_at));
        if limit.rate.is_none() && is_outdated {
            return false;
        }
        self.record_rate_limit(limit, now)
    }

    /// Records the limit that an endpoint names. Returns whether the limit has changed.
    pub fn record_rate_limit(&mut self, limit: &EndpointLimit, now: Time) -> bool {
        let endpoint = self.endpoints.get_mut(&limit.endpoint);
        let endpoint = endpoint.filter(|known| known.info.incarnation == limit.incarnation);
        let Some(endpoint) = endpoint else { return false };
        let old_rate = endpoint.rate_limit.map(|known| known.rate());
        match (&mut endpoint.rate_limit, limit.rate) {
            (Some(known), Some(rate)) => known.set_rate(rate),
            (known, rate) => *known = rate.map(|rate| RequestLimit::new(rate, now)),
        }
        let changed = old_rate != limit.rate;
        if changed {
            self.wake_endpoint(&limit.endpoint);
        }
        self.limit_version += u64::from(changed);
        changed
    }

    /// Counts a granted request against the limit of its endpoint.
    pub(super) fn count_request(&mut self, id: &str, now: Time) {
        let share = self.rate_share();
        let endpoint = self.endpoints.get_mut(id);
        if let Some(limit) = endpoint.and_then(|endpoint| endpoint.rate_limit.as_mut()) {
            limit.take(share, now);
        }
    }

    /// Replaces all limits by those of the leader.
    pub fn replace_rate_limits(&mut self, limits: &[EndpointLimit], now: Time) {
        let listed: HashMap<(&Arc<str>, Incarnation), Option<f64>> =
            limits.iter().map(|limit| ((&limit.endpoint, limit.incarnation), limit.rate)).collect();
        let limits = self.endpoints.values().map(|endpoint| {
            let (id, incarnation) = (&endpoint.info.id, endpoint.info.incarnation);
            let rate = listed.get(&(id, incarnation)).copied().flatten();
            EndpointLimit { endpoint: id.clone(), incarnation, rate }
        });
        for limit in limits.collect::<Vec<_>>() {
            self.record_rate_limit(&limit, now);
        }
    }

    /// Returns the limits that endpoints have named.
    pub fn rate_limits(&self) -> Vec<EndpointLimit> {
        let limited = self.endpoints.values().filter_map(|endpoint| {
            let rate = endpoint.rate_limit?.rate();
            let (endpoint, incarnation) = (endpoint.info.id.clone(), endpoint.info.incarnation);
            Some(EndpointLimit { endpoint, incarnation, rate: Some(rate) })
        });
        limited.collect()
    }

    /// Returns the version of the limits, which grows with each change.
    pub fn limit_version(&self) -> u64 {
        self.limit_version
    }
}
