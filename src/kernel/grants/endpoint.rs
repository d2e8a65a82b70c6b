//! One endpoint as the scheduler knows it.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::{Failures, GrantKey, GrantRequest, ModelWork, PromptCache, Swap};
use crate::{
    catalog::{EngineSpec, Service},
    clock::Time,
};

/// Start of an endpoint; a later one of the same name knows nothing of before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

/// What an endpoint says of itself in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Name.
    pub id: Arc<str>,
    /// Start that the entry is about.
    pub incarnation: Incarnation,
    /// Service.
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Time until it is gone, where it is removed at short notice.
    pub removed_in: Option<Duration>,
    /// Time for which it bears little, counted from the writing of the entry.
    pub cold_remaining: Duration,
    /// Models that it holds, with the adapters that it held when the entry was written.
    pub models: Vec<(Arc<str>, Vec<Arc<str>>)>,
    /// Models of which it has a copy in host memory.
    pub in_memory: Vec<Arc<str>>,
    /// Models of which it has a copy on disk.
    pub on_disk: Vec<Arc<str>>,
}

/// What an engine holds, as its report says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Orders that it has taken since its start.
    pub orders: u64,
    /// Whether an order about a model is under way.
    pub busy: bool,
    /// Models with their adapters.
    pub models: Vec<(Arc<str>, Vec<Arc<str>>)>,
    /// Adapters on their way.
    pub loading_adapters: Vec<(Arc<str>, Arc<str>)>,
    /// Memory in tokens that cannot yield.
    pub used_tokens: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Load a model.
    Load {
        /// Model.
        model: Arc<str>,
    },
    /// Drop a model with its adapters.
    Unload {
        /// Model.
        model: Arc<str>,
    },
    /// Load an adapter of a model that is there.
    LoadAdapter {
        /// Model.
        model: Arc<str>,
        /// Adapter.
        adapter: Arc<str>,
    },
    /// Drop an adapter.
    UnloadAdapter {
        /// Model.
        model: Arc<str>,
        /// Adapter.
        adapter: Arc<str>,
    },
}

/// A model at an engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Resident {
    /// Adapters with the time at which each can be used.
    pub adapters: HashMap<Arc<str>, AdapterState>,
    /// When the last request for it was granted.
    pub used: Time,
}

/// An adapter at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdapterState {
    /// When it can be used.
    pub ready: Time,
    /// When it was last used.
    pub used: Time,
}

/// A request at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// What was asked.
    pub ask: GrantRequest,
    /// When it was granted.
    pub granted: Time,
    /// Tokens that the engine was expected to read.
    pub reads: u64,
    /// Prefill time ahead of it when it was granted.
    pub ahead: Duration,
    /// Whether its first event has come.
    pub started: bool,
}

/// Time within which a cold endpoint's rate is counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Time for which an entry may still show a model that was dropped.
const ENTRY_LAG: Duration = Duration::from_millis(1_500);

/// Time over which prefill work is averaged.
const USAGE_MEMORY: Duration = Duration::from_millis(1_500);

/// First pause after an endpoint could not be reached; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause of an endpoint that could not be reached.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_400);

/// Pause of an endpoint that was not what it was thought to be, so that a report can be read.
const MISPLACED_PAUSE: Duration = Duration::from_millis(40);

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What is known of it: its entry, and what reports and orders added.
    pub info: Registration,
    /// Its entry as it was read last.
    pub(super) entry: Registration,
    pub(super) running: HashMap<GrantKey, Run>,
    pub(super) cold_until: Time,
    cold_starts: VecDeque<Time>,
    /// No grants before this time.
    pub(super) paused: Time,
    pause: Duration,
    /// Whether the last connection to it could not be made.
    lost: bool,
    pub(super) failures: Failures,
    pub(super) models: HashMap<Arc<str>, Resident>,
    pub(super) loading: Option<(Arc<str>, Time)>,
    /// Orders that it has taken since its start, as of the last report or answer.
    pub(super) orders: u64,
    /// Models that were dropped by an order, with the time.
    dropped: HashMap<Arc<str>, Time>,
    pub(super) seen: bool,
    pub(super) cache: PromptCache,
    pub(super) prefill: Time,
    /// Recent prefill work, in seconds a second, as of a time.
    usage: (f64, Time),
    /// How much slower than expected the endpoint is, as a factor.
    pub(super) slowness: f64,
    pub(super) swap: Option<Swap>,
    pub(super) lane: super::orders::Lane,
    /// When a load of a model last ended or began.
    pub(super) loaded: Time,
    gone: Option<Time>,
}

impl Endpoint {
    /// Creates an endpoint from its entry.
    pub fn new(info: Registration, now: Time) -> Self {
        let mut endpoint = Self {
            running: HashMap::new(),
            cold_until: now + info.cold_remaining,
            cold_starts: VecDeque::new(),
            paused: Time::default(),
            pause: FIRST_PAUSE,
            lost: false,
            failures: Failures::default(),
            models: HashMap::new(),
            loading: None,
            orders: 0,
            dropped: HashMap::new(),
            seen: false,
            cache: PromptCache::default(),
            prefill: Time::default(),
            usage: (0.0, now),
            slowness: 1.0,
            swap: None,
            lane: super::orders::Lane::default(),
            loaded: Time::default(),
            entry: info.clone(),
            gone: info.removed_in.map(|left| now + left),
            info,
        };
        endpoint.take_models(now);
        endpoint
    }

