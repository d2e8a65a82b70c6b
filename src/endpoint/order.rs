//! Orders to engines and the reports that engines give.

use serde::{Deserialize, Serialize};

use crate::names::{Adapter, Model};

/// What an order asks of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a model's weights.
    Load,
    /// Unload a model.
    Unload,
    /// Load an adapter beside its model.
    LoadAdapter,
    /// Unload an adapter.
    UnloadAdapter,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Id, unique over all instances and time.
    pub id: String,
    /// Fencing number of the steward's tenure.
    pub fence: u64,
    /// What to do.
    pub kind: OrderKind,
    /// Model concerned.
    pub model: Model,
    /// Adapter concerned, for adapter orders.
    #[serde(default)]
    pub adapter: Option<Adapter>,
    /// Memory that the model or adapter takes, in bytes.
    pub bytes: u64,
}

/// Answer to an order that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderReply {
    /// Id of the order.
    pub id: String,
    /// Sequence number of the engine's state after the order.
    pub sequence: u64,
    /// Incarnation of the engine.
    pub incarnation: u64,
}

/// A model or adapter that is resident.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Resident {
    /// Model.
    pub model: Model,
    /// Adapter, or `None` for the model itself.
    #[serde(default)]
    pub adapter: Option<Adapter>,
    /// Memory taken, in bytes.
    pub bytes: u64,
}

/// State of an engine at some earlier moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Changes whenever the engine restarts and loses its memory.
    pub incarnation: u64,
    /// Grows with every change of the engine's memory.
    pub sequence: u64,
    /// What is resident.
    pub residents: Vec<Resident>,
    /// Orders that run now.
    pub open: Vec<String>,
    /// Memory not taken, in bytes.
    pub free: u64,
    /// Requests that run now.
    pub running: u32,
}
