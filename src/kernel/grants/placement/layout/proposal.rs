//! Which models to load where, and the gain of each possible load.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{ABSENCE_COST, EngineState, IDLE_DEMAND, Layout, RECENT_DEMAND, unloading::Unloadable};

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

/// Gain of loading an urgent model; it exceeds the gains of all other loads.
const URGENT_GAIN: f64 = 1e6;

/// Largest cost to other models at which any urgent model is loaded, in squared utilization.
const MAX_URGENT_COST: f64 = 0.1;

/// Why a model is considered for a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in super::super) enum Need {
    /// Its replicas are busy.
    Busy,
    /// It has no replica and no demand.
    Spare,
    /// It has no replica but is in demand.
    Urgent,
}

/// A model for which a load is considered.
pub(in super::super) struct Candidate {
    /// Name of the model.
    pub model: Arc<str>,
    /// Why it is considered.
    pub need: Need,
    /// Demand that one more replica would have.
    added: f64,
    /// By how much one more replica reduces the sum of squared utilizations of the others.
    relief: f64,
}

/// A possible load of a model at an engine.
pub(in super::super) struct Proposal {
    /// Index of the engine.
    pub engine: usize,
    /// Why the model would be loaded.
    pub need: Need,
    /// Model to load.
    pub model: Arc<str>,
    /// Number of the engine's cheapest models to unload first.
    pub unloads: usize,
    /// Gain of the swap; the highest is best.
    pub gain: f64,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
}

impl Layout<'_> {
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
}
