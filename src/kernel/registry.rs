//! Policies that register themselves and are chosen by name in the configuration.

use super::{dispatch::DispatchPolicy, placement::PlacementPolicy, routing::RoutingPolicy};

/// A registered order of dispatch.
pub struct DispatchPlugin {
    /// Name in the configuration.
    pub name: &'static str,
    /// The policy.
    pub policy: &'static dyn DispatchPolicy,
}

/// A registered choice among the copies of a model.
pub struct RoutingPlugin {
    /// Name in the configuration.
    pub name: &'static str,
    /// The policy.
    pub policy: &'static dyn RoutingPolicy,
}

/// A registered placement of models on endpoints.
pub struct PlacementPlugin {
    /// Name in the configuration.
    pub name: &'static str,
    /// The policy.
    pub policy: &'static dyn PlacementPolicy,
}

inventory::collect!(DispatchPlugin);
inventory::collect!(RoutingPlugin);
inventory::collect!(PlacementPlugin);

/// Returns the order of dispatch with this name.
pub fn dispatch(name: &str) -> Option<&'static dyn DispatchPolicy> {
    inventory::iter::<DispatchPlugin>().find(|plugin| plugin.name == name).map(|p| p.policy)
}

/// Returns the choice among copies with this name.
pub fn routing(name: &str) -> Option<&'static dyn RoutingPolicy> {
    inventory::iter::<RoutingPlugin>().find(|plugin| plugin.name == name).map(|p| p.policy)
}

/// Returns the placement with this name.
pub fn placement(name: &str) -> Option<&'static dyn PlacementPolicy> {
    inventory::iter::<PlacementPlugin>().find(|plugin| plugin.name == name).map(|p| p.policy)
}
