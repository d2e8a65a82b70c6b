//! A small fake of an engine: batching, memory, adapters, prefix cache and cold start.

use std::{collections::BTreeMap, time::Duration};

use super::Arrival;
use crate::{
    clock::Time,
    config::{ModelSpec, PoolSpec},
    names::{Adapter, Model},
};

/// Time to the first token without load or prompt.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(80);

/// Time per token of a prompt that is not cached.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(400);

/// Part of the prompt's time that a cached prefix leaves.
const CACHED_PREFILL_FRACTION: f64 = 0.3;

/// Time to the first token for each other request that runs.
const FIRST_TOKEN_TIME_PER_REQUEST: Duration = Duration::from_millis(4);

/// Time between two tokens of a request that runs alone.
const TOKEN_GAP: Duration = Duration::from_millis(20);

/// Time between two tokens for each other request that runs.
const TOKEN_GAP_PER_REQUEST: Duration = Duration::from_millis(1);

/// Factor on times of a cold engine.
const COLD_FACTOR: u32 = 3;

/// Whole answers after which an engine is warm.
const WARM_UP_RESPONSES: u32 = 20;

/// Time that a restart takes.
pub const RESTART_TIME: Duration = Duration::from_secs(10);

/// Bytes a second at which weights load.
const LOAD_BYTES_PER_SECOND: f64 = 4e9;

/// Time to load an adapter below the limit of loads at once.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(7);

/// Prefixes that the cache holds.
const MAX_CACHED_PREFIXES: usize = 64;

/// How long a request takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between two tokens.
    pub token_gap: Duration,
    /// Time to the end.
    pub total: Duration,
}

/// What became of a request that was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartOutcome {
    /// It runs.
    Running(Timing),
    /// The engine fell over.
    Crashed,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    weight_bytes: u64,
    adapter_bytes: u64,
    max_adapter_loads: u32,
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
    pub ready_at: Time,
}

impl Engine {
    /// Creates an empty engine.
    pub fn new(pool: &PoolSpec) -> Self {
        Self {
            weight_bytes: pool.memory - pool.adapter_bytes,
            adapter_bytes: pool.adapter_bytes,
            max_adapter_loads: pool.adapter_loads,
            cold_limit: pool.cold_limit,
            residents: BTreeMap::new(),
            loading: BTreeMap::new(),
            adapters: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            running: 0,
            completed: 0,
            incarnation: 1,
            ready_at: Time(0),
        }
    }

    /// Returns the bytes that no resident or open load takes.
    pub fn free_bytes(&self) -> u64 {
        self.weight_bytes - self.residents.values().chain(self.loading.values()).sum::<u64>()
    }

    /// Returns the resident models.
    pub fn resident_models(&self) -> impl Iterator<Item = &Model> {
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
    pub fn start_load(&mut self, model: &Model, spec: &ModelSpec) -> Option<Duration> {
        let known = self.residents.contains_key(model) || self.loading.contains_key(model);
        if known || self.free_bytes() < spec.bytes {
            return None;
        }
        self.loading.insert(model.clone(), spec.bytes);
        Some(Duration::from_secs_f64(spec.bytes as f64 / LOAD_BYTES_PER_SECOND))
    }

    /// Ends a load.
    pub fn finish_load(&mut self, model: &Model) {
        if let Some(bytes) = self.loading.remove(model) {
            self.residents.insert(model.clone(), bytes);
        }
    }

    /// Unloads a model and returns whether it was there.
    pub fn unload(&mut self, model: &Model) -> bool {
        self.residents.remove(model).is_some()
    }

    /// Returns to the cold state without any sign.
    pub fn reset_to_cold(&mut self) {
        self.completed = 0;
    }

    /// Starts a request.
    pub fn start_request(
        &mut self,
        arrival: &Arrival,
        spec: Option<&ModelSpec>,
        now: Time,
    ) -> StartOutcome {
        self.running += 1;
        let cold = self.completed < WARM_UP_RESPONSES;
        if cold && self.running > self.cold_limit {
            self.crash(now);
            return StartOutcome::Crashed;
        }
        let factor = if cold { COLD_FACTOR } else { 1 };
        let others = self.running - 1;
        let prompt = PREFILL_TIME_PER_TOKEN * arrival.prompt_tokens as u32;
        let prompt = if self.is_cached(arrival, now) {
            prompt.mul_f64(CACHED_PREFILL_FRACTION)
        } else {
            prompt
        };
        let first = (FIRST_TOKEN_TIME + prompt + FIRST_TOKEN_TIME_PER_REQUEST * others) * factor;
        let first = first + self.load_adapter(arrival, spec, now);
        let gap = (TOKEN_GAP + TOKEN_GAP_PER_REQUEST * others) * factor;
        StartOutcome::Running(Timing {
            first_token: first,
            token_gap: gap,
            total: first + gap * arrival.output_tokens as u32,
        })
    }

    /// Ends a request.
    pub fn finish_request(&mut self) {
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
        self.ready_at = now + RESTART_TIME;
    }

    fn is_cached(&mut self, arrival: &Arrival, now: Time) -> bool {
        let Some(model) = &arrival.model else { return true };
        let cached = self.prefixes.insert((model.clone(), arrival.prefix_hash), now).is_some();
        if self.prefixes.len() > MAX_CACHED_PREFIXES {
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
        while self.adapters.values().map(|(_, bytes)| bytes).sum::<u64>() > self.adapter_bytes {
            let oldest = self.adapters.iter().min_by_key(|(_, (at, _))| *at);
            let Some(oldest) = oldest.map(|(adapter, _)| adapter.clone()) else { break };
            self.adapters.remove(&oldest);
        }
        let above = f64::from(self.running) / f64::from(self.max_adapter_loads);
        ADAPTER_LOAD_TIME.mul_f64(above.max(1.0))
    }
}
