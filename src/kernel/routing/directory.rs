//! Directory of the endpoints that all stewards describe, indexed by model and by pool.
//!
//! Every instance builds its own directory from the stewards' digests and routes by it.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use super::Replica;
use crate::{
    names::{EndpointId, InstanceId, Model, Pool},
    wire::{Digest, EndpointDigest},
};

/// The endpoints that all stewards describe in their latest digests.
///
/// A digest changes only the entries of its own endpoints, so the cost of an update does not grow
/// with the fleet.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Latest digest of each instance.
    digests: BTreeMap<InstanceId, Digest>,
    /// Descriptions of each endpoint, at most one for each instance.
    descriptions: HashMap<EndpointId, Vec<Description>>,
    /// Replicas of each model, sorted by endpoint.
    models: HashMap<Model, Vec<Arc<Replica>>>,
    /// Endpoints of each pool, sorted by id.
    pools: HashMap<Pool, Vec<Arc<Replica>>>,
}

/// Description of an endpoint by one instance.
#[derive(Clone, Debug)]
struct Description {
    /// The endpoint and its load.
    replica: Arc<Replica>,
    /// Models that are resident on the endpoint.
    models: Vec<Model>,
}

impl Directory {
    /// Applies a digest unless a newer one of the same instance is known; returns whether it was
    /// applied.
    pub fn update(&mut self, digest: Digest) -> bool {
        let id = InstanceId::from(digest.instance.as_str());
        if self.digests.get(&id).is_some_and(|known| is_newer(known, &digest)) {
            return false;
        }
        let described: HashSet<&str> =
            digest.endpoints.iter().map(|e| e.endpoint.as_str()).collect();
        let before = self.digests.remove(&id);
        let old_endpoints = before.iter().flat_map(|digest| &digest.endpoints);
        for endpoint in
            old_endpoints.filter(|endpoint| !described.contains(endpoint.endpoint.as_str()))
        {
            self.replace(&endpoint.endpoint.as_str().into(), &id, None);
        }
        for endpoint in &digest.endpoints {
            let description = description_of(endpoint, id.clone());
            self.replace(&endpoint.endpoint.as_str().into(), &id, Some(description));
        }
        self.digests.insert(id, digest);
        true
    }

    /// Removes the digest of an instance and its descriptions of endpoints.
    pub fn forget(&mut self, instance: &InstanceId) {
        let Some(digest) = self.digests.remove(instance) else { return };
        for endpoint in &digest.endpoints {
            self.replace(&endpoint.endpoint.as_str().into(), instance, None);
        }
    }

    /// Returns all digests.
    pub fn digests(&self) -> impl Iterator<Item = &Digest> {
        self.digests.values()
    }

    /// Returns the replicas of a model, sorted by endpoint.
    pub fn replicas(&self, model: &Model) -> &[Arc<Replica>] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a pool, sorted by id.
    pub fn pool(&self, pool: &Pool) -> &[Arc<Replica>] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the steward of an endpoint, or `None` for an unknown endpoint.
    pub fn steward(&self, endpoint: &EndpointId) -> Option<InstanceId> {
        let descriptions = self.descriptions.get(endpoint)?;
        newest(descriptions).map(|description| description.replica.steward.clone())
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.descriptions.len()
    }

    /// Returns the number of replicas of all models together.
    pub fn replica_count(&self) -> usize {
        self.models.values().map(Vec::len).sum()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.descriptions.is_empty()
    }

    /// Replaces the description of an endpoint by one instance, and indexes the description of the
    /// newest term.
    fn replace(
        &mut self,
        endpoint: &EndpointId,
        instance: &InstanceId,
        description: Option<Description>,
    ) {
        let mut descriptions = self.descriptions.remove(endpoint).unwrap_or_default();
        let before = newest(&descriptions).cloned();
        descriptions.retain(|known| known.replica.steward != *instance);
        descriptions.extend(description);
        let after = newest(&descriptions).cloned();
        self.index(endpoint, before, after);
        if !descriptions.is_empty() {
            self.descriptions.insert(endpoint.clone(), descriptions);
        }
    }

    /// Replaces the description `before` of an endpoint by `after` in the indexes.
    fn index(
        &mut self,
        endpoint: &EndpointId,
        before: Option<Description>,
        after: Option<Description>,
    ) {
        let models = |description: &Option<Description>| {
            description.as_ref().map(|description| description.models.clone()).unwrap_or_default()
        };
        let new_models = models(&after);
        for model in models(&before).iter().filter(|model| !new_models.contains(model)) {
            remove_replica(&mut self.models, model, endpoint);
        }
        let pool = after.as_ref().map(|description| &description.replica.pool);
        if let Some(before) = before.filter(|before| Some(&before.replica.pool) != pool) {
            remove_replica(&mut self.pools, &before.replica.pool, endpoint);
        }
        if let Some(after) = after {
            for model in after.models {
                insert_replica(self.models.entry(model).or_default(), after.replica.clone());
            }
            insert_replica(
                self.pools.entry(after.replica.pool.clone()).or_default(),
                after.replica,
            );
        }
    }
}

/// Returns whether the known digest is of the same incarnation as the other and at least as new.
fn is_newer(known: &Digest, digest: &Digest) -> bool {
    known.incarnation == digest.incarnation && known.number >= digest.number
}

/// Returns the description by the steward with the highest fencing number.
fn newest(descriptions: &[Description]) -> Option<&Description> {
    descriptions
        .iter()
        .max_by_key(|description| (description.replica.fence, &description.replica.steward))
}

/// Inserts a replica into a list sorted by endpoint, or replaces the one of the same endpoint.
fn insert_replica(replicas: &mut Vec<Arc<Replica>>, replica: Arc<Replica>) {
    match replicas.binary_search_by(|known| known.endpoint.cmp(&replica.endpoint)) {
        Ok(position) => replicas[position] = replica,
        Err(position) => replicas.insert(position, replica),
    }
}

/// Removes the replica of an endpoint from the list under a key.
fn remove_replica<K: std::hash::Hash + Eq>(
    index: &mut HashMap<K, Vec<Arc<Replica>>>,
    key: &K,
    endpoint: &EndpointId,
) {
    let Some(replicas) = index.get_mut(key) else { return };
    if let Ok(position) = replicas.binary_search_by(|known| known.endpoint.cmp(endpoint)) {
        replicas.remove(position);
    }
    if replicas.is_empty() {
        index.remove(key);
    }
}

/// Returns the description in a digest's entry for an endpoint.
fn description_of(digest: &EndpointDigest, steward: InstanceId) -> Description {
    let replica = Replica {
        endpoint: digest.endpoint.as_str().into(),
        steward,
        data_centre: digest.data_centre.as_str().into(),
        pool: digest.pool.as_str().into(),
        fence: digest.fence,
        running: digest.running,
        queued: digest.queued,
        limit: digest.limit,
        adapters: digest.adapters.iter().map(|name| name.as_str().into()).collect(),
    };
    let models = digest.models.iter().map(|name| name.as_str().into()).collect();
    Description { replica: Arc::new(replica), models }
}
