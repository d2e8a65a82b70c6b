//! Decodes the operators' configuration document into the catalog of routes, services and teams.

pub mod check;
pub mod diff;

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::Deserialize;

use crate::{
    catalog::{
        CallerLimits, Catalog, EngineSpec, FetchSpec, ModelSpec, RetryPolicy, Route, Service, Team,
    },
    kernel::duties::scaling::ScalingSpec,
};

/// Key of the current document in the store.
pub const DOCUMENT_KEY: &str = "op/config";

/// Prefix of the operators' keys.
pub const OPERATOR_PREFIX: &str = "op/";

/// Prefix of the keys that take a data centre out of service; the name of the data centre follows.
pub const EVACUATE_PREFIX: &str = "op/evacuate/";

/// Attempts of a route that sets no maximum.
const DEFAULT_ATTEMPTS: u32 = 1;

/// Why a document cannot be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum DocumentError {
    /// The document is not valid JSON, or a field is missing or has the wrong type.
    #[error("cannot read the operators' document: {0}")]
    Parse(#[from] serde_json::Error),
    /// A route has a type that is not known.
    #[error("route {route} has the unknown type {kind}")]
    UnknownType {
        /// Name of the route.
        route: String,
        /// Type of the route.
        kind: String,
    },
}

#[derive(Deserialize)]
struct RawDocument {
    version: u64,
    #[serde(default)]
    routes: Vec<RawRoute>,
    #[serde(default)]
    services: Vec<RawService>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default)]
    limits: Option<RawLimits>,
}

#[derive(Deserialize)]
struct RawRoute {
    name: String,
    host: String,
    path_prefix: String,
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    split: Vec<RawSplit>,
    #[serde(default)]
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    gap_aim_ms: Option<f64>,
}

#[derive(Deserialize)]
struct RawSplit {
    service: String,
    #[serde(default)]
    weight: f64,
}

#[derive(Deserialize)]
struct RawService {
    name: String,
    #[serde(default)]
    cold_per_s: f64,
    #[serde(default)]
    engine: Option<RawEngine>,
    #[serde(default)]
    scaling: Option<RawScaling>,
}

#[derive(Deserialize)]
struct RawScaling {
    #[serde(default)]
    min: u32,
    max: u32,
    #[serde(default = "default_boot_s")]
    boot_s: f64,
}

/// Time until a new engine serves where the document names none.
fn default_boot_s() -> f64 {
    8.0
}

#[derive(Deserialize)]
struct RawEngine {
    slots: u32,
    kv_capacity_tokens: f64,
    weights_mb: f64,
    #[serde(default)]
    adapter_slots: u32,
    #[serde(default)]
    loads_per_s: f64,
    #[serde(default)]
    models: Vec<RawModel>,
    #[serde(default)]
    kv_token_bytes: Option<f64>,
    #[serde(default)]
    link_mbps: Option<f64>,
}

#[derive(Deserialize)]
struct RawModel {
    name: String,
    weights_mb: f64,
    load_s: f64,
    #[serde(default)]
    disk_s: Option<f64>,
    #[serde(default)]
    warm_s: Option<f64>,
    #[serde(default)]
    adapter_mb: f64,
}

#[derive(Deserialize)]
struct RawTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    #[serde(default)]
    priority: Option<u8>,
    #[serde(default)]
    plain_tokens: u64,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

#[derive(Deserialize)]
struct RawLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

/// Longest time that a document can set, in seconds.
const MAX_TIME_S: f64 = 24.0 * 3_600.0;

/// Parts of a weight that are told apart. Weights may be fractional; thousandths keep their ratios.
const WEIGHT_SCALE: f64 = 1e3;

/// Converts seconds to a duration within zero and [`MAX_TIME_S`].
fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_TIME_S))
}

/// Converts milliseconds to a duration, as [`seconds`] does.
fn millis(ms: f64) -> Duration {
    seconds(ms / 1_000.0)
}

