//! The operators' configuration: targets, teams, keys, data centres, models and services.
//!
//! It is one YAML document, stored by the platform under a version that only increases. `raw`
//! mirrors the document, and `checked` is what the rest of the system reads.

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
