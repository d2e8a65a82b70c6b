//! What the ledger lets the steward do next, and why it plans no order.

use std::time::Duration;

use crate::endpoint::Order;

/// Limits of an endpoint's memory and of the orders to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Memory for model weights, in bytes.
    pub weight_bytes: u64,
    /// Memory reserved for adapters, in bytes.
    pub adapter_bytes: u64,
    /// Largest number of adapter orders in progress at the same time.
    pub max_orders: usize,
    /// Time after sending at which an order can no longer take effect.
    pub order_ttl: Duration,
}

/// The reason why the ledger did not plan an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Denial {
    /// No report has shown the endpoint's current state yet.
    #[error("memory is not known")]
    MemoryUnknown,
    /// The model to load is already resident.
    #[error("already resident")]
    AlreadyResident,
    /// The model to unload is not resident.
    #[error("not resident")]
    NotResident,
    /// An earlier order for the model may still take effect.
    #[error("an order for the model is open")]
    OrderPending,
    /// The model does not fit beside the committed memory.
    #[error("does not fit into free memory")]
    NoRoom,
}

/// The next step of an order, to be carried out by the steward.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write the endpoint's record, so that the record contains the order.
    Write,
    /// Read the placement plan. If the plan names another endpoint as the model's keeper, call
    /// [`Ledger::approve`], and otherwise [`Ledger::cancel`].
    CheckKeeper,
    /// Wait until the endpoint runs no request for the model.
    Drain,
    /// Send the order, then record its outcome in the ledger.
    Send(Order),
    /// Wait until a response or a report arrives.
    Wait,
    /// Give up: the ledger dropped the order before it was sent, because this instance may send no
    /// orders now.
    Abandon,
    /// Stop: the effect of the order is confirmed, or the ledger no longer holds the order.
    Done,
}
