//! Decides whether a steward sends a new digest of its endpoints before the next regular one.

use crate::wire::EndpointDigest;

/// Smallest change of an endpoint's load for which a digest is sent, in thousandths of its limit.
const MIN_LOAD_CHANGE: u64 = 250;

/// Returns whether the endpoints have changed so much since the last digest that a new one is sent.
///
/// A change of the requests that an endpoint can run always counts. A change of its load counts
/// only if it is large, since instances that use an endpoint learn its load from its responses.
pub fn is_significant_change(sent: &[EndpointDigest], current: &[EndpointDigest]) -> bool {
    sent.len() != current.len()
        || sent.iter().zip(current).any(|(old, new)| differs_significantly(old, new))
}

/// Returns whether two descriptions of one endpoint differ so much that a new digest is sent.
fn differs_significantly(old: &EndpointDigest, new: &EndpointDigest) -> bool {
    let same = old.endpoint == new.endpoint
        && old.fence == new.fence
        && old.models == new.models
        && old.loading == new.loading
        && old.free == new.free
        && old.adapters == new.adapters
        && old.limit.abs_diff(new.limit) * 4 <= old.limit;
    !same || load(old).abs_diff(load(new)) >= MIN_LOAD_CHANGE
}

/// Returns the number of running and waiting requests in thousandths of the endpoint's limit.
fn load(digest: &EndpointDigest) -> u64 {
    u64::from(digest.running + digest.queued) * 1_000 / u64::from(digest.limit.max(1))
}
