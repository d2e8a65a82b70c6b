//! Which endpoint keeps each model.

use std::collections::BTreeMap;

use super::View;
use crate::names::{EndpointId, Model};

/// A change of the endpoint that keeps a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperMove {
    /// Model.
    pub model: Model,
    /// Its new keeper, on which it is resident.
    pub to: EndpointId,
}

/// Returns the models whose keeper is missing, lost its copy or takes no new work, each with an
/// endpoint that can keep it.
pub fn keeper_moves(view: &View, keepers: &BTreeMap<Model, EndpointId>) -> Vec<KeeperMove> {
    let moves = view.needs.keys().filter_map(|model| {
        let keeper = keepers.get(model);
        if view.resident_replicas(model).any(|site| Some(&site.endpoint) == keeper) {
            return None;
        }
        let to = view.resident_replicas(model).min_by_key(|site| (site.load, &site.endpoint))?;
        Some(KeeperMove { model: model.clone(), to: to.endpoint.clone() })
    });
    moves.collect()
}
