//! Settings and faults of an engine stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::endpoint::OrderKind;

/// Properties of an engine stand-in, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Size of the memory in megabytes.
    pub memory_mb: u64,
    /// Models that are resident after every start, each with its size in megabytes.
    pub preload: Vec<(String, u64)>,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Time between two tokens of one request, in milliseconds.
    pub token_ms: u64,
    /// Time to the first token, in milliseconds.
    pub first_ms: u64,
    /// Time to load a model, in milliseconds.
    pub load_ms: u64,
    /// Time to load an adapter, in milliseconds.
    pub adapter_ms: u64,
    /// Number of requests that a cold engine can run at once without a crash; zero for no limit.
    pub cold_limit: u32,
    /// Number of completed requests after which the engine is warm.
    pub warm_after: u64,
    /// Time that a restart takes, in milliseconds.
    pub restart_ms: u64,
    /// Age of the state that reports show, in milliseconds.
    pub lag_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            memory_mb: 80_000,
            preload: Vec::new(),
            fencing: true,
            token_ms: 5,
            first_ms: 10,
            load_ms: 200,
            adapter_ms: 5,
            cold_limit: 0,
            warm_after: 20,
            restart_ms: 500,
            lag_ms: 0,
        }
    }
}

impl EngineSettings {
    /// Returns how long an order takes.
    pub fn order_time(&self, kind: OrderKind) -> Duration {
        let ms = match kind {
            OrderKind::Load => self.load_ms,
            OrderKind::LoadAdapter => self.adapter_ms,
            OrderKind::Unload | OrderKind::UnloadAdapter => 1,
        };
        Duration::from_millis(ms)
    }
}

/// Faults of an engine stand-in, which tests set while it runs.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Whether the engine refuses all requests.
    pub down: bool,
    /// Number of tokens after which each stream is cut off; zero for never.
    pub cut_after: u64,
    /// Number of tokens of a stream after which the engine restarts; zero for never.
    pub die_after: u64,
    /// Number of tokens after which each stream sends nothing more; zero for never.
    pub stall_after: u64,
    /// Whether responses name another request.
    pub cross: bool,
    /// Wait before each response, in milliseconds.
    pub late_ms: u64,
    /// Text in the body of requests that make the engine restart; empty for none.
    pub crash_on: String,
    /// Whether orders are never executed.
    pub lose_orders: bool,
    /// Whether orders are executed but never replied to.
    pub mute_orders: bool,
    /// Wait before an order is executed, in milliseconds.
    pub late_orders_ms: u64,
    /// Age of the state that reports show, in milliseconds.
    pub lag_ms: u64,
}
