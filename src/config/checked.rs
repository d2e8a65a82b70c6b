//! The validated configuration, as the rest of the system reads it.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use http::Method;

use super::raw::RawConfig;
use crate::names::{Adapter, Class, DataCentre, KeyId, Model, Pool, Service, Team};

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version of the document, which only increases.
    pub version: u64,
    /// The document that was validated.
    pub raw: RawConfig,
    /// Classes by name.
    pub classes: BTreeMap<Class, ClassTarget>,
    /// Teams by name.
    pub teams: BTreeMap<Team, TeamSpec>,
    /// Id and team of each key, by the hash of the key.
    pub keys: HashMap<[u8; 32], (KeyId, Team)>,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentre, DataCentreState>,
    /// Pools by name.
    pub pools: BTreeMap<Pool, PoolSpec>,
    /// Models by name.
    pub models: BTreeMap<Model, ModelSpec>,
    /// Plain services by name.
    pub services: BTreeMap<Service, ServiceSpec>,
    /// Limits of the weight store.
    pub weight_store: WeightStoreLimits,
    /// Names of the policies.
    pub policy: PolicyNames,
}

/// Service-level target of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassTarget {
    /// Maximum time to the first token or byte.
    pub first_byte: Duration,
    /// Maximum gap between tokens.
    pub token_gap: Option<Duration>,
    /// Maximum time to the complete response.
    pub deadline: Duration,
    /// Fraction of the requests that must meet the target, from 0 to 1.
    pub target_fraction: f64,
    /// Whether the work may wait while other work is served.
    pub background: bool,
}

/// Limits and permitted classes of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpec {
    /// Tokens per second over all instances.
    pub rate: u64,
    /// Tokens that may be used at once over all instances.
    pub burst: u64,
    /// Classes that the team may use; the first is its default.
    pub classes: Vec<Class>,
}

/// Whether a data centre takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataCentreState {
    /// The data centre is in service.
    In,
    /// Operators have taken the data centre out of service.
    Out,
}

/// Kind of the endpoints of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolKind {
    /// Engines that run models.
    Engine,
    /// Servers of a plain service.
    Service,
}

/// Properties shared by all endpoints of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// Kind of the endpoints.
    pub kind: PoolKind,
    /// Whether the endpoints refuse orders with an outdated fencing token.
    pub fencing: bool,
    /// Memory of each endpoint for weights and adapters, in bytes.
    pub memory: u64,
    /// Part of the memory reserved for adapters, in bytes.
    pub adapter_bytes: u64,
    /// Requests that may run at once at a cold endpoint.
    pub cold_limit: u32,
    /// Requests that may run at once at a warm endpoint.
    pub warm_limit: u32,
    /// Time after which a sent order can no longer take effect.
    pub order_ttl: Duration,
    /// Adapter loads that may run at once at an endpoint.
    pub adapter_loads: u32,
}

/// Specification of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Pool whose engines run the model.
    pub pool: Pool,
    /// Size of the weights in bytes.
    pub bytes: u64,
    /// Adapters with their size in bytes.
    pub adapters: BTreeMap<Adapter, u64>,
    /// Tokens charged for a response if the caller sets no limit.
    pub max_tokens: u32,
}

/// Specification of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Pool whose endpoints run the service.
    pub pool: Pool,
    /// Whether the service itself recognizes an idempotency key that it has seen before.
    pub dedupes: bool,
    /// Routes of the service; the first match applies.
    pub routes: Vec<RouteSpec>,
}

/// Whether a request may be sent to an endpoint more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request is idempotent.
    Safe,
    /// The request runs at most once.
    Never,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// HTTP method.
    pub method: Method,
    /// Path below `/services/{service}`; a trailing `*` matches any suffix.
    pub path: String,
    /// Class of the route's requests.
    pub class: Class,
    /// Whether the route's requests may be retried.
    pub retry: RetryPolicy,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Tokens charged for each request.
    pub tokens: u64,
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightStoreLimits {
    /// Loads that may start per second.
    pub load_rate: f64,
    /// Loads that may run at once.
    pub max_loads: u32,
}

/// Names of the policies to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyNames {
    /// Order in which a steward dispatches requests.
    pub dispatch: String,
    /// Choice among the replicas of a model.
    pub routing: String,
    /// Placement of models on endpoints.
    pub placement: String,
}

impl Config {
    /// Returns whether a data centre takes new work; an unknown one does not.
    pub fn is_in_service(&self, data_centre: &DataCentre) -> bool {
        self.data_centres.get(data_centre) == Some(&DataCentreState::In)
    }

    /// Returns the id and the team of a key, or `None` for an unknown or withdrawn key.
    pub fn team_of(&self, key: &str) -> Option<&(KeyId, Team)> {
        self.keys.get(blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl ServiceSpec {
    /// Returns the first route that matches a method and a path.
    pub fn route(&self, method: &Method, path: &str) -> Option<&RouteSpec> {
        self.routes.iter().find(|route| route.method == *method && route.matches(path))
    }
}

impl RouteSpec {
    fn matches(&self, path: &str) -> bool {
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        }
    }
}
