//! Makes room for adapters whose requests wait while all adapters of their engines are in use.
//!
//! The load for which it is made: more adapters than engines have slots for, some of which always have
//! requests. An engine unloads only an idle adapter, so the others would wait without end.

use std::{sync::Arc, time::Duration};

use super::Scheduler;
use crate::{
    clock::Time,
    kernel::grants::{Endpoint, GrantRequest, adapter::YieldingAdapter},
};

/// Time for which a request waits for an idle adapter before one is made idle. Most runs end within it.
const IDLE_WAIT: Duration = Duration::from_millis(200);

/// Interval at which the waiting requests are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What can be done for a request that waits for an adapter.
enum AdapterRoom {
    /// An engine has the adapter, or can load it.
    Pending,
    /// These engines take no more requests for one of their adapters already.
    Yielding(Vec<Arc<str>>),
    /// This adapter of an engine can be made idle.
    AfterYield(Arc<str>, YieldingAdapter),
    /// No engine has an adapter that may be made idle.
    None,
}

impl Scheduler {
    /// Lets an engine take no more requests for one adapter where a request has waited for another one.
    pub(super) fn make_adapter_room(&mut self, now: Time) {
        if !self.may_order() || now.since(self.adapters_checked_at) < CHECK_INTERVAL {
            return;
        }
        self.adapters_checked_at = now;
        let waiting = self.queue.heads().filter(|queued| now.since(queued.queued_at) >= IDLE_WAIT);
        let requests: Vec<GrantRequest> = waiting
            .filter(|queued| queued.adapter_load.is_none())
            .map(|queued| queued.request.clone())
            .filter(|request| request.work.as_ref().is_some_and(|work| work.adapter.is_some()))
            .collect();
        for request in &requests {
            match self.find_adapter_room(request, now) {
                AdapterRoom::AfterYield(id, yielding) => {
                    let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
                    log::debug!(
                        "event=adapter_yields endpoint={id} model={} adapter={}",
                        yielding.model,
                        yielding.adapter
                    );
                    endpoint.yielding = Some(yielding);
                }
                AdapterRoom::Yielding(ids) => {
                    for id in ids {
                        let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
                        let is_outranked = requests.iter().any(|other| {
                            let work =
                                other.work.as_ref().filter(|_| other.priority < request.priority);
                            work.is_some_and(|work| endpoint.yielding_adapter(work, now).is_some())
                        });
                        if !is_outranked {
                            endpoint.extend_yield(now);
                        }
                    }
                }
                AdapterRoom::Pending | AdapterRoom::None => {}
            }
        }
    }

    /// Returns how a request gets its adapter. Of all loaded adapters, the one loaded longest ago yields.
    fn find_adapter_room(&self, request: &GrantRequest, now: Time) -> AdapterRoom {
        let (Some(work), Some(spec)) = (&request.work, self.engine_spec(&request.service)) else {
            return AdapterRoom::None;
        };
        let engines = self.index.candidates(request).iter();
        let engines = engines.filter_map(|id| self.endpoints.get(id)).filter(|endpoint| {
            endpoint.info.service == request.service
                && endpoint.is_serving()
                && endpoint.can_serve(&work.model)
                && !self.evacuated.contains(&endpoint.info.data_centre)
        });
        let engines: Vec<&Endpoint> = engines.collect();
        let is_pending = |endpoint: &&Endpoint| {
            let is_usable = endpoint.adapter_state(work).is_some_and(|state| state.is_usable());
            (is_usable && endpoint.yielding_adapter(work, now).is_none())
                || endpoint.has_adapter_room(spec)
        };
        if engines.iter().any(is_pending) {
            return AdapterRoom::Pending;
        }
        let yielding = engines
            .iter()
            .filter(|endpoint| endpoint.yielding.as_ref().is_some_and(|it| it.is_current(now)));
        let yielding: Vec<&&Endpoint> = yielding.collect();
        if !yielding.is_empty() {
            // A request for the adapter that yields does not extend its own wait.
            let others = yielding.iter().filter(|it| it.yielding_adapter(work, now).is_none());
            return AdapterRoom::Yielding(others.map(|it| it.info.id.clone()).collect());
        }
        let oldest = engines.iter().filter_map(|endpoint| {
            let (ready_at, yielding) = endpoint.oldest_adapter(request.priority, now)?;
            Some((ready_at, endpoint.info.id.clone(), yielding))
        });
        match oldest.min_by_key(|(ready_at, ..)| *ready_at) {
            Some((_, id, yielding)) => AdapterRoom::AfterYield(id, yielding),
            None => AdapterRoom::None,
        }
    }
}
