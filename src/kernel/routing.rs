//! Chooses the replica of a model that serves a request.
//!
//! The entry instance reads the replicas from the directory, which it builds from the digests of
//! all stewards, and lets the configured policy choose one of them.

mod directory;
mod news;
mod policies;

pub use self::{
    directory::Directory,
    news::is_significant_change,
    policies::{MAX_AFFINITY_EXCESS, RandomReplica, RoundRobin, TwoChoices},
};
use crate::names::{Adapter, DataCentre, EndpointId, InstanceId, Pool};

/// A replica of a model on an endpoint, or an endpoint of a plain service, as its steward last
/// described it.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Steward of the endpoint.
    pub steward: InstanceId,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Pool of the endpoint.
    pub pool: Pool,
    /// Fencing number of the steward's term.
    pub fence: u64,
    /// Number of requests that run at the endpoint.
    pub running: u32,
    /// Number of requests that wait for the endpoint.
    pub queued: u32,
    /// Number of requests that the endpoint may run at once.
    pub limit: u32,
    /// Adapters that are resident on the endpoint.
    pub adapters: Vec<Adapter>,
}

/// Attributes of a request by which a routing policy chooses.
#[derive(Clone, Debug, Default)]
pub struct RoutingInput {
    /// Hash of the prompt's prefix; zero for none.
    pub prefix: u64,
    /// Adapter that the request needs, if any.
    pub adapter: Option<Adapter>,
    /// Random number by which a policy chooses.
    pub draw: u64,
    /// Number of the request at its entry instance, for policies that choose the replicas in turn.
    pub turn: u64,
}

/// A policy that chooses among the replicas of a model.
pub trait RoutingPolicy: Send + Sync {
    /// Returns the position of the chosen replica; `replicas` is never empty.
    fn choose(&self, replicas: &[&Replica], input: &RoutingInput) -> usize;
}

impl Replica {
    /// Returns the number of running and waiting requests in thousandths of the endpoint's limit.
    pub fn load(&self) -> u64 {
        u64::from(self.running + self.queued) * 1_000 / u64::from(self.limit.max(1))
    }
}
