//! Where copies of models should be.

mod demand;
mod fixed;
mod keepers;
mod marginal;
mod permits;
mod planning;
mod view;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use self::{
    demand::Averages,
    fixed::Static,
    keepers::{KeeperMove, keeper_moves},
    marginal::Marginal,
    permits::LoadPermits,
    planning::Planning,
    view::{EngineState, Need, View},
};
use crate::names::{EndpointId, InstanceId, Model};

/// Key of the plan's record.
pub const PLAN_KEY: &str = "cardamomshore/plan";

/// What the platform's service keeps of the plan.
///
/// A model's keeper never unloads it. A steward that wants to unload first records the intent in
/// the endpoint's record and then reads the plan; the planner moves a keeper by one transaction
/// that expects the new keeper's record unchanged since it showed no intent to unload. One of the
/// two always sees the other.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlanRecord {
    /// Version, which only grows.
    pub version: u64,
    /// Planner that wrote it.
    pub holder: Option<InstanceId>,
    /// Incarnation of the planner's process.
    pub incarnation: u64,
    /// Endpoint that keeps each model resident.
    pub keepers: BTreeMap<Model, EndpointId>,
    /// Random number of the write, by which its writer recognizes it.
    pub nonce: u64,
}

/// A change of what is resident at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Load a copy.
    Load {
        /// Endpoint.
        endpoint: EndpointId,
        /// Model.
        model: Model,
    },
    /// Unload a copy of which another one is resident.
    Unload {
        /// Endpoint.
        endpoint: EndpointId,
        /// Model.
        model: Model,
    },
}

impl Step {
    /// Returns the endpoint and the model.
    pub fn target(&self) -> (&EndpointId, &Model) {
        match self {
            Step::Load { endpoint, model } | Step::Unload { endpoint, model } => (endpoint, model),
        }
    }

    /// Returns whether the step loads a copy.
    pub fn is_load(&self) -> bool {
        matches!(self, Step::Load { .. })
    }
}

/// Placement of models on endpoints.
pub trait PlacementPolicy: Send + Sync {
    /// Returns the wanted steps, the most urgent one first.
    ///
    /// A model's keeper is never unloaded.
    fn plan(&self, view: &View, keepers: &BTreeMap<Model, EndpointId>) -> Vec<Step>;
}
