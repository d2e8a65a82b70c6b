//! Digests of the instances, sent as a node sends them.

use super::Fleet;
use crate::{
    clock::Time,
    kernel::routing::is_significant_change,
    measure::trace::ENTRY_COUNT,
    wire::{Digest, EndpointDigest, ModelDemand},
};

/// Rounds after which a digest is sent without a change.
const REFRESH_ROUNDS: u64 = 8;

/// What each instance sent last.
pub struct SentDigests {
    round: u64,
    last: Vec<Vec<EndpointDigest>>,
}

impl SentDigests {
    /// Creates the state of instances that sent nothing yet.
    pub fn new() -> Self {
        Self { round: 0, last: vec![Vec::new(); ENTRY_COUNT] }
    }
}

impl Fleet<'_> {
    /// Sends the digests with news, and each instance's refresh in its turn.
    pub fn publish_digests(&mut self) {
        self.sent_digests.round += 1;
        for instance in 0..ENTRY_COUNT {
            let own = self.endpoints.iter().filter(|endpoint| endpoint.steward == instance);
            let endpoints: Vec<EndpointDigest> = own.map(|endpoint| endpoint.digest()).collect();
            let due = (self.sent_digests.round + instance as u64).is_multiple_of(REFRESH_ROUNDS);
            if due || is_significant_change(&self.sent_digests.last[instance], &endpoints) {
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
