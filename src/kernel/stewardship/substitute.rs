//! Who dispatches for a steward that is gone while nobody can take over.

use super::Authority;
use crate::{config::PoolSpec, kernel::freshness::Freshness, names::InstanceId};

/// What the decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct SubstituteContext<'a> {
    /// The instance that decides.
    pub own: &'a InstanceId,
    /// Its contact with the rest.
    pub freshness: Freshness,
    /// What it may do as a steward.
    pub duty: Authority,
    /// Whether the endpoint's steward is known to have ended.
    pub steward_ended: bool,
    /// Preferred instance for the endpoint among those that are heard.
    pub preferred: Option<&'a InstanceId>,
}

/// Returns whether an instance dispatches to the warm models of an endpoint in its steward's place.
///
/// It orders nothing. It may not hold a lease, since one that does could take over at any moment.
pub fn may_substitute(outage: &SubstituteContext) -> bool {
    outage.steward_ended
        && outage.freshness == Freshness::ServiceDown
        && outage.duty == Authority::DispatchOnly
        && outage.preferred == Some(outage.own)
}

/// Returns the properties of a pool as a substitute counts on them.
///
/// Two instances that both find themselves preferred together stay within the cold limit.
pub fn substitute_pool(pool: &PoolSpec) -> PoolSpec {
    let limit = pool.cold_limit / 2;
    PoolSpec { cold_limit: limit, warm_limit: limit, ..pool.clone() }
}
