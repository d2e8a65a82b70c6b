//! The operators' configuration: targets, teams, keys, data centres, models and services.
//!
//! One YAML document, kept by the platform under a version that only grows. `raw` mirrors the
//! document, `checked` holds what the rest of the system reads.

mod check;
mod checked;
mod keys;
mod policies;
mod raw;

pub use self::{
    check::ConfigError,
    checked::{
        ClassTarget, Config, DataCentreState, ModelSpec, PolicyNames, PoolKind, PoolSpec,
        RetryPolicy, RouteSpec, ServiceSpec, TeamSpec, WeightStoreLimits,
    },
    keys::hash_key,
    raw::{
        RawClass, RawConfig, RawDataCentre, RawKey, RawModel, RawPolicy, RawPool, RawRoute,
        RawService, RawStore, RawTeam,
    },
};
