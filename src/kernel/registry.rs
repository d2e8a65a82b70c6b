//! Registry of the policies for dispatch, routing and placement.
//!
//! A policy registers itself under a name, by which the configuration selects it.

use super::{dispatch::DispatchPolicy, placement::PlacementPolicy, routing::RoutingPolicy};

/// A registered dispatch policy.
pub struct DispatchPlugin {
    /// Name by which the configuration selects the policy.
    pub name: &'static str,
    /// The policy itself.
    pub policy: &'static dyn DispatchPolicy,
}

/// A registered routing policy, which chooses among the replicas of a model.
pub struct RoutingPlugin {
    /// Name by which the configuration selects the policy.
    pub name: &'static str,
    /// The policy itself.
    pub policy: &'static dyn RoutingPolicy,
}

/// A registered placement policy, which places models on endpoints.
pub struct PlacementPlugin {
    /// Name by which the configuration selects the policy.
    pub name: &'static str,
    /// The policy itself.
    pub policy: &'static dyn PlacementPolicy,
}

inventory::collect!(DispatchPlugin);
inventory::collect!(RoutingPlugin);
inventory::collect!(PlacementPlugin);

/// Returns the dispatch policy with this name, if there is one.
pub fn dispatch(name: &str) -> Option<&'static dyn DispatchPolicy> {
    inventory::iter::<DispatchPlugin>().find(|plugin| plugin.name == name).map(|p| p.policy)
}

/// Returns the routing policy with this name, if there is one.
pub fn routing(name: &str) -> Option<&'static dyn RoutingPolicy> {
    inventory::iter::<RoutingPlugin>().find(|plugin| plugin.name == name).map(|p| p.policy)
}

/// Returns the placement policy with this name, if there is one.
pub fn placement(name: &str) -> Option<&'static dyn PlacementPolicy> {
    inventory::iter::<PlacementPlugin>().find(|plugin| plugin.name == name).map(|p| p.policy)
}
