//! Index of the endpoints by model and service, so that a request is not evaluated against the
//! whole fleet.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{Endpoint, GrantRequest};

/// Ids of the endpoints by the models and services that they serve, each list sorted.
#[derive(Debug, Default)]
pub(super) struct Index {
    /// Endpoints with a replica of each model.
    by_model: HashMap<Arc<str>, Vec<Arc<str>>>,
    /// Endpoints of each service.
    by_service: HashMap<Arc<str>, Vec<Arc<str>>>,
    /// Whether the index matches the endpoints.
    up_to_date: bool,
}

impl Index {
    /// Marks the index as outdated, after endpoints or their models have changed.
    pub fn invalidate(&mut self) {
        self.up_to_date = false;
    }

    /// Rebuilds the index if it is outdated.
    pub fn refresh(&mut self, endpoints: &BTreeMap<Arc<str>, Endpoint>) {
        if self.up_to_date {
            return;
        }
        self.by_model.clear();
        self.by_service.clear();
        for (id, endpoint) in endpoints {
            self.by_service.entry(endpoint.info.service.clone()).or_default().push(id.clone());
            for model in endpoint.replicas.keys() {
                self.by_model.entry(model.clone()).or_default().push(id.clone());
            }
        }
        self.up_to_date = true;
    }

    /// Returns the endpoints that have a replica of the request's model, or all endpoints of its
    /// service if it needs no model.
    ///
    /// Endpoints of another service are included if they have a model of the same name.
    pub fn candidates(&self, request: &GrantRequest) -> &[Arc<str>] {
        let ids = match &request.work {
            Some(work) => self.by_model.get(&work.model),
            None => self.by_service.get(&request.service),
        };
        ids.map_or(&[], Vec::as_slice)
    }
}
