//! Assignment of models to engines during a planning round, and the gain of each possible swap.
//!
//! A round of a large fleet weighs each model in need against each engine, so what depends on the
//! model alone or on the engine alone is computed once.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{PlanInput, Swap};
use crate::kernel::grants::Endpoint;

/// Minimum gain of a load from the engine's own memory or disk, in squared utilization.
const MIN_LOCAL_GAIN: f64 = 0.008;

/// Minimum gain of a load from the weight store, in squared utilization.
const MIN_STORE_GAIN: f64 = 0.02;

/// Expected time until the runs of a model that is about to be unloaded have ended.
const RUN_DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// Cost of each second in which the engine can load no adapter, as a fraction of its utilization.
const ADAPTER_BLOCK_COST: f64 = 0.03;

/// Maximum number of models considered for each need in a round; those that a load helps most are
/// taken.
const MAX_MODELS_PER_NEED: usize = 6;

/// Demand in seconds of work per second below which a model counts as idle.
const IDLE_DEMAND: f64 = 0.004;

/// Demand in seconds of work per second above which a model was requested recently.
const RECENT_DEMAND: f64 = 0.000_2;

/// Cost in squared utilization of each running request of a model to unload, since the load waits
/// for its end.
const RUN_DRAIN_COST: f64 = 0.02;

/// Cost in squared utilization of each second of work per second for a model without a replica.
const ABSENCE_COST: f64 = 4.0;

/// Cost in squared utilization of reloading a model from the engine's own memory or disk.
const LOCAL_LOAD_COST: f64 = 0.005;

/// Cost in squared utilization of reloading a model from the weight store.
const STORE_LOAD_COST: f64 = 0.02;

/// Cost in squared utilization of unloading the last replica of a model that is in demand.
const IN_DEMAND_COST: f64 = 0.15;

/// Gain of loading an urgent model; it exceeds the gains of all other loads.
const URGENT_GAIN: f64 = 1e6;

/// Largest cost to other models at which any urgent model is loaded, in squared utilization.
const MAX_URGENT_COST: f64 = 0.1;

/// Why a model is considered for a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Need {
    /// Its replicas are busy.
    Busy,
    /// It has no replica and no demand.
    Spare,
    /// It has no replica but is in demand.
    Urgent,
}

/// A model for which a load is considered.
pub(super) struct Candidate {
    /// Name of the model.
    pub model: Arc<str>,
    /// Why it is considered.
    pub need: Need,
    /// Demand that one more replica would have.
    added: f64,
    /// By how much one more replica reduces the sum of squared utilizations of the others.
    relief: f64,
}

/// A model at an engine that may be unloaded there.
struct Unloadable {
    model: Arc<str>,
    weights_mb: f64,
    /// Cost of unloading it, in squared utilization, for the choice among the engine's models.
    cost: f64,
    /// Demand that the engine loses.
    freed: f64,
    /// By how much the squared utilizations of the model's other engines grow, and the cost of its
    /// absence if there is none.
    burden: f64,
    has_runs: bool,
}

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

/// A possible load of a model at an engine.
pub(super) struct Proposal {
    /// Index of the engine.
    pub engine: usize,
    /// Why the model would be loaded.
    pub need: Need,
    /// Model to load.
    model: Arc<str>,
    /// Number of the engine's cheapest models to unload first.
    unloads: usize,
    /// Gain of the swap; the highest is best.
    pub gain: f64,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
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

