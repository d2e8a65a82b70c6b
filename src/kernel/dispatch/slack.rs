//! Serves by slack to the target, the worst-served team first, within each team's entitlement.

use std::time::Duration;

use super::{Contest, DispatchPolicy, Lane, Pick, Ticket};
use crate::{clock::Time, kernel::registry::DispatchPlugin};

/// Part of the work that background classes get while any of theirs waits.
pub const BACKGROUND_PART: f64 = 0.05;

/// Part of the work that requests get which missed their target, so that they still end by their
/// deadline.
pub const LATE_PART: f64 = 0.03;

/// Time before its deadline at which background work competes with all other work.
pub const BACKGROUND_LEAD: Duration = Duration::from_secs(30);

/// Slack in microseconds that a team gains which meets none of its targets.
const SHORTFALL_MICROS: f64 = 2_000_000.0;

/// Recent work over entitlement up to which a team counts as within its entitlement.
const ENTITLED: f64 = 1.05;

/// Serves by slack to the first token's target, less what the team is below its target.
///
/// A team that used more than its entitlement competes only for places that no other team's
/// requests want, so a flood lengthens its own queue alone. Background classes and requests that
/// missed their target each get a bounded part of the work, by their deadlines.
#[derive(Debug)]
pub struct Slack;

impl DispatchPolicy for Slack {
    fn pick(&self, contest: &Contest<'_>, now: Time) -> Pick {
        reserved(contest)
            .or_else(|| on_time(contest, now))
            .or_else(|| earliest_deadline(contest, false))
            .or_else(|| earliest_deadline(contest, true))
            .unwrap_or(Pick::Oldest(0))
    }
}

/// Picks from a reserve that has had less than its part.
fn reserved(contest: &Contest<'_>) -> Option<Pick> {
    if contest.background < BACKGROUND_PART
        && let Some(pick) = earliest_deadline(contest, true)
    {
        return Some(pick);
    }
    (contest.late < LATE_PART).then(|| earliest_deadline(contest, false)).flatten()
}

/// Picks among requests that can still meet their target.
fn on_time(contest: &Contest<'_>, now: Time) -> Option<Pick> {
    let lanes = contest.lanes.iter().enumerate();
    let wanted = lanes.filter_map(|(i, lane)| Some((i, lane, urgent(lane, now)?)));
    let best = wanted.min_by_key(|(_, lane, ticket)| rank(lane, ticket, now));
    best.map(|(i, lane, _)| if lane.background { Pick::Late(i) } else { Pick::Urgent(i) })
}

fn urgent<'a>(lane: &Lane<'a>, now: Time) -> Option<&'a Ticket> {
    if lane.background {
        return lane.late.filter(|ticket| ticket.deadline <= now + BACKGROUND_LEAD);
    }
    lane.urgent
}

/// Ranks teams within their entitlement before the others, then by slack.
fn rank(lane: &Lane<'_>, ticket: &Ticket, now: Time) -> (bool, i64) {
    let due = if lane.background { ticket.deadline } else { ticket.due };
    let slack = due.since(now).as_micros() as f64;
    let advance = lane.shortfall * SHORTFALL_MICROS;
    (lane.used > ENTITLED, (slack - advance) as i64)
}

/// Picks the earliest deadline among background work, or among other work that is late.
fn earliest_deadline(contest: &Contest<'_>, background: bool) -> Option<Pick> {
    let lanes = contest.lanes.iter().enumerate();
    let wanted = lanes.filter(|(_, lane)| lane.background == background);
    let wanted = wanted.filter_map(|(i, lane)| Some((i, lane, lane.late?)));
    let above = |lane: &Lane<'_>| !background && lane.used > ENTITLED;
    let best = wanted.min_by_key(|(_, lane, ticket)| (above(lane), ticket.deadline));
    best.map(|(i, ..)| Pick::Late(i))
}

inventory::submit! { DispatchPlugin { name: "slack", policy: &Slack } }
