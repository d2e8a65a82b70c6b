//! Orders to one engine, one at a time.
//!
//! Each order states the number of orders that the engine must have accepted before. An order whose
//! response is lost can therefore take effect only while the engine is in the state that the order
//! was made for, and the next order with the same number excludes it.

use std::{sync::Arc, time::Duration};

use super::{
    Command, Endpoint, EngineReport, ModelWork,
    adapter::{AdapterPhase, AdapterState},
    order_state::{Order, OrderId, OrderIds, OrderResult, OrderStep},
};
use crate::{catalog::EngineSpec, clock::Time};

/// Time after which a swap whose load has not been ordered is abandoned.
const SWAP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that an engine needs to unload a model.
const UNLOAD_TIME: Duration = Duration::from_millis(30);

/// Backoff after a conflict or a lost response, before the order is retried.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Backoff after a refused order or a missing report.
const FAILURE_BACKOFF: Duration = Duration::from_millis(350);

/// Consecutive lost responses that are tolerated before a report is read.
const MAX_LOST_RESPONSES: u32 = 3;

/// Interval between reports that are read from an engine whose load should have ended.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time for which a report may lag behind the last accepted order. After that time, a
/// report counts even if it states fewer orders.
const MAX_REPORT_LAG: Duration = Duration::from_millis(800);

