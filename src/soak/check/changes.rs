//! Promises about what the operators and the endpoints have written to the store.

use std::{collections::HashSet, time::Duration};

use super::{APPLY_TIME, DATA_CENTRES, DRAIN_TIME, Evidence, Violation};
use crate::{clock::Time, standin::worker::Run};

/// Time after which the endpoints of a data centre that is out of service get no more requests.
const EVACUATE_TIME: Duration = Duration::from_secs(5);

/// Time after which a request must not be handled by an older configuration than an earlier one.
const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);

/// Time after which an undisturbed gateway knows what was written to the store.
const KNOWN_TIME: Duration = Duration::from_secs(1);

impl Evidence<'_> {
    /// Returns whether a gateway was killed, stopped or paused between two times.
    pub(super) fn was_process_disturbed(&self, gateway: usize, from: Time, to: Time) -> bool {
        let own = self.disturbances.iter().filter(|d| d.gateway.is_none_or(|it| it == gateway));
        own.filter(|d| !d.is_store).any(|d| d.from <= to && d.to >= from)
    }

    /// Returns whether the store was disturbed between two times.
    fn was_store_disturbed(&self, gateway: usize, from: Time, to: Time) -> bool {
        let own = self.disturbances.iter().filter(|d| d.gateway.is_none_or(|it| it == gateway));
        own.filter(|d| d.is_store).any(|d| d.from <= to && d.to >= from)
    }

    /// Returns whether the process that sent a run knew what was written to the store at `at`, and has
    /// not been disturbed itself since.
    fn was_known_at(&self, run: &Run, at: Time) -> bool {
        self.gateway_of(run).is_some_and(|gateway| {
            !self.was_store_disturbed(gateway, at - KNOWN_TIME, at + KNOWN_TIME)
                && !self.was_process_disturbed(gateway, at - KNOWN_TIME, run.at)
        })
    }

    /// A route that was added is served, and does not disappear.
    pub(super) fn check_routes(&self, all: &mut Vec<Violation>) {
        for attempt in self.attempts.iter().filter(|attempt| attempt.status() == Some(404)) {
            let Some(added) = self.added_routes.iter().find(|route| route.name == attempt.route)
            else {
                continue;
            };
            let is_due = attempt.sent_at > added.at + APPLY_TIME
                && self.is_in_contact(attempt.gateway, attempt.sent_at);
            if is_due || self.was_served_before(attempt) {
                let seen = format!("{:?} after it: {attempt:?}", attempt.sent_at.since(added.at));
                all.push(Violation { promise: "a route that was added is served", seen });
            }
        }
    }

    /// Returns whether the same process has served a request on the route of this one before.
    fn was_served_before(&self, attempt: &super::Attempt) -> bool {
        let earlier = self.attempts.iter().filter(|other| {
            other.route == attempt.route
                && other.gateway == attempt.gateway
                && other.is_served()
                && other.ended_at + DOWNGRADE_SLACK < attempt.sent_at
        });
        earlier.into_iter().any(|other| {
            !self.was_process_disturbed(attempt.gateway, other.sent_at, attempt.ended_at)
        })
    }

    /// Returns the index of the data centre of a run's endpoint.
    fn data_centre_of(&self, run: &Run) -> Option<usize> {
        DATA_CENTRES.iter().position(|name| *name == run.data_centre)
    }

    /// The endpoints of a data centre that is out of service get no requests.
    pub(super) fn check_evacuations(&self, all: &mut Vec<Violation>) {
        for evacuation in self.evacuations {
            let from = evacuation.from + EVACUATE_TIME;
            let is_late = |run: &&Run| {
                self.data_centre_of(run) == Some(evacuation.data_centre)
                    && run.at > from
                    && evacuation.to.is_none_or(|to| run.at < to)
            };
            let late = self.runs.iter().filter(is_late);
            let is_bound = |run: &&Run| {
                self.is_sent_in_contact(run) || self.was_known_at(run, evacuation.from)
            };
            for run in late.filter(is_bound) {
                let seen = format!("{:?} after it: {run:?}", run.at.since(evacuation.from));
                all.push(Violation { promise: "a data centre out of service gets nothing", seen });
            }
        }
    }

    /// An endpoint gets no requests of a gateway that knew that it drains, also if the store has
    /// forgotten that since.
    pub(super) fn check_known_drains(&self, all: &mut Vec<Violation>) {
        let mut seen_endpoints = HashSet::new();
        for drain in self.drains.iter().filter(|drain| seen_endpoints.insert(&drain.endpoint)) {
            let late = self.runs.iter().filter(|run| {
                run.endpoint == drain.endpoint && run.at.since(drain.at) > DRAIN_TIME
            });
            for run in late.filter(|run| self.was_known_at(run, drain.at)) {
                let seen = format!("{:?} after the drain: {run:?}", run.at.since(drain.at));
                all.push(Violation { promise: "a drain that was known is not forgotten", seen });
            }
        }
    }
}
