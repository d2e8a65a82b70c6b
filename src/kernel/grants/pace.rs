//! Load and pace of endpoints: what they report with their responses, and what was measured.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{Endpoint, Incarnation};
use crate::clock::Time;

/// Largest number of requests that a report may state. More are a fault of the endpoint.
const MAX_REQUESTS: u32 = 100_000;

/// Range of a reported pace in percent. Figures outside are a fault of the endpoint.
const PACE_RANGE: (u32, u32) = (10, 5_000);

/// Age from which a report says nothing about the present.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Time constant with which requests of others that a report shows are forgotten: about the time
/// of a short request.
const OTHERS_TIME_CONSTANT: Duration = Duration::from_millis(300);

/// Weight of one report in the averages of the pace.
const PACE_WEIGHT: f64 = 0.05;

/// Bounds of the time constant with which a reported pace is forgotten, in seconds.
const PACE_TIME_RANGE: (f64, f64) = (0.03, 2.0);

/// Time constant of a pace before enough reports show how fast it changes, in seconds.
const INITIAL_PACE_TIME: f64 = 0.2;

/// Reports after which the measured time constant is used.
const MIN_PACE_REPORTS: u32 = 10;

/// Time constant with which a measured speed is forgotten, so that a slow endpoint is tried again.
const SPEED_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Seconds that count as measured with the usual speed, beside the measured ones. They keep single runs
/// from deciding.
const USUAL_TIME: f64 = 0.2;

/// Bounds of a learned ratio of measured to expected times.
const RATIO_RANGE: (f64, f64) = (0.4, 8.0);

/// Service time of a plain service before one was measured, in seconds.
const INITIAL_SERVICE_TIME: f64 = 0.06;

/// Seconds from the grant to the first event beside the prefill, before they were measured.
const INITIAL_OVERHEAD: f64 = 0.025;

/// Upper bound of these seconds. What takes longer is a queue that was not expected.
const MAX_OVERHEAD: f64 = 0.2;

/// Seconds of expected prefill up to which the time to the first event shows the rest.
const SHORT_PREFILL: f64 = 0.03;

/// Seconds of prefill from which on older ones count less in the speed of a model.
const MODEL_MEMORY: f64 = 30.0;

/// Weight of one measured time in the average of its service or model.
const AVERAGE_WEIGHT: f64 = 0.02;

/// Figures of an endpoint's load, as they were received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadFigures {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the endpoint.
    pub waiting: u32,
    /// Requests that can run at once; `None` if it is not stated.
    pub slots: Option<u32>,
    /// Time that work takes, in percent of the usual time; `None` if it is not stated.
    pub pace: Option<u32>,
}

/// Load of an endpoint as it has reported it, with plausible figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that run or wait at the endpoint.
    pub requests: u32,
    /// Requests that can run at once; `None` if it is not stated.
    pub slots: Option<u32>,
    /// Ratio of the time that work takes to the usual time; `None` if it is not stated.
    pub pace: Option<f64>,
}

/// The reason why figures are no report: a figure is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfRange;

impl TryFrom<LoadFigures> for LoadReport {
    type Error = OutOfRange;

    fn try_from(figures: LoadFigures) -> Result<Self, OutOfRange> {
        let LoadFigures { running, waiting, slots, pace } = figures;
        let is_count = |count: u32| count <= MAX_REQUESTS;
        let is_pace = |pace: u32| (PACE_RANGE.0..=PACE_RANGE.1).contains(&pace);
        let in_range = is_count(running)
            && is_count(waiting)
            && slots.is_none_or(|slots| slots > 0 && is_count(slots))
            && pace.is_none_or(is_pace);
        if !in_range {
            return Err(OutOfRange);
        }
        let pace = pace.map(|pace| f64::from(pace) / 100.0);
        Ok(Self { requests: running + waiting, slots, pace })
    }
}

/// A report with its time and the incarnation that sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SightedLoad {
    /// The report.
    pub report: LoadReport,
    /// When the instance received it.
    pub seen_at: Time,
    /// Incarnation of the endpoint.
    pub incarnation: Incarnation,
}

/// Learned ratio of measured to expected times, which fades to one.
///
/// It is the ratio of sums, so that long times count more, and that times which the endpoint divides
/// differently between its requests still add up.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Speed {
    /// Sums of the measured and the expected seconds, as of `updated_at`.
    measured: f64,
    expected: f64,
    updated_at: Time,
}

