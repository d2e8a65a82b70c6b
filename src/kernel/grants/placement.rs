//! Placement: decides which engine loads which model.

mod layout;

use std::{collections::HashMap, sync::Arc, time::Duration};

use self::layout::{Layout, Need};
use super::Endpoint;
use crate::{catalog::EngineSpec, clock::Time};

/// Time constant of the decaying average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(2_500);

/// Minimum time between two model loads at one engine, unless a load is urgent.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(1_200);

/// Maximum number of swaps planned in one round.
const MAX_SWAPS: usize = 4;

/// Demand for each model, as a decaying average.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Demand for each model in seconds of work per second, and when it was updated.
    models: HashMap<Arc<str>, (f64, Time)>,
}

impl Demand {
    /// Records a request that needs `work` of an engine's time.
    pub fn record(&mut self, model: &Arc<str>, work: Duration, now: Time) {
        let old_rate = self.rate(model, now);
        let added = work.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.models.insert(model.clone(), (old_rate + added, now));
    }

    /// Returns the demand for a model in seconds of work per second.
    pub fn rate(&self, model: &str, now: Time) -> f64 {
        let Some((rate, updated_at)) = self.models.get(model) else { return 0.0 };
        rate * (-now.since(*updated_at).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
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
    let (mut store_loads, mut spare_loads) = (input.max_loads, input.max_spare_loads);
    while swaps.len() < MAX_SWAPS {
        let models = layout.candidates(input);
        let proposals = models.iter().flat_map(|(model, need)| {
            let layout = &layout;
            engines.iter().enumerate().filter_map(move |(index, engine)| {
                layout.propose(index, engine, model, *need, input)
            })
        });
        let allowed = proposals.filter(|proposal| match proposal.need {
            _ if !proposal.from_store => true,
            Need::Spare => store_loads.min(spare_loads) > 0,
            Need::Busy | Need::Urgent => store_loads > 0,
        });
        let Some(best) = allowed.max_by(|a, b| a.gain.total_cmp(&b.gain)) else { break };
        store_loads -= usize::from(best.from_store);
        spare_loads -= usize::from(best.from_store && best.need == Need::Spare);
        layout.apply(&best);
        swaps.push((engines[best.engine].info.id.clone(), best.swap));
    }
    swaps
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
