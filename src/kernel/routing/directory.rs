//! What all stewards said of their endpoints, indexed by model and by pool.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use super::Replica;
use crate::{
    names::{EndpointId, InstanceId, Model, Pool},
    wire::{Digest, EndpointDigest},
};

/// What all stewards said of their endpoints.
///
/// A digest changes only the entries of its own endpoints, so that its cost does not grow with
/// the fleet.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    digests: BTreeMap<InstanceId, Digest>,
    descriptions: HashMap<EndpointId, Vec<Description>>,
    models: HashMap<Model, Vec<Arc<Replica>>>,
    pools: HashMap<Pool, Vec<Arc<Replica>>>,
}

/// What one instance says of an endpoint.
#[derive(Clone, Debug)]
struct Description {
    replica: Arc<Replica>,
    models: Vec<Model>,
}

impl Directory {
    /// Takes a digest in unless it is older than the known one, and returns whether it was taken.
    pub fn update(&mut self, digest: Digest) -> bool {
        let id = InstanceId::from(digest.instance.as_str());
        if self.digests.get(&id).is_some_and(|known| is_newer(known, &digest)) {
            return false;
        }
        let named: HashSet<&str> = digest.endpoints.iter().map(|e| e.endpoint.as_str()).collect();
        let before = self.digests.remove(&id);
        let gone = before.iter().flat_map(|digest| &digest.endpoints);
        for endpoint in gone.filter(|endpoint| !named.contains(endpoint.endpoint.as_str())) {
            self.replace(&endpoint.endpoint.as_str().into(), &id, None);
        }
        for endpoint in &digest.endpoints {
            let claim = description_of(endpoint, id.clone());
            self.replace(&endpoint.endpoint.as_str().into(), &id, Some(claim));
        }
        self.digests.insert(id, digest);
        true
    }

    /// Forgets what an instance said.
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

    /// Returns the copies of a model in the order of their endpoints.
    pub fn replicas(&self, model: &Model) -> &[Arc<Replica>] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a pool in their order.
    pub fn pool(&self, pool: &Pool) -> &[Arc<Replica>] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the steward of an endpoint.
    pub fn steward(&self, endpoint: &EndpointId) -> Option<InstanceId> {
        let claims = self.descriptions.get(endpoint)?;
        newest(claims).map(|claim| claim.replica.steward.clone())
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.descriptions.len()
    }

    /// Returns the number of copies over all models.
    pub fn replica_count(&self) -> usize {
        self.models.values().map(Vec::len).sum()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.descriptions.is_empty()
    }

    /// Replaces what one instance says of an endpoint and indexes the newest tenure's claim.
    fn replace(
        &mut self,
        endpoint: &EndpointId,
        instance: &InstanceId,
        claim: Option<Description>,
    ) {
        let mut claims = self.descriptions.remove(endpoint).unwrap_or_default();
        let before = newest(&claims).cloned();
        claims.retain(|known| known.replica.steward != *instance);
        claims.extend(claim);
        let after = newest(&claims).cloned();
        self.index(endpoint, before, after);
        if !claims.is_empty() {
            self.descriptions.insert(endpoint.clone(), claims);
        }
    }

    fn index(
        &mut self,
        endpoint: &EndpointId,
        before: Option<Description>,
        after: Option<Description>,
    ) {
        let models = |claim: &Option<Description>| {
            claim.as_ref().map(|claim| claim.models.clone()).unwrap_or_default()
        };
        let kept = models(&after);
        for model in models(&before).iter().filter(|model| !kept.contains(model)) {
            remove_replica(&mut self.models, model, endpoint);
        }
        let pool = after.as_ref().map(|claim| &claim.replica.pool);
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

fn is_newer(known: &Digest, digest: &Digest) -> bool {
    known.incarnation == digest.incarnation && known.number >= digest.number
}

/// Returns the claim of the steward with the highest fencing number.
fn newest(claims: &[Description]) -> Option<&Description> {
    claims.iter().max_by_key(|claim| (claim.replica.fence, &claim.replica.steward))
}

fn insert_replica(copies: &mut Vec<Arc<Replica>>, copy: Arc<Replica>) {
    match copies.binary_search_by(|known| known.endpoint.cmp(&copy.endpoint)) {
        Ok(position) => copies[position] = copy,
        Err(position) => copies.insert(position, copy),
    }
}

fn remove_replica<K: std::hash::Hash + Eq>(
    index: &mut HashMap<K, Vec<Arc<Replica>>>,
    key: &K,
    endpoint: &EndpointId,
) {
    let Some(copies) = index.get_mut(key) else { return };
    if let Ok(position) = copies.binary_search_by(|known| known.endpoint.cmp(endpoint)) {
        copies.remove(position);
    }
    if copies.is_empty() {
        index.remove(key);
    }
}

fn description_of(digest: &EndpointDigest, steward: InstanceId) -> Description {
    let copy = Replica {
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
    Description { replica: Arc::new(copy), models }
}
