//! The promises that a soak checks, from what callers and endpoints have seen.
//!
//! A promise with a time limit holds for gateways in contact: those that were not disturbed for a while.

mod changes;
mod duties;
mod endpoints;
mod streams;

use std::{
    collections::{HashMap, HashSet},
    fmt,
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::Duration,
};

use super::{
    callers::{Attempt, Ending, Kind},
    fleet::{DATA_CENTRES, Fleet, TEAM},
    history::{AddedRoute, Cut, Disturbance, Evacuation, KeyChange},
};
use crate::{
    clock::Time,
    standin::{
        duties::DutyCall,
        worker::{LAST_EVENT, Mark, Order, Run, Told, event_text, plain_body},
    },
};

/// Time without disturbance after which a gateway is in contact.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after which a new configuration is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after which an endpoint that drains gets no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Least time between the orders of two instances to one endpoint.
const ORDER_GAP: Duration = Duration::from_secs(3);

/// Time after which a request on an open connection has been read.
const READ_TIME: Duration = Duration::from_millis(200);

/// Crashes after which a cause must be known.
const FATAL_CRASHES: usize = 5;

/// Runs that may follow once a cause must be known.
const MAX_FATAL_RUNS: usize = 3;

/// Window in which the requests are counted that reach an endpoint with a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Requests that an endpoint with a limit may get in a window beyond one and a half times the limit.
const LIMIT_SLACK: f64 = 5.0;

/// Fraction of the requests that must be served at the end of a soak.
const MIN_SERVED: f64 = 0.95;

/// Memory that a gateway may use, in bytes.
const MAX_MEMORY: u64 = 260 << 20;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

/// What callers and endpoints have seen.
pub struct Evidence<'a> {
    attempts: &'a [Attempt],
    by_request: HashMap<&'a str, &'a Attempt>,
    runs: Vec<Run>,
    orders: Vec<Order>,
    drains: Vec<Mark<()>>,
    ends: Vec<Mark<()>>,
    limits: Vec<Mark<Option<f64>>>,
    disturbances: &'a [Disturbance],
    worker_faults: &'a [Time],
    key_changes: &'a [KeyChange],
    added_routes: &'a [AddedRoute],
    evacuations: &'a [Evacuation],
    cuts: &'a [Cut],
    /// Calls that the platform API has accepted.
    duty_calls: Vec<DutyCall>,
    /// Spans in which the platform API had faults.
    api_faults: &'a [(Time, Time)],
    told: Vec<Mark<Told>>,
    /// Addresses from which the gateways send.
    sources: Vec<Ipv4Addr>,
    memory: Vec<(String, u64)>,
    /// When the gateways must serve again.
    calm_from: Time,
}

impl<'a> Evidence<'a> {
    /// Collects what was seen. The soak has ended with a `calm` time.
    pub fn new(attempts: &'a [Attempt], fleet: &'a Fleet, calm: Duration) -> Self {
        let memory =
            fleet.gateways.iter().map(|gateway| (gateway.name.clone(), gateway.resident_bytes()));
        Self {
            attempts,
            by_request: attempts.iter().map(|a| (a.request.as_str(), a)).collect(),
            runs: fleet.log.runs(),
            orders: fleet.log.orders(),
            drains: fleet.log.drains(),
            ends: fleet.log.ends(),
            limits: fleet.log.limits(),
            disturbances: &fleet.disturbances,
            worker_faults: &fleet.worker_faults,
            key_changes: &fleet.key_changes,
            added_routes: &fleet.added_routes,
            evacuations: &fleet.evacuations,
            cuts: &fleet.cuts,
            duty_calls: fleet.api.server.log.calls(),
            api_faults: &fleet.api.faults,
            told: fleet.log.told(),
            sources: fleet.gateways.iter().map(|gateway| gateway.source).collect(),
            memory: memory.collect(),
            calm_from: Time::now() - calm / 2,
        }
    }

    /// Returns the promises that were broken.
    pub fn violations(&self) -> Vec<Violation> {
        let mut all = Vec::new();
        self.check_runs(&mut all);
        self.check_answers(&mut all);
        self.check_payments(&mut all);
        self.check_keys(&mut all);
        self.check_routes(&mut all);
        self.check_evacuations(&mut all);
        self.check_known_drains(&mut all);
        self.check_versions(&mut all);
        self.check_take_ups(&mut all);
        self.check_drains(&mut all);
        self.check_orders(&mut all);
        self.check_stops(&mut all);
        self.check_fatal(&mut all);
        self.check_limits(&mut all);
        self.check_said_leaving(&mut all);
        self.check_pauses(&mut all);
        self.check_cuts(&mut all);
        self.check_duty_holders(&mut all);
        self.check_usage(&mut all);
        self.check_recovery(&mut all);
        all
    }

    /// Returns the gateway that sent a run to its endpoint, which may have served it for another one.
    fn gateway_of(&self, run: &Run) -> Option<usize> {
        let sender = run.sender.and_then(|sender| self.gateway_at(sender));
        sender.or_else(|| self.entry_of(run))
    }