/// Time after which an order or a report without a result counts as lost.
const PENDING_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Endpoint {
    /// Records that a queued request needs an adapter.
    pub(super) fn want_adapter(&mut self, model: &Arc<str>, adapter: &Arc<str>) {
        let wanted = (model.clone(), adapter.clone());
        if !self.order_state.wanted_adapters.contains(&wanted) {
            self.order_state.wanted_adapters.push_back(wanted);
        }
    }

    /// Returns whether the load of the request's adapter will be ordered.
    pub(super) fn wants_adapter(&self, work: &ModelWork) -> bool {
        let is_own = |(model, adapter): &(Arc<str>, Arc<str>)| {
            *model == work.model && work.adapter.as_ref() == Some(adapter)
        };
        self.order_state.wanted_adapters.iter().any(is_own)
    }

    /// Returns the next step; the caller carries it out and passes the result back.
    pub fn next_order(&mut self, spec: &EngineSpec, ids: &mut OrderIds, now: Time) -> OrderStep {
        if self.awaits_result(now) || now < self.order_state.next_at || !self.accepts_requests(now)
        {
            return OrderStep::Nothing;
        }
        let is_unclear = self.order_state.needs_report || self.order_state.foreign_order;
        if is_unclear || !self.reported || self.is_unloading_adapter() {
            return self.request_report(now);
        }
        if let Some(command) =
            self.next_adapter_order(spec).or_else(|| self.next_model_order(spec, now))
        {
            let order = Order::new(ids, command, self.order_count);
            self.order_state.pending = Some((order.clone(), now));
            return OrderStep::Send(order);
        }
        let load_ended = self.loading.as_ref().is_some_and(|(_, ready)| *ready <= now);
        if load_ended || self.adapter_report_due(spec, now) {
            return self.request_report(now);
        }
        OrderStep::Nothing
    }

    /// Returns whether an adapter can be unloaded only after a report. Looks each
    /// [`REPORT_INTERVAL`], since that takes time at engines with many requests.
    fn adapter_report_due(&mut self, spec: &EngineSpec, now: Time) -> bool {
        if now.since(self.order_state.checked_at) < REPORT_INTERVAL {
            return false;
        }
        self.order_state.checked_at = now;
        self.needs_adapter_report(spec, now)
    }

    /// Returns the step that reads a report, and records that its result is pending.
    fn request_report(&mut self, now: Time) -> OrderStep {
        self.order_state.report_since = Some(now);
        self.order_state.next_at = now + REPORT_INTERVAL;
        OrderStep::Report
    }

    /// Returns whether the result of an order or a report is pending.
    fn awaits_result(&mut self, now: Time) -> bool {
        if self.order_state.pending.as_ref().is_some_and(|(_, at)| now.since(*at) > PENDING_TIMEOUT)
        {
            self.order_state.pending = None;
            self.order_state.needs_report = true;
        }
        self.order_state.report_since =
            self.order_state.report_since.filter(|at| now.since(*at) < PENDING_TIMEOUT);
        self.order_state.pending.is_some() || self.order_state.report_since.is_some()
    }

    /// Returns the next order for an adapter that a queued request needs, if any.
    fn next_adapter_order(&mut self, spec: &EngineSpec) -> Option<Command> {
        if self.loading.is_some() {
            return None;
        }
        while let Some((model, adapter)) = self.order_state.wanted_adapters.front().cloned() {
            let replica = self.replicas.get(&model);
            if replica.is_none_or(|replica| replica.adapters.contains_key(&adapter)) {
                self.order_state.wanted_adapters.pop_front();
                continue;
            }
            let size_mb = self.held_size(&model, spec).adapter_mb;
            let fits = self.used_weights_mb(spec) + size_mb <= spec.weights_mb;
            if fits && self.adapter_count() < spec.adapter_slots as usize {
                return Some(Command::LoadAdapter { model, adapter });
            }
            let (model, adapter) = self.eviction_candidate()?;
            return Some(Command::UnloadAdapter { model, adapter });
        }
        None
    }

    /// Returns the next order of the planned swap, or `None` if there is none or it must wait.
    fn next_model_order(&mut self, spec: &EngineSpec, now: Time) -> Option<Command> {
        if self.loading.is_some() {
            return None;
        }
        let swap = self.swap.clone()?;
        if now.since(swap.since) > SWAP_TIMEOUT {
            // The runs of the model to unload take long; another engine may be faster.
            self.swap = None;
            return None;
        }
        if self.replicas.contains_key(&swap.load) {
            self.swap = None;
            return None;
        }
        if let Some(model) = swap.unload.iter().find(|model| self.replicas.contains_key(*model)) {
            let idle = self.running_count(model) == 0;
            return idle.then(|| Command::Unload { model: model.clone() });
        }
        let size_mb = spec.models.get(&swap.load)?.weights_mb;
        if self.used_weights_mb(spec) + size_mb > spec.weights_mb {
            self.swap = None;
            return None;
        }
        Some(Command::Load { model: swap.load })
    }

    /// Applies the result of the order `id` if it is the pending one; `ready` is when a load is
    /// expected to end.
    pub fn handle_order_result(
        &mut self,
        id: OrderId,
        result: OrderResult,
        ready: Time,
        now: Time,
    ) {
        let Some(Order { command, .. }) = self.order_state.take_pending(id) else { return };
        if result != OrderResult::Conflict {
            self.order_state.conflicts = 0;
        }
        if result != OrderResult::Lost {
            self.order_state.lost_responses = 0;
        }
        match result {
            OrderResult::Accepted => self.apply_accepted(&command, ready, now),
            // An engine unloads an adapter at once and then responds that the state holds. It
            // responds so without any effect to the unload of an adapter that it does not have,
            // which is therefore never ordered.
            OrderResult::Holds if let Command::UnloadAdapter { model, adapter } = &command => {
                self.order_count += 1;
                self.order_state.accepted_at = now;
                if let Some(replica) = self.replicas.get_mut(model) {
                    replica.adapters.remove(adapter);
                }
            }
            OrderResult::Holds => self.order_state.needs_report = true,
            OrderResult::Conflict => {
                // The first conflict usually means that the previous order is still being carried
                // out; only a second one requires a report.
                self.order_state.needs_report |= self.order_state.conflicts > 0;
                self.order_state.conflicts += 1;
                self.order_state.next_at = now + RETRY_BACKOFF;
            }
            // The order is retried with the same number, so at most one of the two takes effect.
            OrderResult::Lost => {
                self.order_state.needs_report |=
                    self.order_state.lost_responses >= MAX_LOST_RESPONSES;
                self.order_state.lost_responses += 1;
                self.order_state.next_at = now + RETRY_BACKOFF;
            }
            OrderResult::Refused => {
                self.order_state.needs_report = true;
                self.order_state.next_at = now + FAILURE_BACKOFF;
                self.swap = None;
                self.order_state.wanted_adapters.clear();
            }
        }
    }

    /// Applies the effect of an order that the engine accepted.
    fn apply_accepted(&mut self, command: &Command, ready: Time, now: Time) {
        self.order_count += 1;
        self.order_state.accepted_at = now;
        match command {
            Command::Load { model } => {
                self.loading = Some((model.clone(), ready));
                self.last_load = ready;
                self.swap = None;
            }
            Command::Unload { model } => {
                self.record_unload(model, now);
                self.order_state.next_at = now + UNLOAD_TIME;
            }
            Command::LoadAdapter { model, adapter } => {
                let is_other =
                    |wanted: &(Arc<str>, Arc<str>)| (&wanted.0, &wanted.1) != (model, adapter);
                self.order_state.wanted_adapters.retain(is_other);
                let replica = self.replicas.entry(model.clone()).or_default();
                replica.adapters.insert(adapter.clone(), AdapterState::ordered(now));
            }
            // Requests still use the adapter.
            Command::UnloadAdapter { model, adapter } => {
                let replica = self.replicas.get_mut(model);
                if let Some(state) = replica.and_then(|replica| replica.adapters.get_mut(adapter)) {
                    state.phase = AdapterPhase::Unloading;
                }
                self.order_state.next_at = now + REPORT_INTERVAL;
            }
        }
    }

    /// Applies a report, or records that none arrived.
    ///
    /// A report that nobody waits for any more is not applied, nor is one of another incarnation: its
    /// number of orders means nothing to this one.
    pub fn handle_report(&mut self, report: Option<EngineReport>, now: Time) {
        let Some(requested_at) = self.order_state.report_since.take() else { return };
        let is_own = |report: &EngineReport| {
            report.incarnation.is_none_or(|incarnation| incarnation == self.info.incarnation)
        };
        let Some(report) = report.filter(is_own) else {
            self.order_state.next_at = now + FAILURE_BACKOFF;
            return;
        };
        self.record_reachable();
        // The report may have been on its way for long, so its age counts from its request.
        let age_limit = self.order_state.accepted_at + MAX_REPORT_LAG;
        if report.orders < self.order_count && requested_at < age_limit {
            // The report predates the last order, which the engine is known to have accepted.
            self.order_state.needs_report = false;
            self.order_state.next_at = now;
            return;
        }
        self.order_state.foreign_order = report.busy && self.loading.is_none();
        self.order_state.needs_report = false;
        self.apply_report(report, now);
        if !self.order_state.foreign_order && self.loading.is_none() {
            self.order_state.next_at = now;
        }
    }
}
