//! Routing policies: choices among the replicas of a model.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Replica, RoutingInput, RoutingPolicy};
use crate::kernel::registry::RoutingPlugin;

/// Largest load above that of the less loaded of two replicas, in thousandths of an endpoint's
/// limit, with which a replica that has the prompt's prefix or the adapter is still preferred.
pub const MAX_AFFINITY_EXCESS: u64 = 250;

/// Chooses the less loaded of two replicas drawn at random, unless a preferred replica, which can
/// reuse earlier work, has only slightly more load.
///
/// Requests with the same prefix share a preferred replica, whose KV cache then holds the prefix.
/// The bound on its excess load keeps a popular prefix from overloading that replica.
#[derive(Debug)]
pub struct TwoChoices;

impl RoutingPolicy for TwoChoices {
    fn choose(&self, replicas: &[&Replica], input: &RoutingInput) -> usize {
        let drawn = less_loaded(replicas, input.draw);
        let limit = replicas[drawn].load() + MAX_AFFINITY_EXCESS;
        let is_within_limit = |position: &usize| replicas[*position].load() <= limit;
        preferred_replica(replicas, input).filter(is_within_limit).unwrap_or(drawn)
    }
}

/// Returns the less loaded of two different replicas drawn by a random number.
fn less_loaded(replicas: &[&Replica], draw: u64) -> usize {
    let first = (draw & 0xffff_ffff) as usize % replicas.len();
    if replicas.len() == 1 {
        return first;
    }
    let offset = 1 + (draw >> 32) as usize % (replicas.len() - 1);
    let second = (first + offset) % replicas.len();
    if replicas[second].load() < replicas[first].load() { second } else { first }
}

/// Returns the replica that can reuse the most work, if there is one.
///
/// This is the replica with the highest affinity to the prefix, among those with the needed adapter
/// if the request needs one.
fn preferred_replica(replicas: &[&Replica], input: &RoutingInput) -> Option<usize> {
    let can_reuse = |replica: &Replica| match &input.adapter {
        Some(adapter) => replica.adapters.contains(adapter),
        None => input.prefix != 0,
    };
    let usable = replicas.iter().enumerate().filter(|(_, replica)| can_reuse(replica));
    let best = usable.max_by_key(|(_, replica)| affinity(replica, input.prefix));
    best.map(|(position, _)| position)
}

/// Returns the affinity of a replica to a prefix, by rendezvous hashing.
fn affinity(replica: &Replica, prefix: u64) -> u64 {
    xxh3_64_with_seed(replica.endpoint.as_str().as_bytes(), prefix)
}

/// Chooses each replica in turn.
#[derive(Debug)]
pub struct RoundRobin;

impl RoutingPolicy for RoundRobin {
    fn choose(&self, replicas: &[&Replica], input: &RoutingInput) -> usize {
        (input.turn % replicas.len() as u64) as usize
    }
}

/// Chooses a replica at random.
#[derive(Debug)]
pub struct RandomReplica;

impl RoutingPolicy for RandomReplica {
    fn choose(&self, replicas: &[&Replica], input: &RoutingInput) -> usize {
        (input.draw % replicas.len() as u64) as usize
    }
}

inventory::submit! { RoutingPlugin { name: "two-choices", policy: &TwoChoices } }
inventory::submit! { RoutingPlugin { name: "round-robin", policy: &RoundRobin } }
inventory::submit! { RoutingPlugin { name: "any", policy: &RandomReplica } }