impl Speed {
    /// Returns how much of the sums is left.
    fn left(&self, now: Time) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / SPEED_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the ratio.
    pub fn ratio(&self, now: Time) -> f64 {
        let left = self.left(now);
        let ratio = (self.measured * left + USUAL_TIME) / (self.expected * left + USUAL_TIME);
        ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1)
    }

    /// Records a time and what was expected of a usual endpoint, in seconds.
    pub fn record(&mut self, measured: f64, expected: f64, now: Time) {
        if expected <= 0.0 {
            return;
        }
        let left = self.left(now);
        let measured = measured.clamp(0.0, expected * RATIO_RANGE.1);
        self.measured = self.measured * left + measured;
        self.expected = self.expected * left + expected;
        self.updated_at = now;
    }
}

/// The pace that an endpoint reports, with its average and how fast it changes.
#[derive(Clone, Copy, Debug)]
struct ReportedPace {
    /// Last report.
    last: f64,
    seen_at: Time,
    /// Average of the reports.
    mean: f64,
    /// Averages of the squared deviation, of the product of two consecutive ones, and of the seconds
    /// between them.
    variance: f64,
    covariance: f64,
    gap: f64,
    /// Number of reports.
    count: u32,
}

impl ReportedPace {
    fn new(pace: f64, seen_at: Time) -> Self {
        Self { last: pace, seen_at, mean: pace, variance: 0.0, covariance: 0.0, gap: 0.0, count: 1 }
    }

    fn record(&mut self, pace: f64, seen_at: Time) {
        // The first reports count more, since there is no average yet.
        let weight = PACE_WEIGHT.max(1.0 / f64::from(self.count + 1));
        let (deviation, previous) = (pace - self.mean, self.last - self.mean);
        let gap = seen_at.since(self.seen_at).as_secs_f64();
        self.variance += weight * (deviation * deviation - self.variance);
        self.covariance += weight * (deviation * previous - self.covariance);
        self.gap += weight * (gap - self.gap);
        self.mean += weight * deviation;
        (self.last, self.seen_at, self.count) = (pace, seen_at, self.count.saturating_add(1));
    }

    /// Returns the time constant with which the pace returns to its average, in seconds.
    fn time_constant(&self) -> f64 {
        if self.count < MIN_PACE_REPORTS || self.variance <= f64::EPSILON {
            return INITIAL_PACE_TIME;
        }
        let correlation = (self.covariance / self.variance).clamp(0.01, 0.99);
        (self.gap / -correlation.ln()).clamp(PACE_TIME_RANGE.0, PACE_TIME_RANGE.1)
    }

    fn at(&self, now: Time) -> f64 {
        let age = now.since(self.seen_at).as_secs_f64();
        self.mean + (self.last - self.mean) * (-age / self.time_constant()).exp()
    }
}

/// Load, pace and speed of one incarnation of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointPace {
    /// Requests of others that the last report showed, and its time.
    others: Option<(f64, Time)>,
    pace: Option<ReportedPace>,
    /// Requests that can run at once, as reported last.
    slots: Option<u32>,
    /// Ratio of the measured to the expected time to the first event, or of the time of a plain
    /// service.
    pub start: Speed,
    /// Ratio of the measured to the expected time for an output token.
    pub decode: Speed,
    /// When the last first event arrived. The engine has prefilled the next prompt since then.
    pub last_first_event: Time,
}

impl EndpointPace {
    /// Records a report. `own_requests` is the number of requests that the scheduler knew of at the
    /// endpoint when the report was sent. Returns whether the report is new enough to count.
    pub fn record(&mut self, sighted: &SightedLoad, own_requests: usize, now: Time) -> bool {
        let SightedLoad { report, seen_at, .. } = *sighted;
        let is_outdated = self.others.is_some_and(|(_, known_at)| seen_at < known_at);
        if is_outdated || now.since(seen_at) > MAX_REPORT_AGE {
            return false;
        }
        // The request whose response carries the report may be counted in it or not.
        let others = f64::from(report.requests) - own_requests as f64 - 1.0;
        self.others = Some((others.max(0.0), seen_at));
        self.slots = report.slots.or(self.slots);
        if let Some(pace) = report.pace {
            match &mut self.pace {
                Some(known) => known.record(pace, seen_at),
                none => *none = Some(ReportedPace::new(pace, seen_at)),
            }
        }
        true
    }