    /// Returns the gateway that sends from an address.
    fn gateway_at(&self, sender: IpAddr) -> Option<usize> {
        self.sources.iter().position(|source| IpAddr::from(*source) == sender)
    }

    /// Returns the gateway to which the caller of a run sent it.
    fn entry_of(&self, run: &Run) -> Option<usize> {
        self.by_request.get(run.request.as_str()).map(|attempt| attempt.gateway)
    }

    /// Returns whether a gateway was not disturbed in the [`CONTACT_TIME`] before `at`.
    fn is_in_contact(&self, gateway: usize, at: Time) -> bool {
        let mut own =
            self.disturbances.iter().filter(|d| d.gateway.is_none_or(|index| index == gateway));
        !own.any(|d| d.from <= at && d.to + CONTACT_TIME >= at)
    }

    /// Returns whether a run was sent by a gateway in contact.
    fn is_sent_in_contact(&self, run: &Run) -> bool {
        self.gateway_of(run).is_some_and(|gateway| self.is_in_contact(gateway, run.at))
    }

    /// Endpoints run only requests of callers, for the right team and without a key.
    fn check_runs(&self, all: &mut Vec<Violation>) {
        for run in &self.runs {
            let known = self.by_request.contains_key(run.request.as_str());
            if !known || run.shows_key || run.team.as_deref() != Some(TEAM) {
                let seen = format!("{run:?}");
                all.push(Violation { promise: "runs only what callers sent", seen });
            }
        }
    }

    /// A success is the whole answer of an endpoint to this request.
    fn check_answers(&self, all: &mut Vec<Violation>) {
        for attempt in self.attempts {
            let Ending::Whole { status: 200, endpoint, body } = &attempt.ending else { continue };
            let expected = endpoint.as_deref().map(|endpoint| match attempt.kind {
                Kind::Payment | Kind::Lookup => plain_body(&attempt.request, endpoint),
                Kind::Chat | Kind::Fatal => {
                    let after = attempt.take_up.as_ref().map_or(0, |stream| stream.after);
                    let events = after + 1..=LAST_EVENT;
                    events.map(|number| event_text(&attempt.request, number)).collect()
                }
            });
            if expected.is_none_or(|expected| expected.as_bytes() != &body[..]) {
                let seen = format!("{attempt:?}");
                all.push(Violation { promise: "answers are whole and the caller's own", seen });
            }
        }
    }

    /// A payment runs at most once, and not at all if its refusal says so.
    fn check_payments(&self, all: &mut Vec<Violation>) {
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for run in &self.runs {
            *runs.entry(&run.request).or_default() += 1;
        }
        for attempt in self.attempts.iter().filter(|attempt| attempt.kind == Kind::Payment) {
            let count = runs.get(attempt.request.as_str()).copied().unwrap_or(0);
            if count > 1 {
                let seen = format!("{count} runs of {attempt:?}");
                all.push(Violation { promise: "a payment runs at most once", seen });
            }
            if count > 0 && matches!(attempt.status(), Some(408 | 421 | 429 | 503)) {
                let seen = format!("{attempt:?}");
                all.push(Violation { promise: "a refused payment has not run", seen });
            }
        }
    }

    /// A withdrawn key stops working.
    fn check_keys(&self, all: &mut Vec<Violation>) {
        let ran: HashSet<&str> = self.runs.iter().map(|run| run.request.as_str()).collect();
        let withdrawn = |at: Time| {
            let valid = self.key_changes.iter().rev().find(|change| change.at + APPLY_TIME <= at);
            let returned =
                self.key_changes.iter().any(|c| c.is_valid && c.at <= at && c.at + APPLY_TIME > at);
            valid.is_some_and(|change| !change.is_valid) && !returned
        };
        for attempt in self.attempts.iter().filter(|attempt| attempt.has_withdrawn_key) {
            if withdrawn(attempt.sent_at)
                && withdrawn(attempt.ended_at)
                && self.is_in_contact(attempt.gateway, attempt.sent_at)
                && ran.contains(attempt.request.as_str())
            {
                let seen = format!("{attempt:?}");
                all.push(Violation { promise: "a withdrawn key stops working", seen });
            }
        }
    }

    /// An endpoint that drains gets no more requests.
    fn check_drains(&self, all: &mut Vec<Violation>) {
        for drain in &self.drains {
            let late = self.runs.iter().filter(|run| {
                run.endpoint == drain.endpoint && run.at.since(drain.at) > DRAIN_TIME
            });
            for run in late.filter(|run| self.is_sent_in_contact(run)) {
                let seen = format!("{:?} after the drain: {run:?}", run.at.since(drain.at));
                all.push(Violation { promise: "a draining endpoint gets no requests", seen });
            }
        }
    }

