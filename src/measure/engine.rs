//! A small fake of an engine: batching, memory, adapters, prefix cache and cold start.

use std::{collections::BTreeMap, time::Duration};

use super::Arrival;
use crate::{
    clock::Time,
    config::{ModelSpec, PoolSpec},
    names::{Adapter, Model},
};

/// Time to the first token without load or prompt.
const FIRST: Duration = Duration::from_millis(80);

/// Time per token of a prompt that is not cached.
const PER_PROMPT_TOKEN: Duration = Duration::from_micros(400);

/// Part of the prompt's time that a cached prefix leaves.
const CACHED: f64 = 0.3;

/// Time to the first token for each other request that runs.
const FIRST_PER_RUNNING: Duration = Duration::from_millis(4);

/// Time between two tokens of a request that runs alone.
const GAP: Duration = Duration::from_millis(20);

/// Time between two tokens for each other request that runs.
const GAP_PER_RUNNING: Duration = Duration::from_millis(1);

/// Factor on times of a cold engine.
const COLD_FACTOR: u32 = 3;

/// Whole answers after which an engine is warm.
const WARM_AFTER: u32 = 20;

/// Time that a restart takes.
pub const RESTART: Duration = Duration::from_secs(10);

/// Bytes a second at which weights load.
const LOAD_BYTES: f64 = 4e9;

/// Time to load an adapter below the limit of loads at once.
const ADAPTER_LOAD: Duration = Duration::from_millis(7);

/// Prefixes that the cache holds.
const CACHE_LENGTH: usize = 64;

/// How long a request takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Time to the first token.
    pub first: Duration,
    /// Time between two tokens.
    pub gap: Duration,
    /// Time to the end.
    pub total: Duration,
}

/// What became of a request that was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Started {
    /// It runs.
    Running(Pace),
    /// The engine fell over.
    Crashed,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    memory: u64,
    adapter_pool: u64,
    adapter_loads: u32,
    cold_limit: u32,
    residents: BTreeMap<Model, u64>,
    loading: BTreeMap<Model, u64>,
    adapters: BTreeMap<Adapter, (Time, u64)>,
    prefixes: BTreeMap<(Model, u64), Time>,
    running: u32,
    completed: u32,
    /// Number that changes with each restart.
    pub incarnation: u64,
    /// When the engine answers again after a restart.
    pub back: Time,
}

impl Engine {
    /// Creates an empty engine.
    pub fn new(pool: &PoolSpec) -> Self {
        Self {
            memory: pool.memory - pool.adapter_bytes,
            adapter_pool: pool.adapter_bytes,
            adapter_loads: pool.adapter_loads,
            cold_limit: pool.cold_limit,
            residents: BTreeMap::new(),
            loading: BTreeMap::new(),
            adapters: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            running: 0,
            completed: 0,
            incarnation: 1,
            back: Time(0),
        }
    }

    /// Returns the bytes that no resident or open load takes.
    pub fn free(&self) -> u64 {
        self.memory - self.residents.values().chain(self.loading.values()).sum::<u64>()
    }

    /// Returns the resident models.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.residents.keys()
    }

    /// Returns the models that are being loaded.
    pub fn loading(&self) -> impl Iterator<Item = &Model> {
        self.loading.keys()
    }

    /// Returns the resident adapters.
    pub fn adapters(&self) -> impl Iterator<Item = &Adapter> {
        self.adapters.keys()
    }

    /// Starts a load and returns its time, or `None` when it does not fit.
    pub fn load(&mut self, model: &Model, spec: &ModelSpec) -> Option<Duration> {
        let known = self.residents.contains_key(model) || self.loading.contains_key(model);
        if known || self.free() < spec.bytes {
            return None;
        }
        self.loading.insert(model.clone(), spec.bytes);
        Some(Duration::from_secs_f64(spec.bytes as f64 / LOAD_BYTES))
    }

    /// Ends a load.
    pub fn loaded(&mut self, model: &Model) {
        if let Some(bytes) = self.loading.remove(model) {
            self.residents.insert(model.clone(), bytes);
        }
    }

    /// Unloads a model and returns whether it was there.
    pub fn unload(&mut self, model: &Model) -> bool {
        self.residents.remove(model).is_some()
    }

    /// Returns to the cold state without any sign.
    pub fn cool(&mut self) {
        self.completed = 0;
    }

    /// Starts a request.
    pub fn start(&mut self, arrival: &Arrival, spec: Option<&ModelSpec>, now: Time) -> Started {
        self.running += 1;
        let cold = self.completed < WARM_AFTER;
        if cold && self.running > self.cold_limit {
            self.crash(now);
            return Started::Crashed;
        }
        let factor = if cold { COLD_FACTOR } else { 1 };
        let others = self.running - 1;
        let prompt = PER_PROMPT_TOKEN * arrival.prompt as u32;
        let prompt = if self.is_cached(arrival, now) { prompt.mul_f64(CACHED) } else { prompt };
        let first = (FIRST + prompt + FIRST_PER_RUNNING * others) * factor;
        let first = first + self.load_adapter(arrival, spec, now);
        let gap = (GAP + GAP_PER_RUNNING * others) * factor;
        Started::Running(Pace { first, gap, total: first + gap * arrival.answer as u32 })
    }

    /// Ends a request.
    pub fn finish(&mut self) {
        self.running -= 1;
        self.completed += 1;
    }

    fn crash(&mut self, now: Time) {
        self.residents.clear();
        self.loading.clear();
        self.adapters.clear();
        self.prefixes.clear();
        self.running = 0;
        self.completed = 0;
        self.incarnation += 1;
        self.back = now + RESTART;
    }

    fn is_cached(&mut self, arrival: &Arrival, now: Time) -> bool {
        let Some(model) = &arrival.model else { return true };
        let cached = self.prefixes.insert((model.clone(), arrival.prefix), now).is_some();
        if self.prefixes.len() > CACHE_LENGTH {
            let oldest = self.prefixes.iter().min_by_key(|(_, at)| **at);
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.prefixes.remove(&key);
            }
        }
        cached
    }

    /// Loads an adapter where it is missing and returns the time.
    fn load_adapter(&mut self, arrival: &Arrival, spec: Option<&ModelSpec>, now: Time) -> Duration {
        let Some(adapter) = &arrival.adapter else { return Duration::ZERO };
        let bytes = spec.and_then(|spec| spec.adapters.get(adapter)).copied().unwrap_or(0);
        if self.adapters.insert(adapter.clone(), (now, bytes)).is_some() {
            return Duration::ZERO;
        }
        while self.adapters.values().map(|(_, bytes)| bytes).sum::<u64>() > self.adapter_pool {
            let oldest = self.adapters.iter().min_by_key(|(_, (at, _))| *at);
            let Some(oldest) = oldest.map(|(adapter, _)| adapter.clone()) else { break };
            self.adapters.remove(&oldest);
        }
        let above = f64::from(self.running) / f64::from(self.adapter_loads);
        ADAPTER_LOAD.mul_f64(above.max(1.0))
    }
}
