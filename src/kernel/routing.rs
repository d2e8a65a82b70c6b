//! Which copy of a model serves a request.

mod directory;
mod news;
mod policies;

pub use self::{
    directory::Directory,
    news::is_significant_change,
    policies::{MAX_AFFINITY_EXCESS, RandomReplica, RoundRobin, TwoChoices},
};
use crate::names::{Adapter, DataCentre, EndpointId, InstanceId, Pool};

/// An endpoint that can serve a request, as its steward last described it.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
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
pub struct RoutingInput {
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Adapter that the request needs.
    pub adapter: Option<Adapter>,
    /// Random number of the request.
    pub draw: u64,
    /// Number of the request at its entry instance.
    pub turn: u64,
}

/// Choice among the copies of a model.
pub trait RoutingPolicy: Send + Sync {
    /// Returns the position of the chosen copy; `copies` is never empty.
    fn choose(&self, copies: &[&Replica], wish: &RoutingInput) -> usize;
}

impl Replica {
    /// Returns the requests there per request that it may run, in thousandths.
    pub fn load(&self) -> u64 {
        u64::from(self.running + self.queued) * 1_000 / u64::from(self.limit.max(1))
    }
}
