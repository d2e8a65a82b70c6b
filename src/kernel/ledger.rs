//! The memory ledger of one endpoint: what its memory holds and which orders may still change that.
//!
//! The endpoint's steward keeps the ledger in its process. The steward consults the ledger before it
//! sends an order to load or unload a model or an adapter. Requests are routed only to models that
//! the ledger shows as resident.
//!
//! Committed memory is the memory of the resident models plus that of every load that may still
//! take effect. A load is written to the endpoint's record before it is sent. It leaves the record
//! only when neither the order nor a delayed duplicate of it can take effect any more and a report
//! shows the final state. Reports are compared with orders by incarnation and sequence number, not
//! by the time at which they arrive, because reports can be delayed.

mod adapters;
mod entry;
mod planning;
mod record;
mod step;
mod view;

use std::collections::BTreeMap;

pub use self::{
    adapters::{AdapterKey, AdapterLimits, AdapterPool, AdapterStep},
    entry::{Entry, EntryStatus, Progress},
    record::{EndpointRecord, Intent, StateVersion},
    step::{Denial, LedgerLimits, Step},
    view::{MemoryView, ReportStatus},
};
use super::stewardship::Authority;
use crate::{
    clock::Time,
    endpoint::{Order, OrderKind, OrderReply, Report},
    names::{Adapter, Model},
};

/// Adapter named by a probe, an order that changes nothing and returns the endpoint's state.
///
/// No adapter has this name, so unloading it has no effect.
const PROBE_ADAPTER: &str = "-";

/// The memory ledger of one endpoint, kept by its steward.
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    /// Fencing number of the steward's term, which every order carries.
    fence: u64,
    view: MemoryView,
    /// Orders that may still take effect.
    entries: Vec<Entry>,
    /// Intents and endpoint incarnation of the record as last written, or `None` if unknown.
    last_write: Option<(Vec<Intent>, u64)>,
    adapter_pool: AdapterPool,
}

impl Ledger {
    /// Creates the ledger of a new steward from the endpoint's record.
    ///
    /// Every order in the record may have been sent by an earlier steward and may still take
    /// effect.
    pub fn from_record(limits: LedgerLimits, record: &EndpointRecord, now: Time) -> Self {
        let progress = Progress::NoResponse { at: now };
        let LedgerLimits { adapter_bytes, max_orders, order_ttl, .. } = limits;
        let is_first = record.fence == 1;
        let adapter_pool = AdapterPool::new(
            AdapterLimits { max_bytes: adapter_bytes, max_orders, order_ttl },
            is_first,
            now,
        );
        let entries = record.intents.iter().cloned().map(|intent| Entry { intent, progress });
        Self {
            limits,
            fence: record.fence,
            view: MemoryView::from_version(record.floor),
            entries: entries.collect(),
            last_write: None,
            adapter_pool,
        }
    }

    /// Returns the next step for a request that needs an adapter of `bytes`.
    ///
    /// If the step is to send an order, the order gets the id `id`.
    pub fn next_adapter_step(
        &mut self,
        key: &AdapterKey,
        bytes: u64,
        id: String,
        authority: Authority,
        now: Time,
    ) -> AdapterStep {
        let (kind, model) = (OrderKind::LoadAdapter, key.0.clone());
        let template = Order { id, fence: self.fence, kind, model, adapter: None, bytes };
        let allowed =
            authority == Authority::Full && self.view.has_model(&key.0) && !self.may_unload(&key.0);
        self.adapter_pool.next_step(key, bytes, allowed.then_some(template), &self.view, now)
    }

    /// Records the response to an adapter order, or with `None` that no response arrived.
    pub fn record_adapter_response(
        &mut self,
        order: &Order,
        reply: Option<&OrderReply>,
        now: Time,
    ) {
        let version =
            reply.map(|r| StateVersion { incarnation: r.incarnation, sequence: r.sequence });
        if let Some(version) = version {
            self.view.record_response(version);
        }
        self.adapter_pool.record_response(order, version, now);
    }

    /// Releases an adapter that a request no longer uses.
    pub fn release_adapter(&mut self, key: &AdapterKey) {
        self.adapter_pool.release(key);
    }

