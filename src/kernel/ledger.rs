//! The memory ledger of one endpoint.
//!
//! Committed memory is what is resident plus every load that may still land. A load is in the
//! record before it is sent and leaves it only when no copy of it can land any more and a report
//! shows what the last copy did. Reports are ordered against orders by incarnation and sequence
//! number, never by the time at which they come in.

mod adapters;
mod entry;
mod record;
mod view;

use std::{collections::BTreeMap, time::Duration};

pub use self::{
    adapters::{AdapterKey, AdapterLimits, AdapterPool, AdapterStep},
    entry::{Aging, Entry, Progress},
    record::{EndpointRecord, Intent, Mark},
    view::{ReportStatus, View},
};
use super::stewardship::Authority;
use crate::{
    clock::Time,
    endpoint::{Order, OrderKind, OrderReply, Report},
    names::{Adapter, Model},
};

/// Adapter of the order that asks for nothing but the endpoint's state; no adapter has this name.
const NO_ADAPTER: &str = "-";

/// What a ledger depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Memory for the weights of models, in bytes.
    pub weight_bytes: u64,
    /// Memory reserved for adapters, in bytes.
    pub adapter_bytes: u64,
    /// Adapter orders that may run at once.
    pub max_orders: usize,
    /// Time after which an order that was sent can no longer take effect.
    pub order_ttl: Duration,
}

/// Why an order was not planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Denial {
    /// No report of the endpoint's present state was seen.
    #[error("memory is not known")]
    Unknown,
    /// The model is resident.
    #[error("already resident")]
    Resident,
    /// The model is not resident.
    #[error("not resident")]
    Absent,
    /// An order for the model may still take effect.
    #[error("an order for the model is open")]
    Open,
    /// The bytes do not fit beside what is committed.
    #[error("does not fit into free memory")]
    NoRoom,
}

/// What to do next for an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write the record.
    Write,
    /// Read the plan and note with [`Ledger::approve`] or [`Ledger::cancel`] what it says.
    CheckKeeper,
    /// Wait until no request for the model runs.
    Drain,
    /// Send the order, then note what came of it.
    Send(Order),
    /// Nothing until an answer or a report comes.
    Wait,
    /// Nothing was sent and this node may send nothing: the order is dropped.
    Abandon,
    /// The effect is confirmed, or the order is gone.
    Done,
}

/// The memory ledger of one endpoint, kept by its steward.
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    fence: u64,
    view: View,
    entries: Vec<Entry>,
    record_write: Option<(Vec<Intent>, u64)>,
    pool: AdapterPool,
}

impl Ledger {
    /// Creates the ledger of a new steward; every order of the record may still take effect.
    pub fn from_record(limits: LedgerLimits, record: &EndpointRecord, now: Time) -> Self {
        let progress = Progress::GivenUp { at: now };
        let LedgerLimits { adapter_bytes: bytes, max_orders: orders, order_ttl: life, .. } = limits;
        let first = record.fence == 1;
        let pool = AdapterPool::new(AdapterLimits { bytes, orders, life }, first, now);
        let entries = record.intents.iter().cloned().map(|intent| Entry { intent, progress });
        Self {
            limits,
            fence: record.fence,
            view: View::inherit(record.floor),
            entries: entries.collect(),
            record_write: None,
            pool,
        }
    }

    /// Decides what to do for a request that needs an adapter of `bytes`; `id` names the order
    /// that may be sent for it.
    pub fn next_adapter_step(
        &mut self,
        key: &AdapterKey,
        bytes: u64,
        id: String,
        duty: Authority,
        now: Time,
    ) -> AdapterStep {
        let (kind, model) = (OrderKind::LoadAdapter, key.0.clone());
        let blank = Order { id, fence: self.fence, kind, model, adapter: None, bytes };
        let allowed = duty == Authority::Full && self.view.has(&key.0) && !self.may_unload(&key.0);
        self.pool.want(key, bytes, allowed.then_some(blank), &self.view, now)
    }

    /// Notes the answer to an adapter order, or that it is lost.
    pub fn record_adapter_response(
        &mut self,
        order: &Order,
        reply: Option<&OrderReply>,
        now: Time,
    ) {
        let mark = reply.map(|r| Mark { incarnation: r.incarnation, sequence: r.sequence });
        if let Some(mark) = mark {
            self.view.answered(mark);
        }
        self.pool.answered(order, mark, now);
    }

    /// Lets an adapter go that a request used.
    pub fn release_adapter(&mut self, key: &AdapterKey) {
        self.pool.release(key);
    }

