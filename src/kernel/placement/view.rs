//! The planner's view of all engines and models, from which a policy places the models.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::{Config, PoolKind},
    kernel::routing::Directory,
    names::{DataCentre, EndpointId, Model, Pool},
};

/// State of one engine, as the newest digest describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Id of the engine's endpoint.
    pub endpoint: EndpointId,
    /// Pool of the engine.
    pub pool: Pool,
    /// Data centre of the engine.
    pub data_centre: DataCentre,
    /// Whether the data centre is in service and accepts new work.
    pub in_service: bool,
    /// Bytes of memory that neither resident models nor open loads use.
    pub free: u64,
    /// Bytes of memory that unloads in progress will free.
    pub freeing: u64,
    /// Models that are resident.
    pub resident: BTreeSet<Model>,
    /// Models with an open load.
    pub loading: BTreeSet<Model>,
    /// Running and waiting requests, in thousandths of the engine's limit.
    pub load: u64,
}

impl EngineState {
    /// Returns whether a model is resident or being loaded.
    pub fn has_or_loads(&self, model: &Model) -> bool {
        self.resident.contains(model) || self.loading.contains(model)
    }
}

/// Memory and demand of one model.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Pool whose engines can load the model.
    pub pool: Pool,
    /// Size of the weights in bytes.
    pub bytes: u64,
    /// Demand in tokens a second.
    pub demand: f64,
    /// Number of requests that wait because no replica is resident.
    pub waiting: u32,
}

/// State of all engines and needs of all models.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Engines, sorted by endpoint.
    pub engines: Vec<EngineState>,
    /// Need of each model.
    pub needs: BTreeMap<Model, Need>,
    /// Whether replicas may be unloaded now to make room for others.
    pub may_exchange: bool,
}

impl View {
    /// Builds the view from the configuration and from the digests of all instances.
    pub fn new(config: &Config, directory: &Directory) -> Self {
        let engines = engine_states(config, directory);
        let mut view = View { engines, needs: model_needs(config), may_exchange: true };
        for demand in directory.digests().flat_map(|digest| &digest.demand) {
            if let Some(need) = view.needs.get_mut(demand.model.as_str()) {
                need.demand += demand.fast.max(demand.slow) as f64;
                need.waiting += demand.waiting;
            }
        }
        view
    }

    /// Returns the engines in service that have or load a model.
    pub fn replicas<'a>(&'a self, model: &'a Model) -> impl Iterator<Item = &'a EngineState> {
        self.engines.iter().filter(move |engine| engine.in_service && engine.has_or_loads(model))
    }

    /// Returns the engines in service on which a model is resident.
    pub fn resident_replicas<'a>(
        &'a self,
        model: &'a Model,
    ) -> impl Iterator<Item = &'a EngineState> {
        self.engines
            .iter()
            .filter(move |engine| engine.in_service && engine.resident.contains(model))
    }

    /// Returns the number of open loads.
    pub fn open_loads(&self) -> usize {
        self.engines.iter().map(|engine| engine.loading.len()).sum()
    }

    /// Returns the engine of an endpoint.
    pub fn engine(&self, endpoint: &EndpointId) -> Option<&EngineState> {
        self.engines.iter().find(|engine| engine.endpoint == *endpoint)
    }

    /// Returns the engine of an endpoint, so that the caller can change its state.
    pub fn engine_mut(&mut self, endpoint: &EndpointId) -> Option<&mut EngineState> {
        self.engines.iter_mut().find(|engine| engine.endpoint == *endpoint)
    }
}

/// Returns the states of all engines, each as the steward of its newest term describes it.
fn engine_states(config: &Config, directory: &Directory) -> Vec<EngineState> {
    let described = directory.digests().flat_map(|digest| &digest.endpoints);
    let mut newest = BTreeMap::new();
    for endpoint in described {
        let known = newest.entry(endpoint.endpoint.as_str()).or_insert(endpoint);
        if known.fence < endpoint.fence {
            *known = endpoint;
        }
    }
    let is_engine =
        |pool: &str| config.pools.get(pool).is_some_and(|pool| pool.kind == PoolKind::Engine);
    let engines = newest.into_values().filter(|endpoint| is_engine(&endpoint.pool));
    let states = engines.map(|endpoint| EngineState {
        endpoint: endpoint.endpoint.as_str().into(),
        pool: endpoint.pool.as_str().into(),
        data_centre: endpoint.data_centre.as_str().into(),
        in_service: config.is_in_service(&endpoint.data_centre.as_str().into()),
        free: endpoint.free,
        freeing: 0,
        resident: endpoint.models.iter().map(|model| model.as_str().into()).collect(),
        loading: endpoint.loading.iter().map(|model| model.as_str().into()).collect(),
        load: u64::from(endpoint.running + endpoint.queued) * 1_000
            / u64::from(endpoint.limit.max(1)),
    });
    states.collect()
}

/// Returns the needs of all configured models, without demand.
fn model_needs(config: &Config) -> BTreeMap<Model, Need> {
    let needs = config.models.iter().map(|(model, spec)| {
        let pool = spec.pool.clone();
        (model.clone(), Need { pool, bytes: spec.bytes, demand: 0.0, waiting: 0 })
    });
    needs.collect()
}
