//! One order from its plan to the moment when no copy of it can take effect any more.

use std::time::Duration;

use super::{Intent, Mark, View};
use crate::{clock::Time, endpoint::OrderKind};

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It is not in the record yet.
    Planned,
    /// It is in the record.
    Recorded,
    /// It is in the record, and the plan allows the unload.
    Cleared,
    /// It was sent; nothing is known of its effect.
    Sent,
    /// The endpoint stated its state after the order.
    Answered {
        /// The state.
        mark: Mark,
        /// When the answer came.
        at: Time,
    },
    /// The endpoint refused it.
    Refused {
        /// When the answer came.
        at: Time,
    },
    /// No answer is awaited any more.
    GivenUp {
        /// When the connection was given up, or the order was inherited.
        at: Time,
    },
    /// The order's life is over and a later order was answered; a report of that state tells
    /// what a late copy did.
    Fenced {
        /// State after the later order.
        mark: Mark,
    },
}

/// An order that may still take effect.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What the record says of it.
    pub intent: Intent,
    /// How far it has come.
    pub progress: Progress,
}

/// What time and reports make of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aging {
    /// It may still take effect.
    Open,
    /// It can take effect no more, but no state since then is known.
    Expired,
    /// It can take effect no more, and the view shows what it did.
    Over,
}

impl Entry {
    /// Returns whether nothing of the order can have left this node.
    pub fn is_unsent(&self) -> bool {
        matches!(self.progress, Progress::Planned | Progress::Recorded | Progress::Cleared)
    }

    /// Notes whether the view confirms the effect.
    pub fn settle(&mut self, view: &View) {
        let effected = match self.intent.kind {
            OrderKind::Load => view.has(&self.intent.model),
            _ => view.is_current() && !view.has(&self.intent.model),
        };
        self.intent.settled |= match self.progress {
            Progress::Answered { mark, .. } => view.shows(mark),
            Progress::Refused { .. } | Progress::Fenced { .. } => true,
            Progress::GivenUp { .. } => effected,
            _ => false,
        };
    }

    /// Returns what time and reports make of the entry.
    ///
    /// A report can be older than any moment of this clock, so the end of the order's life is not
    /// enough: only the state after a later order's answer shows what the last copy did.
    pub fn age(&self, view: &View, life: Duration, now: Time) -> Aging {
        match self.progress {
            Progress::Answered { at, .. } | Progress::Refused { at } | Progress::GivenUp { at } => {
                if now.since(at) < life {
                    Aging::Open
                } else {
                    Aging::Expired
                }
            }
            Progress::Fenced { mark } if view.is_past(mark.incarnation) => Aging::Expired,
            Progress::Fenced { mark } if view.shows(mark) && !view.runs(&self.intent.order) => {
                Aging::Over
            }
            _ => Aging::Open,
        }
    }
}
