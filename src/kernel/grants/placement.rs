//! Placement: decides which engine loads which model.

mod layout;

use std::{collections::HashMap, sync::Arc, time::Duration};

use self::layout::{Candidate, Layout, Need, Proposal};
use super::Endpoint;
use crate::{catalog::EngineSpec, clock::Time};

/// Time constant of the decaying average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(2_500);

/// Time constant of the average that shows a rise of demand early. A load takes seconds, so a rise
/// that is seen late is served late.
const RISE_TIME_CONSTANT: Duration = Duration::from_millis(700);

/// Minimum time between two model loads at one engine, unless a load is urgent.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(1_200);

/// Maximum number of swaps planned in one round. A model whose demand rises to that of many engines
/// needs them at once.
const MAX_SWAPS: usize = 8;

/// A decaying average of the work that arrives, in seconds of work per second.
#[derive(Clone, Copy, Debug, Default)]
struct WorkRate {
    rate: f64,
    updated_at: Time,
}

impl WorkRate {
    fn at(&self, time_constant: Duration, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.rate * (-age / time_constant.as_secs_f64()).exp()
    }

    fn add(&mut self, work: Duration, time_constant: Duration, now: Time) {
        let added = work.as_secs_f64() / time_constant.as_secs_f64();
        *self = Self { rate: self.at(time_constant, now) + added, updated_at: now };
    }
}

/// Demand for one model.
#[derive(Clone, Copy, Debug, Default)]
struct ModelDemand {
    /// Average over [`DEMAND_TIME_CONSTANT`].
    steady: WorkRate,
    /// Average over [`RISE_TIME_CONSTANT`].
    recent: WorkRate,
    /// Work of the last request, in seconds.
    work: f64,
}

/// Demand for each model, as decaying averages.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    models: HashMap<Arc<str>, ModelDemand>,
}

impl Demand {
    /// Records a request that needs `work` of an engine's time.
    pub fn record(&mut self, model: &Arc<str>, work: Duration, now: Time) {
        let demand = self.models.entry(model.clone()).or_default();
        demand.steady.add(work, DEMAND_TIME_CONSTANT, now);
        demand.recent.add(work, RISE_TIME_CONSTANT, now);
        demand.work = work.as_secs_f64();
    }

    /// Returns the demand for a model in seconds of work per second.
    pub fn rate(&self, model: &str, now: Time) -> f64 {
        self.models.get(model).map_or(0.0, |demand| demand.steady.at(DEMAND_TIME_CONSTANT, now))
    }

    /// Returns the demand for a model for which replicas are planned, in seconds of work per second.
    ///
    /// It follows a rise at once where the recent requests are more than chance explains: by twice
    /// the standard deviation of their average, if they arrive independently of each other.
    pub fn expected(&self, model: &str, now: Time) -> f64 {
        let Some(demand) = self.models.get(model) else { return 0.0 };
        let steady = demand.steady.at(DEMAND_TIME_CONSTANT, now);
        let recent = demand.recent.at(RISE_TIME_CONSTANT, now);
        let variance = recent * demand.work / (2.0 * RISE_TIME_CONSTANT.as_secs_f64());
        steady.max(recent - 2.0 * variance.sqrt())
    }
}

/// A planned change of the models of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// Model to load.
    pub load: Arc<str>,
    /// Models to unload first.
    pub unload: Vec<Arc<str>>,
    /// When the swap was planned.
    pub since: Time,
}

impl Swap {
    /// Returns whether the swap unloads a model.
    pub fn unloads(&self, model: &str) -> bool {
        self.unload.iter().any(|name| &**name == model)
    }
}

/// Input of a planning round.
pub struct PlanInput<'a> {
    /// Specification of the engines.
    pub spec: &'a EngineSpec,
    /// Demand for each model.
    pub demand: &'a Demand,
    /// Number of queued requests by model.
    pub waiting: &'a HashMap<Arc<str>, usize>,
    /// Loads from the weight store that may start now.
    pub max_loads: usize,
    /// How many of these loads may be for models without demand.
    pub max_spare_loads: usize,
    /// Current time.
    pub now: Time,
}

/// Plans the next swaps, the most useful first.
///
/// The utilization of an engine is the demand for its models, with the demand for each model
/// divided by its replicas. The gain of a swap is the reduction of the sum of squared utilizations,
/// so replicas are added at idle engines for models whose engines are busy. Models in demand
/// without a replica come first.
pub fn plan<'a>(
    engines: impl Iterator<Item = &'a Endpoint>,
    input: &PlanInput<'_>,
) -> Vec<(Arc<str>, Swap)> {
    let engines: Vec<&Endpoint> = engines.filter(|engine| engine.is_serving()).collect();
    let mut layout = Layout::new(&engines, input);
    let mut swaps: Vec<(Arc<str>, Swap)> = Vec::new();
    let mut budget = StoreBudget { loads: input.max_loads, spare_loads: input.max_spare_loads };
    while swaps.len() < MAX_SWAPS {
        let candidates = layout.candidates();
        let proposals = candidates
            .iter()
            .filter_map(|candidate| layout.best_proposal(candidate, budget.allows(candidate)));
        let Some(best) = proposals.max_by(|a, b| a.gain.total_cmp(&b.gain)) else { break };
        budget.take(&best);
        let swap = layout.apply(&best);
        swaps.push((engines[best.engine].info.id.clone(), swap));
    }
    swaps
}

/// Loads from the weight store that may still start in a round.
struct StoreBudget {
    loads: usize,
    /// How many of them may be for models without demand.
    spare_loads: usize,
}

impl StoreBudget {
    /// Returns whether a model may be loaded from the weight store.
    fn allows(&self, candidate: &Candidate) -> bool {
        match candidate.need {
            Need::Spare => self.loads.min(self.spare_loads) > 0,
            Need::Busy | Need::Urgent => self.loads > 0,
        }
    }

    fn take(&mut self, proposal: &Proposal) {
        self.loads -= usize::from(proposal.from_store);
        self.spare_loads -= usize::from(proposal.from_store && proposal.need == Need::Spare);
    }
}

impl Endpoint {
    /// Returns whether the last model load ended long enough ago for another one.
    fn may_change_models(&self, now: Time) -> bool {
        now.since(self.last_load) >= MIN_LOAD_INTERVAL
    }

    /// Returns whether the engine has the weights of a model in its host memory or on its disk.
    pub(super) fn has_local_weights(&self, model: &str) -> bool {
        let local = self.info.in_memory.iter().chain(&self.info.on_disk);
        local.into_iter().any(|name| &**name == model)
    }

    /// Returns how long this engine takes to load a model.
    pub(super) fn load_time(&self, spec: &EngineSpec, model: &str) -> Duration {
        let Some(spec) = spec.models.get(model) else { return Duration::ZERO };
        let listed_in = |names: &[Arc<str>]| names.iter().any(|name| &**name == model);
        match () {
            () if listed_in(&self.info.in_memory) => spec.memory_time,
            () if listed_in(&self.info.on_disk) => spec.disk_time,
            () => spec.load_time,
        }
    }
}
