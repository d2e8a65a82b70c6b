//! One order in the ledger, from its plan until neither it nor a duplicate can take effect.
//!
//! The ledger holds one entry for each order to load or unload a model. Adapter orders have no
//! entry; the adapter pool tracks them.

use std::time::Duration;

use super::{Intent, MemoryView, StateVersion};
use crate::{clock::Time, endpoint::OrderKind};

/// The progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The order is planned and not in the endpoint's record yet.
    Planned,
    /// The order is in the record and was not sent.
    Recorded,
    /// The order is an unload in the record that the plan allows. It was not sent.
    Approved,
    /// The order was sent, and nothing is known of its effect.
    Sent,
    /// The endpoint responded with its state after the order.
    Responded {
        /// The endpoint's state after the order.
        version: StateVersion,
        /// When the response arrived.
        at: Time,
    },
    /// The endpoint refused the order.
    Refused {
        /// When the refusal arrived.
        at: Time,
    },
    /// The steward no longer waits for a response, and the order may or may not take effect.
    NoResponse {
        /// When the steward stopped waiting, or read the order from an earlier steward's record.
        at: Time,
    },
    /// The order passed its TTL, and the endpoint responded to a probe that was sent after that. A
    /// report of the state in the response shows what the order and any duplicate of it did.
    Fenced {
        /// The endpoint's state after the probe.
        version: StateVersion,
    },
}

/// An order that may still take effect.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The order as the endpoint's record contains it.
    pub intent: Intent,
    /// The order's progress.
    pub progress: Progress,
}

/// Whether an order may still take effect and whether its effect is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryStatus {
    /// The order may still take effect.
    Open,
    /// The order can no longer take effect, and no state of the endpoint since then is known.
    Expired,
    /// The order can no longer take effect, and a report shows what it did.
    Closed,
}

impl Entry {
    /// Returns whether this instance has certainly not sent the order.
    pub fn is_unsent(&self) -> bool {
        matches!(self.progress, Progress::Planned | Progress::Recorded | Progress::Approved)
    }

    /// Marks the order as settled if the view confirms its effect.
    pub fn update_settled(&mut self, view: &MemoryView) {
        let took_effect = match self.intent.kind {
            OrderKind::Load => view.has_model(&self.intent.model),
            _ => view.is_current() && !view.has_model(&self.intent.model),
        };
        self.intent.settled |= match self.progress {
            Progress::Responded { version, .. } => view.covers(version),
            Progress::Refused { .. } | Progress::Fenced { .. } => true,
            Progress::NoResponse { .. } => took_effect,
            _ => false,
        };
    }

    /// Returns the status of the order at `now`.
    ///
    /// The end of its TTL does not close an order. Reports can be delayed by any time, so a report
    /// that arrives after the TTL may show a state from before it. Only a report of the state that
    /// a later probe returned shows what the order and any duplicate of it did.
    pub fn status(&self, view: &MemoryView, order_ttl: Duration, now: Time) -> EntryStatus {
        match self.progress {
            Progress::Responded { at, .. }
            | Progress::Refused { at }
            | Progress::NoResponse { at } => {
                if now.since(at) < order_ttl {
                    EntryStatus::Open
                } else {
                    EntryStatus::Expired
                }
            }
            Progress::Fenced { version } if view.is_superseded(version.incarnation) => {
                EntryStatus::Expired
            }
            Progress::Fenced { version }
                if view.covers(version) && !view.has_open_order(&self.intent.order) =>
            {
                EntryStatus::Closed
            }
            _ => EntryStatus::Open,
        }
    }
}
