//! What a placement is decided from.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::{Config, PoolKind},
    kernel::routing::Directory,
    names::{DataCentre, EndpointId, Model, Pool},
};

/// An endpoint that holds models.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its pool.
    pub pool: Pool,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether its data centre takes new work.
    pub in_service: bool,
    /// Bytes that no resident or open load takes.
    pub free: u64,
    /// Bytes that unloads in progress will free.
    pub freeing: u64,
    /// Models that are resident.
    pub resident: BTreeSet<Model>,
    /// Models with an open load.
    pub loading: BTreeSet<Model>,
    /// Requests there per request that it may run, in thousandths.
    pub load: u64,
}

impl EngineState {
    /// Returns whether a model is resident or being loaded.
    pub fn has_or_loads(&self, model: &Model) -> bool {
        self.resident.contains(model) || self.loading.contains(model)
    }
}

/// What a model needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Pool whose endpoints can hold the model.
    pub pool: Pool,
    /// Size of the weights in bytes.
    pub bytes: u64,
    /// Tokens a second.
    pub demand: f64,
    /// Requests that wait because no copy is resident.
    pub waiting: u32,
}

/// What a placement is decided from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Endpoints in the order of their names.
    pub engines: Vec<EngineState>,
    /// Needs by model.
    pub needs: BTreeMap<Model, Need>,
    /// Whether copies may be exchanged now.
    pub may_exchange: bool,
}

impl View {
    /// Builds the view from the configuration and what stewards and entries said.
    pub fn new(config: &Config, directory: &Directory) -> Self {
        let sites = engine_states(config, directory);
        let mut view = View { engines: sites, needs: model_needs(config), may_exchange: true };
        for demand in directory.digests().flat_map(|digest| &digest.demand) {
            if let Some(need) = view.needs.get_mut(demand.model.as_str()) {
                need.demand += demand.fast.max(demand.slow) as f64;
                need.waiting += demand.waiting;
            }
        }
        view
    }

    /// Returns the open endpoints that hold or load a model.
    pub fn replicas<'a>(&'a self, model: &'a Model) -> impl Iterator<Item = &'a EngineState> {
        self.engines.iter().filter(move |site| site.in_service && site.has_or_loads(model))
    }

    /// Returns the open endpoints on which a model is resident.
    pub fn resident_replicas<'a>(
        &'a self,
        model: &'a Model,
    ) -> impl Iterator<Item = &'a EngineState> {
        self.engines.iter().filter(move |site| site.in_service && site.resident.contains(model))
    }

    /// Returns the number of open loads.
    pub fn open_loads(&self) -> usize {
        self.engines.iter().map(|site| site.loading.len()).sum()
    }

    /// Returns the site of an endpoint.
    pub fn engine(&self, endpoint: &EndpointId) -> Option<&EngineState> {
        self.engines.iter().find(|site| site.endpoint == *endpoint)
    }

    /// Returns the site of an endpoint for a change.
    pub fn engine_mut(&mut self, endpoint: &EndpointId) -> Option<&mut EngineState> {
        self.engines.iter_mut().find(|site| site.endpoint == *endpoint)
    }
}

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
    let sites = engines.map(|endpoint| EngineState {
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
    sites.collect()
}

fn model_needs(config: &Config) -> BTreeMap<Model, Need> {
    let needs = config.models.iter().map(|(model, spec)| {
        let pool = spec.pool.clone();
        (model.clone(), Need { pool, bytes: spec.bytes, demand: 0.0, waiting: 0 })
    });
    needs.collect()
}
