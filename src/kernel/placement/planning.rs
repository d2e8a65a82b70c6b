//! The planner's decisions from round to round.

use std::{collections::BTreeMap, time::Duration};

use super::{LoadPermits, PlacementPolicy, Step, View};
use crate::{
    clock::Time,
    config::WeightStoreLimits,
    names::{EndpointId, Model},
};

/// Time after which a step that no digest shows counts as not taken.
const PENDING_TTL: Duration = Duration::from_secs(5);

/// Time constant of the moving averages of the endpoints' loads.
const LOAD_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Shortest time between two exchanges, so that the loads show what the last one brought.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_secs(15);

/// The planner's decisions from round to round.
///
/// Digests lag behind orders, so steps that were just given out are added to the view until the
/// digests show them.
#[derive(Clone, Debug)]
pub struct Planning {
    permits: LoadPermits,
    pending: BTreeMap<Step, PendingStep>,
    loads: BTreeMap<EndpointId, f64>,
    smoothed_at: Time,
    exchanged_at: Time,
}

/// How long a step counts as given, and the free memory of its endpoint when it was.
#[derive(Clone, Copy, Debug)]
struct PendingStep {
    expires_at: Time,
    free_bytes: u64,
}

impl Planning {
    /// Creates the state of a planner that just took the duty.
    pub fn new(limits: WeightStoreLimits, now: Time) -> Self {
        Self {
            permits: LoadPermits::new(limits, now),
            pending: BTreeMap::new(),
            loads: BTreeMap::new(),
            smoothed_at: now,
            exchanged_at: now,
        }
    }

    /// Counts loads that an earlier planner left open, for as long as their orders can live.
    pub fn inherit(&mut self, loads: impl IntoIterator<Item = Step>, until: Time) {
        let given = PendingStep { expires_at: until, free_bytes: 0 };
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
        self.drop_visible(view, now);
        let mut view = self.with_pending(view);
        self.smooth_loads(&mut view, now);
        view.may_exchange = now.since(self.exchanged_at) >= MIN_EXCHANGE_INTERVAL;
        let mut open = view.open_loads() + self.unlisted_loads(&view);
        let mut steps = Vec::new();
        for step in policy.plan(&view, keepers) {
            if step.is_load() {
                if !self.permits.take(open, now) {
                    continue;
                }
                open += 1;
            } else {
                self.exchanged_at = now;
            }
            let (endpoint, _) = step.target();
            let free = view.engine(endpoint).map_or(0, |site| site.free);
            self.pending.insert(
                step.clone(),
                PendingStep { expires_at: now + PENDING_TTL, free_bytes: free },
            );
            steps.push(step);
        }
        steps
    }

    /// Notes that a step was refused and will not be taken.
    pub fn record_refused(&mut self, step: &Step) {
        self.pending.remove(step);
    }

    /// Replaces the loads of the moment by moving averages.
    fn smooth_loads(&mut self, view: &mut View, now: Time) {
        let elapsed = now.since(self.smoothed_at).as_secs_f64() / LOAD_TIME_CONSTANT.as_secs_f64();
        self.smoothed_at = now;
        let kept = (-elapsed).exp();
        let mut loads = BTreeMap::new();
        for site in &mut view.engines {
            let current = site.load as f64;
            let known = self.loads.get(&site.endpoint).copied().unwrap_or(current);
            let load = known * kept + current * (1.0 - kept);
            site.load = load as u64;
            loads.insert(site.endpoint.clone(), load);
        }
        self.loads = loads;
    }

    fn drop_visible(&mut self, view: &View, now: Time) {
        self.pending
            .retain(|step, given| now <= given.expires_at && !is_visible(view, step, given));
    }

    /// Returns the given loads at endpoints that no steward describes.
    fn unlisted_loads(&self, view: &View) -> usize {
        let loads = self.pending.keys().filter(|step| step.is_load());
        loads.filter(|step| view.engine(step.target().0).is_none()).count()
    }

    fn with_pending(&self, view: &View) -> View {
        let mut view = view.clone();
        for step in self.pending.keys() {
            let (endpoint, model) = step.target();
            let bytes = view.needs.get(model).map_or(0, |need| need.bytes);
            let Some(site) = view.engine_mut(endpoint) else { continue };
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

fn is_visible(view: &View, step: &Step, given: &PendingStep) -> bool {
    let (endpoint, model) = step.target();
    let Some(site) = view.engine(endpoint) else { return false };
    if step.is_load() {
        site.has_or_loads(model)
    } else {
        !site.has_or_loads(model) && site.free > given.free_bytes
    }
}
