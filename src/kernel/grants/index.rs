//! Index of the endpoints by model and service, so that a request is not evaluated against the
//! whole fleet.

use std::{collections::HashMap, sync::Arc};

use super::{Endpoint, GrantRequest};

/// Ids of the endpoints by the models and services that they serve, each list sorted.
#[derive(Debug, Default)]
pub(super) struct Index {
    /// Endpoints with a replica of each model.
    by_model: HashMap<Arc<str>, Vec<Arc<str>>>,
    /// Endpoints of each service.
    by_service: HashMap<Arc<str>, Vec<Arc<str>>>,
    /// What each endpoint is listed for.
    listed: HashMap<Arc<str>, Listed>,
}

/// What an endpoint is listed for.
#[derive(Debug)]
struct Listed {
    service: Arc<str>,
    /// Models, sorted.
    models: Vec<Arc<str>>,
}

impl Index {
    /// Lists an endpoint for its service and the models that it has now.
    pub fn update(&mut self, endpoint: &Endpoint) {
        let id = &endpoint.info.id;
        let known = self.listed.get(id);
        let replicas = &endpoint.replicas;
        let is_current = known.is_some_and(|known| {
            known.service == endpoint.info.service
                && known.models.len() == replicas.len()
                && known.models.iter().all(|model| replicas.contains_key(model))
        });
        if is_current {
            return;
        }
        let service = endpoint.info.service.clone();
        let mut models: Vec<Arc<str>> = replicas.keys().cloned().collect();
        models.sort();
        self.remove(id);
        insert(&mut self.by_service, &service, id);
        models.iter().for_each(|model| insert(&mut self.by_model, model, id));
        self.listed.insert(id.clone(), Listed { service, models });
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) {
        let Some(Listed { service, models }) = self.listed.remove(id) else { return };
        remove(&mut self.by_service, &service, id);
        models.iter().for_each(|model| remove(&mut self.by_model, model, id));
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

/// Adds an endpoint to the sorted list of a name.
fn insert(lists: &mut HashMap<Arc<str>, Vec<Arc<str>>>, name: &Arc<str>, id: &Arc<str>) {
    let list = lists.entry(name.clone()).or_default();
    if let Err(position) = list.binary_search(id) {
        list.insert(position, id.clone());
    }
}

/// Removes an endpoint from the sorted list of a name.
fn remove(lists: &mut HashMap<Arc<str>, Vec<Arc<str>>>, name: &str, id: &str) {
    let Some(list) = lists.get_mut(name) else { return };
    if let Ok(position) = list.binary_search_by(|known| (**known).cmp(id)) {
        list.remove(position);
    }
    if list.is_empty() {
        lists.remove(name);
    }
}