    /// Recomputes what unloading each model would cost at these engines.
    fn update_unloadable(&mut self, indices: impl Iterator<Item = usize>) {
        let sums = self.utilization_sums();
        for index in indices {
            if !self.states[index].changing {
                self.states[index].unloadable = self.unloadable(index, &sums);
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

    /// Returns the models that an engine may unload, the cheapest first.
    fn unloadable(&self, index: usize, sums: &HashMap<Arc<str>, f64>) -> Vec<Unloadable> {
        let engine = self.engines[index];
        let mut unloadable: Vec<Unloadable> = engine
            .replicas
            .keys()
            .map(|model| {
                let runs = engine.running_count(model);
                let (freed, burden) = self.unload_effect(index, model, sums);
                Unloadable {
                    model: model.clone(),
                    weights_mb: engine.held_size(model, self.input.spec).weights_mb,
                    cost: self.unload_cost(engine, model) + RUN_DRAIN_COST * runs as f64,
                    freed,
                    burden,
                    has_runs: runs > 0,
                }
            })
            .collect();
        unloadable.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        unloadable
    }

    /// Returns the demand that an engine loses by unloading a model, and by how much the squared
    /// utilizations of the model's other engines grow. The last replica costs its absence instead.
    fn unload_effect(
        &self,
        index: usize,
        model: &str,
        sums: &HashMap<Arc<str>, f64>,
    ) -> (f64, f64) {
        let is_last = self.usable_replicas.get(model).is_none_or(|count| *count <= 1);
        let absence = if is_last { self.absence_cost(self.engines[index], model) } else { 0.0 };
        let Some(replicas) = self.replicas.get(model).filter(|it| it.contains(&index)) else {
            return (0.0, absence);
        };
        let (demand, count) = (self.demand_of(model), replicas.len() as f64);
        let freed = demand / count;
        if replicas.len() == 1 {
            return (freed, absence);
        }
        let growth = demand / (count - 1.0) - freed;
        let others = sums.get(model).copied().unwrap_or(0.0) - self.states[index].utilization;
        (freed, 2.0 * growth * others + (count - 1.0) * growth.powi(2) + absence)
    }

    /// Returns the demand for a model in seconds of work per second.
    fn demand_of(&self, model: &str) -> f64 {
        self.demand.get(model).copied().unwrap_or(0.0)
    }

    /// Returns the models for which another replica would help most.
    pub fn candidates(&self) -> Vec<Candidate> {
        let sums = self.utilization_sums();
        let mut models: Vec<(Need, f64, &Arc<str>)> = Vec::new();
        for model in self.input.spec.models.keys() {
            let demand = self.demand_of(model);
            let waiting = self.input.waiting.contains_key(model);
            match self.replicas.get(model).map_or(0, BTreeSet::len) {
                0 if waiting || demand > RECENT_DEMAND => {
                    models.push((Need::Urgent, demand, model))
                }
                0 => models.push((Need::Spare, demand, model)),
                count if demand > IDLE_DEMAND => {
                    let utilization = sums.get(model).copied().unwrap_or(0.0);
                    models.push((Need::Busy, utilization / count as f64 * demand, model));
                }
                _ => {}
            }
        }
        models.sort_by(|a, b| {
            b.0.cmp(&a.0).then_with(|| b.1.total_cmp(&a.1)).then_with(|| a.2.cmp(b.2))
        });
        let mut counts: BTreeMap<Need, usize> = BTreeMap::new();
        models.retain(|(need, ..)| {
            let count = counts.entry(*need).or_default();
            *count += 1;
            *count <= MAX_MODELS_PER_NEED
        });
        let candidates =
            models.into_iter().map(|(need, _, model)| self.candidate(model, need, &sums));
        candidates.collect()
    }

    /// Returns a model as a candidate for a load.
    fn candidate(&self, model: &Arc<str>, need: Need, sums: &HashMap<Arc<str>, f64>) -> Candidate {
        let (demand, count) =
            (self.demand_of(model), self.replicas.get(model).map_or(0, BTreeSet::len) as f64);
        let added = demand / (count + 1.0);
        let relief = match count {
            0.0 => 0.0,
            count => {
                let reduction = demand / count - added;
                let utilization = sums.get(model).copied().unwrap_or(0.0);
                2.0 * reduction * utilization - count * reduction.powi(2)
            }
        };
        Candidate { model: model.clone(), need, added, relief }
    }

    /// Returns the best load of a model that the budget of loads from the weight store allows.
    pub fn best_proposal(&self, candidate: &Candidate, may_use_store: bool) -> Option<Proposal> {
        let proposals = (0..self.engines.len()).filter_map(|index| self.propose(index, candidate));
        let allowed = proposals.filter(|proposal| may_use_store || !proposal.from_store);
        allowed.max_by(|a, b| a.gain.total_cmp(&b.gain))
    }

    /// Returns the proposal to load a model at an engine, unless it is impossible or not
    /// worthwhile.
    fn propose(&self, index: usize, candidate: &Candidate) -> Option<Proposal> {
        let (engine, state) = (self.engines[index], &self.states[index]);
        let Candidate { model, need, .. } = candidate;
        let (need, input) = (*need, self.input);
        if state.changing || state.limited {
            return None;
        }
        let has_replica =
            self.replicas.get(model).is_some_and(|replicas| replicas.contains(&index));
        let ready = engine.accepts_requests(input.now)
            && (need == Need::Urgent || engine.may_change_models(input.now));
        if has_replica || !ready {
            return None;
        }
        let unloads = self.unload_count(state, model, need)?;
        let unload = &state.unloadable[..unloads];
        let reduction = self.reduction(state, candidate, unload);
        let from_store = !engine.has_local_weights(model);
        let min_gain = if from_store { MIN_STORE_GAIN } else { MIN_LOCAL_GAIN };
        if need == Need::Busy && reduction < min_gain {
            return None;
        }
        // A load waits for the runs of unloaded models, and no adapter is loaded in the meantime.
        let has_runs = unload.iter().any(|unloadable| unloadable.has_runs);
        let wait = if has_runs { RUN_DRAIN_TIME.as_secs_f64() } else { 0.0 };
        let seconds = engine.load_time(input.spec, model).as_secs_f64() + wait;
        let gain = match need {
            Need::Urgent => {
                // The model with the highest demand comes first, at the engine where the swap costs
                // least.
                let priority = URGENT_GAIN * (1.0 + self.demand_of(model));
                priority + reduction - seconds * (1.0 + state.utilization)
            }
            Need::Spare => 1e-3 + reduction.min(0.0) * 1e-3 - seconds * 1e-6,
            Need::Busy => {
                (reduction - ADAPTER_BLOCK_COST * state.utilization * seconds) / (1.0 + seconds)
            }
        };
        if need == Need::Busy && gain < min_gain / 2.0 {
            return None;
        }
        Some(Proposal { engine: index, need, model: model.clone(), unloads, gain, from_store })
    }

    /// Returns how many of an engine's cheapest models must be unloaded for a model; `None` if that
    /// frees too little memory or costs too much.
    fn unload_count(&self, state: &EngineState, model: &str, need: Need) -> Option<usize> {
        let size_mb = self.input.spec.models.get(model)?.weights_mb;
        if need == Need::Spare {
            return (state.free_mb >= size_mb).then_some(0);
        }
        let (mut free_mb, mut cost, mut count) = (state.free_mb, 0.0, 0);
        for unloadable in &state.unloadable {
            if free_mb >= size_mb {
                break;
            }
            cost += unloadable.cost;
            free_mb += unloadable.weights_mb;
            count += 1;
        }
        let affordable =
            need == Need::Busy || cost <= MAX_URGENT_COST + ABSENCE_COST * self.demand_of(model);
        (free_mb >= size_mb && affordable).then_some(count)
    }

    /// Returns the cost of unloading a model at an engine, in squared utilization.
    fn unload_cost(&self, engine: &Endpoint, name: &str) -> f64 {
        let demand = self.demand_of(name);
        let count = self.usable_replicas.get(name).copied().unwrap_or(0) as f64;
        if count > 1.0 {
            return demand.powi(2) / (count * (count - 1.0));
        }
        self.absence_cost(engine, name)
    }

    /// Returns the cost of unloading the last replica of a model, in squared utilization.
    ///
    /// The cost is low if the model has no demand or can be reloaded within a second. For other
    /// models it exceeds what an urgent model may cost, so that two models do not keep replacing
    /// each other.
    fn absence_cost(&self, engine: &Endpoint, name: &str) -> f64 {
        let demand = self.demand_of(name);
        let local = engine.has_local_weights(name);
        let reload_cost = match () {
            () if local && demand < IDLE_DEMAND => LOCAL_LOAD_COST,
            () if demand <= RECENT_DEMAND => STORE_LOAD_COST,
            () => IN_DEMAND_COST,
        };
        reload_cost + ABSENCE_COST * demand
    }

    /// Returns by how much a swap reduces the sum of squared utilizations.
    ///
    /// Engines that have both the loaded and an unloaded model count as if each change were the only
    /// one there.
    fn reduction(&self, state: &EngineState, candidate: &Candidate, unload: &[Unloadable]) -> f64 {
        let freed: f64 = unload.iter().map(|unloadable| unloadable.freed).sum();
        let burden: f64 = unload.iter().map(|unloadable| unloadable.burden).sum();
        let after = state.utilization + candidate.added - freed;
        candidate.relief + state.utilization.powi(2) - after.powi(2) - burden
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
