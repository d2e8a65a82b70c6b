//! The configuration document as written, before validation.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The configuration document as written.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfig {
    /// Classes of work by name.
    pub classes: BTreeMap<String, RawClass>,
    /// Teams by name.
    pub teams: BTreeMap<String, RawTeam>,
    /// Callers' keys by id, the name by which operators refer to a key.
    #[serde(default)]
    pub keys: BTreeMap<String, RawKey>,
    /// Data centres by name.
    pub data_centres: BTreeMap<String, RawDataCentre>,
    /// Pools of endpoints by name.
    pub pools: BTreeMap<String, RawPool>,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<String, RawModel>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<String, RawService>,
    /// Limits of the weight store.
    #[serde(default)]
    pub weight_store: RawStore,
    /// Names of the policies to use.
    #[serde(default)]
    pub policy: RawPolicy,
}

/// A class of work as written.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawClass {
    /// Target for the first token or the first byte of the response, in milliseconds.
    pub first_ms: u64,
    /// Target for the gap between tokens, in milliseconds, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gap_ms: Option<u64>,
    /// Time within which the response must be complete, in milliseconds.
    pub deadline_ms: u64,
    /// Percentage of the requests that must meet the target.
    pub percent: f64,
    /// Whether the work may wait while other work is served.
    #[serde(default)]
    pub background: bool,
}

/// A team as written.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTeam {
    /// Tokens per second over all instances.
    pub rate: u64,
    /// Tokens that may be used at once over all instances.
    pub burst: u64,
    /// Classes that the team may use; the first is its default.
    pub classes: Vec<String>,
}

/// A key as written.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawKey {
    /// Team that the key belongs to.
    pub team: String,
    /// Hexadecimal BLAKE3 hash of the key.
    pub hash: String,
}

/// A data centre as written.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDataCentre {
    /// Whether operators have taken the data centre out of service.
    #[serde(default)]
    pub out: bool,
}

/// A pool of endpoints as written.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPool {
    /// `engine` or `service`.
    pub kind: String,
    /// Whether the endpoints refuse orders with an outdated fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// Memory of each endpoint for weights, in megabytes; zero for services.
    #[serde(default)]
    pub memory_mb: u64,
    /// Requests that may run at once at a cold endpoint.
    pub cold_limit: u32,
    /// Requests that may run at once at a warm endpoint.
    pub warm_limit: u32,
    /// Time after which a sent order can no longer take effect, in milliseconds.
    #[serde(default = "default_order_ms")]
    pub order_ms: u64,
    /// Adapter loads that may run at once at an endpoint.
    #[serde(default = "default_adapter_loads")]
    pub adapter_loads: u32,
    /// Memory reserved for adapters on each endpoint, in megabytes.
    #[serde(default)]
    pub adapter_mb: u64,
}

fn default_order_ms() -> u64 {
    30_000
}

fn default_adapter_loads() -> u32 {
    50
}

/// A model as written.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawModel {
    /// Pool whose engines serve the model.
    pub pool: String,
    /// Size of the weights in megabytes.
    pub mb: u64,
    /// Adapters by name, with their size in megabytes.
    #[serde(default)]
    pub adapters: BTreeMap<String, u64>,
    /// Tokens charged for a response if the caller sets no limit.
    #[serde(default = "default_answer")]
    pub max_tokens: u32,
}

fn default_answer() -> u32 {
    512
}

/// A plain service as written.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Pool whose endpoints run the service.
    pub pool: String,
    /// Whether the service itself recognizes an idempotency key that it has seen before.
    #[serde(default)]
    pub dedupes: bool,
    /// Routes of the service; the first match applies.
    pub routes: Vec<RawRoute>,
}

/// A route of a plain service as written.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    /// HTTP method.
    pub method: String,
    /// Path below `/services/{service}`; a trailing `*` matches any suffix.
    pub path: String,
    /// Class of the route's requests.
    pub class: String,
    /// Whether a request may be retried: `safe` or `never`.
    #[serde(default = "default_repeat")]
    pub repeat: String,
    /// Whether the route needs no key.
    #[serde(default)]
    pub open: bool,
    /// Tokens charged for each request.
    #[serde(default = "default_cost")]
    pub tokens: u64,
}

fn default_repeat() -> String {
    "safe".to_owned()
}

fn default_cost() -> u64 {
    1
}

/// Limits of the weight store as written.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawStore {
    /// Loads that may start per second.
    pub loads: f64,
    /// Loads that may run at once.
    pub at_once: u32,
}

impl Default for RawStore {
    fn default() -> Self {
        Self { loads: 2.0, at_once: 6 }
    }
}

/// Names of the policies as written.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawPolicy {
    /// Order in which a steward dispatches requests.
    pub dispatch: String,
    /// Choice among the replicas of a model.
    pub routing: String,
    /// Placement of models on endpoints.
    pub placement: String,
}

impl Default for RawPolicy {
    fn default() -> Self {
        Self {
            dispatch: "slack".to_owned(),
            routing: "two-choices".to_owned(),
            placement: "marginal".to_owned(),
        }
    }
}
