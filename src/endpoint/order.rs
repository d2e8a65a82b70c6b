//! Orders to engines, and the engines' load reports.

use serde::{Deserialize, Serialize};

use crate::names::{Adapter, Model};

/// The kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Loads a model's weights.
    Load,
    /// Unloads a model's weights.
    Unload,
    /// Loads an adapter of a model that is loaded.
    LoadAdapter,
    /// Unloads an adapter.
    UnloadAdapter,
}

/// An order to load or unload a model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Id of the order, which no other order has ever had.
    pub id: String,
    /// Fencing number of the steward's term, by which the engine refuses orders of earlier
    /// stewards.
    pub fence: u64,
    /// What the engine must do.
    pub kind: OrderKind,
    /// Model that the order is for.
    pub model: Model,
    /// Adapter that the order is for; `None` if it is for the model.
    #[serde(default)]
    pub adapter: Option<Adapter>,
    /// Memory of the model or adapter, in bytes.
    pub bytes: u64,
}

/// Reply of an engine to an order that has taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderReply {
    /// Id of the order.
    pub id: String,
    /// Sequence number of the engine's memory after the order.
    pub sequence: u64,
    /// Incarnation of the engine, which changes with each restart.
    pub incarnation: u64,
}

/// A model or adapter in the memory of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Resident {
    /// Name of the model.
    pub model: Model,
    /// Name of the adapter; `None` for the model itself.
    #[serde(default)]
    pub adapter: Option<Adapter>,
    /// Memory of the model or adapter, in bytes.
    pub bytes: u64,
}

/// Load report of an engine, which may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the engine, which changes when the engine restarts and loses its memory.
    pub incarnation: u64,
    /// Sequence number of the engine's memory, which grows with each change of the residents.
    pub sequence: u64,
    /// Models and adapters in memory.
    pub residents: Vec<Resident>,
    /// Ids of the orders that are being carried out.
    pub open: Vec<String>,
    /// Free memory, in bytes.
    pub free: u64,
    /// Requests that run.
    pub running: u32,
}
