//! Describes the endpoints of this instance for the digests that its peers receive.

use super::{StewardedEndpoint, StewardedEndpoints};
use crate::wire::EndpointDigest;

impl StewardedEndpoints {
    /// Returns the digest of every endpoint that serves requests.
    pub fn digests(&self) -> Vec<EndpointDigest> {
        let mut digests = Vec::new();
        self.endpoints.for_each(|_, endpoint| {
            if endpoint.is_serving() {
                digests.push(endpoint.digest());
            }
        });
        digests
    }
}

impl StewardedEndpoint {
    /// Returns the endpoint's entry in a digest.
    fn digest(&self) -> EndpointDigest {
        let adapters = self.ledger.adapters().map(|(_, adapter)| adapter.to_string());
        EndpointDigest {
            endpoint: self.listed.id.to_string(),
            fence: self.record.fence,
            pool: self.listed.pool.to_string(),
            data_centre: self.listed.data_centre.to_string(),
            models: self.ledger.dispatchable_models().map(ToString::to_string).collect(),
            running: self.running,
            queued: self.queue.len() as u32,
            limit: self.warmup.limit(),
            adapters: adapters.collect(),
            loading: self.ledger.loading_models().map(ToString::to_string).collect(),
            free: self.ledger.free_bytes(),
        }
    }
}
