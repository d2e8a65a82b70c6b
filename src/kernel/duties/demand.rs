//! Measures the demand for services from the requests that a leader sees.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{clock::Time, kernel::grants::GrantKey};

/// A service in a data centre, which is scaled on its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Subject {
    /// Name of the service.
    pub service: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
}

/// Interval over which arrivals are counted.
pub const TICK: Duration = Duration::from_millis(250);

/// Weight of a new interval in the arrival rate, which then follows a step within about a second. A new
/// engine takes several seconds to serve, so a second more or less is a small part of the delay.
const LEVEL_WEIGHT: f64 = 0.25;

/// Weight of a new interval in the trend. It is lower, since the noise of single intervals is multiplied
/// by the time over which the trend is applied.
const TREND_WEIGHT: f64 = 0.08;

/// Largest factor by which a trend may raise the forecast.
const MAX_TREND_FACTOR: f64 = 2.0;

/// Weight of one request in the average work time.
const WORK_WEIGHT: f64 = 0.05;

/// Step of the estimate of the quantile of first events, as a fraction of the estimate.
const QUANTILE_STEP: f64 = 0.05;

/// Fraction of the requests whose first event comes sooner than the estimate. A low fraction leaves out
/// requests that waited behind others at their engine, so it estimates the work alone.
const QUANTILE: f64 = 0.3;

/// Demand for a service by callers of one data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests a second.
    pub rate: f64,
    /// Change of the rate, in requests a second in a second.
    pub trend: f64,
    /// Time for which a request has a slot.
    pub work: Duration,
    /// Time until the first event of a request that does not wait at its engine; zero if there are no
    /// first events.
    pub prefill: Duration,
    /// Requests that wait for an endpoint.
    pub waiting: usize,
    /// Requests that have an endpoint.
    pub running: usize,
}

impl Demand {
    /// Returns the rate that is expected after `ahead`, if a rising trend lasts.
    pub fn forecast(&self, ahead: Duration) -> f64 {
        let risen = self.rate + self.trend.max(0.0) * ahead.as_secs_f64();
        risen.min(self.rate * MAX_TREND_FACTOR)
    }

    /// Adds one of `parts` equal parts of another demand.
    pub fn add_part(&mut self, other: &Demand, parts: f64) {
        self.rate += other.rate / parts;
        self.trend += other.trend / parts;
        self.work = self.work.max(other.work);
        self.prefill = self.prefill.max(other.prefill);
        self.waiting += (other.waiting as f64 / parts).ceil() as usize;
        self.running += (other.running as f64 / parts).ceil() as usize;
    }
}

/// A request that waits or runs.
#[derive(Clone, Debug)]
struct Tracked {
    subject: Subject,
    granted_at: Option<Time>,
    has_begun: bool,
}

/// What is measured of one service and data centre.
#[derive(Clone, Debug, Default)]
struct Meter {
    arrived: u32,
    demand: Demand,
    is_measured: bool,
}

/// Demand for all services.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    requests: HashMap<GrantKey, Tracked>,
    meters: HashMap<Subject, Meter>,
    ticked_at: Time,
}

impl DemandTable {
    /// Records that a request waits for an endpoint. One that is sent again is not a new arrival.
    pub fn record_request(&mut self, key: GrantKey, subject: Subject, is_retry: bool) {
        let meter = self.meters.entry(subject.clone()).or_default();
        meter.arrived += u32::from(!is_retry);
        let tracked = Tracked { subject, granted_at: None, has_begun: false };
        self.requests.insert(key, tracked);
    }

    /// Records that a request has an endpoint.
    pub fn record_grant(&mut self, key: &GrantKey, now: Time) {
        if let Some(tracked) = self.requests.get_mut(key) {
            tracked.granted_at = Some(now);
        }
    }

    /// Records that a request had an endpoint before this process led.
    pub fn adopt(&mut self, key: GrantKey, subject: Subject, now: Time) {
        let tracked = Tracked { subject, granted_at: Some(now), has_begun: true };
        self.requests.insert(key, tracked);
    }

    /// Records the first event of a request.
    pub fn record_first_event(&mut self, key: &GrantKey, now: Time) {
        let Some(tracked) = self.requests.get_mut(key) else { return };
        let Some(granted_at) = tracked.granted_at.filter(|_| !tracked.has_begun) else { return };
        tracked.has_begun = true;
        let demand = &mut self.meters.entry(tracked.subject.clone()).or_default().demand;
        let (seen, known) = (now.since(granted_at), demand.prefill);
        demand.prefill = match () {
            () if known.is_zero() => seen,
            () if seen < known => known.mul_f64(1.0 - QUANTILE_STEP * (1.0 - QUANTILE)),
            () => known.mul_f64(1.0 + QUANTILE_STEP * QUANTILE),
        };
    }

    /// Records that a request has ended; `has_run` says whether its time is that of its work.
    pub fn record_end(&mut self, key: &GrantKey, has_run: bool, now: Time) {
        let Some(tracked) = self.requests.remove(key) else { return };
        let Some(granted_at) = tracked.granted_at.filter(|_| has_run) else { return };
        let demand = &mut self.meters.entry(tracked.subject).or_default().demand;
        let seen = now.since(granted_at);
        demand.work = if demand.work.is_zero() {
            seen
        } else {
            demand.work.mul_f64(1.0 - WORK_WEIGHT) + seen.mul_f64(WORK_WEIGHT)
        };
    }

    /// Forgets the requests of an instance.
    pub fn remove_instance(&mut self, instance: &str) {
        self.requests.retain(|key, _| &*key.instance != instance);
    }

    /// Updates the rates once a [`TICK`].
    pub fn tick(&mut self, now: Time) {
        let elapsed = now.since(self.ticked_at);
        if elapsed < TICK {
            return;
        }
        self.ticked_at = now;
        let seconds = elapsed.as_secs_f64();
        for meter in self.meters.values_mut() {
            let seen = f64::from(std::mem::take(&mut meter.arrived)) / seconds;
            let demand = &mut meter.demand;
            (demand.waiting, demand.running) = (0, 0);
            if !meter.is_measured {
                meter.is_measured = true;
                // The first interval is measured from an unknown time on.
                continue;
            }
            let before = demand.rate;
            demand.rate += LEVEL_WEIGHT * (seen - before);
            let change = (demand.rate - before) / seconds;
            demand.trend += TREND_WEIGHT * (change - demand.trend);
        }
        for tracked in self.requests.values() {
            let demand = &mut self.meters.entry(tracked.subject.clone()).or_default().demand;
            match tracked.granted_at {
                Some(_) => demand.running += 1,
                None => demand.waiting += 1,
            }
        }
    }

    /// Returns the demand of all subjects.
    pub fn all(&self) -> impl Iterator<Item = (&Subject, &Demand)> {
        self.meters.iter().map(|(subject, meter)| (subject, &meter.demand))
    }

    /// Forgets everything, when another instance leads.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
