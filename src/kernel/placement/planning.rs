//! The planner's state between rounds: pending steps, smoothed loads and the limits on steps.

use std::{collections::BTreeMap, time::Duration};

use super::{LoadPermits, PlacementPolicy, Step, View};
use crate::{
    clock::Time,
    config::WeightStoreLimits,
    names::{EndpointId, Model},
};

/// Time after which a step whose effect no digest shows is no longer expected to take effect.
const PENDING_TTL: Duration = Duration::from_secs(5);

/// Time constant of the moving averages of the engines' loads.
const LOAD_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Shortest time between two exchanges, which unload replicas to make room for others. It lets the
/// smoothed loads show the effect of the last exchange.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_secs(15);

/// State of the planner between rounds.
///
/// Digests lag behind orders, so the steps that were sent lately are added to the view until the
/// digests show their effect.
#[derive(Clone, Debug)]
pub struct Planning {
    /// Permits for loads from the weight store.
    permits: LoadPermits,
    /// Steps whose effect no digest shows yet.
    pending: BTreeMap<Step, PendingStep>,
    /// Moving averages of the engines' loads.
    loads: BTreeMap<EndpointId, f64>,
    /// When the averages were last updated.
    smoothed_at: Time,
    /// When the last unload was planned.
    exchanged_at: Time,
}

/// Details of a step whose effect no digest shows yet.
#[derive(Clone, Copy, Debug)]
struct PendingStep {
    /// When the step is no longer expected to take effect.
    expires_at: Time,
    /// Free memory of the endpoint in bytes when the step was planned.
    free_bytes: u64,
}

impl Planning {
    /// Creates the state of a planner that has just taken over.
    pub fn new(limits: WeightStoreLimits, now: Time) -> Self {
        Self {
            permits: LoadPermits::new(limits, now),
            pending: BTreeMap::new(),
            loads: BTreeMap::new(),
            smoothed_at: now,
            exchanged_at: now,
        }
    }

    /// Adds the loads that an earlier planner left open; they stay pending until their orders have
    /// expired.
    pub fn inherit(&mut self, loads: impl IntoIterator<Item = Step>, until: Time) {
        let pending = PendingStep { expires_at: until, free_bytes: 0 };
        self.pending.extend(loads.into_iter().map(|step| (step, pending)));
    }

    /// Applies changed limits of the weight store.
    pub fn set_limits(&mut self, limits: WeightStoreLimits, now: Time) {
        self.permits.set_limits(limits, now);
    }

    /// Returns the steps to take now, within the limits on loads and exchanges.
    pub fn steps(
        &mut self,
        policy: &dyn PlacementPolicy,
        view: &View,
        keepers: &BTreeMap<Model, EndpointId>,
        now: Time,
    ) -> Vec<Step> {
        self.remove_visible(view, now);
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
            let free = view.engine(endpoint).map_or(0, |engine| engine.free);
            self.pending.insert(
                step.clone(),
                PendingStep { expires_at: now + PENDING_TTL, free_bytes: free },
            );
            steps.push(step);
        }
        steps
    }

    /// Records that a step was refused and will not take effect.
    pub fn record_refused(&mut self, step: &Step) {
        self.pending.remove(step);
    }

    /// Replaces the current loads in the view by moving averages.
    fn smooth_loads(&mut self, view: &mut View, now: Time) {
        let elapsed = now.since(self.smoothed_at).as_secs_f64() / LOAD_TIME_CONSTANT.as_secs_f64();
        self.smoothed_at = now;
        let old_weight = (-elapsed).exp();
        let mut loads = BTreeMap::new();
        for engine in &mut view.engines {
            let current = engine.load as f64;
            let average = self.loads.get(&engine.endpoint).copied().unwrap_or(current);
            let load = average * old_weight + current * (1.0 - old_weight);
            engine.load = load as u64;
            loads.insert(engine.endpoint.clone(), load);
        }
        self.loads = loads;
    }

    /// Removes the pending steps that expired or whose effect the view shows.
    fn remove_visible(&mut self, view: &View, now: Time) {
        self.pending
            .retain(|step, pending| now <= pending.expires_at && !is_visible(view, step, pending));
    }

    /// Returns the number of pending loads at endpoints that no steward's digest lists.
    fn unlisted_loads(&self, view: &View) -> usize {
        let loads = self.pending.keys().filter(|step| step.is_load());
        loads.filter(|step| view.engine(step.target().0).is_none()).count()
    }

    /// Returns the view with the effects of the pending steps.
    fn with_pending(&self, view: &View) -> View {
        let mut view = view.clone();
        for step in self.pending.keys() {
            let (endpoint, model) = step.target();
            let bytes = view.needs.get(model).map_or(0, |need| need.bytes);
            let Some(engine) = view.engine_mut(endpoint) else { continue };
            if step.is_load() {
                engine.loading.insert(model.clone());
                engine.free = engine.free.saturating_sub(bytes);
            } else {
                engine.resident.remove(model);
                engine.freeing += bytes;
            }
        }
        view
    }
}

/// Returns whether the view shows the effect of a step.
fn is_visible(view: &View, step: &Step, pending: &PendingStep) -> bool {
    let (endpoint, model) = step.target();
    let Some(engine) = view.engine(endpoint) else { return false };
    if step.is_load() {
        engine.has_or_loads(model)
    } else {
        !engine.has_or_loads(model) && engine.free > pending.free_bytes
    }
}
