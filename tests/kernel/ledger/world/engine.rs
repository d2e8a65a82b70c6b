//! A fake engine with its actual memory, whose reports can be delayed.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    endpoint::{Order, OrderKind, OrderReply, Report, Resident},
    names::Model,
};

/// A fake engine.
pub struct Engine {
    pub incarnation: u64,
    pub sequence: u64,
    /// Highest fencing number of an order so far.
    pub fence: u64,
    /// Whether the engine rejects orders with a lower fencing number.
    pub enforces_fencing: bool,
    pub residents: BTreeMap<Model, u64>,
    /// Loads in progress: the time of completion, the order, and the steward that gets the response.
    pub(super) loading: Vec<(Time, Order, Option<usize>)>,
    /// All reports so far, with the times from which on they were current.
    pub(super) history: Vec<(Time, Report)>,
    pub report_lag: Duration,
    /// Whether every second report is as old as [`STALE_AGE`].
    pub stale_reports: bool,
    pub no_reports: bool,
}

/// Age of a stale report, longer than the TTL of an order.
const STALE_AGE: Duration = Duration::from_secs(40);

/// Duration of a load, which takes its memory from the start.
pub const LOAD_TIME: Duration = Duration::from_secs(3);

impl Engine {
    /// Applies an order, and returns the response unless the order starts a load or is rejected.
    ///
    /// `responds_to` is the steward that gets the response when the load completes.
    pub(super) fn apply(
        &mut self,
        order: &Order,
        responds_to: Option<usize>,
        now: Time,
    ) -> Option<OrderReply> {
        if self.enforces_fencing && order.fence < self.fence {
            return None;
        }
        self.fence = self.fence.max(order.fence);
        let starts_load =
            order.kind == OrderKind::Load && !self.residents.contains_key(&order.model);
        if starts_load {
            if !self.loading.iter().any(|(_, other, _)| other.id == order.id) {
                self.loading.push((now + LOAD_TIME, order.clone(), responds_to));
            }
            return None;
        }
        if order.kind == OrderKind::Unload {
            self.residents.remove(&order.model);
        }
        Some(self.respond(order))
    }

    /// Ends the loads that are complete, and returns each response with the steward that gets it.
    pub(super) fn finish(&mut self, now: Time) -> Vec<(OrderReply, usize)> {
        let complete: Vec<_> = self.loading.extract_if(.., |(due, ..)| *due <= now).collect();
        let responses = complete.into_iter().map(|(_, order, responds_to)| {
            self.residents.insert(order.model.clone(), order.bytes);
            (self.respond(&order), responds_to)
        });
        responses.filter_map(|(reply, responds_to)| Some((reply, responds_to?))).collect()
    }

    /// Returns the response to an order that took effect, with the new state of the memory.
    fn respond(&mut self, order: &Order) -> OrderReply {
        self.sequence += 1;
        let (sequence, incarnation) = (self.sequence, self.incarnation);
        OrderReply { id: order.id.clone(), sequence, incarnation }
    }

    /// Returns the memory taken by resident models and by loads in progress.
    pub fn memory(&self) -> u64 {
        let loading = self.loading.iter().map(|(_, order, _)| order.bytes);
        self.residents.values().copied().chain(loading).sum()
    }

    /// Returns the report that a steward gets at `now`, which may be an old one.
    pub(super) fn report(&self, now: Time) -> Option<Report> {
        let is_stale = self.stale_reports && (now.0 / 1_000_000).is_multiple_of(2);
        let lag = if is_stale { STALE_AGE } else { self.report_lag };
        let found = self.history.iter().rev().find(|(at, _)| now.since(*at) >= lag);
        found.map(|(_, report)| report.clone()).filter(|_| !self.no_reports)
    }

    /// Adds a report of the current state to the history if the state has changed.
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
