//! State of the orders to one engine, without the engine's models.

use std::{collections::VecDeque, sync::Arc};

use super::Command;
use crate::clock::Time;

/// Number of an order, which no other order of the same scheduler has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OrderId(pub u64);

/// Gives each order of a scheduler a number.
#[derive(Clone, Debug, Default)]
pub struct OrderIds {
    last: u64,
}

impl OrderIds {
    /// Returns a new number.
    fn next(&mut self) -> OrderId {
        self.last += 1;
        OrderId(self.last)
    }
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Number of the order, by which its result is recognized.
    pub id: OrderId,
    /// What the engine must do.
    pub command: Command,
    /// Number of orders that the engine must have accepted before; otherwise it refuses the order.
    pub expected: u64,
}

impl Order {
    /// Creates an order with a new number.
    pub(super) fn new(ids: &mut OrderIds, command: Command, expected: u64) -> Self {
        Self { id: ids.next(), command, expected }
    }
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine is carrying out the order.
    Accepted,
    /// The engine was already in the ordered state.
    Holds,
    /// Another order is being carried out, or the engine has accepted orders unknown to the sender.
    Conflict,
    /// The engine refused the order, and a retry is of no use.
    Refused,
    /// No response arrived; the order may still be carried out.
    Lost,
}

/// What to do next at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Do nothing.
    Nothing,
    /// Send an order.
    Send(Order),
    /// Read the engine's report.
    Report,
}

/// State of the orders to one engine.
#[derive(Clone, Debug, Default)]
pub struct OrderState {
    /// Order whose result is pending, and when it was sent.
    pub(super) pending: Option<(Order, Time)>,
    /// When the pending report was requested.
    pub(super) report_since: Option<Time>,
    /// Adapters that queued requests need.
    pub(super) wanted_adapters: VecDeque<(Arc<str>, Arc<str>)>,
    /// Whether a report must be read before the next order.
    pub(super) needs_report: bool,
    /// Consecutive conflicts.
    pub(super) conflicts: u32,
    /// Consecutive lost responses.
    pub(super) lost_responses: u32,
    /// Whether a report showed an order being carried out that this scheduler did not send.
    pub(super) foreign_order: bool,
    /// No order is sent and no report read before this time.
    pub(super) next_at: Time,
    /// When it was last looked whether a report must show which adapters have arrived.
    pub(super) checked_at: Time,
    /// When the last order was accepted.
    pub(super) accepted_at: Time,
}

impl OrderState {
    /// Returns the state in which another scheduler begins to send orders. What this one knows to be
    /// accepted stays known.
    pub(super) fn restarted(&self) -> Self {
        Self { accepted_at: self.accepted_at, ..Self::default() }
    }

    /// Takes the pending order if it is this one. The result of another order, which was given up or
    /// sent before a change of who gives orders, says that the engine may have accepted an order that
    /// is not counted, so a report is required.
    pub(super) fn take_pending(&mut self, id: OrderId) -> Option<Order> {
        if self.pending.as_ref().is_some_and(|(pending, _)| pending.id == id) {
            return self.pending.take().map(|(order, _)| order);
        }
        self.require_report();
        None
    }

    /// Requires a report before the next order, since the engine is not in the expected state.
    pub(super) fn require_report(&mut self) {
        self.needs_report = true;
    }
}
