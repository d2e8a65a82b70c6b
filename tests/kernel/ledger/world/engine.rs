//! The engine: its true memory, and reports with a lag.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    endpoint::{Order, OrderKind, OrderReply, Report, Resident},
    names::Model,
};

/// The engine: true memory, and reports with a lag.
pub struct Engine {
    pub incarnation: u64,
    pub sequence: u64,
    pub fence: u64,
    pub fencing: bool,
    pub residents: BTreeMap<Model, u64>,
    pub(super) history: Vec<(Time, Report)>,
    pub lag: Duration,
    /// Whether every other report is as old as [`STALE`].
    pub stale: bool,
    pub silent: bool,
}

/// Age of a stale report; longer than the life of an order.
const STALE: Duration = Duration::from_secs(40);

impl Engine {
    pub(super) fn apply(&mut self, order: &Order) -> Option<OrderReply> {
        if self.fencing && order.fence < self.fence {
            return None;
        }
        self.fence = self.fence.max(order.fence);
        match order.kind {
            OrderKind::Load => _ = self.residents.insert(order.model.clone(), order.bytes),
            OrderKind::Unload => _ = self.residents.remove(&order.model),
            _ => {}
        }
        self.sequence += 1;
        let (sequence, incarnation) = (self.sequence, self.incarnation);
        Some(OrderReply { id: order.id.clone(), sequence, incarnation })
    }

    pub fn memory(&self) -> u64 {
        self.residents.values().sum()
    }

    pub(super) fn report(&self, now: Time) -> Option<Report> {
        let turn = self.stale && (now.0 / 1_000_000).is_multiple_of(2);
        let lag = if turn { STALE } else { self.lag };
        let old = self.history.iter().rev().find(|(at, _)| now.since(*at) >= lag);
        old.map(|(_, report)| report.clone()).filter(|_| !self.silent)
    }

    pub(super) fn note(&mut self, now: Time) {
        let residents = self.residents.iter().map(|(model, bytes)| Resident {
            model: model.clone(),
            adapter: None,
            bytes: *bytes,
        });
        let report = Report {
            incarnation: self.incarnation,
            sequence: self.sequence,
            residents: residents.collect(),
            ..Report::default()
        };
        if self.history.last().is_none_or(|(_, last)| *last != report) {
            self.history.push((now, report));
        }
    }
}
