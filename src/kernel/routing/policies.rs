//! Choices among the copies of a model.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Replica, RoutingInput, RoutingPolicy};
use crate::kernel::registry::RoutingPlugin;

/// Load above the less loaded of two copies, in thousandths of an endpoint's limit, up to which a
/// copy with a warm cache or the wanted adapter is still preferred.
pub const MAX_AFFINITY_EXCESS: u64 = 250;

/// Takes the less loaded of two copies drawn at random, unless a copy that can reuse work is
/// hardly more loaded.
///
/// Requests with the same prefix share a home copy, whose cache then holds the prefix. The bound
/// on its excess load keeps a popular prefix from overloading its home.
#[derive(Debug)]
pub struct TwoChoices;

impl RoutingPolicy for TwoChoices {
    fn choose(&self, copies: &[&Replica], wish: &RoutingInput) -> usize {
        let drawn = less_loaded(copies, wish.draw);
        let limit = copies[drawn].load() + MAX_AFFINITY_EXCESS;
        let bears = |position: &usize| copies[*position].load() <= limit;
        preferred_replica(copies, wish).filter(bears).unwrap_or(drawn)
    }
}

/// Returns the less loaded of two different copies drawn by a random number.
fn less_loaded(copies: &[&Replica], draw: u64) -> usize {
    let first = (draw & 0xffff_ffff) as usize % copies.len();
    if copies.len() == 1 {
        return first;
    }
    let step = 1 + (draw >> 32) as usize % (copies.len() - 1);
    let second = (first + step) % copies.len();
    if copies[second].load() < copies[first].load() { second } else { first }
}

/// Returns the copy that can reuse most: one with the wanted adapter, or the prefix's home.
fn preferred_replica(copies: &[&Replica], wish: &RoutingInput) -> Option<usize> {
    let has_adapter = |copy: &Replica| match &wish.adapter {
        Some(adapter) => copy.adapters.contains(adapter),
        None => wish.prefix != 0,
    };
    let wanted = copies.iter().enumerate().filter(|(_, copy)| has_adapter(copy));
    let best = wanted.max_by_key(|(_, copy)| affinity(copy, wish.prefix));
    best.map(|(position, _)| position)
}

fn affinity(copy: &Replica, prefix: u64) -> u64 {
    xxh3_64_with_seed(copy.endpoint.as_str().as_bytes(), prefix)
}

/// Takes each copy in turn.
#[derive(Debug)]
pub struct RoundRobin;

impl RoutingPolicy for RoundRobin {
    fn choose(&self, copies: &[&Replica], wish: &RoutingInput) -> usize {
        (wish.turn % copies.len() as u64) as usize
    }
}

/// Takes any copy at random.
#[derive(Debug)]
pub struct RandomReplica;

impl RoutingPolicy for RandomReplica {
    fn choose(&self, copies: &[&Replica], wish: &RoutingInput) -> usize {
        (wish.draw % copies.len() as u64) as usize
    }
}

inventory::submit! { RoutingPlugin { name: "two-choices", policy: &TwoChoices } }
inventory::submit! { RoutingPlugin { name: "round-robin", policy: &RoundRobin } }
inventory::submit! { RoutingPlugin { name: "any", policy: &RandomReplica } }
