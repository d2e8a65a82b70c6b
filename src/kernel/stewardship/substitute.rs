//! Decides which instance dispatches requests for a steward that ended while the platform's service
//! is down, so that no instance can take the endpoint over.

use super::Authority;
use crate::{config::PoolSpec, kernel::freshness::Freshness, names::InstanceId};

/// The input of [`may_substitute`].
#[derive(Clone, Copy, Debug)]
pub struct SubstituteContext<'a> {
    /// The instance that decides.
    pub own: &'a InstanceId,
    /// Whether that instance reaches the service and the other instances.
    pub freshness: Freshness,
    /// What that instance may do as a steward.
    pub authority: Authority,
    /// Whether the process of the endpoint's steward is known to have ended.
    pub steward_ended: bool,
    /// Preferred steward of the endpoint among the instances that the deciding instance is in
    /// contact with.
    pub preferred: Option<&'a InstanceId>,
}

/// Returns whether an instance dispatches requests to an endpoint in place of its steward.
///
/// A substitute uses the models that are resident and sends no orders. An instance that holds a
/// lease must not be a substitute, because it may take the endpoint over at any moment.
pub fn may_substitute(context: &SubstituteContext) -> bool {
    context.steward_ended
        && context.freshness == Freshness::ServiceDown
        && context.authority == Authority::DispatchOnly
        && context.preferred == Some(context.own)
}

/// Returns the pool's properties with the limits that a substitute applies to the endpoint.
///
/// The limits are half the cold limit, so that two instances that both consider themselves
/// preferred stay within the cold limit together.
pub fn substitute_pool(pool: &PoolSpec) -> PoolSpec {
    let limit = pool.cold_limit / 2;
    PoolSpec { cold_limit: limit, warm_limit: limit, ..pool.clone() }
}
