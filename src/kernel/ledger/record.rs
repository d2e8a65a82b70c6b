//! What the platform's service keeps for one endpoint.

use serde::{Deserialize, Serialize};

use crate::{
    endpoint::OrderKind,
    names::{Adapter, InstanceId, Model},
};

/// The record of one endpoint: its steward and the orders that may still take effect.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Steward, or `None` after a handover.
    pub holder: Option<InstanceId>,
    /// Incarnation of the steward's process.
    pub incarnation: u64,
    /// Fencing number of the steward's tenure.
    pub fence: u64,
    /// Orders that may still take effect.
    pub intents: Vec<Intent>,
    /// Youngest state of the endpoint that the steward knew; older reports are stale.
    #[serde(default)]
    pub floor: Mark,
    /// Random number of the last write, by which its writer recognizes it.
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
    /// Model.
    pub model: Model,
    /// Adapter, for adapter orders.
    pub adapter: Option<Adapter>,
    /// Bytes that the order may take.
    pub bytes: u64,
    /// Incarnation of the endpoint to which it was sent.
    pub endpoint: u64,
    /// Whether the effect was confirmed, so that only a late duplicate can still arrive.
    #[serde(default)]
    pub settled: bool,
}

/// A state of an endpoint's memory, ordered within one incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Mark {
    /// Incarnation of the endpoint; zero while none is known.
    pub incarnation: u64,
    /// Sequence number of the state within the incarnation.
    pub sequence: u64,
}

impl Mark {
    /// Returns whether this state is the other one or a later one of the same incarnation.
    pub fn covers(self, other: Mark) -> bool {
        self.incarnation == other.incarnation && self.sequence >= other.sequence
    }
}

impl EndpointRecord {
    /// Returns whether both records are of the same steward's tenure.
    pub fn is_same_term(&self, other: &EndpointRecord) -> bool {
        self.fence == other.fence
            && self.holder == other.holder
            && self.incarnation == other.incarnation
    }

    /// Returns the loads that may still take memory from the weight store.
    pub fn open_loads(&self) -> impl Iterator<Item = &Intent> {
        self.intents.iter().filter(|intent| intent.kind == OrderKind::Load && !intent.settled)
    }

    /// Returns whether an unload of the model may still take effect.
    pub fn may_unload(&self, model: &Model) -> bool {
        self.intents.iter().any(|i| i.kind == OrderKind::Unload && i.model == *model)
    }
}
