//! Validates a configuration document and converts it to its checked form.

use std::{collections::BTreeMap, time::Duration};

use super::{checked::*, raw::*};
use crate::{
    names::{Class, Model, Pool},
    yaml,
};

/// Number of bytes in a megabyte of the document.
const MEGABYTE: u64 = 1 << 20;

/// Maximum memory size that a document may state for an endpoint, in megabytes.
const MAX_MB: u64 = 1 << 30;

/// Maximum deadline of a class, in milliseconds: one week.
const MAX_DEADLINE_MS: u64 = 7 * 24 * 3_600 * 1_000;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 100;

/// Why a configuration was rejected.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ConfigError {
    /// The text is not YAML of the expected structure.
    #[error("{0}")]
    Parse(String),
    /// A field has an invalid value.
    #[error("{}{path}: {reason}", line.map(|line| format!("line {line}: ")).unwrap_or_default())]
    Field {
        /// Line of the field, if the text of the document is available.
        line: Option<u64>,
        /// Path of the field.
        path: String,
        /// What is wrong with the value and what is expected.
        reason: String,
    },
}

impl Config {
    /// Parses and validates a YAML document.
    pub fn parse(version: u64, text: &str) -> Result<Self, ConfigError> {
        let raw: RawConfig = yaml::parse(text).map_err(ConfigError::Parse)?;
        Self::try_from((version, raw)).map_err(|err| err.locate(text))
    }
}

impl ConfigError {
    /// Adds the line at which the field stands in `text`.
    pub(super) fn locate(self, text: &str) -> Self {
        match self {
            ConfigError::Field { path, reason, .. } => {
                ConfigError::Field { line: yaml::line_of(text, &path), path, reason }
            }
            other => other,
        }
    }
}

impl TryFrom<(u64, RawConfig)> for Config {
    type Error = ConfigError;

    fn try_from((version, raw): (u64, RawConfig)) -> Result<Self, Self::Error> {
        Ok(Config {
            version,
            classes: check_each(&raw.classes, "classes", check_class)?,
            teams: check_each(&raw.teams, "teams", |path, team: &RawTeam| {
                check_team(&raw, path, team)
            })?,
            keys: check_keys(&raw)?,
            data_centres: check_each(&raw.data_centres, "data_centres", check_data_centre)?,
            pools: check_each(&raw.pools, "pools", check_pool)?,
            models: check_each(&raw.models, "models", |path, model: &RawModel| {
                check_model(&raw, path, model)
            })?,
            services: check_each(&raw.services, "services", |path, service: &RawService| {
                check_service(&raw, path, service)
            })?,
            weight_store: check_weight_store(&raw.weight_store)?,
            policy: PolicyNames {
                dispatch: raw.policy.dispatch.clone(),
                routing: raw.policy.routing.clone(),
                placement: raw.policy.placement.clone(),
            },
            raw,
        })
    }
}

/// Checks every name and item of a section, and returns the checked items by name.
fn check_each<R, K: From<String> + Ord, V>(
    raw: &BTreeMap<String, R>,
    section: &str,
    check: impl Fn(&str, &R) -> Result<V, ConfigError>,
) -> Result<BTreeMap<K, V>, ConfigError> {
    raw.iter()
        .map(|(name, item)| {
            let path = format!("{section}.{name}");
            check_name(&path, name)?;
            Ok((K::from(name.clone()), check(&path, item)?))
        })
        .collect()
}

fn check_name(path: &str, name: &str) -> Result<(), ConfigError> {
    let legal = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
    let ok = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(legal);
    ensure(ok, path, "write a name of letters, digits, '-', '_', '.', '/' and ':' only")
}

