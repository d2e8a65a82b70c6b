//! Which copy of a model serves a request.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use crate::{
    names::{Adapter, DataCentre, EndpointId, InstanceId, Model, Pool},
    wire::{Digest, EndpointDigest},
};

/// An endpoint that can serve a request, as its steward last described it.
#[derive(Clone, Debug, PartialEq)]
pub struct Copy {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its steward.
    pub steward: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its pool.
    pub pool: Pool,
    /// Fencing number of the steward's tenure.
    pub fence: u64,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait for it.
    pub queued: u32,
    /// Requests that it may run at once.
    pub limit: u32,
    /// Adapters that are resident.
    pub adapters: Vec<Adapter>,
}

/// What a choice depends on besides the copies.
#[derive(Clone, Debug, Default)]
pub struct Wish {
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Adapter that the request needs.
    pub adapter: Option<Adapter>,
    /// Random number of the request.
    pub draw: u64,
}

/// Choice among the copies of a model.
pub trait RoutingPolicy: Send + Sync {
    /// Returns the position of the chosen copy; `copies` is never empty.
    fn choose(&self, copies: &[&Copy], wish: &Wish) -> usize;
}

/// Takes the less loaded of two copies drawn at random.
#[derive(Debug)]
pub struct TwoChoices;

impl RoutingPolicy for TwoChoices {
    fn choose(&self, copies: &[&Copy], wish: &Wish) -> usize {
        let first = wish.draw as usize % copies.len();
        let second = (wish.draw >> 32) as usize % copies.len();
        if copies[second].load() < copies[first].load() { second } else { first }
    }
}

/// Takes any copy at random.
#[derive(Debug)]
pub struct AnyCopy;

impl RoutingPolicy for AnyCopy {
    fn choose(&self, copies: &[&Copy], wish: &Wish) -> usize {
        wish.draw as usize % copies.len()
    }
}

inventory::submit! { super::registry::RoutingPlugin { name: "two-choices", policy: &TwoChoices } }
inventory::submit! { super::registry::RoutingPlugin { name: "any", policy: &AnyCopy } }

impl Copy {
    /// Returns the requests there per request that it may run, in thousandths.
    pub fn load(&self) -> u64 {
        u64::from(self.running + self.queued) * 1_000 / u64::from(self.limit.max(1))
    }
}

/// What all stewards said of their endpoints.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    digests: BTreeMap<InstanceId, Digest>,
    models: HashMap<Model, Vec<Arc<Copy>>>,
    pools: HashMap<Pool, Vec<Arc<Copy>>>,
}

impl Directory {
    /// Takes a digest in unless it is older than the known one, and returns whether it was taken.
    pub fn update(&mut self, digest: Digest) -> bool {
        let id = InstanceId::from(digest.instance.as_str());
        let known = self.digests.get(&id);
        let old = known.is_some_and(|known| {
            known.incarnation == digest.incarnation && known.number >= digest.number
        });
        if old {
            return false;
        }
        self.digests.insert(id, digest);
        self.rebuild();
        true
    }

    /// Forgets what an instance said.
    pub fn forget(&mut self, instance: &InstanceId) {
        if self.digests.remove(instance).is_some() {
            self.rebuild();
        }
    }

    /// Returns all digests.
    pub fn digests(&self) -> impl Iterator<Item = &Digest> {
        self.digests.values()
    }

    /// Returns the copies of a model.
    pub fn copies(&self, model: &Model) -> &[Arc<Copy>] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a pool.
    pub fn pool(&self, pool: &Pool) -> &[Arc<Copy>] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.pools.values().map(Vec::len).sum()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    fn rebuild(&mut self) {
        let mut models: HashMap<Model, Vec<Arc<Copy>>> = HashMap::new();
        let mut pools: HashMap<Pool, Vec<Arc<Copy>>> = HashMap::new();
        for (steward, endpoint) in self.newest().into_values() {
            let copy = Arc::new(copy_of(endpoint, steward.clone()));
            for model in &endpoint.models {
                models.entry(model.as_str().into()).or_default().push(copy.clone());
            }
            pools.entry(copy.pool.clone()).or_default().push(copy);
        }
        self.models = models;
        self.pools = pools;
    }

    /// Returns each endpoint as the steward with the highest fencing number described it.
    fn newest(&self) -> BTreeMap<&str, (&InstanceId, &EndpointDigest)> {
        let mut newest: BTreeMap<&str, (&InstanceId, &EndpointDigest)> = BTreeMap::new();
        for (instance, digest) in &self.digests {
            for endpoint in &digest.endpoints {
                let known = newest.get(endpoint.endpoint.as_str());
                if known.is_none_or(|(_, known)| known.fence < endpoint.fence) {
                    newest.insert(&endpoint.endpoint, (instance, endpoint));
                }
            }
        }
        newest
    }
}

fn copy_of(digest: &EndpointDigest, steward: InstanceId) -> Copy {
    Copy {
        endpoint: digest.endpoint.as_str().into(),
        steward,
        data_centre: digest.data_centre.as_str().into(),
        pool: digest.pool.as_str().into(),
        fence: digest.fence,
        running: digest.running,
        queued: digest.queued,
        limit: digest.limit,
        adapters: digest.adapters.iter().map(|name| name.as_str().into()).collect(),
    }
}
