//! Whether a change of endpoints is worth a digest before the next refresh.

use crate::wire::EndpointDigest;

/// Change of an endpoint's load that is worth a digest, in thousandths of its limit.
const MIN_LOAD_CHANGE: u64 = 250;

/// Returns whether a digest must be sent before the next refresh.
///
/// What can be dispatched to is always news. Load is news in large steps only, since callers of an
/// endpoint learn its load from their answers.
pub fn is_significant_change(sent: &[EndpointDigest], current: &[EndpointDigest]) -> bool {
    sent.len() != current.len()
        || sent.iter().zip(current).any(|(old, new)| differs_significantly(old, new))
}

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

fn load(digest: &EndpointDigest) -> u64 {
    u64::from(digest.running + digest.queued) * 1_000 / u64::from(digest.limit.max(1))
}
