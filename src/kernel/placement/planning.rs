//! The planner's decisions from round to round.

use std::{collections::BTreeMap, time::Duration};

use super::{Permits, PlacementPolicy, Step, View};
use crate::{
    clock::Time,
    config::WeightStoreLimits,
    names::{EndpointId, Model},
};

/// Time after which a step that no digest shows counts as not taken.
const PENDING_LIMIT: Duration = Duration::from_secs(5);

/// Time constant of the moving averages of the endpoints' loads.
const LOAD_CONSTANT: Duration = Duration::from_secs(10);

/// Shortest time between two exchanges, so that the loads show what the last one brought.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(15);

/// The planner's decisions from round to round.
///
/// Digests lag behind orders, so steps that were just given out are added to the view until the
/// digests show them.
#[derive(Clone, Debug)]
pub struct Planning {
    permits: Permits,
    pending: BTreeMap<Step, Given>,
    loads: BTreeMap<EndpointId, f64>,
    smoothed: Time,
    exchanged: Time,
}

/// How long a step counts as given, and the free memory of its endpoint when it was.
#[derive(Clone, Copy, Debug)]
struct Given {
    until: Time,
    free: u64,
}

impl Planning {
    /// Creates the state of a planner that just took the duty.
    pub fn new(limits: WeightStoreLimits, now: Time) -> Self {
        Self {
            permits: Permits::new(limits, now),
            pending: BTreeMap::new(),
            loads: BTreeMap::new(),
            smoothed: now,
            exchanged: now,
        }
    }

    /// Counts loads that an earlier planner left open, for as long as their orders can live.
    pub fn inherit(&mut self, loads: impl IntoIterator<Item = Step>, until: Time) {
        let given = Given { until, free: 0 };
        self.pending.extend(loads.into_iter().map(|step| (step, given)));
    }

    /// Takes over changed limits of the weight store.
    pub fn set_limits(&mut self, limits: WeightStoreLimits, now: Time) {
        self.permits.set_limits(limits, now);
    }

    /// Returns the steps to take now.
    pub fn steps(
        &mut self,
        policy: &dyn PlacementPolicy,
        view: &View,
        keepers: &BTreeMap<Model, EndpointId>,
        now: Time,
    ) -> Vec<Step> {
        self.forget_shown(view, now);
        let mut view = self.with_pending(view);
        self.smooth(&mut view, now);
        view.exchange = now.since(self.exchanged) >= EXCHANGE_PERIOD;
        let mut open = view.open_loads() + self.unseen(&view);
        let mut steps = Vec::new();
        for step in policy.plan(&view, keepers) {
            if step.is_load() {
                if !self.permits.take(open, now) {
                    continue;
                }
                open += 1;
            } else {
                self.exchanged = now;
            }
            let (endpoint, _) = step.target();
            let free = view.site(endpoint).map_or(0, |site| site.free);
            self.pending.insert(step.clone(), Given { until: now + PENDING_LIMIT, free });
            steps.push(step);
        }
        steps
    }

    /// Notes that a step was refused and will not be taken.
    pub fn record_refused(&mut self, step: &Step) {
        self.pending.remove(step);
    }

    /// Replaces the loads of the moment by moving averages.
    fn smooth(&mut self, view: &mut View, now: Time) {
        let elapsed = now.since(self.smoothed).as_secs_f64() / LOAD_CONSTANT.as_secs_f64();
        self.smoothed = now;
        let kept = (-elapsed).exp();
        let mut loads = BTreeMap::new();
        for site in &mut view.sites {
            let current = site.load as f64;
            let known = self.loads.get(&site.endpoint).copied().unwrap_or(current);
            let load = known * kept + current * (1.0 - kept);
            site.load = load as u64;
            loads.insert(site.endpoint.clone(), load);
        }
        self.loads = loads;
    }

    fn forget_shown(&mut self, view: &View, now: Time) {
        self.pending.retain(|step, given| now <= given.until && !is_shown(view, step, given));
    }

    /// Returns the given loads at endpoints that no steward describes.
    fn unseen(&self, view: &View) -> usize {
        let loads = self.pending.keys().filter(|step| step.is_load());
        loads.filter(|step| view.site(step.target().0).is_none()).count()
    }

    fn with_pending(&self, view: &View) -> View {
        let mut view = view.clone();
        for step in self.pending.keys() {
            let (endpoint, model) = step.target();
            let bytes = view.needs.get(model).map_or(0, |need| need.bytes);
            let Some(site) = view.site_mut(endpoint) else { continue };
            if step.is_load() {
                site.loading.insert(model.clone());
                site.free = site.free.saturating_sub(bytes);
            } else {
                site.resident.remove(model);
                site.freeing += bytes;
            }
        }
        view
    }
}

fn is_shown(view: &View, step: &Step, given: &Given) -> bool {
    let (endpoint, model) = step.target();
    let Some(site) = view.site(endpoint) else { return false };
    if step.is_load() { site.holds(model) } else { !site.holds(model) && site.free > given.free }
}
