//! Digests of the instances, sent as a node sends them.

use super::Fleet;
use crate::{
    clock::Time,
    kernel::routing::is_significant_change,
    measure::trace::ENTRIES,
    wire::{Digest, EndpointDigest, ModelDemand},
};

/// Rounds after which a digest is sent without a change.
const REFRESH_ROUNDS: u64 = 8;

/// What each instance sent last.
pub struct Sent {
    round: u64,
    last: Vec<Vec<EndpointDigest>>,
}

impl Sent {
    /// Creates the state of instances that sent nothing yet.
    pub fn new() -> Self {
        Self { round: 0, last: vec![Vec::new(); ENTRIES] }
    }
}

impl Fleet<'_> {
    /// Sends the digests with news, and each instance's refresh in its turn.
    pub fn publish(&mut self) {
        self.digests.round += 1;
        for instance in 0..ENTRIES {
            let own = self.endpoints.iter().filter(|endpoint| endpoint.steward == instance);
            let endpoints: Vec<EndpointDigest> = own.map(|endpoint| endpoint.digest()).collect();
            let due = (self.digests.round + instance as u64).is_multiple_of(REFRESH_ROUNDS);
            if due || is_significant_change(&self.digests.last[instance], &endpoints) {
                self.digests.last[instance].clone_from(&endpoints);
                let demand = self.demand_of(instance, self.now);
                self.directory.update(Digest {
                    instance: format!("i-{instance}"),
                    incarnation: 1,
                    number: self.digests.round,
                    endpoints,
                    demand,
                });
            }
        }
    }

    fn demand_of(&self, entry: usize, now: Time) -> Vec<ModelDemand> {
        let mut demand: Vec<ModelDemand> = self.demand[entry]
            .iter()
            .map(|(model, averages)| ModelDemand {
                model: model.to_string(),
                fast: averages.fast(now) as u64,
                slow: averages.slow(now) as u64,
                waiting: if entry == 0 { self.waiting.get(model).copied().unwrap_or(0) } else { 0 },
            })
            .collect();
        demand.sort_by(|a, b| a.model.cmp(&b.model));
        demand
    }
}