    /// One instance at a time orders an endpoint, and only what fits.
    fn check_orders(&self, all: &mut Vec<Violation>) {
        let mut last: HashMap<&Arc<str>, &Order> = HashMap::new();
        for order in &self.orders {
            let before = last.insert(&order.endpoint, order);
            let is_early = before.is_some_and(|before| {
                before.holder != order.holder && order.at.since(before.at) < ORDER_GAP
            });
            if is_early || !order.fits {
                let seen = format!("{order:?} after {before:?}");
                all.push(Violation { promise: "orders of one instance, which fit", seen });
            }
        }
    }

    /// A planned stop cuts off no request that was read.
    fn check_stops(&self, all: &mut Vec<Violation>) {
        let ran: HashSet<&str> = self.runs.iter().map(|run| run.request.as_str()).collect();
        for attempt in self.attempts {
            let overlaps = |d: &&Disturbance| {
                d.from <= attempt.ended_at && d.to + CONTACT_TIME >= attempt.sent_at
            };
            let mut around = self.disturbances.iter().filter(overlaps).peekable();
            let in_stop = around.peek().is_some() && around.all(|d| d.is_stop);
            let is_cut = matches!(attempt.ending, Ending::Broken | Ending::Partial { .. });
            let was_read = ran.contains(attempt.request.as_str())
                || attempt.ended_at.since(attempt.sent_at) > READ_TIME;
            if in_stop && is_cut && was_read && !self.has_worker_fault(attempt) {
                let seen = format!("{attempt:?}");
                all.push(Violation { promise: "a planned stop cuts off no request", seen });
            }
        }
    }

    /// Returns whether endpoints were disturbed around a request.
    fn has_worker_fault(&self, attempt: &Attempt) -> bool {
        let from = attempt.sent_at - CONTACT_TIME;
        let is_around = |at: &Time| *at >= from && *at <= attempt.ended_at;
        self.worker_faults.iter().any(is_around)
            || self.ends.iter().any(|end| is_around(&end.at))
            || attempt.kind == Kind::Fatal
    }

    /// What crashes endpoints is known after some crashes.
    fn check_fatal(&self, all: &mut Vec<Violation>) {
        let mut crashed: Vec<&Run> = self.runs.iter().filter(|run| run.is_fatal).collect();
        crashed.sort_by_key(|run| run.at);
        let mut seen = HashSet::new();
        let mut crashes = crashed.iter().filter(|run| seen.insert(&run.endpoint));
        let Some(fifth) = crashes.nth(FATAL_CRASHES - 1) else { return };
        let late = crashed
            .iter()
            .filter(|run| run.at > fifth.at + CONTACT_TIME && self.is_sent_in_contact(run));
        let late: Vec<_> = late.collect();
        if late.len() > MAX_FATAL_RUNS {
            let seen = format!("{} runs more, the last {:?}", late.len(), late.last());
            all.push(Violation { promise: "what crashes endpoints is refused", seen });
        }
    }

    /// An endpoint that names a limit gets no more than that.
    fn check_limits(&self, all: &mut Vec<Violation>) {
        for named in &self.limits {
            let Some(limit) = named.value else { continue };
            let ended = self
                .limits
                .iter()
                .find(|other| other.endpoint == named.endpoint && other.at > named.at);
            let until = ended.map_or(Time(u64::MAX), |mark| mark.at);
            let from = named.at + CONTACT_TIME;
            let runs = self
                .runs
                .iter()
                .filter(|run| run.endpoint == named.endpoint && run.at >= from && run.at < until);
            let times: Vec<Time> =
                runs.filter(|run| self.is_sent_in_contact(run)).map(|run| run.at).collect();
            let count = |start: &Time| {
                times.iter().filter(|at| **at >= *start && at.since(*start) < LIMIT_WINDOW).count()
            };
            let most = times.iter().map(count).max().unwrap_or(0);
            let allowed = 1.5 * limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
            if most as f64 > allowed {
                let seen = format!("{most} requests in {LIMIT_WINDOW:?} to {}", named.endpoint);
                all.push(Violation { promise: "limits that endpoints name are kept", seen });
            }
        }
    }

    /// The gateways serve again after the faults, within their memory.
    fn check_recovery(&self, all: &mut Vec<Violation>) {
        let last: Vec<&Attempt> = self
            .attempts
            .iter()
            .filter(|attempt| attempt.sent_at >= self.calm_from && attempt.kind != Kind::Fatal)
            .filter(|attempt| !attempt.has_withdrawn_key)
            .collect();
        let served = last.iter().filter(|attempt| attempt.is_served()).count();
        if (served as f64) < last.len() as f64 * MIN_SERVED || last.is_empty() {
            let seen = format!("{served} of {} served at the end", last.len());
            all.push(Violation { promise: "the gateways serve again", seen });
        }
        for (name, bytes) in self.memory.iter().filter(|(_, bytes)| *bytes > MAX_MEMORY) {
            let seen = format!("{name} uses {} MiB", bytes >> 20);
            all.push(Violation { promise: "memory is bounded", seen });
        }
    }
}
