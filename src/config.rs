//! The operators' configuration: targets, teams, keys, data centres, models and services.
//!
//! The configuration is one YAML document, which the platform stores under a version that only
//! increases. The module `raw` mirrors the document as written, and `checked` defines the validated
//! form that the rest of the system reads.

mod check;
mod checked;
mod duplicates;
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