fn check_class(path: &str, raw: &RawClass) -> Result<ClassTarget, ConfigError> {
    ensure(raw.first_ms > 0, path, "first_ms must be above zero")?;
    ensure(raw.deadline_ms >= raw.first_ms, path, "deadline_ms must not be below first_ms")?;
    ensure(raw.deadline_ms <= MAX_DEADLINE_MS, path, "deadline_ms must not exceed a week")?;
    ensure(raw.percent > 0.0 && raw.percent <= 100.0, path, "percent lies above 0, up to 100")?;
    Ok(ClassTarget {
        first_byte: Duration::from_millis(raw.first_ms),
        token_gap: raw.gap_ms.map(Duration::from_millis),
        deadline: Duration::from_millis(raw.deadline_ms),
        target_fraction: raw.percent / 100.0,
        background: raw.background,
    })
}

fn check_team(raw: &RawConfig, path: &str, team: &RawTeam) -> Result<TeamSpec, ConfigError> {
    ensure(team.rate > 0, path, "rate must be above zero")?;
    ensure(team.burst > 0, path, "burst must be above zero")?;
    ensure(!team.classes.is_empty(), path, "name at least one class")?;
    for class in &team.classes {
        ensure(raw.classes.contains_key(class), path, &format!("class {class} does not exist"))?;
    }
    let classes = team.classes.iter().map(|name| Class::from(name.as_str())).collect();
    Ok(TeamSpec { rate: team.rate, burst: team.burst, classes })
}

fn check_keys(
    raw: &RawConfig,
) -> Result<
    std::collections::HashMap<[u8; 32], (crate::names::KeyId, crate::names::Team)>,
    ConfigError,
> {
    let mut keys = std::collections::HashMap::new();
    for (id, key) in &raw.keys {
        let path = format!("keys.{id}");
        check_name(&path, id)?;
        let reason = format!("team {} does not exist", key.team);
        ensure(raw.teams.contains_key(&key.team), &path, &reason)?;
        let hash = blake3::Hash::from_hex(&key.hash)
            .map_err(|_| field_error(&path, "hash must be 64 hexadecimal digits"))?;
        let entry = (id.as_str().into(), key.team.as_str().into());
        ensure(keys.insert(*hash.as_bytes(), entry).is_none(), &path, "the key is given twice")?;
    }
    Ok(keys)
}

fn check_data_centre(_: &str, raw: &RawDataCentre) -> Result<DataCentreState, ConfigError> {
    Ok(if raw.out { DataCentreState::Out } else { DataCentreState::In })
}

fn check_pool(path: &str, raw: &RawPool) -> Result<PoolSpec, ConfigError> {
    let kind = match raw.kind.as_str() {
        "engine" => PoolKind::Engine,
        "service" => PoolKind::Service,
        _ => return Err(field_error(path, "kind is engine or service")),
    };
    ensure(raw.cold_limit > 0, path, "cold_limit must be above zero")?;
    ensure(raw.warm_limit >= raw.cold_limit, path, "warm_limit must not be below cold_limit")?;
    ensure(kind == PoolKind::Service || raw.memory_mb > 0, path, "an engine needs memory_mb")?;
    ensure(raw.memory_mb <= MAX_MB, path, "memory_mb is no plausible size")?;
    ensure(raw.adapter_mb <= raw.memory_mb, path, "adapter_mb must not exceed memory_mb")?;
    ensure(raw.adapter_loads > 0, path, "adapter_loads must be above zero")?;
    Ok(PoolSpec {
        kind,
        fencing: raw.fencing,
        memory: raw.memory_mb * MEGABYTE,
        adapter_bytes: raw.adapter_mb * MEGABYTE,
        cold_limit: raw.cold_limit,
        warm_limit: raw.warm_limit,
        order_ttl: Duration::from_millis(raw.order_ms),
        adapter_loads: raw.adapter_loads,
    })
}

