//! Plans orders to load and unload models, and says the next step of each.

use super::{Denial, Entry, Intent, Ledger, Progress, Step};
use crate::{
    endpoint::{Order, OrderKind},
    kernel::stewardship::Authority,
    names::Model,
};

impl Ledger {
    /// Plans the order `order` to load a model of `bytes`.
    ///
    /// Fails if the memory is unknown, the model is resident, an order for it may still take
    /// effect, or it does not fit into free memory.
    pub fn plan_load(&mut self, order: String, model: Model, bytes: u64) -> Result<(), Denial> {
        if !self.view.is_current() {
            return Err(Denial::MemoryUnknown);
        }
        if self.view.has_model(&model) {
            return Err(Denial::AlreadyResident);
        }
        let conflicts = |entry: &Entry| {
            entry.intent.model == model
                && (entry.intent.kind != OrderKind::Load || !entry.intent.settled)
        };
        if self.entries.iter().any(conflicts) {
            return Err(Denial::OrderPending);
        }
        if bytes > self.free_bytes() {
            return Err(Denial::NoRoom);
        }
        self.plan(order, OrderKind::Load, model, bytes);
        Ok(())
    }

    /// Plans the order `order` to unload a model.
    ///
    /// Fails if the memory is unknown, the model is not resident, or an unload of it may still take
    /// effect.
    pub fn plan_unload(&mut self, order: String, model: Model) -> Result<(), Denial> {
        if !self.view.is_current() {
            return Err(Denial::MemoryUnknown);
        }
        if !self.view.has_model(&model) {
            return Err(Denial::NotResident);
        }
        if self.may_unload(&model) {
            return Err(Denial::OrderPending);
        }
        self.plan(order, OrderKind::Unload, model, 0);
        Ok(())
    }

    /// Adds an entry for a planned order, which carries the endpoint's latest known incarnation.
    fn plan(&mut self, order: String, kind: OrderKind, model: Model, bytes: u64) {
        let endpoint = self.view.latest().incarnation;
        let intent = Intent { order, kind, model, adapter: None, bytes, endpoint, settled: false };
        self.entries.push(Entry { intent, progress: Progress::Planned });
    }

    /// Returns the next step of an order; `running` is the number of the model's requests that run
    /// at the endpoint.
    pub fn next_step(&mut self, order: &str, authority: Authority, running: usize) -> Step {
        let fence = self.fence;
        let Some(entry) = self.entry_mut(order) else { return Step::Done };
        if entry.is_unsent() && authority != Authority::Full {
            self.cancel(order);
            return Step::Abandon;
        }
        match (entry.progress, entry.intent.kind) {
            (Progress::Planned, _) => Step::Write,
            (Progress::Recorded, OrderKind::Unload) => Step::CheckKeeper,
            (Progress::Approved, _) if running > 0 => Step::Drain,
            (Progress::Recorded | Progress::Approved, _) => {
                entry.progress = Progress::Sent;
                Step::Send(order_from(&entry.intent, fence))
            }
            _ if entry.intent.settled => Step::Done,
            _ => Step::Wait,
        }
    }

    /// Records that the placement plan allows an unload that is already in the endpoint's record.
    pub fn approve(&mut self, order: &str) {
        if let Some(entry) = self.entry_mut(order)
            && entry.progress == Progress::Recorded
        {
            entry.progress = Progress::Approved;
        }
    }

    /// Drops an order unless it was sent, and returns whether it was dropped.
    pub fn cancel(&mut self, order: &str) -> bool {
        let len_before = self.entries.len();
        self.entries.retain(|entry| entry.intent.order != order || !entry.is_unsent());
        self.entries.len() < len_before
    }
}

/// Builds the order to send for an intent.
fn order_from(intent: &Intent, fence: u64) -> Order {
    Order {
        id: intent.order.clone(),
        fence,
        kind: intent.kind,
        model: intent.model.clone(),
        adapter: intent.adapter.clone(),
        bytes: intent.bytes,
    }
}
