//! Decides how many engines a service is to have in each data centre.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::demand::{Demand, Subject};
use crate::clock::Time;

/// Bounds of a service's engines in each data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingSpec {
    /// Least number of engines.
    pub min: u32,
    /// Largest number of engines.
    pub max: u32,
    /// Time from the order until a new engine serves.
    pub boot: Duration,
}

/// Fraction of an engine's capacity that is planned for. With Poisson arrivals at 0.7 of a few servers
/// the mean wait stays below the work time of a request. The rest also serves a rise that begins sooner
/// than engines boot: up to 1.4 times the load needs no engine that is not there.
const PLANNED_USE: f64 = 0.7;

/// Fraction of the capacity below which engines are released. The distance to [`PLANNED_USE`] is the
/// hysteresis band: the noise of a rate that is measured over a second must not cross both.
const RELEASE_USE: f64 = 0.55;

/// Fraction of the capacity that may be used after the loss of a data centre, until more engines serve.
/// Below 1 the queue does not grow without bound, so callers wait for one boot time at most.
const EMERGENCY_USE: f64 = 0.95;

/// Time for which engines must have been dispensable before they are released, in multiples of the boot
/// time. An engine that is missed again costs its callers one boot time of waits, so it should not have
/// been needed for longer than that.
const RELEASE_BOOTS: f64 = 2.0;

/// Least time between an order and its repetition, so that an entry which changes back and forth between
/// draining and ready does not cause a call with each change.
const MIN_REPEAT: Duration = Duration::from_secs(1);

/// Time after which an order that has no effect is repeated, in multiples of the boot time. An order of
/// engines has an effect after one boot time, and some boots take twice as long. An order repeats the
/// same number, so an early repeat harms nobody but costs a call.
const REPEAT_BOOTS: f64 = 3.0;

/// What is known of one service in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct SubjectState {
    /// Demand of the callers of the data centre.
    pub demand: Demand,
    /// Engines that serve and do not drain.
    pub ready: u32,
    /// Engines that drain. A platform may count them as engines until they end.
    pub leaving: u32,
    /// Requests that an engine runs at once.
    pub slots: u32,
}

/// Returns the number of engines, as a fraction, that the demand fills completely.
///
/// An engine is full when all its slots are taken, or when it prefills all the time. Requests that wait
/// are worked off within the boot time.
pub fn full_engines(state: &SubjectState, boot: Duration) -> f64 {
    let demand = &state.demand;
    let rate = demand.forecast(boot) + demand.waiting as f64 / boot.as_secs_f64().max(1.0);
    let slots = (rate * demand.work.as_secs_f64()).max(demand.running as f64);
    let prefill = rate * demand.prefill.as_secs_f64();
    (slots / f64::from(state.slots.max(1))).max(prefill)
}

/// Returns how many engines are needed in each data centre if `usage` of the capacity is planned for.
///
/// Each data centre has enough for its own callers, and all but any one together have enough for all.
pub fn needed(
    states: &BTreeMap<Subject, SubjectState>,
    spec: &ScalingSpec,
    usage: f64,
) -> BTreeMap<Subject, u32> {
    let full = |state: &SubjectState| full_engines(state, spec.boot);
    let total: f64 = states.values().map(full).sum();
    let others = states.len().saturating_sub(1).max(1) as f64;
    let floor = if states.len() > 1 { total / EMERGENCY_USE / others } else { 0.0 };
    let needed = states.iter().map(|(subject, state)| {
        let own = (full(state) / usage).max(floor).ceil() as u32;
        (subject.clone(), own.clamp(spec.min, spec.max.max(spec.min)))
    });
    needed.collect()
}

/// What to do next about a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScaleStep {
    /// Nothing.
    Keep,
    /// Order this number of engines.
    Order(u32),
}

/// The course of one subject.
#[derive(Clone, Debug, Default)]
pub struct Course {
    /// Number of engines that was ordered last; `None` if it is not known.
    pub ordered: Option<u32>,
    /// When it was ordered.
    ordered_at: Time,
    /// Engines that served at the last decision, and all with those that drained.
    seen: (u32, u32),
    /// Whether engines have left or ended since the last order.
    has_lost: bool,
    /// Needed numbers in the time before a release, the largest and those after it.
    recent: VecDeque<(Time, u32)>,
    /// When the course began.
    begun_at: Option<Time>,
}

