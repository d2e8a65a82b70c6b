//! The digests that the instances send to each other, by which routing and placement know the
//! endpoints.

use super::Fleet;
use crate::{
    clock::Time,
    kernel::routing::is_significant_change,
    measure::trace::ENTRY_COUNT,
    wire::{Digest, EndpointDigest, ModelDemand},
};

/// Number of rounds after which an instance sends a digest even without a change.
const REFRESH_ROUNDS: u64 = 8;

/// The digests that the instances sent last.
pub struct SentDigests {
    /// Number of the current round.
    round: u64,
    /// Last digest of each instance.
    last: Vec<Vec<EndpointDigest>>,
}

impl SentDigests {
    /// Creates the state of instances that have sent no digest.
    pub fn new() -> Self {
        Self { round: 0, last: vec![Vec::new(); ENTRY_COUNT] }
    }
}

impl Fleet<'_> {
    /// Sends the digest of each instance whose endpoints changed significantly or whose refresh is
    /// due.
    pub fn publish_digests(&mut self) {
        self.sent_digests.round += 1;
        for instance in 0..ENTRY_COUNT {
            let own = self.endpoints.iter().filter(|endpoint| endpoint.steward == instance);
            let endpoints: Vec<EndpointDigest> = own.map(|endpoint| endpoint.digest()).collect();
            let is_refresh =
                (self.sent_digests.round + instance as u64).is_multiple_of(REFRESH_ROUNDS);
            if is_refresh || is_significant_change(&self.sent_digests.last[instance], &endpoints) {
                self.sent_digests.last[instance].clone_from(&endpoints);
                let demand = self.model_demand(instance, self.now);
                self.directory.update(Digest {
                    instance: format!("i-{instance}"),
                    incarnation: 1,
                    number: self.sent_digests.round,
                    endpoints,
                    demand,
                });
            }
        }
    }

    /// Returns the demand of each model at an entry instance, in the order of the models' names.
    fn model_demand(&self, entry: usize, now: Time) -> Vec<ModelDemand> {
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
