//! Orders to engines, the placement of models, and what is told of both.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::Scheduler;
use crate::{
    catalog::{Catalog, Service},
    clock::Time,
    kernel::grants::{Action, Endpoint, OrderStep, PlanInput, placement},
};

/// Loads from the weight store that may run at once, for each allowed a second.
const LOADS_AT_ONCE: f64 = 3.0;

/// Part of the loads at once, as a divisor, up to which models are loaded that nobody asks for.
const REACH_PART: usize = 4;

/// How much a model is asked for while requests for it wait.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelBacklog {
    /// Model.
    pub model: Arc<str>,
    /// Requests that wait.
    pub waiting: usize,
    /// Engines that hold it.
    pub replicas: usize,
    /// Engines that load it or are about to.
    pub loading: usize,
    /// Work that is asked of all copies, in seconds a second.
    pub demand: f64,
    /// Recent prefill work of each copy's engine, in seconds a second.
    pub usage: f64,
}

impl Scheduler {
    /// Returns the models for which requests wait, the most wanted first.
    pub fn model_backlogs(&self, now: Time) -> Vec<ModelBacklog> {
        let mut waiting: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for work in self.queue.iter().filter_map(|waiting| waiting.ask.work.as_ref()) {
            *waiting.entry(work.model.clone()).or_default() += 1;
        }
        let pressure = |(model, waiting): (Arc<str>, usize)| {
            let holders = || self.endpoints.values().filter(|e| e.is_serving() && e.holds(&model));
            let coming = self.endpoints.values().filter(|e| e.is_getting(&model)).count();
            ModelBacklog {
                waiting,
                replicas: holders().count(),
                loading: coming,
                demand: self.demand.rate(&model, now),
                usage: holders().map(|e| e.usage(now)).sum::<f64>()
                    / holders().count().max(1) as f64,
                model,
            }
        };
        let mut all: Vec<ModelBacklog> = waiting.into_iter().map(pressure).collect();
        all.sort_by_key(|pressure| std::cmp::Reverse(pressure.waiting));
        all
    }

    /// Collects the next orders of all engines.
    pub(super) fn orders(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.may_order() {
            return;
        }
        for endpoint in self.endpoints.values_mut() {
            actions.extend(next_order(&self.catalog, endpoint, now));
        }
    }

    /// Collects the next order of one engine.
    pub(super) fn order_at(&mut self, id: &str, now: Time, actions: &mut Vec<Action>) {
        if !self.may_order() {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            actions.extend(next_order(&self.catalog, endpoint, now));
        }
    }

    pub(super) fn plan(&mut self, now: Time) {
        let window = self.limits.load_window;
        while self.loads.front().is_some_and(|at| now.since(*at) > window) {
            self.loads.pop_front();
        }
        let mut waiting: HashMap<Arc<str>, usize> = HashMap::new();
        for work in self.queue.iter().filter_map(|waiting| waiting.ask.work.as_ref()) {
            *waiting.entry(work.model.clone()).or_default() += 1;
        }
        let services: Vec<Arc<Service>> = self.catalog.services.values().cloned().collect();
        for service in services {
            let Some(spec) = &service.engine else { continue };
            let engines = self.endpoints.values().filter(|e| {
                e.info.service == service.name && !self.evacuated.contains(&e.info.data_centre)
            });
            let engines: Vec<&Endpoint> = engines.collect();
            let coming = engines.iter().filter(|e| e.loading.is_some() || e.swap.is_some()).count();
            let window = (spec.load_rate * window.as_secs_f64()) as usize;
            let at_once = (spec.load_rate * LOADS_AT_ONCE) as usize;
            let loads = window.saturating_sub(self.loads.len()).min(at_once.saturating_sub(coming));
            let reach = (at_once / REACH_PART).saturating_sub(coming);
            let (demand, waiting) = (&self.demand, &waiting);
            let input = PlanInput { spec, demand, waiting, loads, reach, now };
            for (id, swap) in placement::plan(engines.into_iter(), &input) {
                if let Some(endpoint) = self.endpoints.get_mut(&id) {
                    endpoint.swap = Some(swap);
                }
            }
        }
    }
}

fn next_order(catalog: &Catalog, endpoint: &mut Endpoint, now: Time) -> Option<Action> {
    let spec = catalog.services.get(&endpoint.info.service)?.engine.as_ref()?;
    let step = endpoint.next_order(spec, now);
    let (id, address) = (&endpoint.info.id, endpoint.info.address);
    match step {
        OrderStep::Nothing => None,
        OrderStep::Report => Some(Action::Report { endpoint: id.clone(), address }),
        OrderStep::Send(command, expected) => {
            Some(Action::Order { endpoint: id.clone(), address, command, expected })
        }
    }
}