/// Decodes a document. Fails on the first part that is not valid.
pub fn decode(text: &[u8]) -> Result<Catalog, DocumentError> {
    let raw: RawDocument = serde_json::from_slice(text)?;
    let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
    for raw in raw.routes {
        let host = Arc::from(raw.host.to_ascii_lowercase());
        routes.entry(host).or_default().push(Arc::new(decode_route(raw)?));
    }
    for host_routes in routes.values_mut() {
        host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
    let services = raw.services.into_iter().map(decode_service);
    let keys_required = !raw.tenants.is_empty();
    let mut keys = HashMap::new();
    for raw in raw.tenants {
        let api_keys = raw.api_keys.clone();
        let team = Arc::new(decode_team(raw));
        keys.extend(api_keys.into_iter().map(|key| (Arc::from(key), team.clone())));
    }
    Ok(Catalog {
        version: raw.version,
        routes,
        services: services.map(|service| (service.name.clone(), Arc::new(service))).collect(),
        keys,
        keys_required,
        limits: raw.limits.map(decode_limits).unwrap_or_default(),
    })
}

fn decode_route(raw: RawRoute) -> Result<Route, DocumentError> {
    let Some(retry) = decode_type(&raw.kind, raw.resumable) else {
        return Err(DocumentError::UnknownType { route: raw.name, kind: raw.kind });
    };
    let split = raw.split.iter().map(|target| {
        let weight = target.weight * WEIGHT_SCALE;
        (Arc::from(&*target.service), weight as u32)
    });
    let mut targets: Vec<(Arc<str>, u32)> = split.collect();
    targets.extend(raw.service.map(|service| (Arc::from(service), 1)));
    Ok(Route {
        name: raw.name.into(),
        prefix: raw.path_prefix.into(),
        targets,
        retry,
        timeout: millis(raw.timeout_ms),
        target_latency: millis(raw.target_latency_ms),
        max_pause: raw.gap_aim_ms.filter(|pause| *pause > 0.0).map(millis),
        priority: raw.priority,
        max_attempts: raw.max_attempts.unwrap_or(DEFAULT_ATTEMPTS).max(1),
        is_public: raw.public,
    })
}

/// Decodes the type of a route; `None` if it is not known.
fn decode_type(kind: &str, resumable: bool) -> Option<RetryPolicy> {
    match kind {
        "idempotent" => Some(RetryPolicy::Idempotent),
        "non_idempotent" => Some(RetryPolicy::Once),
        "streaming" => Some(RetryPolicy::Stream { resumable }),
        _ => None,
    }
}

fn decode_service(raw: RawService) -> Service {
    Service {
        name: raw.name.into(),
        cold_rate: raw.cold_per_s,
        engine: raw.engine.map(|engine| EngineSpec {
            slots: engine.slots,
            kv_tokens: engine.kv_capacity_tokens as u64,
            weights_mb: engine.weights_mb,
            adapter_slots: engine.adapter_slots,
            load_rate: engine.loads_per_s,
            fetch: decode_fetch(&engine),
            models: engine.models.into_iter().map(decode_model).collect(),
        }),
        scaling: raw.scaling.map(|raw| ScalingSpec {
            min: raw.min,
            max: raw.max,
            boot: seconds(raw.boot_s),
        }),
    }
}

/// Returns how engines fetch cached prompt parts; `None` unless both fields are positive.
fn decode_fetch(raw: &RawEngine) -> Option<FetchSpec> {
    let positive = |value: Option<f64>| value.filter(|value| *value > 0.0 && value.is_finite());
    let (token_bytes, link_mbps) = (positive(raw.kv_token_bytes)?, positive(raw.link_mbps)?);
    Some(FetchSpec { token_bytes, link_mbps })
}

fn decode_model(raw: RawModel) -> (Arc<str>, ModelSpec) {
    let load_time = seconds(raw.load_s);
    let or_load_time = |time: Option<f64>| time.map_or(load_time, seconds);
    let spec = ModelSpec {
        weights_mb: raw.weights_mb,
        adapter_mb: raw.adapter_mb,
        load_time,
        disk_time: or_load_time(raw.disk_s),
        memory_time: or_load_time(raw.warm_s),
    };
    (raw.name.into(), spec)
}

fn decode_team(raw: RawTenant) -> Team {
    Team {
        name: raw.name.into(),
        rate: raw.rate_per_s,
        burst: raw.burst,
        priority: raw.priority,
        default_tokens: raw.plain_tokens,
    }
}

fn decode_limits(raw: RawLimits) -> CallerLimits {
    CallerLimits {
        max_headers: raw.max_header_bytes,
        max_body: raw.max_body_bytes,
        header_timeout: millis(raw.header_timeout_ms),
        idle_timeout: millis(raw.idle_timeout_ms),
    }
}
