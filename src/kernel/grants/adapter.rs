//! An adapter at an engine, as far as a scheduler knows.

use std::{sync::Arc, time::Duration};

use super::{Endpoint, ModelWork};
use crate::{catalog::EngineSpec, clock::Time};

/// Time from an order to load an adapter until the adapter is expected to be ready.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(12);

/// How far an adapter is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdapterPhase {
    /// Its load was ordered. The engine may still be fetching it, and then has nothing to unload.
    Fetching,
    /// The engine has it: a report or the response to a request has shown so.
    Loaded,
    /// Its unload was ordered. It takes up its slot until its requests have ended, which a report shows.
    Unloading,
}

/// An adapter at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdapterState {
    /// How far it is.
    pub phase: AdapterPhase,
    /// When it is expected to be ready for use.
    pub ready_at: Time,
    /// When a request for it was last granted.
    pub last_used: Time,
}

impl AdapterState {
    /// Creates an adapter whose load was ordered at `now`.
    pub(super) fn ordered(now: Time) -> Self {
        let phase = AdapterPhase::Fetching;
        Self { phase, ready_at: now + ADAPTER_LOAD_TIME, last_used: now }
    }

    /// Creates an adapter that a report or an entry shows at `now`.
    pub(super) fn shown(phase: AdapterPhase, now: Time) -> Self {
        Self { phase, ready_at: now, last_used: Time::default() }
    }

    /// Returns whether requests may use the adapter, now or soon.
    pub(super) fn is_usable(&self) -> bool {
        self.phase != AdapterPhase::Unloading
    }

    /// Records that the engine has the adapter, which may be about to be unloaded.
    pub(super) fn confirm(&mut self) {
        if self.phase == AdapterPhase::Fetching {
            self.phase = AdapterPhase::Loaded;
        }
    }
}

/// Time for which an engine takes no requests for an adapter, so that its runs can end.
const YIELD_TIME: Duration = Duration::from_secs(2);

/// Longest such time, while runs of the adapter are left and a request for another one waits. It bounds how
/// long requests for the adapter wait for one run that does not end.
const MAX_YIELD_TIME: Duration = Duration::from_secs(20);

/// An adapter that gets no more requests at an engine, so that it can be unloaded once its runs have ended.
#[derive(Clone, Debug)]
pub(super) struct YieldingAdapter {
    /// Model of the adapter.
    pub model: Arc<str>,
    /// The adapter.
    pub adapter: Arc<str>,
    /// Since when it gets none.
    since: Time,
    /// When it gets requests again.
    until: Time,
}

impl YieldingAdapter {
    /// Returns whether the time for its runs to end has not passed.
    pub(super) fn is_current(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns when the engine takes requests for the adapter again.
    pub(super) fn until(&self) -> Time {
        self.until
    }
}

impl Endpoint {
    /// Returns the adapter of `work` if the engine takes no requests for it.
    pub(super) fn yielding_adapter(&self, work: &ModelWork, now: Time) -> Option<&YieldingAdapter> {
        let is_own = |yielding: &&YieldingAdapter| {
            yielding.model == work.model && work.adapter.as_ref() == Some(&yielding.adapter)
        };
        self.yielding.as_ref().filter(is_own).filter(|it| it.is_current(now) && self.holds_off(it))
    }

    /// Returns whether an adapter has not been unloaded since it yields. One that was loaded again takes
    /// requests.
    fn holds_off(&self, yielding: &YieldingAdapter) -> bool {
        let replica = self.replicas.get(&yielding.model);
        let state = replica.and_then(|replica| replica.adapters.get(&yielding.adapter));
        state.is_some_and(|state| state.ready_at <= yielding.since)
    }

    /// Extends the time for which an adapter gets no requests, while runs of it are left.
    pub(super) fn extend_yield(&mut self, now: Time) {
        let Some(yielding) = &self.yielding else { return };
        let has_runs = self.running.uses_adapter(&yielding.model, &yielding.adapter);
        let is_extended = yielding.is_current(now) && self.holds_off(yielding) && has_runs;
        if let Some(yielding) = self.yielding.as_mut().filter(|_| is_extended) {
            yielding.until = (now + YIELD_TIME).min(yielding.since + MAX_YIELD_TIME);
        }
    }

