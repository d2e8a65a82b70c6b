//! Which endpoints may run a request at all, so that not all of a large fleet are judged for each.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{Endpoint, GrantRequest};

/// Endpoints by what they serve, in the order of their names.
#[derive(Debug, Default)]
pub(super) struct Index {
    models: HashMap<Arc<str>, Vec<Arc<str>>>,
    services: HashMap<Arc<str>, Vec<Arc<str>>>,
    fresh: bool,
}

impl Index {
    /// Notes that endpoints or their models have changed.
    pub fn expire(&mut self) {
        self.fresh = false;
    }

    /// Reads the endpoints again where they have changed.
    pub fn refresh(&mut self, endpoints: &BTreeMap<Arc<str>, Endpoint>) {
        if self.fresh {
            return;
        }
        self.models.clear();
        self.services.clear();
        for (id, endpoint) in endpoints {
            self.services.entry(endpoint.info.service.clone()).or_default().push(id.clone());
            for model in endpoint.models.keys() {
                self.models.entry(model.clone()).or_default().push(id.clone());
            }
        }
        self.fresh = true;
    }

    /// Returns the endpoints that hold the model of a request, or all of its service where it needs
    /// none; they may be endpoints of another service that holds a model of the same name.
    pub fn candidates(&self, ask: &GrantRequest) -> &[Arc<str>] {
        let found = match &ask.work {
            Some(work) => self.models.get(&work.model),
            None => self.services.get(&ask.service),
        };
        found.map_or(&[], Vec::as_slice)
    }
}
