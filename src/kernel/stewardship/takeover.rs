//! Who takes an endpoint, and when.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    kernel::{freshness::Freshness, ledger::EndpointRecord},
    names::InstanceId,
};

/// Time for which an endpoint of a lapsed steward is left to it, so that a steward whose lease
/// lapsed while the service was down renews before anybody takes over, and one that is gone has
/// stopped to dispatch.
pub const TAKEOVER_GRACE: Duration = Duration::from_secs(4);

/// Time for which an endpoint that was never taken is left to the preferred listed instance, which
/// may be about to start.
pub const NEW_ENDPOINT_GRACE: Duration = Duration::from_secs(3);

/// Time by which each further instance in the order of preference waits longer.
pub const RANK_DELAY: Duration = Duration::from_secs(2);

/// The instances that hold a lease, as the service shows them.
pub type Leases = BTreeMap<InstanceId, Lease>;

/// Lease of one instance.
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
    /// Its steward holds a lease.
    Held,
    /// It was never taken.
    New,
    /// It was handed over.
    Free,
    /// Its steward's lease is gone.
    Lapsed(InstanceId),
}

/// Judges whether an endpoint that the process `own` does not steward has a steward.
///
/// A record that names this process comes from a write whose answer was lost, or from before it
/// dropped the endpoint.
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

/// What an instance does about an endpoint that it does not steward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Takeover {
    /// Take it.
    Take,
    /// Leave it to others.
    Leave,
}

/// What a claim depends on.
#[derive(Clone, Debug)]
pub struct TakeoverContext<'a> {
    /// The instance that decides.
    pub own: &'a InstanceId,
    /// Whether that instance surely holds its lease.
    pub lease_held: bool,
    /// Its contact with the rest.
    pub freshness: Freshness,
    /// Instances in the order of preference for the endpoint.
    pub ranked: &'a [InstanceId],
    /// Instances with a lease.
    pub leases: &'a Leases,
    /// Whether the endpoint has a steward.
    pub vacancy: &'a Vacancy,
    /// Time since when it has none, as seen by this instance.
    pub vacant_for: Duration,
}

/// Decides whether an instance takes an endpoint.
pub fn decide_takeover(bid: &TakeoverContext) -> Takeover {
    let first = bid.ranked.first() == Some(bid.own);
    let grace = match bid.vacancy {
        Vacancy::Held => return Takeover::Leave,
        Vacancy::New if first => Duration::ZERO,
        Vacancy::New => NEW_ENDPOINT_GRACE,
        Vacancy::Free => Duration::ZERO,
        Vacancy::Lapsed(_) => TAKEOVER_GRACE,
    };
    if !bid.lease_held || bid.freshness != Freshness::Fresh || !bid.ranked.contains(bid.own) {
        return Takeover::Leave;
    }
    let leased = bid.ranked.iter().filter(|id| bid.leases.contains_key(*id));
    let position = leased.take_while(|id| *id != bid.own).count() as u32;
    let due = bid.vacant_for >= grace + RANK_DELAY * position;
    if due { Takeover::Take } else { Takeover::Leave }
}

/// What a steward does about an endpoint that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepDecision {
    /// Go on.
    Keep,
    /// Take no new work, and hand it over once nothing runs.
    Drain,
    /// Hand it over to the preferred instance, since nothing runs.
    HandOver,
    /// The record names another steward: drop it at once.
    Lost,
}

/// What a steward's decision depends on.
#[derive(Clone, Debug)]
pub struct KeepContext<'a> {
    /// The steward.
    pub own: &'a InstanceId,
    /// The record as the steward last wrote it.
    pub written: &'a EndpointRecord,
    /// The record as the service shows it.
    pub record: Option<&'a EndpointRecord>,
    /// Whether the list shows the endpoint as live at the known address.
    pub listed: bool,
    /// Whether nothing runs, waits or is ordered there.
    pub idle: bool,
    /// Preferred instance for the endpoint.
    pub preferred: Option<&'a InstanceId>,
    /// Instances with a lease.
    pub leases: &'a Leases,
}

/// Decides whether a steward keeps an endpoint.
pub fn decide_keep(holding: &KeepContext) -> KeepDecision {
    if holding.record.is_some_and(|record| !record.is_same_term(holding.written)) {
        return KeepDecision::Lost;
    }
    if !holding.listed {
        return if holding.idle { KeepDecision::HandOver } else { KeepDecision::Drain };
    }
    let leased = |id: &InstanceId| holding.leases.contains_key(id);
    let better = holding.preferred.is_some_and(|id| id != holding.own && leased(id));
    if better && holding.idle { KeepDecision::HandOver } else { KeepDecision::Keep }
}