    /// Returns the adapter that is known to be loaded for longest, and when it was ready, of those without
    /// a run that is more urgent than `priority`.
    pub(super) fn oldest_adapter(
        &self,
        priority: u8,
        now: Time,
    ) -> Option<(Time, YieldingAdapter)> {
        let all = self.replicas.iter().flat_map(|(model, replica)| {
            replica.adapters.iter().map(move |(adapter, state)| (model, adapter, state))
        });
        let loaded = all.filter(|(_, _, state)| state.phase == AdapterPhase::Loaded);
        let may_yield = loaded.filter(|(model, adapter, _)| {
            self.running.most_urgent(model, adapter).is_none_or(|urgent| urgent >= priority)
        });
        let oldest =
            may_yield.min_by_key(|(model, adapter, state)| (state.ready_at, *model, *adapter));
        let (model, adapter, state) = oldest?;
        let (model, adapter) = (model.clone(), adapter.clone());
        let until = now + YIELD_TIME;
        Some((state.ready_at, YieldingAdapter { model, adapter, since: now, until }))
    }

    /// Returns how many adapters take up a slot.
    pub(super) fn adapter_count(&self) -> usize {
        self.replicas.values().map(|replica| replica.adapters.len()).sum()
    }

    /// Returns whether an adapter is being unloaded. The engine accepts no order meanwhile.
    pub(super) fn is_unloading_adapter(&self) -> bool {
        let mut states = self.replicas.values().flat_map(|replica| replica.adapters.values());
        states.any(|state| state.phase == AdapterPhase::Unloading)
    }

    /// Returns the state of the request's adapter if the engine has it or is loading or unloading it.
    pub(super) fn adapter_state(&self, work: &ModelWork) -> Option<AdapterState> {
        let adapter = work.adapter.as_ref()?;
        self.replicas.get(&work.model)?.adapters.get(adapter).copied()
    }

    /// Records that a request that was granted at `granted` runs, so that the engine has its adapter.
    pub(super) fn confirm_adapter(&mut self, work: &ModelWork, granted: Time) {
        let Some(adapter) = &work.adapter else { return };
        let replica = self.replicas.get_mut(&work.model);
        let state = replica.and_then(|replica| replica.adapters.get_mut(adapter));
        // A request that is older than the load may have used an earlier copy.
        if let Some(state) = state.filter(|state| granted >= state.ready_at) {
            state.confirm();
        }
    }

    /// Returns whether an adapter can be loaded, possibly after unloading one that is not in use.
    ///
    /// An engine accepts no order while it loads a model.
    pub(super) fn has_adapter_room(&self, spec: &EngineSpec) -> bool {
        if self.loading.is_some() || self.is_unloading_adapter() {
            return false;
        }
        let wanted = self.order_state.wanted_adapters.len();
        self.adapter_count() + wanted < spec.adapter_slots as usize
            || self.eviction_candidate().is_some()
    }

    /// Returns the least recently used adapter that the engine is known to have and that no running
    /// request uses.
    pub(super) fn eviction_candidate(&self) -> Option<(Arc<str>, Arc<str>)> {
        let loaded = self.idle_adapters(AdapterPhase::Loaded);
        let oldest =
            loaded.min_by_key(|(model, adapter, state)| (state.last_used, *model, *adapter));
        oldest.map(|(model, adapter, _)| (model.clone(), adapter.clone()))
    }

    /// Returns whether only a report can tell which adapter may be unloaded: there is no room for
    /// another one, and of an adapter that is not in use it is not known whether it has arrived.
    pub(super) fn needs_adapter_report(&self, spec: &EngineSpec, now: Time) -> bool {
        let mut fetching = self.idle_adapters(AdapterPhase::Fetching);
        self.loading.is_none()
            && !self.has_adapter_room(spec)
            && fetching.any(|(_, _, state)| state.ready_at <= now)
    }

    /// Returns the adapters of a phase that no running request uses, with their models.
    fn idle_adapters(
        &self,
        phase: AdapterPhase,
    ) -> impl Iterator<Item = (&Arc<str>, &Arc<str>, &AdapterState)> {
        let all = self.replicas.iter().flat_map(|(model, replica)| {
            replica.adapters.iter().map(move |(adapter, state)| (model, adapter, state))
        });
        all.filter(move |(model, adapter, state)| {
            state.phase == phase && !self.uses_adapter(model, adapter)
        })
    }

    /// Returns whether a running request uses an adapter.
    fn uses_adapter(&self, model: &Arc<str>, adapter: &Arc<str>) -> bool {
        self.running.uses_adapter(model, adapter)
    }
}
