//! Decides which models are loaded on and unloaded from which endpoints.
//!
//! One instance is the planner. In each round it builds a view from the stewards' digests, lets the
//! configured policy choose steps, and sends them to the stewards of the endpoints.

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

/// Key of the plan's record in the platform's store.
pub const PLAN_KEY: &str = "cardamomshore/plan";

/// The plan as the platform's store keeps it.
///
/// The keeper of a model must not unload it, so that one replica always remains. A steward that
/// wants to unload a model first records the intent in the endpoint's record and then reads the
/// plan. The planner changes a keeper in one transaction, which fails if the new keeper's record
/// has changed since it showed no intent to unload. Therefore, either the steward sees the new
/// keeper or the transaction fails.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlanRecord {
    /// Version of the plan, which only grows.
    pub version: u64,
    /// Planner that wrote the plan.
    pub holder: Option<InstanceId>,
    /// Incarnation of the planner's process.
    pub incarnation: u64,
    /// Keeper of each model.
    pub keepers: BTreeMap<Model, EndpointId>,
    /// Random number by which a planner recognizes its own write.
    pub nonce: u64,
}

/// A change of the models that are resident on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Load a model.
    Load {
        /// Endpoint that loads the model.
        endpoint: EndpointId,
        /// Model to load.
        model: Model,
    },
    /// Unload a model that is also resident on another endpoint.
    Unload {
        /// Endpoint that unloads the model.
        endpoint: EndpointId,
        /// Model to unload.
        model: Model,
    },
}

impl Step {
    /// Returns the endpoint and the model of the step.
    pub fn target(&self) -> (&EndpointId, &Model) {
        match self {
            Step::Load { endpoint, model } | Step::Unload { endpoint, model } => (endpoint, model),
        }
    }

    /// Returns whether the step loads a model.
    pub fn is_load(&self) -> bool {
        matches!(self, Step::Load { .. })
    }
}

/// A policy that places models on endpoints.
pub trait PlacementPolicy: Send + Sync {
    /// Returns the steps to take, the most urgent one first.
    ///
    /// A model is never unloaded from its keeper.
    fn plan(&self, view: &View, keepers: &BTreeMap<Model, EndpointId>) -> Vec<Step>;
}
