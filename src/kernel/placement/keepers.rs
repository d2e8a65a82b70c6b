//! Selection of each model's keeper, the endpoint that must not unload it.

use std::collections::BTreeMap;

use super::View;
use crate::names::{EndpointId, Model};

/// A change of a model's keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperMove {
    /// The model whose keeper changes.
    pub model: Model,
    /// The new keeper, on which the model is resident.
    pub to: EndpointId,
}

/// Returns a new keeper for each model whose keeper is missing, has lost its replica or is out of
/// service, if the model is resident elsewhere.
///
/// The new keeper is the least loaded endpoint in service on which the model is resident.
pub fn keeper_moves(view: &View, keepers: &BTreeMap<Model, EndpointId>) -> Vec<KeeperMove> {
    let moves = view.needs.keys().filter_map(|model| {
        let keeper = keepers.get(model);
        if view.resident_replicas(model).any(|engine| Some(&engine.endpoint) == keeper) {
            return None;
        }
        let to =
            view.resident_replicas(model).min_by_key(|engine| (engine.load, &engine.endpoint))?;
        Some(KeeperMove { model: model.clone(), to: to.endpoint.clone() })
    });
    moves.collect()
}