fn check_model(raw: &RawConfig, path: &str, model: &RawModel) -> Result<ModelSpec, ConfigError> {
    let pool = raw
        .pools
        .get(&model.pool)
        .ok_or_else(|| field_error(path, &format!("pool {} does not exist", model.pool)))?;
    ensure(pool.kind == "engine", path, "its pool must be of kind engine")?;
    ensure(model.mb > 0, path, "mb must be above zero")?;
    ensure(
        model.mb <= pool.memory_mb.saturating_sub(pool.adapter_mb),
        path,
        "the model is too large for every endpoint of its pool",
    )?;
    ensure(model.max_tokens > 0, path, "max_tokens must be above zero")?;
    for (name, mb) in &model.adapters {
        ensure(*mb <= pool.adapter_mb, path, &format!("adapter {name} exceeds adapter_mb"))?;
    }
    let adapters =
        model.adapters.iter().map(|(name, mb)| (name.as_str().into(), mb * MEGABYTE)).collect();
    Ok(ModelSpec {
        pool: Pool::from(model.pool.as_str()),
        bytes: model.mb * MEGABYTE,
        adapters,
        max_tokens: model.max_tokens,
    })
}

fn check_service(
    raw: &RawConfig,
    path: &str,
    service: &RawService,
) -> Result<ServiceSpec, ConfigError> {
    let pool = raw
        .pools
        .get(&service.pool)
        .ok_or_else(|| field_error(path, &format!("pool {} does not exist", service.pool)))?;
    ensure(pool.kind == "service", path, "its pool must be of kind service")?;
    let routes = service
        .routes
        .iter()
        .enumerate()
        .map(|(i, route)| check_route(raw, &format!("{path}.routes[{i}]"), route))
        .collect::<Result<Vec<_>, _>>()?;
    ensure(!routes.is_empty(), path, "name at least one route")?;
    let pool = Pool::from(service.pool.as_str());
    Ok(ServiceSpec { pool, dedupes: service.dedupes, routes })
}

fn check_route(raw: &RawConfig, path: &str, route: &RawRoute) -> Result<RouteSpec, ConfigError> {
    ensure(
        raw.classes.contains_key(&route.class),
        path,
        &format!("class {} does not exist", route.class),
    )?;
    ensure(route.path.starts_with('/'), path, "path must start with /")?;
    let retry = match route.repeat.as_str() {
        "safe" => RetryPolicy::Safe,
        "never" => RetryPolicy::Never,
        _ => return Err(field_error(path, "repeat is safe or never")),
    };
    let open_without_retry = route.open && retry == RetryPolicy::Never;
    ensure(!open_without_retry, path, "a route that may not be repeated needs a key")?;
    Ok(RouteSpec {
        method: route
            .method
            .parse()
            .map_err(|_| field_error(path, "method is not an HTTP method"))?,
        path: route.path.clone(),
        class: Class::from(route.class.as_str()),
        retry,
        is_public: route.open,
        tokens: route.tokens,
    })
}

fn check_weight_store(raw: &RawStore) -> Result<WeightStoreLimits, ConfigError> {
    let loads_ok = raw.loads > 0.0 && raw.loads.is_finite();
    ensure(loads_ok, "weight_store", "loads must be above zero")?;
    ensure(raw.at_once > 0, "weight_store", "at_once must be above zero")?;
    Ok(WeightStoreLimits { load_rate: raw.loads, max_loads: raw.at_once })
}

impl Config {
    /// Returns the models of a pool.
    pub fn models_of<'a>(
        &'a self,
        pool: &'a Pool,
    ) -> impl Iterator<Item = (&'a Model, &'a ModelSpec)> {
        self.models.iter().filter(move |(_, spec)| spec.pool == *pool)
    }
}

/// Returns an error for the field at `path` unless `ok` is true.
fn ensure(ok: bool, path: &str, reason: &str) -> Result<(), ConfigError> {
    if ok { Ok(()) } else { Err(field_error(path, reason)) }
}

fn field_error(path: &str, reason: &str) -> ConfigError {
    ConfigError::Field { line: None, path: path.to_owned(), reason: reason.to_owned() }
}