impl Course {
    /// Decides what to do with `wanted` engines needed and `kept` that must not be released. Where
    /// fewer engines serve than were ordered, the order is repeated when one begins to drain, and when
    /// one ends: a platform replaces it at the one or the other.
    pub fn decide(
        &mut self,
        wanted: u32,
        kept: u32,
        state: &SubjectState,
        spec: &ScalingSpec,
        now: Time,
    ) -> ScaleStep {
        let ready = state.ready;
        let begun_at = *self.begun_at.get_or_insert(now);
        let release_time = spec.boot.mul_f64(RELEASE_BOOTS);
        let kept = kept.max(wanted);
        while self.recent.back().is_some_and(|(_, count)| *count <= kept) {
            self.recent.pop_back();
        }
        self.recent.push_back((now, kept));
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) > release_time) {
            self.recent.pop_front();
        }
        let current = self.ordered.unwrap_or(ready);
        let recent = self.recent.front().map_or(kept, |(_, count)| *count);
        // A leader that has not measured for so long releases nothing.
        let may_release = now.since(begun_at) >= release_time;
        let seen = (ready, ready + state.leaving);
        self.has_lost |= seen.0 < self.seen.0 || seen.1 < self.seen.1;
        self.seen = seen;
        let may_repeat = now.since(self.ordered_at) >= MIN_REPEAT;
        let is_short = self.has_lost && ready < current && may_repeat;
        let is_without_effect =
            ready != current && now.since(self.ordered_at) >= spec.boot.mul_f64(REPEAT_BOOTS);
        match () {
            () if wanted > current => ScaleStep::Order(wanted),
            () if recent < current && may_release => ScaleStep::Order(recent),
            () if is_short || is_without_effect => ScaleStep::Order(current),
            () => ScaleStep::Keep,
        }
    }

    /// Records that a number of engines was ordered. `accepted` says whether the platform took the order.
    pub fn record_order(&mut self, count: u32, accepted: bool, now: Time) {
        if accepted {
            self.ordered = Some(count);
            self.ordered_at = now;
            self.has_lost = false;
        }
    }
}

/// The courses of all subjects of all services.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    courses: BTreeMap<Subject, Course>,
}

/// An order with the inputs of its decision.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleOrder {
    /// What is scaled.
    pub subject: Subject,
    /// Number of engines.
    pub count: u32,
    /// Number that was ordered before; `None` if it is not known.
    pub former: Option<u32>,
    /// What is known of the subject.
    pub state: SubjectState,
}

impl Scaler {
    /// Returns the orders that are due for one service.
    pub fn decide(
        &mut self,
        states: &BTreeMap<Subject, SubjectState>,
        spec: &ScalingSpec,
        now: Time,
    ) -> Vec<ScaleOrder> {
        let wanted = needed(states, spec, PLANNED_USE);
        let kept = needed(states, spec, RELEASE_USE);
        let mut orders = Vec::new();
        for (subject, state) in states {
            let course = self.courses.entry(subject.clone()).or_default();
            let (wanted, kept) = (wanted[subject], kept[subject]);
            let former = course.ordered;
            if let ScaleStep::Order(count) = course.decide(wanted, kept, state, spec, now) {
                let (subject, state) = (subject.clone(), state.clone());
                orders.push(ScaleOrder { subject, count, former, state });
            }
        }
        orders
    }

    /// Records whether the platform took an order.
    pub fn record_order(&mut self, subject: &Subject, count: u32, accepted: bool, now: Time) {
        let course = self.courses.entry(subject.clone()).or_default();
        course.record_order(count, accepted, now);
    }

    /// Returns the numbers that were ordered last.
    pub fn ordered(&self) -> impl Iterator<Item = (&Subject, u32)> {
        self.courses.iter().filter_map(|(subject, it)| Some((subject, it.ordered?)))
    }

    /// Begins anew with the numbers that a former holder has ordered.
    pub fn begin(&mut self, ordered: impl IntoIterator<Item = (Subject, u32)>) {
        let course =
            |(subject, count)| (subject, Course { ordered: Some(count), ..Course::default() });
        self.courses = ordered.into_iter().map(course).collect();
    }
}