    /// Takes a newer entry of the same incarnation over.
    pub fn update(&mut self, info: Registration, now: Time) {
        if info.cold_remaining != self.entry.cold_remaining {
            self.cold_until = now + info.cold_remaining;
        }
        self.gone = info.removed_in.map(|left| now + left).or(self.gone);
        self.entry = info.clone();
        self.info = info;
        self.take_models(now);
    }

    /// Returns what is known of it, for instances that do not read the store.
    pub fn snapshot(&self, now: Time) -> Registration {
        let models = self.models.iter().filter(|(model, _)| self.holds(model));
        let mut models: Vec<(Arc<str>, Vec<Arc<str>>)> = models
            .map(|(model, resident)| {
                let mut adapters: Vec<Arc<str>> = resident.adapters.keys().cloned().collect();
                adapters.sort();
                (model.clone(), adapters)
            })
            .collect();
        models.sort();
        let cold = if self.is_cold(now) { self.info.cold_remaining } else { Duration::ZERO };
        Registration { models, cold_remaining: cold, ..self.info.clone() }
    }

    /// Forgets what only the instance that gives orders knows, since another one may give them now.
    pub(super) fn hand_over(&mut self) {
        self.seen = false;
        self.swap = None;
        self.lane = super::orders::Lane::default();
    }

    /// Makes the models of the entry the resident ones.
    ///
    /// The entry's adapters count only before the first report, since no entry is written when they
    /// change. A model that was dropped a moment ago may still stand in the entry. After a report an
    /// entry that lacks a model drops nothing, since it may be the older of the two; the next report
    /// decides.
    fn take_models(&mut self, now: Time) {
        let dropped =
            |model: &Arc<str>| self.dropped.get(model).is_some_and(|at| now.since(*at) < ENTRY_LAG);
        let listed = self.info.models.iter().filter(|(model, _)| !dropped(model));
        let listed: Vec<(Arc<str>, Vec<Arc<str>>)> = listed.cloned().collect();
        if !self.seen {
            self.keep_models(&listed);
        } else if !self.agrees(&listed) {
            self.lane.doubt();
        }
        for (model, adapters) in listed {
            let fresh = !self.models.contains_key(&model);
            let resident = self.models.entry(model.clone()).or_default();
            if !self.seen || fresh {
                let ready = AdapterState { ready: now, used: Time::default() };
                resident.adapters.extend(adapters.into_iter().map(|adapter| (adapter, ready)));
            }
            if self.loading.as_ref().is_some_and(|(loading, _)| *loading == model) {
                self.loading = None;
            }
        }
    }

    /// Returns whether an entry lists what is known to be here, a model on its way or not.
    fn agrees(&self, listed: &[(Arc<str>, Vec<Arc<str>>)]) -> bool {
        let is_listed = |model: &Arc<str>| listed.iter().any(|(name, _)| name == model);
        let is_known = |model: &Arc<str>| self.models.contains_key(model) || self.is_getting(model);
        self.models.keys().all(is_listed) && listed.iter().all(|(model, _)| is_known(model))
    }

    /// Drops the models that are not listed.
    fn keep_models(&mut self, listed: &[(Arc<str>, Vec<Arc<str>>)]) {
        let is_listed = |model: &Arc<str>| listed.iter().any(|(name, _)| name == model);
        let lost = self.models.keys().filter(|model| !is_listed(model)).cloned();
        for model in lost.collect::<Vec<_>>() {
            self.models.remove(&model);
            self.cache.drop_model(&model);
        }
    }

    /// Notes that a model was dropped by an order.
    pub(super) fn drop_model(&mut self, model: &Arc<str>, now: Time) {
        self.models.remove(model);
        self.cache.drop_model(model);
        self.dropped.insert(model.clone(), now);
    }

    /// Takes a report over, which is exact as of the orders that it names.
    pub(super) fn take_report(&mut self, holding: EngineReport, now: Time) {
        self.seen = true;
        self.orders = holding.orders;
        self.keep_models(&holding.models);
        for (model, adapters) in holding.models {
            let coming = holding.loading_adapters.iter().filter(|(name, _)| *name == model);
            let there: HashSet<Arc<str>> =
                adapters.into_iter().chain(coming.map(|(_, adapter)| adapter.clone())).collect();
            let resident = self.models.entry(model).or_default();
            resident.adapters.retain(|adapter, _| there.contains(adapter));
            for adapter in there {
                let state = AdapterState { ready: now, used: Time::default() };
                resident.adapters.entry(adapter).or_insert(state);
            }
        }
        if !holding.busy {
            self.loading = None;
        }
    }