    /// Returns the expected number of requests at the endpoint that the scheduler does not know of.
    pub fn others(&self, now: Time) -> f64 {
        let Some((others, seen_at)) = self.others else { return 0.0 };
        let age = now.since(seen_at).as_secs_f64();
        others * (-age / OTHERS_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the expected ratio of the time that work takes to the usual time.
    pub fn pace(&self, now: Time) -> f64 {
        self.pace.map_or(1.0, |pace| pace.at(now))
    }

    /// Returns the requests that can run at once: as reported, or as the endpoint's entry says.
    pub fn slots(&self, entry_slots: u32) -> u32 {
        self.slots.unwrap_or(entry_slots).max(1)
    }
}

/// Measured speeds of models and plain services, over all their endpoints.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    models: HashMap<Arc<str>, ModelSpeed>,
    /// Seconds that a request of each plain service takes at an endpoint.
    services: HashMap<Arc<str>, f64>,
}

/// Measured speed of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ModelSpeed {
    /// Ratio of the measured time to the first event to the expected one.
    pub prefill: f64,
    /// Seconds for a token of the expected output; zero until one was measured.
    pub token: f64,
    /// Part of the prompt tokens that were not expected to be cached.
    pub uncached: f64,
    /// Seconds from the grant to the first event beside the prefill.
    pub overhead: f64,
    /// Sums of the measured and the expected seconds of prefill.
    measured: f64,
    expected: f64,
}

impl Default for ModelSpeed {
    fn default() -> Self {
        Self {
            prefill: 1.0,
            token: 0.0,
            uncached: 1.0,
            overhead: INITIAL_OVERHEAD,
            measured: 0.0,
            expected: 0.0,
        }
    }
}

impl Speeds {
    /// Returns the speed of a model.
    pub fn model(&self, model: &str) -> ModelSpeed {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// Records the seconds that a prefill took, relative to its engine's speed, and those that were
    /// expected of a model of the usual speed.
    pub fn record_prefill(&mut self, model: &Arc<str>, measured: f64, expected: f64) {
        let speed = self.model_mut(model);
        let left = (1.0 - expected / MODEL_MEMORY).max(0.0);
        let measured = measured.clamp(0.0, expected * RATIO_RANGE.1);
        speed.measured = speed.measured * left + measured;
        speed.expected = speed.expected * left + expected;
        let ratio = (speed.measured + USUAL_TIME) / (speed.expected + USUAL_TIME);
        speed.prefill = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
    }

    /// Records the seconds from a grant to the first event, of which `prefill` were expected for the
    /// prompts. A short prefill shows how long the rest takes.
    pub fn record_overhead(&mut self, model: &Arc<str>, measured: f64, prefill: f64) {
        if prefill < SHORT_PREFILL {
            let speed = self.model_mut(model);
            let rest = (measured - prefill).clamp(0.0, MAX_OVERHEAD);
            speed.overhead += AVERAGE_WEIGHT * (rest - speed.overhead);
        }
    }

    /// Returns the speed of a model, to change it.
    fn model_mut(&mut self, model: &Arc<str>) -> &mut ModelSpeed {
        self.models.entry(model.clone()).or_default()
    }

    /// Returns the seconds that a request of a plain service takes.
    pub fn service(&self, service: &str) -> f64 {
        self.services.get(service).copied().unwrap_or(INITIAL_SERVICE_TIME)
    }

    /// Records the seconds that a request of a plain service took, relative to its endpoint's speed.
    pub fn record_service(&mut self, service: &Arc<str>, seconds: f64) {
        let average = self.services.entry(service.clone()).or_insert(seconds);
        *average += AVERAGE_WEIGHT * (seconds - *average);
    }

    /// Records the seconds for a token of a model, relative to its endpoint's speed.
    pub fn record_token(&mut self, model: &Arc<str>, seconds: f64) {
        let token = &mut self.model_mut(model).token;
        let weight = if *token > 0.0 { AVERAGE_WEIGHT } else { 1.0 };
        *token += weight * (seconds - *token);
    }

    /// Records the part of a prompt that is not expected to be cached.
    pub fn record_uncached(&mut self, model: &Arc<str>, part: f64) {
        let uncached = &mut self.model_mut(model).uncached;
        *uncached += AVERAGE_WEIGHT * (part - *uncached);
    }
}

impl Endpoint {
    /// Records a load that the endpoint has reported; returns whether it counts.
    pub(super) fn record_load(&mut self, load: &SightedLoad, now: Time) -> bool {
        if load.incarnation != self.info.incarnation {
            return false;
        }
        let granted_since = self.recent_grants.iter().rev().take_while(|at| **at > load.seen_at);
        let own_requests = self.running.len().saturating_sub(granted_since.count());
        self.pace.record(load, own_requests, now)
    }

    /// Returns the expected number of requests at the endpoint, those of others included.
    pub(super) fn expected_requests(&self, now: Time) -> f64 {
        self.running.len() as f64 + self.pace.others(now)
    }
}
