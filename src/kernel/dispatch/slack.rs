//! Dispatch policy that serves the request with the least time left to its target.
//!
//! Teams that are far below their target are preferred, and teams that use more than their
//! entitlement come last.

use std::time::Duration;

use super::{Contenders, DispatchPolicy, Lane, Pick, Ticket};
use crate::{clock::Time, kernel::registry::DispatchPlugin};

/// Fraction of the work that is reserved for background classes while any of their requests waits.
pub const BACKGROUND_FRACTION: f64 = 0.05;

/// Fraction of the work that is reserved for requests that missed their target, so that they still
/// end by their deadline.
pub const LATE_FRACTION: f64 = 0.03;

/// Time before the deadline of background work from which that work competes with all other work.
pub const BACKGROUND_LEAD: Duration = Duration::from_secs(30);

/// Microseconds by which the slack is reduced for a team that meets none of its targets.
const MAX_SHORTFALL_MICROS: f64 = 2_000_000.0;

/// Ratio of recent work to entitlement up to which a team counts as within its entitlement.
const MAX_ENTITLED_RATIO: f64 = 1.05;

/// Serves the request with the least slack, the time until its first token is due. The slack is
/// reduced for teams that are below their target.
///
/// A team that used more than its entitlement gets only those slots for which no other team has a
/// request, so a flood of requests lengthens only the queue of its own team. Background classes and
/// requests that missed their target each get a bounded fraction of the work, in the order of their
/// deadlines.
#[derive(Debug)]
pub struct Slack;

impl DispatchPolicy for Slack {
    fn pick(&self, contenders: &Contenders<'_>, now: Time) -> Pick {
        next_reserved(contenders)
            .or_else(|| next_on_time(contenders, now))
            .or_else(|| earliest_deadline(contenders, false))
            .or_else(|| earliest_deadline(contenders, true))
            .unwrap_or(Pick::Oldest(0))
    }
}

/// Picks background or late work if it got less than its reserved fraction of the recent work.
fn next_reserved(contenders: &Contenders<'_>) -> Option<Pick> {
    if contenders.background_fraction < BACKGROUND_FRACTION
        && let Some(pick) = earliest_deadline(contenders, true)
    {
        return Some(pick);
    }
    (contenders.late_fraction < LATE_FRACTION)
        .then(|| earliest_deadline(contenders, false))
        .flatten()
}

/// Picks among the requests that can still meet their target and the background work whose deadline
/// is near.
fn next_on_time(contenders: &Contenders<'_>, now: Time) -> Option<Pick> {
    let lanes = contenders.lanes.iter().enumerate();
    let urgent = lanes.filter_map(|(i, lane)| Some((i, lane, urgent_ticket(lane, now)?)));
    let best = urgent.min_by_key(|(_, lane, ticket)| rank(lane, ticket, now));
    best.map(|(i, lane, _)| if lane.background { Pick::Late(i) } else { Pick::Urgent(i) })
}

/// Returns a lane's most urgent request among those that compete with other teams' requests.
fn urgent_ticket<'a>(lane: &Lane<'a>, now: Time) -> Option<&'a Ticket> {
    if lane.background {
        return lane.late.filter(|ticket| ticket.deadline <= now + BACKGROUND_LEAD);
    }
    lane.urgent
}

/// Returns a sort key that puts teams within their entitlement before the others, then sorts by
/// slack.
fn rank(lane: &Lane<'_>, ticket: &Ticket, now: Time) -> (bool, i64) {
    let due = if lane.background { ticket.deadline } else { ticket.due };
    let slack = due.since(now).as_micros() as f64;
    let reduction = lane.shortfall * MAX_SHORTFALL_MICROS;
    (lane.work_ratio > MAX_ENTITLED_RATIO, (slack - reduction) as i64)
}

/// Picks the request with the earliest deadline among background work, or among other requests that
/// missed their target. Among the latter, teams within their entitlement go first.
fn earliest_deadline(contenders: &Contenders<'_>, background: bool) -> Option<Pick> {
    let lanes = contenders.lanes.iter().enumerate();
    let lanes = lanes.filter(|(_, lane)| lane.background == background);
    let late = lanes.filter_map(|(i, lane)| Some((i, lane, lane.late?)));
    let is_over_entitlement = |lane: &Lane<'_>| !background && lane.work_ratio > MAX_ENTITLED_RATIO;
    let best = late.min_by_key(|(_, lane, ticket)| (is_over_entitlement(lane), ticket.deadline));
    best.map(|(i, ..)| Pick::Late(i))
}

inventory::submit! { DispatchPlugin { name: "slack", policy: &Slack } }
