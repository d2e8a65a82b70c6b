//! Places each model on the same endpoints, whatever the demand.

use std::{cmp::Reverse, collections::BTreeMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{EngineState, PlacementPolicy, Step, View};
use crate::{
    kernel::registry::PlacementPlugin,
    names::{EndpointId, Model},
};

/// Copies of each model.
const REPLICAS_PER_MODEL: usize = 2;

/// Places each model on two endpoints drawn by its name and reloads it there when it is lost.
#[derive(Debug)]
pub struct Static;

impl PlacementPolicy for Static {
    fn plan(&self, view: &View, _: &BTreeMap<Model, EndpointId>) -> Vec<Step> {
        let mut free: BTreeMap<&EndpointId, u64> =
            view.engines.iter().map(|site| (&site.endpoint, site.free)).collect();
        let mut steps = Vec::new();
        for (model, need) in &view.needs {
            let holders = view.engines.iter().filter(|site| site.has_or_loads(model)).count();
            let mut sites: Vec<&EngineState> =
                view.engines.iter().filter(|s| s.pool == need.pool).collect();
            sites.sort_by_key(|site| Reverse(weight(site, model)));
            let fitting = sites.into_iter().filter(|site| {
                !site.has_or_loads(model)
                    && free.get(&site.endpoint).is_some_and(|f| *f >= need.bytes)
            });
            let missing = REPLICAS_PER_MODEL.saturating_sub(holders);
            for site in fitting.take(missing).collect::<Vec<_>>() {
                if let Some(left) = free.get_mut(&site.endpoint) {
                    *left -= need.bytes;
                }
                let (endpoint, model) = (site.endpoint.clone(), model.clone());
                steps.push(Step::Load { endpoint, model });
            }
        }
        steps
    }
}

fn weight(site: &EngineState, model: &Model) -> u64 {
    let seed = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
    xxh3_64_with_seed(site.endpoint.as_str().as_bytes(), seed)
}

inventory::submit! { PlacementPlugin { name: "static", policy: &Static } }
