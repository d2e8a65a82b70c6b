//! State of one endpoint, as the scheduler knows it.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::{
    FailureRates, GrantKey, KvCache, RequestLimit, Swap,
    adapter::{AdapterPhase, AdapterState},
    pace::EndpointPace,
    run::ActiveRun,
    running::RunTable,
    scheduler::CrashState,
    sizes::KeptSizes,
};
use crate::clock::Time;

/// Identifies one start of an endpoint; a later incarnation has lost the state of all earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

/// Entry of an endpoint in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Name of the endpoint.
    pub id: Arc<str>,
    /// Incarnation that wrote the entry.
    pub incarnation: Incarnation,
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Version of the endpoint's software; empty if it is not known.
    pub version: Arc<str>,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: Arc<str>,
    /// Requests that can run at once.
    pub slots: u32,
    /// Whether the endpoint accepts no new work.
    pub draining: bool,
    /// Time until the endpoint is removed, if its removal was announced at short notice.
    pub removed_in: Option<Duration>,
    /// Time for which the endpoint is cold, counted from when the entry was written.
    pub cold_remaining: Duration,
    /// Models that are loaded, each with the adapters that were loaded when the entry was written.
    pub models: Vec<(Arc<str>, Vec<Arc<str>>)>,
    /// Models whose weights are in host memory.
    pub in_memory: Vec<Arc<str>>,
    /// Models whose weights are on disk.
    pub on_disk: Vec<Arc<str>>,
}

/// State of an engine, decoded from its report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Incarnation that the report is of; `None` if it does not say so.
    pub incarnation: Option<Incarnation>,
    /// Number of orders that the engine has accepted since its start.
    pub orders: u64,
    /// Whether the engine is loading or unloading a model.
    pub busy: bool,
    /// Models that are loaded, each with its adapters.
    pub models: Vec<(Arc<str>, Vec<Arc<str>>)>,
    /// Adapters that are being loaded, each with its model.
    pub loading_adapters: Vec<(Arc<str>, Arc<str>)>,
    /// KV cache space in tokens that cannot be evicted.
    pub used_tokens: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Load a model.
    Load {
        /// Model to load.
        model: Arc<str>,
    },
    /// Unload a model and its adapters.
    Unload {
        /// Model to unload.
        model: Arc<str>,
    },
    /// Load an adapter of a loaded model.
    LoadAdapter {
        /// Model of the adapter.
        model: Arc<str>,
        /// Adapter to load.
        adapter: Arc<str>,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Model of the adapter.
        model: Arc<str>,
        /// Adapter to unload.
        adapter: Arc<str>,
    },
}

/// A replica of a model at an engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Replica {
    /// Adapters that are loaded or being loaded.
    pub adapters: HashMap<Arc<str>, AdapterState>,
    /// When a request for the model was last granted.
    pub last_used: Time,
}

/// Window over which the rate of a cold endpoint is limited.
pub(super) const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Time for which an entry may still list a model after it was unloaded.
const ENTRY_LAG: Duration = Duration::from_millis(1_500);

/// Time constant of the decaying average of prefill work.
const USAGE_TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// Backoff after the endpoint could not be reached; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(300);

/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(2_400);

/// Backoff after an endpoint lacked the expected state, so that its report can be read first.
const MISPLACED_BACKOFF: Duration = Duration::from_millis(40);

