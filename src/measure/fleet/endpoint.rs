//! An endpoint of the simulation: its fake engine and the state that its steward keeps.

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

/// A simulated endpoint with the state that its steward keeps.
pub struct Endpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Pool to which the endpoint belongs.
    pub pool: Pool,
    /// Data centre in which the endpoint is.
    pub data_centre: DataCentre,
    /// Position of the instance that is the endpoint's steward.
    pub steward: usize,
    /// The fake engine, which also stands for a server of a plain service.
    pub engine: Engine,
    /// Positions, in the trace, of the requests that wait.
    pub queue: Queue<usize>,
    /// Positions of the running requests, with their start times.
    pub running: BTreeMap<usize, Time>,
    spec: PoolSpec,
    warmup: Warmup,
}

impl Endpoint {
    /// Creates an endpoint that just started and is cold.
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

    /// Returns whether the endpoint is an engine, which runs models.
    pub fn is_engine(&self) -> bool {
        self.spec.kind == PoolKind::Engine
    }

    /// Returns whether another request may start at `now`.
    pub fn may_start(&self, now: Time) -> bool {
        self.engine.ready_at <= now && self.warmup.may_start(self.running.len() as u32)
    }

    /// Records the time to the first byte of a response.
    pub fn record_first_byte(&mut self, elapsed: Duration) {
        self.warmup.record_first_byte(elapsed);
    }

    /// Records that a response is whole.
    pub fn record_completion(&mut self, now: Time) {
        self.warmup.record_completion(now);
    }

    /// Treats the endpoint as cold from now on.
    pub fn reset_to_cold(&mut self, sign: ColdSign) {
        self.warmup.reset_to_cold(sign);
    }

    /// Returns the part of the steward's digest that describes the endpoint.
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
