//! Who should be steward of which endpoint.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    names::{EndpointId, InstanceId},
    platform::{InstanceList, ListedEndpoint, ListedState},
};

/// Returns the weight of an instance for a subject in rendezvous hashing.
pub fn weight(subject: &str, instance: &InstanceId) -> u64 {
    let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}

/// Returns the instances that may steward an endpoint, the preferred one first.
///
/// Instances in the endpoint's data centre come before all others.
pub fn ranked(endpoint: &ListedEndpoint, list: &InstanceList) -> Vec<InstanceId> {
    let live = list.instances.iter().filter(|i| i.state == ListedState::Live);
    let mut ranked: Vec<_> = live
        .map(|i| {
            let away = i.data_centre != endpoint.data_centre;
            (away, u64::MAX - weight(endpoint.id.as_str(), &i.id), i.id.clone())
        })
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(_, _, id)| id).collect()
}

/// Returns the key of an endpoint's record.
pub fn record_key(endpoint: &EndpointId) -> String {
    format!("cardamomshore/endpoints/{endpoint}")
}
