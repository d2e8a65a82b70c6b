//! Orders to engines, planning of the placement, and the backlog of each model.

use std::{collections::HashMap, sync::Arc};

use super::{Scheduler, waiting::groups_of};
use crate::{
    catalog::{Catalog, EngineSpec, Service},
    clock::Time,
    kernel::grants::{Action, Endpoint, OrderStep, PlanInput, order_state::OrderIds, placement},
};

/// Loads that may run at once at least, whatever the weight store allows a second.
const MIN_CONCURRENT_LOADS: usize = 2;

/// Divisor of the limit on concurrent loads: models without demand are loaded only while fewer
/// loads than the quotient are running.
const SPARE_LOAD_DIVISOR: usize = 4;

/// Number of queued requests of a model, with its replicas and demand.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelBacklog {
    /// Name of the model.
    pub model: Arc<str>,
    /// Number of queued requests.
    pub waiting: usize,
    /// Engines that serve the model.
    pub replicas: usize,
    /// Engines that are loading the model or will load it next.
    pub loading: usize,
    /// Demand for the model, in seconds of work per second.
    pub demand: f64,
    /// Average prefill usage of the engines that serve the model, in seconds of work per second.
    pub usage: f64,
}

impl Scheduler {
    /// Returns the models with queued requests, the longest queue first.
    pub fn model_backlogs(&self, now: Time) -> Vec<ModelBacklog> {
        let waiting = self.queue.waiting_by_model();
        let backlog = |(model, waiting): (Arc<str>, usize)| {
            let serving =
                || self.endpoints.values().filter(|e| e.is_serving() && e.can_serve(&model));
            let loading = self.endpoints.values().filter(|e| e.is_loading(&model)).count();
            ModelBacklog {
                waiting,
                replicas: serving().count(),
                loading,
                demand: self.demand.rate(&model, now),
                usage: serving().map(|e| e.usage(now)).sum::<f64>()
                    / serving().count().max(1) as f64,
                model,
            }
        };
        let mut all: Vec<ModelBacklog> = waiting.into_iter().map(backlog).collect();
        all.sort_by_key(|backlog| std::cmp::Reverse(backlog.waiting));
        all
    }

    /// Adds the next orders of all engines to `actions`.
    pub(super) fn collect_orders(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.may_order() {
            return;
        }
        for endpoint in self.endpoints.values_mut() {
            let had_swap = endpoint.swap.is_some();
            actions.extend(next_order(&self.catalog, endpoint, &mut self.order_ids, now));
            // An abandoned swap leaves the models that it would have unloaded.
            if had_swap && endpoint.swap.is_none() && !self.queue.is_empty() {
                groups_of(endpoint).for_each(|key| self.queue.wake(&key));
            }
        }
    }

    /// Adds the next order of one engine to `actions`.
    pub(super) fn collect_orders_of(&mut self, id: &str, now: Time, actions: &mut Vec<Action>) {
        if !self.may_order() {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            actions.extend(next_order(&self.catalog, endpoint, &mut self.order_ids, now));
        }
    }

    /// Plans swaps for the engines of all services.
    pub(super) fn plan(&mut self, now: Time) {
        let load_window = self.limits.load_window;
        while self.store_loads.front().is_some_and(|at| now.since(*at) > load_window) {
            self.store_loads.pop_front();
        }
        let waiting: HashMap<Arc<str>, usize> = self.queue.waiting_by_model().into_iter().collect();
        let services: Vec<Arc<Service>> = self.catalog.services.values().cloned().collect();
        for service in services {
            let Some(spec) = &service.engine else { continue };
            let engines = self.endpoints.values().filter(|e| {
                e.info.service == service.name && !self.evacuated.contains(&e.info.data_centre)
            });
            let engines: Vec<&Endpoint> = engines.collect();
            let loading =
                engines.iter().filter(|e| e.loading.is_some() || e.swap.is_some()).count();
            let max_in_window = (spec.load_rate * load_window.as_secs_f64()) as usize;
            let max_concurrent = max_concurrent_loads(spec);
            let max_loads = max_in_window
                .saturating_sub(self.store_loads.len())
                .min(max_concurrent.saturating_sub(loading));
            let max_spare_loads = (max_concurrent / SPARE_LOAD_DIVISOR).saturating_sub(loading);
            let (demand, waiting) = (&self.demand, &waiting);
            let input = PlanInput { spec, demand, waiting, max_loads, max_spare_loads, now };
            for (id, swap) in placement::plan(engines.into_iter(), &input) {
                if let Some(endpoint) = self.endpoints.get_mut(&id) {
                    endpoint.swap = Some(swap);
                }
            }
        }
    }
}

/// Returns how many loads may run at once: as many as a weight store needs to have under way if it
/// starts loads at the rate that it allows and each takes its usual time. With fewer, the allowed rate
/// would never be reached; with more, each takes longer.
fn max_concurrent_loads(spec: &EngineSpec) -> usize {
    let load_time: f64 = spec.models.values().map(|model| model.load_time.as_secs_f64()).sum();
    let mean_load_time = load_time / spec.models.len().max(1) as f64;
    ((spec.load_rate * mean_load_time) as usize).max(MIN_CONCURRENT_LOADS)
}

/// Returns the action that carries out the next step of an engine's orders.
fn next_order(
    catalog: &Catalog,
    endpoint: &mut Endpoint,
    ids: &mut OrderIds,
    now: Time,
) -> Option<Action> {
    let spec = catalog.services.get(&endpoint.info.service)?.engine.as_ref()?;
    let step = endpoint.next_order(spec, ids, now);
    let (id, address) = (&endpoint.info.id, endpoint.info.address);
    match step {
        OrderStep::Nothing => None,
        OrderStep::Report => Some(Action::Report { endpoint: id.clone(), address }),
        OrderStep::Send(order) => Some(Action::Order { endpoint: id.clone(), address, order }),
    }
}
