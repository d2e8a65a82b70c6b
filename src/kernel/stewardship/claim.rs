//! Decides which instance takes over an endpoint without a steward, and when a steward gives its
//! endpoint up.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    kernel::{freshness::Freshness, ledger::EndpointRecord},
    names::InstanceId,
};

/// Time for which an endpoint is not taken over after its steward's lease lapsed.
///
/// Within this time, a steward whose lease lapsed during an outage of the service can renew it, and
/// one that cannot has stopped dispatching.
pub const TAKEOVER_GRACE: Duration = Duration::from_secs(4);

/// Time for which only the preferred instance may take an endpoint that never had a steward, because
/// the preferred instance may still be starting.
pub const NEW_ENDPOINT_GRACE: Duration = Duration::from_secs(3);

/// Additional time that each instance waits for the one before it in the order of preference.
pub const RANK_DELAY: Duration = Duration::from_secs(2);

/// The leases at the platform's service, by instance.
pub type Leases = BTreeMap<InstanceId, Lease>;

/// The lease of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Incarnation of the instance's process.
    pub incarnation: u64,
    /// Revision of the lease's record.
    pub revision: i64,
}

/// Whether an endpoint has a steward.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Vacancy {
    /// The endpoint has a steward, which holds a lease.
    Held,
    /// The endpoint never had a steward.
    New,
    /// The last steward handed the endpoint over.
    Free,
    /// The lease of the endpoint's steward, this instance, no longer exists.
    Lapsed(InstanceId),
}

/// Returns whether an endpoint has a steward. The process `own`, an instance and its incarnation,
/// does not steward the endpoint.
///
/// A record that still names this process was written by an attempt whose response was lost, or
/// before the process dropped the endpoint. The endpoint then counts as free.
pub fn vacancy(
    own: (&InstanceId, u64),
    record: Option<&EndpointRecord>,
    leases: &Leases,
) -> Vacancy {
    let Some(record) = record else { return Vacancy::New };
    let Some(holder) = &record.holder else { return Vacancy::Free };
    if own == (holder, record.incarnation) {
        return Vacancy::Free;
    }
    match leases.get(holder) {
        Some(lease) if lease.incarnation == record.incarnation => Vacancy::Held,
        _ => Vacancy::Lapsed(holder.clone()),
    }
}

/// Whether an instance takes over an endpoint of which it is not the steward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Takeover {
    /// Take the endpoint now.
    Take,
    /// Leave the endpoint to its steward or to other instances.
    Leave,
}

/// The input of [`decide_takeover`].
#[derive(Clone, Debug)]
pub struct TakeoverContext<'a> {
    /// The instance that decides.
    pub own: &'a InstanceId,
    /// Whether that instance certainly holds its lease.
    pub lease_held: bool,
    /// Whether that instance reaches the service and the other instances.
    pub freshness: Freshness,
    /// Candidates in the order of preference for the endpoint.
    pub ranked: &'a [InstanceId],
    /// Leases of all instances.
    pub leases: &'a Leases,
    /// Whether the endpoint has a steward.
    pub vacancy: &'a Vacancy,
    /// Time for which the deciding instance has seen the endpoint without a steward.
    pub vacant_for: Duration,
}

/// Returns whether an instance takes an endpoint.
///
/// Instances with a lease take it in the order of preference, each [`RANK_DELAY`] after the one
/// before it.
pub fn decide_takeover(context: &TakeoverContext) -> Takeover {
    let is_first = context.ranked.first() == Some(context.own);
    let grace = match context.vacancy {
        Vacancy::Held => return Takeover::Leave,
        Vacancy::New if is_first => Duration::ZERO,
        Vacancy::New => NEW_ENDPOINT_GRACE,
        Vacancy::Free => Duration::ZERO,
        Vacancy::Lapsed(_) => TAKEOVER_GRACE,
    };
    if !context.lease_held
        || context.freshness != Freshness::Fresh
        || !context.ranked.contains(context.own)
    {
        return Takeover::Leave;
    }
    let candidates = context.ranked.iter().filter(|id| context.leases.contains_key(*id));
    let position = candidates.take_while(|id| *id != context.own).count() as u32;
    let has_waited = context.vacant_for >= grace + RANK_DELAY * position;
    if has_waited { Takeover::Take } else { Takeover::Leave }
}

/// Whether a steward keeps an endpoint that it holds, and how it gives the endpoint up otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepDecision {
    /// Keep the endpoint.
    Keep,
    /// Accept no new work for the endpoint, and hand it over once it is idle.
    Drain,
    /// Hand the endpoint over now.
    HandOver,
    /// Drop the endpoint at once, because its record names another term or steward.
    Lost,
}

/// The input of [`decide_keep`].
#[derive(Clone, Debug)]
pub struct KeepContext<'a> {
    /// The steward.
    pub own: &'a InstanceId,
    /// The endpoint's record as the steward last wrote it.
    pub written: &'a EndpointRecord,
    /// The endpoint's record as the service shows it, or `None` if it shows none.
    pub record: Option<&'a EndpointRecord>,
    /// Whether the list shows the endpoint as live at the address that the steward knows.
    pub listed: bool,
    /// Whether no request runs or waits at the endpoint and no order to it is open.
    pub idle: bool,
    /// Preferred steward of the endpoint.
    pub preferred: Option<&'a InstanceId>,
    /// Leases of all instances.
    pub leases: &'a Leases,
}

/// Returns whether a steward keeps an endpoint.
///
/// An idle endpoint goes to its preferred steward if that instance holds a lease.
pub fn decide_keep(context: &KeepContext) -> KeepDecision {
    if context.record.is_some_and(|record| !record.is_same_term(context.written)) {
        return KeepDecision::Lost;
    }
    if !context.listed {
        return if context.idle { KeepDecision::HandOver } else { KeepDecision::Drain };
    }
    let has_lease = |id: &InstanceId| context.leases.contains_key(id);
    let is_outranked = context.preferred.is_some_and(|id| id != context.own && has_lease(id));
    if is_outranked && context.idle { KeepDecision::HandOver } else { KeepDecision::Keep }
}
