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
    pub enforces_fencing: bool,
    pub residents: BTreeMap<Model, u64>,
    /// Loads in progress, with the steward that awaits the answer.
    pub(super) loading: Vec<(Time, Order, Option<usize>)>,
    pub(super) history: Vec<(Time, Report)>,
    pub report_lag: Duration,
    /// Whether every other report is as old as [`STALE_AGE`].
    pub stale_reports: bool,
    pub no_reports: bool,
}

/// Age of a stale report; longer than the life of an order.
const STALE_AGE: Duration = Duration::from_secs(40);

/// Time that a load takes; its memory is taken from the start.
pub const LOAD_TIME: Duration = Duration::from_secs(3);

impl Engine {
    /// Starts an order; only a load that begins now is not answered at once.
    pub(super) fn apply(
        &mut self,
        order: &Order,
        back: Option<usize>,
        now: Time,
    ) -> Option<OrderReply> {
        if self.enforces_fencing && order.fence < self.fence {
            return None;
        }
        self.fence = self.fence.max(order.fence);
        let begins = order.kind == OrderKind::Load && !self.residents.contains_key(&order.model);
        if begins {
            if !self.loading.iter().any(|(_, other, _)| other.id == order.id) {
                self.loading.push((now + LOAD_TIME, order.clone(), back));
            }
            return None;
        }
        if order.kind == OrderKind::Unload {
            self.residents.remove(&order.model);
        }
        Some(self.respond(order))
    }

    /// Ends the loads whose time has come, and returns the answers with who awaits them.
    pub(super) fn finish(&mut self, now: Time) -> Vec<(OrderReply, usize)> {
        let due: Vec<_> = self.loading.extract_if(.., |(due, ..)| *due <= now).collect();
        let ended = due.into_iter().map(|(_, order, back)| {
            self.residents.insert(order.model.clone(), order.bytes);
            (self.respond(&order), back)
        });
        ended.filter_map(|(reply, back)| Some((reply, back?))).collect()
    }

    fn respond(&mut self, order: &Order) -> OrderReply {
        self.sequence += 1;
        let (sequence, incarnation) = (self.sequence, self.incarnation);
        OrderReply { id: order.id.clone(), sequence, incarnation }
    }

    /// Returns the memory that is taken.
    pub fn memory(&self) -> u64 {
        let loading = self.loading.iter().map(|(_, order, _)| order.bytes);
        self.residents.values().copied().chain(loading).sum()
    }

    pub(super) fn report(&self, now: Time) -> Option<Report> {
        let turn = self.stale_reports && (now.0 / 1_000_000).is_multiple_of(2);
        let lag = if turn { STALE_AGE } else { self.report_lag };
        let old = self.history.iter().rev().find(|(at, _)| now.since(*at) >= lag);
        old.map(|(_, report)| report.clone()).filter(|_| !self.no_reports)
    }

    pub(super) fn record_report(&mut self, now: Time) {
        let residents = self.residents.iter().map(|(model, bytes)| Resident {
            model: model.clone(),
            adapter: None,
            bytes: *bytes,
        });
        let report = Report {
            incarnation: self.incarnation,
            sequence: self.sequence,
            residents: residents.collect(),
            open: self.loading.iter().map(|(_, order, _)| order.id.clone()).collect(),
            ..Report::default()
        };
        if self.history.last().is_none_or(|(_, last)| *last != report) {
            self.history.push((now, report));
        }
    }
}
