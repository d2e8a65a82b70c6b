//! An endpoint with the state that its steward holds.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::Time,
    config::{PoolKind, PoolSpec},
    kernel::{
        dispatch::Queue,
        warmup::{ColdSign, Warmup},
    },
    measure::engine::Engine,
    names::{DataCentre, EndpointId, Pool},
    wire::EndpointDigest,
};

/// An endpoint with the state that its steward holds.
pub struct Endpoint {
    /// Name.
    pub id: EndpointId,
    /// Pool.
    pub pool: Pool,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Position of its steward.
    pub steward: usize,
    /// The engine, or one server of a plain service.
    pub engine: Engine,
    /// Requests that wait.
    pub queue: Queue<usize>,
    /// Requests that run, with the times at which they started.
    pub running: BTreeMap<usize, Time>,
    spec: PoolSpec,
    warmup: Warmup,
}

impl Endpoint {
    /// Creates an endpoint that just started.
    pub fn new(
        id: &str,
        pool: &Pool,
        spec: &PoolSpec,
        data_centre: &DataCentre,
        steward: usize,
    ) -> Self {
        Self {
            id: id.into(),
            pool: pool.clone(),
            data_centre: data_centre.clone(),
            steward,
            engine: Engine::new(spec),
            queue: Queue::default(),
            running: BTreeMap::new(),
            warmup: Warmup::new(spec),
            spec: spec.clone(),
        }
    }

    /// Returns whether models run on it.
    pub fn is_engine(&self) -> bool {
        self.spec.kind == PoolKind::Engine
    }

    /// Returns whether one more request may start.
    pub fn may_start(&self, now: Time) -> bool {
        self.engine.ready_at <= now && self.warmup.may_start(self.running.len() as u32)
    }

    /// Takes in the time to the first byte of an answer.
    pub fn record_first_byte(&mut self, elapsed: Duration) {
        self.warmup.record_first_byte(elapsed);
    }

    /// Counts a request that was answered whole.
    pub fn record_completion(&mut self, now: Time) {
        self.warmup.record_completion(now);
    }

    /// Treats the endpoint as cold.
    pub fn reset_to_cold(&mut self, sign: ColdSign) {
        self.warmup.reset_to_cold(sign);
    }

    /// Returns what its steward tells the others.
    pub fn digest(&self) -> EndpointDigest {
        EndpointDigest {
            endpoint: self.id.to_string(),
            fence: 1,
            pool: self.pool.to_string(),
            data_centre: self.data_centre.to_string(),
            models: self.engine.resident_models().map(ToString::to_string).collect(),
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.warmup.limit(),
            adapters: self.engine.adapters().map(ToString::to_string).collect(),
            loading: self.engine.loading().map(ToString::to_string).collect(),
            free: self.engine.free_bytes(),
        }
    }
}