/// State of one endpoint: its entry, its running requests and, for an engine, its models and
/// orders.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Entry of the endpoint, as of the last update.
    pub info: EndpointEntry,
    /// Last entry read from the store, to detect changes.
    pub(super) entry: EndpointEntry,
    /// Granted requests that run at the endpoint.
    pub(super) running: RunTable,
    /// When the endpoint stops being cold.
    pub(super) cold_until: Time,
    /// When requests were granted, for the limit of a cold endpoint.
    pub(super) recent_grants: VecDeque<Time>,
    /// No requests are granted before this time.
    pub(super) paused_until: Time,
    /// Backoff after the next failed connection attempt.
    backoff: Duration,
    /// Whether the last connection attempt failed.
    unreachable: bool,
    /// Failure rates, by the data centre of the entry instance.
    pub(super) failures: FailureRates,
    /// Replicas by model.
    pub(super) replicas: HashMap<Arc<str>, Replica>,
    /// Sizes of held models that earlier configurations named.
    pub(super) kept_sizes: KeptSizes,
    /// Model that is being loaded, and when it is expected to be ready.
    pub(super) loading: Option<(Arc<str>, Time)>,
    /// Number of orders that the engine has accepted since its start, as of the last report or
    /// response.
    pub(super) order_count: u64,
    /// When each model was last unloaded by an order.
    unloaded: HashMap<Arc<str>, Time>,
    /// Whether a report was applied since orders were last reset.
    pub(super) reported: bool,
    /// Estimate of the prompt prefixes in the KV cache.
    pub(super) kv_cache: KvCache,
    /// When its link is free of the transfers that were granted.
    pub(super) link_free: Time,
    /// When the queued prefill is expected to be done.
    pub(super) prefill_end: Time,
    /// When the engine last began to prefill after a break.
    pub(super) prefill_start: Time,
    /// Decaying average of prefill work in seconds per second, and when it was updated.
    usage: (f64, Time),
    /// Reported load and pace, and measured speed.
    pub(super) pace: EndpointPace,
    /// Planned change of the models, until the engine has accepted its load.
    pub(super) swap: Option<Swap>,
    /// State of the orders to the engine.
    pub(super) order_state: super::order_state::OrderState,
    /// Expected end of the last model load.
    pub(super) last_load: Time,
    /// Whether an instance has said that the endpoint leaves, ahead of the endpoint's entry.
    pub(super) said_leaving: bool,
    /// When the endpoint will be removed, if that is known.
    removed_at: Option<Time>,
    /// Limit of the request rate; `None` if the endpoint names none.
    pub(super) rate_limit: Option<RequestLimit>,
    /// Refusals in a second after which the endpoint fails; `None` if it names no such number.
    pub(super) max_refusals: Option<u32>,
    /// Whether the endpoint has crashed.
    pub(super) crash_state: CrashState,
}

impl Endpoint {
    /// Creates the state of an endpoint from its entry.
    pub fn new(info: EndpointEntry, now: Time) -> Self {
        let mut endpoint = Self {
            running: RunTable::default(),
            cold_until: now + info.cold_remaining,
            recent_grants: VecDeque::new(),
            paused_until: Time::default(),
            backoff: MIN_BACKOFF,
            unreachable: false,
            failures: FailureRates::default(),
            replicas: HashMap::new(),
            kept_sizes: KeptSizes::new(),
            loading: None,
            order_count: 0,
            unloaded: HashMap::new(),
            reported: false,
            kv_cache: KvCache::default(),
            link_free: Time::default(),
            prefill_end: Time::default(),
            prefill_start: Time::default(),
            usage: (0.0, now),
            pace: EndpointPace::default(),
            swap: None,
            order_state: super::order_state::OrderState::default(),
            last_load: Time::default(),
            entry: info.clone(),
            said_leaving: false,
            removed_at: info.removed_in.map(|time| now + time),
            rate_limit: None,
            max_refusals: None,
            crash_state: CrashState::default(),
            info,
        };
        endpoint.apply_entry_models(now);
        endpoint
    }

    /// Returns whether an entry is of this incarnation of the endpoint.
    pub(super) fn is_incarnation(&self, entry: &EndpointEntry) -> bool {
        self.info.incarnation == entry.incarnation
            && self.info.address == entry.address
            && self.info.service == entry.service
    }

    /// Applies a newer entry of the same incarnation.
    pub fn update(&mut self, info: EndpointEntry, now: Time) {
        if info.cold_remaining != self.entry.cold_remaining {
            self.cold_until = now + info.cold_remaining;
        }
        self.removed_at = info.removed_in.map(|time| now + time).or(self.removed_at);
        self.entry = info.clone();
        self.info = info;
        self.apply_entry_models(now);
    }

