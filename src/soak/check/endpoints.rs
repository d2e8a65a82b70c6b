//! Promises about what endpoints say in their responses, and about gateways that do not reach them.

use std::time::Duration;

use super::{CONTACT_TIME, DRAIN_TIME, Evidence, Kind, Violation};
use crate::standin::worker::Sign;

/// Time after a refusal from which its sender must pause.
const PAUSE_DELAY: Duration = Duration::from_millis(500);

/// Requests that may arrive from a gateway that must pause.
const MAX_ARRIVALS: usize = 2;

/// First tries that may fail at a gateway that is cut off: some, and a fraction of all first tries.
const MAX_FAILED: usize = 10;
const MAX_FAILED_FRACTION: f64 = 0.02;

/// Fraction of the others' rate at which a gateway that is cut off must serve.
const MIN_SERVED_RATIO: f64 = 2.0 / 3.0;

impl Evidence<'_> {
    /// An endpoint that has told a gateway that it leaves gets no more requests of that gateway.
    pub(super) fn check_said_leaving(&self, all: &mut Vec<Violation>) {
        for told in self.told.iter().filter(|told| told.value.sign == Sign::Leaving) {
            let late = self.runs.iter().filter(|run| {
                run.endpoint == told.endpoint
                    && run.sender == told.value.sender
                    && run.at > told.at + DRAIN_TIME
            });
            for run in late {
                let Some(gateway) = self.gateway_of(run) else { continue };
                if !self.was_process_disturbed(gateway, told.at, run.at) {
                    let seen = format!("{:?} after it: {run:?}", run.at.since(told.at));
                    let promise = "an endpoint that says it leaves gets no requests";
                    return all.push(Violation { promise, seen });
                }
            }
        }
    }

    /// A gateway that was refused with a time sends nothing to that endpoint for so long.
    pub(super) fn check_pauses(&self, all: &mut Vec<Violation>) {
        for refusal in &self.told {
            let Sign::Pause(pause) = refusal.value.sign else { continue };
            let arrivals = self.told.iter().filter(|told| {
                told.value.sign == Sign::Arrival
                    && told.endpoint == refusal.endpoint
                    && told.value.sender == refusal.value.sender
                    && told.at > refusal.at + PAUSE_DELAY
                    && told.at < refusal.at + pause
            });
            let gateway = refusal.value.sender.and_then(|sender| self.gateway_at(sender));
            let until = refusal.at + pause;
            let is_disturbed = |gateway| {
                self.was_process_disturbed(gateway, refusal.at, until)
                    || self.was_cut(gateway, until)
            };
            let count = arrivals.count();
            if count > MAX_ARRIVALS && gateway.is_some_and(|gateway| !is_disturbed(gateway)) {
                let seen = format!("{count} requests after {refusal:?}");
                let promise = "an endpoint that asks for a pause gets one";
                return all.push(Violation { promise, seen });
            }
        }
    }

    fn was_cut(&self, gateway: usize, at: crate::clock::Time) -> bool {
        let mut own = self.cuts.iter().filter(|cut| cut.gateway == gateway);
        own.any(|cut| cut.from <= at && at <= cut.to + CONTACT_TIME)
    }

    /// Callers of a gateway that is cut off from the endpoints are served like those of the others.
    pub(super) fn check_cuts(&self, all: &mut Vec<Violation>) {
        for cut in self.cuts {
            let from = cut.from + CONTACT_TIME;
            let tries = self.attempts.iter().filter(|attempt| {
                let is_counted = attempt.kind != Kind::Fatal && attempt.take_up.is_none();
                is_counted
                    && !attempt.has_withdrawn_key
                    && attempt.sent_at >= from
                    && attempt.ended_at < cut.to
                    && self.is_in_contact(attempt.gateway, attempt.sent_at)
            });
            let (own, others): (Vec<_>, Vec<_>) =
                tries.partition(|attempt| attempt.gateway == cut.gateway);
            let served =
                |tries: &[&super::Attempt]| tries.iter().filter(|it| it.is_served()).count();
            let (own_served, others_served) = (served(&own), served(&others));
            let (own_count, others_count) = (own.len(), others.len());
            let max_failed =
                MAX_FAILED as f64 + MAX_FAILED_FRACTION * (own_count + others_count) as f64;
            let ratio = |served: usize, count: usize| served as f64 / count.max(1) as f64;
            let is_worse = ratio(own_served, own_count)
                < MIN_SERVED_RATIO * ratio(others_served, others_count);
            if is_worse && (own_count - own_served) as f64 > max_failed {
                let seen = format!(
                    "{own_served} of {own_count}, the others {others_served} of {others_count}: {cut:?}"
                );
                let promise = "a gateway cut off from the endpoints serves like the others";
                all.push(Violation { promise, seen });
            }
        }
    }
}
