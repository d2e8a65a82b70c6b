//! Where copies of models should be.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::names::{EndpointId, InstanceId, Model};

/// Key of the plan's record.
pub const PLAN_KEY: &str = "cardamomshore/plan";

/// What the platform's service keeps of the plan.
///
/// A model's keeper never unloads it. A steward that wants to unload first records the intent in
/// the endpoint's record and then reads the plan; the planner moves a keeper by one transaction
/// that expects the new keeper's record unchanged since it showed no intent to unload. One of the
/// two always sees the other.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
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