    /// Returns the current state as an entry, for instances that do not read the store.
    pub fn snapshot(&self, now: Time) -> EndpointEntry {
        let models = self.replicas.iter().filter(|(model, _)| self.can_serve(model));
        let mut models: Vec<(Arc<str>, Vec<Arc<str>>)> = models
            .map(|(model, replica)| {
                let usable = replica.adapters.iter().filter(|(_, state)| state.is_usable());
                let mut adapters: Vec<Arc<str>> = usable.map(|(name, _)| name.clone()).collect();
                adapters.sort();
                (model.clone(), adapters)
            })
            .collect();
        models.sort();
        let cold_remaining =
            if self.is_cold(now) { self.info.cold_remaining } else { Duration::ZERO };
        let draining = self.info.draining || self.said_leaving;
        EndpointEntry { models, cold_remaining, draining, ..self.info.clone() }
    }

    /// Discards what only the scheduler that sends orders knows, since another one may send them
    /// now.
    pub(super) fn reset_orders(&mut self) {
        self.reported = false;
        self.swap = None;
        self.order_state = self.order_state.restarted();
    }

    /// Adds a replica for each model of the entry.
    ///
    /// The adapters of the entry count only before the first report, since no entry is written when
    /// they change. A model that was just unloaded may still be listed in the entry. After a
    /// report, an entry that lacks a model removes no replica, since the entry may be older than
    /// the report; the next report decides.
    fn apply_entry_models(&mut self, now: Time) {
        let recently_unloaded = |model: &Arc<str>| {
            self.unloaded.get(model).is_some_and(|at| now.since(*at) < ENTRY_LAG)
        };
        let listed = self.info.models.iter().filter(|(model, _)| !recently_unloaded(model));
        let listed: Vec<(Arc<str>, Vec<Arc<str>>)> = listed.cloned().collect();
        if !self.reported {
            self.retain_replicas(&listed);
        } else if !self.matches_entry(&listed) {
            self.order_state.require_report();
        }
        for (model, adapters) in listed {
            let is_new = !self.replicas.contains_key(&model);
            let replica = self.replicas.entry(model.clone()).or_default();
            if !self.reported || is_new {
                // The entry may be old, so it does not show whether the engine has the adapter now.
                let shown = AdapterState::shown(AdapterPhase::Fetching, now);
                replica.adapters.extend(adapters.into_iter().map(|adapter| (adapter, shown)));
            }
            if self.loading.as_ref().is_some_and(|(loading, _)| *loading == model) {
                self.loading = None;
            }
        }
    }

    /// Returns whether the entry lists every replica, and nothing else but models being loaded.
    fn matches_entry(&self, listed: &[(Arc<str>, Vec<Arc<str>>)]) -> bool {
        let is_listed = |model: &Arc<str>| listed.iter().any(|(name, _)| name == model);
        let is_known =
            |model: &Arc<str>| self.replicas.contains_key(model) || self.is_loading(model);
        self.replicas.keys().all(is_listed) && listed.iter().all(|(model, _)| is_known(model))
    }

    /// Removes the replicas of models that are not listed.
    fn retain_replicas(&mut self, listed: &[(Arc<str>, Vec<Arc<str>>)]) {
        let is_listed = |model: &Arc<str>| listed.iter().any(|(name, _)| name == model);
        let removed = self.replicas.keys().filter(|model| !is_listed(model)).cloned();
        for model in removed.collect::<Vec<_>>() {
            self.replicas.remove(&model);
            self.kv_cache.evict_model(&model);
        }
    }

    /// Records that an order unloaded a model.
    pub(super) fn record_unload(&mut self, model: &Arc<str>, now: Time) {
        self.replicas.remove(model);
        self.kept_sizes.remove(model);
        self.kv_cache.evict_model(model);
        self.unloaded.insert(model.clone(), now);
    }

    /// Applies a report, which is exact as of the number of orders that it states.
    pub(super) fn apply_report(&mut self, report: EngineReport, now: Time) {
        self.reported = true;
        self.order_count = report.orders;
        self.retain_replicas(&report.models);
        for (model, loaded) in report.models {
            let fetching = report.loading_adapters.iter().filter(|(name, _)| *name == model);
            let fetching: Vec<Arc<str>> = fetching.map(|(_, adapter)| adapter.clone()).collect();
            let replica = self.replicas.entry(model).or_default();
            replica.adapters.retain(|name, _| loaded.contains(name) || fetching.contains(name));
            for adapter in fetching {
                let shown = AdapterState::shown(AdapterPhase::Fetching, now);
                replica.adapters.entry(adapter).or_insert(shown);
            }
            for adapter in loaded {
                let shown = AdapterState::shown(AdapterPhase::Loaded, now);
                replica.adapters.entry(adapter).or_insert(shown).confirm();
            }
        }
        if !report.busy {
            self.loading = None;
        }
    }

