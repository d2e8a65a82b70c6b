//! Which engine loads which model.

mod layout;

use std::{collections::HashMap, sync::Arc, time::Duration};

use self::layout::{Layout, Need};
use super::Endpoint;
use crate::{catalog::EngineSpec, clock::Time};

/// Time over which demand is averaged.
const MEMORY: Duration = Duration::from_millis(2_500);

/// Shortest time between the loads of two models at one engine.
const SETTLE: Duration = Duration::from_millis(1_200);

/// Changes that one look may bring.
const CHANGE_LIMIT: usize = 4;

/// Work that each model asks of its copies, averaged.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    models: HashMap<Arc<str>, (f64, Time)>,
}

impl Demand {
    /// Notes a request that costs an engine `work`.
    pub fn note(&mut self, model: &Arc<str>, work: Duration, now: Time) {
        let before = self.rate(model, now);
        let added = work.as_secs_f64() / MEMORY.as_secs_f64();
        self.models.insert(model.clone(), (before + added, now));
    }

    /// Returns the work of a model in seconds a second.
    pub fn rate(&self, model: &str, now: Time) -> f64 {
        let Some((rate, at)) = self.models.get(model) else { return 0.0 };
        rate * (-now.since(*at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

/// A change of the models of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// Model to load.
    pub load: Arc<str>,
    /// Models to drop before.
    pub unload: Vec<Arc<str>>,
    /// When it was decided.
    pub since: Time,
}

impl Swap {
    /// Returns whether the change drops a model.
    pub fn drops(&self, model: &str) -> bool {
        self.unload.iter().any(|name| &**name == model)
    }
}

/// What the planner looks at.
pub struct PlanInput<'a> {
    /// Make of the engines.
    pub spec: &'a EngineSpec,
    /// Demand.
    pub demand: &'a Demand,
    /// Models for which requests wait, with their number.
    pub waiting: &'a HashMap<Arc<str>, usize>,
    /// Loads from the weight store that may start now.
    pub loads: usize,
    /// Those of them that may be for models that nobody asks for.
    pub reach: usize,
    /// Present time.
    pub now: Time,
}

/// Chooses the next changes, most useful first.
///
/// The load of an engine is the work of its models, each divided by its copies. A change is worth
/// the fall of the sum of squared loads: copies move from engines that are busy to idle ones. Models
/// without a copy come first.
pub fn plan<'a>(
    engines: impl Iterator<Item = &'a Endpoint>,
    input: &PlanInput<'_>,
) -> Vec<(Arc<str>, Swap)> {
    let engines: Vec<&Endpoint> = engines.filter(|engine| engine.is_serving()).collect();
    let mut layout = Layout::new(&engines, input);
    let mut changes: Vec<(Arc<str>, Swap)> = Vec::new();
    let (mut loads, mut reach) = (input.loads, input.reach);
    while changes.len() < CHANGE_LIMIT {
        let models = layout.pressed(input);
        let offers = models.iter().flat_map(|(model, need)| {
            let layout = &layout;
            engines
                .iter()
                .enumerate()
                .filter_map(move |(at, engine)| layout.offer(at, engine, model, *need, input))
        });
        let payable = offers.filter(|offer| match offer.need {
            _ if !offer.stored => true,
            Need::Reach => loads.min(reach) > 0,
            Need::Busy | Need::Urgent => loads > 0,
        });
        let Some(best) = payable.max_by(|a, b| a.gain.total_cmp(&b.gain)) else { break };
        loads -= usize::from(best.stored);
        reach -= usize::from(best.stored && best.need == Need::Reach);
        layout.apply(&best);
        changes.push((engines[best.at].info.id.clone(), best.swap));
    }
    changes
}

impl Endpoint {
    /// Returns whether no model was loaded here lately.
    fn settled(&self, now: Time) -> bool {
        now.since(self.loaded) >= SETTLE
    }

    /// Returns whether the engine has the weights of a model in its memory or on its disk.
    pub(super) fn has_copy(&self, model: &str) -> bool {
        let copies = self.info.in_memory.iter().chain(&self.info.on_disk);
        copies.into_iter().any(|name| &**name == model)
    }

    /// Returns how long a load of a model takes here.
    pub(super) fn load_time(&self, spec: &EngineSpec, model: &str) -> Duration {
        let Some(spec) = spec.models.get(model) else { return Duration::ZERO };
        let among = |names: &[Arc<str>]| names.iter().any(|name| &**name == model);
        match () {
            () if among(&self.info.in_memory) => spec.memory_time,
            () if among(&self.info.on_disk) => spec.disk_time,
            () => spec.load_time,
        }
    }
}
