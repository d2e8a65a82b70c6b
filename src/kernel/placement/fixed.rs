//! Placement policy that puts each model on the same endpoints, whatever the demand.

use std::{cmp::Reverse, collections::BTreeMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{EngineState, PlacementPolicy, Step, View};
use crate::{
    kernel::registry::PlacementPlugin,
    names::{EndpointId, Model},
};

/// Number of replicas of each model.
const REPLICAS_PER_MODEL: usize = 2;

/// Places each model on two endpoints that rendezvous hashing selects, and loads it again when a
/// replica is lost.
#[derive(Debug)]
pub struct Static;

impl PlacementPolicy for Static {
    fn plan(&self, view: &View, _: &BTreeMap<Model, EndpointId>) -> Vec<Step> {
        let mut free_memory: BTreeMap<&EndpointId, u64> =
            view.engines.iter().map(|engine| (&engine.endpoint, engine.free)).collect();
        let mut steps = Vec::new();
        for (model, need) in &view.needs {
            let replicas = view.engines.iter().filter(|engine| engine.has_or_loads(model)).count();
            let mut engines: Vec<&EngineState> =
                view.engines.iter().filter(|e| e.pool == need.pool).collect();
            engines.sort_by_key(|engine| Reverse(weight(engine, model)));
            let candidates = engines.into_iter().filter(|engine| {
                !engine.has_or_loads(model)
                    && free_memory.get(&engine.endpoint).is_some_and(|free| *free >= need.bytes)
            });
            let missing = REPLICAS_PER_MODEL.saturating_sub(replicas);
            for engine in candidates.take(missing).collect::<Vec<_>>() {
                if let Some(free_bytes) = free_memory.get_mut(&engine.endpoint) {
                    *free_bytes -= need.bytes;
                }
                let (endpoint, model) = (engine.endpoint.clone(), model.clone());
                steps.push(Step::Load { endpoint, model });
            }
        }
        steps
    }
}

/// Returns the weight of an engine for a model in rendezvous hashing.
fn weight(engine: &EngineState, model: &Model) -> u64 {
    let seed = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
    xxh3_64_with_seed(engine.endpoint.as_str().as_bytes(), seed)
}

inventory::submit! { PlacementPlugin { name: "static", policy: &Static } }