    /// Returns the resident adapters.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterKey> {
        self.adapter_pool.resident()
    }

    /// Records that `record` was written, so that the orders in it may be sent.
    pub fn record_write(&mut self, record: &EndpointRecord) {
        for intent in &record.intents {
            if let Some(entry) = self.entry_mut(&intent.order)
                && entry.progress == Progress::Planned
            {
                entry.progress = Progress::Recorded;
            }
        }
        self.last_write = Some((record.intents.clone(), record.floor.incarnation));
    }

    /// Records that it is unknown whether a write of the record took effect.
    pub fn record_lost_write(&mut self) {
        self.last_write = None;
    }

    /// Records the endpoint's response to an order.
    pub fn record_response(&mut self, reply: &OrderReply, now: Time) {
        let version = StateVersion { incarnation: reply.incarnation, sequence: reply.sequence };
        self.view.record_response(version);
        self.set_progress(&reply.id, Progress::Responded { version, at: now });
    }

    /// Records that the endpoint refused an order.
    pub fn record_refusal(&mut self, order: &str, now: Time) {
        self.set_progress(order, Progress::Refused { at: now });
    }

    /// Records that the steward no longer waits for a response to an order.
    pub fn record_no_response(&mut self, order: &str, now: Time) {
        self.set_progress(order, Progress::NoResponse { at: now });
    }

    /// Sets the progress of an order that was sent and has no outcome yet.
    fn set_progress(&mut self, order: &str, progress: Progress) {
        if let Some(entry) = self.entry_mut(order)
            && entry.progress == Progress::Sent
        {
            entry.progress = progress;
        }
        self.confirm_entries();
    }

    /// Applies a report of the endpoint and returns how the report relates to what was known.
    pub fn apply_report(&mut self, report: &Report, now: Time) -> ReportStatus {
        let status = self.view.apply_report(report, self.limits.order_ttl, now);
        self.adapter_pool.reconcile(&self.view, now);
        self.confirm_entries();
        status
    }

    /// Marks the orders whose effect the view confirms as settled.
    fn confirm_entries(&mut self) {
        for entry in &mut self.entries {
            entry.update_settled(&self.view);
        }
    }

    /// Drops the orders that can no longer take effect and whose effect is known.
    pub fn remove_closed(&mut self, now: Time) {
        let (view, order_ttl) = (&self.view, self.limits.order_ttl);
        self.entries.retain(|entry| entry.status(view, order_ttl, now) != EntryStatus::Closed);
    }

    /// Returns a probe, an order that only asks for the endpoint's state, or `None` if none is
    /// needed.
    ///
    /// A probe is needed when an order has passed its TTL and the state since then is unknown.
    pub fn probe(&self, id: String, now: Time) -> Option<Order> {
        let expired = |entry: &&Entry| {
            entry.status(&self.view, self.limits.order_ttl, now) == EntryStatus::Expired
        };
        let entry = self.entries.iter().find(expired)?;
        Some(Order {
            id,
            fence: self.fence,
            kind: OrderKind::UnloadAdapter,
            model: entry.intent.model.clone(),
            adapter: Some(Adapter::from(PROBE_ADAPTER)),
            bytes: 0,
        })
    }

    /// Records the response to a probe that was sent at `sent`.
    pub fn record_probe_response(&mut self, reply: &OrderReply, sent: Time) {
        let version = StateVersion { incarnation: reply.incarnation, sequence: reply.sequence };
        let (view, order_ttl) = (&self.view, self.limits.order_ttl);
        for entry in &mut self.entries {
            if entry.status(view, order_ttl, sent) == EntryStatus::Expired {
                entry.progress = Progress::Fenced { version };
            }
        }
        self.view.record_response(version);
        self.confirm_entries();
    }

    /// Returns whether the record must be written, because this ledger has changed since the last
    /// write or the outcome of that write is unknown.
    pub fn is_dirty(&self) -> bool {
        let incarnation = self.view.latest().incarnation;
        self.last_write.as_ref().is_none_or(|(intents, written_incarnation)| {
            *written_incarnation != incarnation || !intents.iter().eq(self.intents())
        })
    }

    /// Returns a record with this ledger's orders and latest known state, and the other fields of
    /// `base`.
    pub fn record(&self, base: &EndpointRecord) -> EndpointRecord {
        let intents = self.intents().cloned().collect();
        EndpointRecord { intents, floor: self.view.latest(), ..base.clone() }
    }

    /// Returns the orders that may still take effect.
    pub fn intents(&self) -> impl Iterator<Item = &Intent> {
        self.entries.iter().map(|entry| &entry.intent)
    }

    /// Returns the bytes of the resident models and of the loads that may still take effect.
    pub fn committed_bytes(&self) -> u64 {
        let resident: u64 = self.view.residents().iter().flat_map(|r| r.values()).sum();
        resident + self.intents().map(|intent| self.pending_bytes(intent)).sum::<u64>()
    }

    /// Returns the bytes that an order may add to those of the resident models.
    fn pending_bytes(&self, intent: &Intent) -> u64 {
        let is_load = intent.kind == OrderKind::Load;
        if is_load && !self.view.has_model(&intent.model) { intent.bytes } else { 0 }
    }

    /// Returns the bytes that a new load may take, which is 0 while the memory is unknown.
    pub fn free_bytes(&self) -> u64 {
        if self.view.residents().is_none() {
            return 0;
        }
        self.limits.weight_bytes.saturating_sub(self.committed_bytes())
    }

    /// Returns the resident models that no order may unload, to which requests may be sent.
    pub fn dispatchable_models(&self) -> impl Iterator<Item = &Model> {
        let residents = self.view.residents().into_iter().flat_map(BTreeMap::keys);
        residents.filter(|model| !self.may_unload(model))
    }

    /// Returns the models whose load is not confirmed yet.
    pub fn loading_models(&self) -> impl Iterator<Item = &Model> {
        let is_open_load = |i: &&Intent| i.kind == OrderKind::Load && !i.settled;
        self.intents().filter(is_open_load).map(|intent| &intent.model)
    }

    /// Returns whether an unload of the model may still take effect.
    pub fn may_unload(&self, model: &Model) -> bool {
        self.intents().any(|i| i.kind == OrderKind::Unload && i.model == *model)
    }

    /// Returns whether an order still waits for its response or for the report that confirms it.
    pub fn is_busy(&self) -> bool {
        self.intents().any(|intent| !intent.settled)
    }

    /// Returns the entry of an order, or `None` if the ledger does not hold it.
    fn entry_mut(&mut self, order: &str) -> Option<&mut Entry> {
        self.entries.iter_mut().find(|entry| entry.intent.order == order)
    }
}
