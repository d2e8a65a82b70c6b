//! Which instance is the steward of an endpoint, and what a steward may do.
//!
//! The steward of an endpoint is the only instance that sends it orders and dispatches requests to
//! it. Each instance holds one lease at the platform's service. An endpoint's record names its
//! steward and is not attached to the lease, so it remains when the lease ends. The steward holds
//! the endpoint as long as the lease of the incarnation named in the record exists.

mod authority;
mod claim;
mod substitute;

pub use self::{
    authority::{
        Authority, LEASE_MARGIN, LEASE_TTL, LeaseTracker, MAX_PAUSE, RENEW_INTERVAL, RETURN_GRACE,
    },
    claim::{
        KeepContext, KeepDecision, Lease, Leases, NEW_ENDPOINT_GRACE, RANK_DELAY, TAKEOVER_GRACE,
        Takeover, TakeoverContext, Vacancy, decide_keep, decide_takeover, vacancy,
    },
    substitute::{SubstituteContext, may_substitute, substitute_pool},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    names::{EndpointId, InstanceId},
    platform::{InstanceList, ListedEndpoint, ListedInstance, ListedState},
};

/// Returns the weight of an instance for `key` in rendezvous hashing. The instance with the highest
/// weight is preferred.
pub fn weight(key: &str, instance: &InstanceId) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}

/// Returns the live instances in the order of preference as steward of an endpoint.
///
/// Instances in the endpoint's data centre come before all others.
pub fn rank_instances(endpoint: &ListedEndpoint, list: &InstanceList) -> Vec<InstanceId> {
    let mut ranked: Vec<_> = live_instances(list).map(|i| (rank(endpoint, i), &i.id)).collect();
    ranked.sort();
    ranked.into_iter().map(|(_, id)| id.clone()).collect()
}

/// Returns the preferred steward of an endpoint among the live instances for which `is_eligible`
/// returns true.
pub fn preferred_steward<'a>(
    endpoint: &ListedEndpoint,
    list: &'a InstanceList,
    is_eligible: impl Fn(&InstanceId) -> bool,
) -> Option<&'a InstanceId> {
    let first = live_instances(list)
        .filter(|i| is_eligible(&i.id))
        .min_by_key(|i| (rank(endpoint, i), &i.id));
    first.map(|instance| &instance.id)
}

/// Returns the live instances of the list.
fn live_instances(list: &InstanceList) -> impl Iterator<Item = &ListedInstance> {
    list.instances.iter().filter(|instance| instance.state == ListedState::Live)
}

/// Returns the rank of an instance for an endpoint. The instance with the lowest rank is preferred.
fn rank(endpoint: &ListedEndpoint, instance: &ListedInstance) -> (bool, u64) {
    let is_remote = instance.data_centre != endpoint.data_centre;
    (is_remote, u64::MAX - weight(endpoint.id.as_str(), &instance.id))
}

/// Prefix of the keys of the endpoints' records.
pub const RECORD_PREFIX: &str = "cardamomshore/endpoints/";

/// Prefix of the keys of the instances' leases.
pub const LEASE_PREFIX: &str = "cardamomshore/nodes/";

/// Returns the key of an endpoint's record.
pub fn record_key(endpoint: &EndpointId) -> String {
    format!("{RECORD_PREFIX}{endpoint}")
}

/// Returns the key of an instance's lease.
pub fn lease_key(instance: &InstanceId) -> String {
    format!("{LEASE_PREFIX}{instance}")
}