    /// Returns the adapters that requests may use.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterKey> {
        self.pool.resident()
    }

    /// Plans a load.
    pub fn plan_load(&mut self, order: String, model: Model, bytes: u64) -> Result<(), Denial> {
        if !self.view.is_current() {
            return Err(Denial::Unknown);
        }
        if self.view.has(&model) {
            return Err(Denial::Resident);
        }
        let conflicts = |entry: &Entry| {
            entry.intent.model == model
                && (entry.intent.kind != OrderKind::Load || !entry.intent.settled)
        };
        if self.entries.iter().any(conflicts) {
            return Err(Denial::Open);
        }
        if bytes > self.free() {
            return Err(Denial::NoRoom);
        }
        self.plan(order, OrderKind::Load, model, bytes);
        Ok(())
    }

    /// Plans an unload.
    pub fn plan_unload(&mut self, order: String, model: Model) -> Result<(), Denial> {
        if !self.view.is_current() {
            return Err(Denial::Unknown);
        }
        if !self.view.has(&model) {
            return Err(Denial::Absent);
        }
        if self.may_unload(&model) {
            return Err(Denial::Open);
        }
        self.plan(order, OrderKind::Unload, model, 0);
        Ok(())
    }

    fn plan(&mut self, order: String, kind: OrderKind, model: Model, bytes: u64) {
        let endpoint = self.view.floor().incarnation;
        let intent = Intent { order, kind, model, adapter: None, bytes, endpoint, settled: false };
        self.entries.push(Entry { intent, progress: Progress::Planned });
    }

    /// Returns what to do next for an order, `running` being the model's requests there.
    pub fn next_step(&mut self, order: &str, duty: Authority, running: usize) -> Step {
        let fence = self.fence;
        let Some(entry) = self.entry(order) else { return Step::Done };
        if entry.is_unsent() && duty != Authority::Full {
            self.cancel(order);
            return Step::Abandon;
        }
        match (entry.progress, entry.intent.kind) {
            (Progress::Planned, _) => Step::Write,
            (Progress::Recorded, OrderKind::Unload) => Step::CheckKeeper,
            (Progress::Cleared, _) if running > 0 => Step::Drain,
            (Progress::Recorded | Progress::Cleared, _) => {
                entry.progress = Progress::Sent;
                Step::Send(order_of(&entry.intent, fence))
            }
            _ if entry.intent.settled => Step::Done,
            _ => Step::Wait,
        }
    }

    /// Notes that a record with these intents was written.
    pub fn record_write(&mut self, record: &EndpointRecord) {
        for intent in &record.intents {
            if let Some(entry) = self.entry(&intent.order)
                && entry.progress == Progress::Planned
            {
                entry.progress = Progress::Recorded;
            }
        }
        self.record_write = Some((record.intents.clone(), record.floor.incarnation));
    }

    /// Notes that a write of the record may or may not have happened.
    pub fn record_lost_write(&mut self) {
        self.record_write = None;
    }

    /// Notes that the plan allows a recorded unload.
    pub fn approve(&mut self, order: &str) {
        if let Some(entry) = self.entry(order)
            && entry.progress == Progress::Recorded
        {
            entry.progress = Progress::Cleared;
        }
    }

    /// Drops an order that was not sent and returns whether it was dropped.
    pub fn cancel(&mut self, order: &str) -> bool {
        let before = self.entries.len();
        self.entries.retain(|entry| entry.intent.order != order || !entry.is_unsent());
        self.entries.len() < before
    }

    /// Notes the endpoint's answer to an order.
    pub fn record_response(&mut self, reply: &OrderReply, now: Time) {
        let mark = Mark { incarnation: reply.incarnation, sequence: reply.sequence };
        self.view.answered(mark);
        self.progress(&reply.id, Progress::Answered { mark, at: now });
    }

    /// Notes that the endpoint refused an order.
    pub fn record_refusal(&mut self, order: &str, now: Time) {
        self.progress(order, Progress::Refused { at: now });
    }

    /// Notes that no answer to an order is awaited any more.
    pub fn record_no_response(&mut self, order: &str, now: Time) {
        self.progress(order, Progress::GivenUp { at: now });
    }

    fn progress(&mut self, order: &str, progress: Progress) {
        if let Some(entry) = self.entry(order)
            && entry.progress == Progress::Sent
        {
            entry.progress = progress;
        }
        self.settle();
    }

    /// Takes in a report.
    pub fn apply_report(&mut self, report: &Report, now: Time) -> ReportStatus {
        let sight = self.view.take(report, self.limits.order_ttl, now);
        self.pool.reconcile(&self.view, now);
        self.settle();
        sight
    }

    fn settle(&mut self) {
        for entry in &mut self.entries {
            entry.settle(&self.view);
        }
    }

    /// Drops the orders that can take effect no more and whose effect is known.
    pub fn remove_closed(&mut self, now: Time) {
        let (view, life) = (&self.view, self.limits.order_ttl);
        self.entries.retain(|entry| entry.age(view, life, now) != Aging::Over);
    }

    /// Returns the order that only asks for the endpoint's state, where orders have outlived
    /// their life and the state since then is not known.
    pub fn probe(&self, id: String, now: Time) -> Option<Order> {
        let expired =
            |entry: &&Entry| entry.age(&self.view, self.limits.order_ttl, now) == Aging::Expired;
        let entry = self.entries.iter().find(expired)?;
        Some(Order {
            id,
            fence: self.fence,
            kind: OrderKind::UnloadAdapter,
            model: entry.intent.model.clone(),
            adapter: Some(Adapter::from(NO_ADAPTER)),
            bytes: 0,
        })
    }

    /// Notes the answer to a probe that was sent at `sent`.
    pub fn record_probe_response(&mut self, reply: &OrderReply, sent: Time) {
        let mark = Mark { incarnation: reply.incarnation, sequence: reply.sequence };
        let (view, life) = (&self.view, self.limits.order_ttl);
        for entry in &mut self.entries {
            if entry.age(view, life, sent) == Aging::Expired {
                entry.progress = Progress::Fenced { mark };
            }
        }
        self.view.answered(mark);
        self.settle();
    }

    /// Returns whether the record no longer says what this ledger knows.
    pub fn is_dirty(&self) -> bool {
        let incarnation = self.view.floor().incarnation;
        self.record_write.as_ref().is_none_or(|(intents, written)| {
            *written != incarnation || !intents.iter().eq(self.intents())
        })
    }

    /// Returns a record with what this ledger knows.
    pub fn record(&self, base: &EndpointRecord) -> EndpointRecord {
        let intents = self.intents().cloned().collect();
        EndpointRecord { intents, floor: self.view.floor(), ..base.clone() }
    }

    /// Returns the orders that may still take effect.
    pub fn intents(&self) -> impl Iterator<Item = &Intent> {
        self.entries.iter().map(|entry| &entry.intent)
    }

    /// Returns the bytes that are taken or may still be taken.
    pub fn committed(&self) -> u64 {
        let resident: u64 = self.view.residents().iter().flat_map(|r| r.values()).sum();
        resident + self.intents().map(|intent| self.may_take(intent)).sum::<u64>()
    }

    /// Returns the bytes that an order may still take beside what is resident.
    fn may_take(&self, intent: &Intent) -> u64 {
        let load = intent.kind == OrderKind::Load;
        if load && !self.view.has(&intent.model) { intent.bytes } else { 0 }
    }

    /// Returns the bytes that a new load may take; none while the memory is not known.
    pub fn free(&self) -> u64 {
        if self.view.residents().is_none() {
            return 0;
        }
        self.limits.weight_bytes.saturating_sub(self.committed())
    }

    /// Returns the resident models to which requests may be sent.
    pub fn dispatchable_models(&self) -> impl Iterator<Item = &Model> {
        let residents = self.view.residents().into_iter().flat_map(BTreeMap::keys);
        residents.filter(|model| !self.may_unload(model))
    }

    /// Returns the models with an unconfirmed load.
    pub fn loading_models(&self) -> impl Iterator<Item = &Model> {
        let open = |i: &&Intent| i.kind == OrderKind::Load && !i.settled;
        self.intents().filter(open).map(|intent| &intent.model)
    }

    /// Returns whether an unload of the model may still take effect.
    pub fn may_unload(&self, model: &Model) -> bool {
        self.intents().any(|i| i.kind == OrderKind::Unload && i.model == *model)
    }

    /// Returns whether an order awaits its answer or its confirmation.
    pub fn is_busy(&self) -> bool {
        self.intents().any(|intent| !intent.settled)
    }

    fn entry(&mut self, order: &str) -> Option<&mut Entry> {
        self.entries.iter_mut().find(|entry| entry.intent.order == order)
    }
}

fn order_of(intent: &Intent, fence: u64) -> Order {
    Order {
        id: intent.order.clone(),
        fence,
        kind: intent.kind,
        model: intent.model.clone(),
        adapter: intent.adapter.clone(),
        bytes: intent.bytes,
    }
}
