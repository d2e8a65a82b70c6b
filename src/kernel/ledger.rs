//! The memory ledger of one endpoint.

use serde::{Deserialize, Serialize};

use crate::names::{Adapter, InstanceId, Model};

/// What the platform's service keeps for one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Steward, or `None` after a handover.
    pub holder: Option<InstanceId>,
    /// Incarnation of the steward's process.
    pub incarnation: u64,
    /// Fencing number of the steward's tenure.
    pub fence: u64,
    /// Orders that may still take effect.
    pub intents: Vec<Intent>,
    /// Random number of the last write, by which its writer recognizes it.
    pub nonce: u64,
}

/// An order that may still take effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// Id of the order.
    pub order: String,
    /// Model.
    pub model: Model,
    /// Adapter, for adapter orders.
    pub adapter: Option<Adapter>,
    /// Bytes that the order may take.
    pub bytes: u64,
    /// Incarnation of the endpoint to which it was sent.
    pub endpoint: u64,
}