    /// Returns whether the endpoint is neither draining nor paused after a failure.
    pub(super) fn accepts_requests(&self, now: Time) -> bool {
        !self.info.draining && !self.said_leaving && self.paused_until <= now
    }

    /// Returns whether the endpoint is draining or will be removed, possibly before a new run ends.
    pub(super) fn is_leaving(&self) -> bool {
        self.info.draining || self.said_leaving || self.removed_at.is_some()
    }

    /// Returns whether the endpoint fails if it must refuse many requests for want of room.
    pub(super) fn is_brittle(&self) -> bool {
        self.max_refusals.is_some()
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Records that a request was granted.
    pub(super) fn record_grant(&mut self, key: GrantKey, run: ActiveRun, now: Time) {
        while self.recent_grants.front().is_some_and(|at| now.since(*at) >= COLD_WINDOW) {
            self.recent_grants.pop_front();
        }
        self.recent_grants.push_back(now);
        if let Some(work) = &run.request.work {
            self.kv_cache.begin_prefill(work);
            if let Some(replica) = self.replicas.get_mut(&work.model) {
                replica.last_used = now;
                let state = work.adapter.as_ref().and_then(|a| replica.adapters.get_mut(a));
                if let Some(state) = state {
                    state.last_used = now;
                }
            }
        }
        self.running.insert(key, run);
    }

    /// Returns the decaying average of prefill work in seconds per second.
    pub(super) fn usage(&self, now: Time) -> f64 {
        let (usage, updated_at) = self.usage;
        usage * (-now.since(updated_at).as_secs_f64() / USAGE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Records prefill work that was sent to the engine.
    pub(super) fn add_prefill(&mut self, work: Duration, now: Time) {
        let added = work.as_secs_f64() / USAGE_TIME_CONSTANT.as_secs_f64();
        self.usage = (self.usage(now) + added, now);
        if !self.prefills_without_break(now) {
            self.prefill_start = now;
        }
        self.prefill_end = self.prefill_end.max(now) + work;
    }

    /// Records that the endpoint could not be reached.
    pub(super) fn record_unreachable(&mut self, now: Time) {
        self.unreachable = true;
        self.paused_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Records that the engine lacked what it was expected to have.
    pub(super) fn record_misplaced(&mut self, now: Time) {
        self.paused_until = self.paused_until.max(now + MISPLACED_BACKOFF);
        self.order_state.require_report();
    }

    /// Records that the endpoint responded.
    pub(super) fn record_reachable(&mut self) {
        self.unreachable = false;
        self.backoff = MIN_BACKOFF;
    }

    /// Returns whether placement counts the endpoint. An unreachable one does not count, since its
    /// entry may stay listed for seconds after its end.
    pub(super) fn is_serving(&self) -> bool {
        !self.is_leaving() && !self.unreachable
    }

    /// Returns whether a granted request runs at the endpoint.
    pub fn runs(&self, key: &GrantKey) -> bool {
        self.running.contains(key)
    }

    /// Returns the upper bound of KV cache tokens that running requests use.
    pub(super) fn reserved_tokens(&self) -> u64 {
        self.running.reserved_tokens()
    }

    /// Returns whether the engine has a replica of a model that is not about to be unloaded.
    pub(super) fn can_serve(&self, model: &str) -> bool {
        let unloading = self.swap.as_ref().is_some_and(|swap| swap.unloads(model));
        self.replicas.contains_key(model) && !unloading
    }

    /// Returns whether a model is being loaded or about to be loaded.
    pub(super) fn is_loading(&self, model: &str) -> bool {
        let loading = self.loading.as_ref().is_some_and(|(loading, _)| &**loading == model);
        loading || self.swap.as_ref().is_some_and(|swap| &*swap.load == model)
    }

    /// Returns how many requests of a model are running.
    pub(super) fn running_count(&self, model: &str) -> usize {
        self.running.model_count(model)
    }
}
