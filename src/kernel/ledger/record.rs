//! The record of one endpoint at the platform's service.
//!
//! The steward writes an order to the record before it sends the order, so that the next steward
//! knows which orders may still take effect.

use serde::{Deserialize, Serialize};

use crate::{
    endpoint::OrderKind,
    names::{Adapter, InstanceId, Model},
};

/// A model and one of its adapters.
pub type AdapterKey = (Model, Adapter);

/// The record of one endpoint: its steward and the orders that may still take effect.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Steward of the endpoint, or `None` after a handover.
    pub holder: Option<InstanceId>,
    /// Incarnation of the steward's process.
    pub incarnation: u64,
    /// Fencing number of the steward's term.
    pub fence: u64,
    /// Orders that may still take effect.
    pub intents: Vec<Intent>,
    /// Latest state of the endpoint that the steward knew. Reports of older states are stale.
    #[serde(default)]
    pub floor: StateVersion,
    /// Random number of the last write, by which the writer recognizes its own write.
    pub nonce: u64,
}

/// An order that may still take effect.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Intent {
    /// Id of the order.
    pub order: String,
    /// What the order does.
    pub kind: OrderKind,
    /// Model to load or unload.
    pub model: Model,
    /// Adapter to load or unload, or `None` if the order is for the whole model.
    pub adapter: Option<Adapter>,
    /// Memory that the order may take, in bytes.
    pub bytes: u64,
    /// Incarnation of the endpoint for which the order was planned.
    pub endpoint: u64,
    /// Whether the effect of the order was confirmed, so that only a delayed duplicate of the order
    /// may still arrive.
    #[serde(default)]
    pub settled: bool,
}

/// The version of an endpoint's memory state. Versions are ordered within one incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StateVersion {
    /// Incarnation of the endpoint, or 0 while it is unknown.
    pub incarnation: u64,
    /// Sequence number of the state within the incarnation.
    pub sequence: u64,
}

impl StateVersion {
    /// Returns whether this state is the same as `other` or a later one of its incarnation.
    pub fn covers(self, other: StateVersion) -> bool {
        self.incarnation == other.incarnation && self.sequence >= other.sequence
    }
}

impl EndpointRecord {
    /// Returns whether both records belong to the same term of the same steward.
    pub fn is_same_term(&self, other: &EndpointRecord) -> bool {
        self.fence == other.fence
            && self.holder == other.holder
            && self.incarnation == other.incarnation
    }

    /// Returns the loads that may still be reading from the weight store.
    pub fn open_loads(&self) -> impl Iterator<Item = &Intent> {
        self.intents.iter().filter(|intent| intent.kind == OrderKind::Load && !intent.settled)
    }

    /// Returns whether an unload of the model may still take effect.
    pub fn may_unload(&self, model: &Model) -> bool {
        self.intents.iter().any(|i| i.kind == OrderKind::Unload && i.model == *model)
    }
}
