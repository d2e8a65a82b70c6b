//! Assignment of models to engines during a planning round, and the gain of each possible swap.
//!
//! A round of a large fleet weighs each model in need against each engine, so what depends on the
//! model alone or on the engine alone is computed once.

mod proposal;
mod unloading;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

pub(super) use self::proposal::{Candidate, Need, Proposal};
use self::unloading::Unloadable;
use super::{PlanInput, Swap};
use crate::kernel::grants::Endpoint;

/// Demand in seconds of work per second below which a model counts as idle.
const IDLE_DEMAND: f64 = 0.004;

/// Demand in seconds of work per second above which a model was requested recently.
const RECENT_DEMAND: f64 = 0.000_2;

/// Cost in squared utilization of each second of work per second for a model without a replica.
const ABSENCE_COST: f64 = 4.0;

/// What a round knows of one engine.
struct EngineState {
    /// Demand for its models in seconds of work per second.
    utilization: f64,
    /// Whether a change is planned or ongoing.
    changing: bool,
    /// Whether it takes few requests, while others take as many as they can.
    limited: bool,
    free_mb: f64,
    /// Models that may be unloaded, the cheapest first.
    unloadable: Vec<Unloadable>,
}

/// Models and utilization of the engines, including planned and ongoing changes.
pub(super) struct Layout<'a> {
    engines: &'a [&'a Endpoint],
    input: &'a PlanInput<'a>,
    /// Engines that have or are getting a replica of each model.
    replicas: BTreeMap<Arc<str>, BTreeSet<usize>>,
    /// Number of replicas of each model that are loaded and not about to be unloaded.
    usable_replicas: HashMap<Arc<str>, usize>,
    /// Demand for each model in seconds of work per second.
    demand: HashMap<Arc<str>, f64>,
    states: Vec<EngineState>,
}

/// Returns which engines take fewer requests than the others, because they have named a limit.
///
/// A replica at such an engine counts only for a model with little demand. If all engines have
/// named a limit, none is worse than the others.
fn limited_engines(engines: &[&Endpoint]) -> Vec<bool> {
    let all = engines.iter().all(|engine| engine.rate_limit.is_some());
    engines.iter().map(|engine| !all && engine.rate_limit.is_some()).collect()
}

impl<'a> Layout<'a> {
    /// Creates the layout of the engines with their ongoing and planned changes.
    pub fn new(engines: &'a [&'a Endpoint], input: &'a PlanInput<'a>) -> Self {
        let models = input.spec.models.keys();
        let demand: HashMap<Arc<str>, f64> =
            models.map(|model| (model.clone(), input.demand.expected(model, input.now))).collect();
        let demand_of = |model: &str| demand.get(model).copied().unwrap_or(0.0);
        let mut replicas: BTreeMap<Arc<str>, BTreeSet<usize>> = BTreeMap::new();
        let mut usable_replicas: HashMap<Arc<str>, usize> = HashMap::new();
        let limited = limited_engines(engines);
        for (index, engine) in engines.iter().enumerate() {
            let served = engine.replicas.keys().filter(|model| engine.can_serve(model));
            let served = served.filter(|model| !limited[index] || demand_of(model) <= IDLE_DEMAND);
            for model in served.clone() {
                *usable_replicas.entry(model.clone()).or_default() += 1;
            }
            let loading = engine.loading.iter().map(|(model, _)| model);
            let planned = engine.swap.iter().map(|swap| &swap.load);
            for model in served.chain(loading).chain(planned) {
                replicas.entry(model.clone()).or_default().insert(index);
            }
        }
        let states = engines.iter().zip(limited).map(|(engine, limited)| EngineState {
            utilization: 0.0,
            changing: engine.loading.is_some() || engine.swap.is_some(),
            limited,
            free_mb: input.spec.weights_mb - engine.used_weights_mb(input.spec),
            unloadable: Vec::new(),
        });
        let states = states.collect();
        let mut layout = Self { engines, input, replicas, usable_replicas, demand, states };
        layout.update_utilization();
        layout.update_unloadable(0..engines.len());
        layout
    }

    /// Recomputes the utilization of all engines.
    fn update_utilization(&mut self) {
        self.states.iter_mut().for_each(|state| state.utilization = 0.0);
        for (model, replicas) in &self.replicas {
            let demand = self.demand.get(model).copied().unwrap_or(0.0);
            let per_replica = demand / replicas.len().max(1) as f64;
            for index in replicas {
                self.states[*index].utilization += per_replica;
            }
        }
    }

    /// Returns the sum of the utilizations of each model's engines.
    fn utilization_sums(&self) -> HashMap<Arc<str>, f64> {
        let sum = |indices: &BTreeSet<usize>| -> f64 {
            indices.iter().map(|index| self.states[*index].utilization).sum()
        };
        self.replicas.iter().map(|(model, indices)| (model.clone(), sum(indices))).collect()
    }

    /// Returns the demand for a model in seconds of work per second.
    fn demand_of(&self, model: &str) -> f64 {
        self.demand.get(model).copied().unwrap_or(0.0)
    }

    /// Adds a planned swap to the layout and returns it.
    pub fn apply(&mut self, proposal: &Proposal) -> Swap {
        let state = &mut self.states[proposal.engine];
        state.changing = true;
        let unloadable = std::mem::take(&mut state.unloadable);
        let unload: Vec<Arc<str>> =
            unloadable.into_iter().take(proposal.unloads).map(|it| it.model).collect();
        // What another engine may unload depends on whether its replica is now the last one.
        let mut affected: BTreeSet<usize> = BTreeSet::new();
        for name in &unload {
            if let Some(replicas) = self.replicas.get_mut(name) {
                replicas.remove(&proposal.engine);
                affected.extend(replicas.iter());
            }
            if let Some(count) = self.usable_replicas.get_mut(name) {
                *count -= 1;
            }
        }
        self.replicas.entry(proposal.model.clone()).or_default().insert(proposal.engine);
        self.update_utilization();
        self.update_unloadable(affected.into_iter());
        Swap { load: proposal.model.clone(), unload, since: self.input.now }
    }
}
