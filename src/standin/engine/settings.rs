//! What an engine stand-in is like and which faults it shows.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::endpoint::OrderKind;

/// What an engine is like.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Models that are resident after every start, with their megabytes.
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
    /// Requests that a cold engine bears at once; zero for no limit.
    pub cold_limit: u32,
    /// Completed requests after which the engine is warm.
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

/// Faults of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Refuses everything.
    pub down: bool,
    /// Cuts each stream after this many tokens; zero for never.
    pub cut_after: u64,
    /// Restarts after this many tokens of a stream; zero for never.
    pub die_after: u64,
    /// Goes silent after this many tokens of a stream; zero for never.
    pub stall_after: u64,
    /// Names another request in its answers.
    pub cross: bool,
    /// Waits before each answer, in milliseconds.
    pub late_ms: u64,
    /// Restarts on requests whose body contains this text; empty for none.
    pub crash_on: String,
    /// Never carries orders out.
    pub lose_orders: bool,
    /// Carries orders out and never answers them.
    pub mute_orders: bool,
    /// Waits before it carries an order out, in milliseconds.
    pub late_orders_ms: u64,
    /// Age of the state that reports show, in milliseconds.
    pub lag_ms: u64,
}