    /// Returns whether new requests may be sent at all.
    pub(super) fn is_open(&self, now: Time) -> bool {
        !self.info.draining && self.paused <= now
    }

    /// Returns whether the endpoint will be gone before a run that begins now has ended.
    pub(super) fn is_leaving(&self) -> bool {
        self.info.draining || self.gone.is_some()
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Returns whether a cold endpoint bears one more request now.
    pub(super) fn bears(&self, service: &Service, now: Time) -> bool {
        if !self.is_cold(now) || service.cold_rate <= 0.0 {
            return true;
        }
        let recent = self.cold_starts.iter().filter(|at| now.since(**at) < COLD_WINDOW).count();
        (recent as f64) + 1.0 <= service.cold_rate.max(1.0)
    }

    /// Notes that a request was granted.
    pub(super) fn begin(&mut self, key: GrantKey, run: Run, room: u64, now: Time) {
        while self.cold_starts.front().is_some_and(|at| now.since(*at) >= COLD_WINDOW) {
            self.cold_starts.pop_front();
        }
        self.cold_starts.push_back(now);
        if let Some(work) = &run.ask.work {
            self.cache.read(work, room, now);
            if let Some(resident) = self.models.get_mut(&work.model) {
                resident.used = now;
                let state = work.adapter.as_ref().and_then(|a| resident.adapters.get_mut(a));
                if let Some(state) = state {
                    state.used = now;
                }
            }
        }
        self.running.insert(key, run);
    }

    /// Returns the recent prefill work in seconds a second.
    pub(super) fn usage(&self, now: Time) -> f64 {
        let (usage, at) = self.usage;
        usage * (-now.since(at).as_secs_f64() / USAGE_MEMORY.as_secs_f64()).exp()
    }

    /// Notes prefill work that was given to the engine.
    pub(super) fn use_prefill(&mut self, work: Duration, now: Time) {
        let added = work.as_secs_f64() / USAGE_MEMORY.as_secs_f64();
        self.usage = (self.usage(now) + added, now);
        self.prefill = self.prefill.max(now) + work;
    }

    /// Notes that the endpoint could not be reached.
    pub(super) fn unreached(&mut self, now: Time) {
        self.lost = true;
        self.paused = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Notes that the engine does not hold what it was thought to hold.
    pub(super) fn misplaced(&mut self, now: Time) {
        self.paused = self.paused.max(now + MISPLACED_PAUSE);
        self.lane.doubt();
    }

    /// Notes that the endpoint answered.
    pub(super) fn reached(&mut self) {
        self.lost = false;
        self.pause = FIRST_PAUSE;
    }

    /// Returns whether it counts for the placement of models: its entry may outlive it by seconds.
    pub(super) fn is_serving(&self) -> bool {
        !self.is_leaving() && !self.lost
    }

    /// Returns the memory in tokens that running requests need at most.
    pub(super) fn reserved(&self) -> u64 {
        let works = self.running.values().filter_map(|run| run.ask.work.as_ref());
        works.map(|work| work.prompt_tokens + work.output_tokens).sum()
    }

    /// Returns how many adapters it holds or is about to hold.
    pub(super) fn adapters(&self) -> usize {
        self.models.values().map(|resident| resident.adapters.len()).sum()
    }

    /// Returns the megabytes of weights that are taken, with those on their way.
    pub(super) fn weights(&self, spec: &EngineSpec) -> f64 {
        let size = |model: &Arc<str>| spec.models.get(model).map_or(0.0, |spec| spec.weights_mb);
        let adapters = self.models.iter().map(|(model, resident)| {
            let each = spec.models.get(model).map_or(0.0, |spec| spec.adapter_mb);
            each * resident.adapters.len() as f64
        });
        let loading = self.loading.iter().filter(|(model, _)| !self.models.contains_key(model));
        let coming: f64 = loading.map(|(model, _)| size(model)).sum();
        self.models.keys().map(size).sum::<f64>() + adapters.sum::<f64>() + coming
    }

    /// Returns whether a request for a model could run here without another load of weights.
    pub(super) fn holds(&self, model: &str) -> bool {
        let yielding = self.swap.as_ref().is_some_and(|swap| swap.drops(model));
        self.models.contains_key(model) && !yielding
    }

    /// Returns whether a model is on its way here.
    pub(super) fn is_getting(&self, model: &str) -> bool {
        let loading = self.loading.as_ref().is_some_and(|(loading, _)| &**loading == model);
        loading || self.swap.as_ref().is_some_and(|swap| &*swap.load == model)
    }

    /// Returns whether an adapter is there or on its way.
    pub(super) fn adapter(&self, work: &ModelWork) -> Option<AdapterState> {
        let adapter = work.adapter.as_ref()?;
        self.models.get(&work.model)?.adapters.get(adapter).copied()
    }

    /// Returns how many requests of a model run here.
    pub(super) fn runs(&self, model: &str) -> usize {
        let works = self.running.values().filter_map(|run| run.ask.work.as_ref());
        works.filter(|work| &*work.model == model).count()
    }
}
