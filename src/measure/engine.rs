//! A fake engine with batching, memory, adapters, a KV cache of prompt prefixes, and cold starts.

use std::{collections::BTreeMap, time::Duration};

use super::Arrival;
use crate::{
    clock::Time,
    config::{ModelSpec, PoolSpec},
    names::{Adapter, Model},
};

/// Time to the first token of a request without a prompt that runs alone.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(80);

/// Prefill time per prompt token without a cached prefix.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(400);

/// Fraction of the prefill time that remains with a cached prefix.
const CACHED_PREFILL_FRACTION: f64 = 0.3;

/// Additional time to the first token for each other running request.
const FIRST_TOKEN_TIME_PER_REQUEST: Duration = Duration::from_millis(4);

/// Time between two tokens of a request that runs alone.
const TOKEN_GAP: Duration = Duration::from_millis(20);

/// Additional time between two tokens for each other running request.
const TOKEN_GAP_PER_REQUEST: Duration = Duration::from_millis(1);

/// Factor by which a cold engine is slower than a warm one.
const COLD_FACTOR: u32 = 3;

/// Number of whole responses after which an engine is warm.
const WARM_UP_RESPONSES: u32 = 20;

/// Duration of a restart after a crash.
pub const RESTART_TIME: Duration = Duration::from_secs(10);

/// Rate at which weights load, in bytes per second.
const LOAD_BYTES_PER_SECOND: f64 = 4e9;

/// Time to load an adapter while the number of running requests is within the engine's limit of
/// adapter loads.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(7);

/// Largest number of prefixes in the KV cache.
const MAX_CACHED_PREFIXES: usize = 64;

/// The times that a request takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between two tokens.
    pub token_gap: Duration,
    /// Time to the end of the response.
    pub total: Duration,
}

/// The outcome of starting a request on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartOutcome {
    /// The request runs and takes these times.
    Running(Timing),
    /// The engine crashed, because it was cold and ran too many requests.
    Crashed,
}

/// A fake engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Memory for model weights, in bytes.
    weight_bytes: u64,
    /// Memory for adapters, in bytes.
    adapter_bytes: u64,
    /// Number of adapter loads at once that do not slow each other down.
    max_adapter_loads: u32,
    /// Largest number of requests that the engine survives while it is cold.
    cold_limit: u32,
    /// Resident models with their bytes.
    residents: BTreeMap<Model, u64>,
    /// Models that are being loaded, with their bytes.
    loading: BTreeMap<Model, u64>,
    /// Resident adapters with the time of their last use and their bytes.
    adapters: BTreeMap<Adapter, (Time, u64)>,
    /// Cached prefixes with the time of their last use.
    prefixes: BTreeMap<(Model, u64), Time>,
    /// Number of running requests.
    running: u32,
    /// Whole responses since the engine was last cold.
    completed: u32,
    /// Number that changes with each restart.
    pub incarnation: u64,
    /// When the engine accepts requests after a restart.
    pub ready_at: Time,
}

impl Engine {
    /// Creates a cold engine without models.
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

    /// Returns the bytes that neither a resident model nor a load in progress takes.
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

    /// Starts a load and returns its duration.
    ///
    /// Returns `None` if the model is resident or being loaded, or does not fit into memory.
    pub fn start_load(&mut self, model: &Model, spec: &ModelSpec) -> Option<Duration> {
        let is_present = self.residents.contains_key(model) || self.loading.contains_key(model);
        if is_present || self.free_bytes() < spec.bytes {
            return None;
        }
        self.loading.insert(model.clone(), spec.bytes);
        Some(Duration::from_secs_f64(spec.bytes as f64 / LOAD_BYTES_PER_SECOND))
    }

    /// Ends a load and makes the model resident.
    pub fn finish_load(&mut self, model: &Model) {
        if let Some(bytes) = self.loading.remove(model) {
            self.residents.insert(model.clone(), bytes);
        }
    }

    /// Unloads a model and returns whether it was resident.
    pub fn unload(&mut self, model: &Model) -> bool {
        self.residents.remove(model).is_some()
    }

    /// Makes the engine cold without any sign that its steward could see.
    pub fn reset_to_cold(&mut self) {
        self.completed = 0;
    }

    /// Starts a request. A cold engine crashes if it runs more requests than its cold limit.
    pub fn start_request(
        &mut self,
        arrival: &Arrival,
        spec: Option<&ModelSpec>,
        now: Time,
    ) -> StartOutcome {
        self.running += 1;
        let is_cold = self.completed < WARM_UP_RESPONSES;
        if is_cold && self.running > self.cold_limit {
            self.crash(now);
            return StartOutcome::Crashed;
        }
        let factor = if is_cold { COLD_FACTOR } else { 1 };
        let others = self.running - 1;
        let prefill = PREFILL_TIME_PER_TOKEN * arrival.prompt_tokens as u32;
        let prefill = if self.is_cached(arrival, now) {
            prefill.mul_f64(CACHED_PREFILL_FRACTION)
        } else {
            prefill
        };
        let first_token =
            (FIRST_TOKEN_TIME + prefill + FIRST_TOKEN_TIME_PER_REQUEST * others) * factor;
        let first_token = first_token + self.load_adapter(arrival, spec, now);
        let token_gap = (TOKEN_GAP + TOKEN_GAP_PER_REQUEST * others) * factor;
        StartOutcome::Running(Timing {
            first_token,
            token_gap,
            total: first_token + token_gap * arrival.output_tokens as u32,
        })
    }

    /// Ends a request whose response is whole.
    pub fn finish_request(&mut self) {
        self.running -= 1;
        self.completed += 1;
    }

    /// Crashes the engine, which restarts cold and with empty memory.
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

    /// Returns whether the request's prefix is in the KV cache, and adds it to the cache.
    fn is_cached(&mut self, arrival: &Arrival, now: Time) -> bool {
        let Some(model) = &arrival.model else { return true };
        let was_cached = self.prefixes.insert((model.clone(), arrival.prefix_hash), now).is_some();
        if self.prefixes.len() > MAX_CACHED_PREFIXES {
            let oldest = self.prefixes.iter().min_by_key(|(_, at)| **at);
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.prefixes.remove(&key);
            }
        }
        was_cached
    }

    /// Loads the request's adapter if it is not resident and returns the time that this takes.
    ///
    /// The adapters that were not used for the longest time are unloaded to make room.
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
        let load_ratio = f64::from(self.running) / f64::from(self.max_adapter_loads);
        ADAPTER_LOAD_TIME.mul_f64(load_ratio.max(1.0))
    }
}
