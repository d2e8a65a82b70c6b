//! The adapters of one endpoint and the part of its memory that is reserved for them.
//!
//! The steward asks the pool for the adapter of a request before it sends the request to the
//! endpoint. The ledger reserves the pool's bytes once, for all adapters together.
//!
//! Adapters change too often to be written to the platform's service, so the endpoint's record
//! contains no adapter orders. A new steward therefore treats the pool as full until all orders of
//! its predecessor have passed their TTL and the endpoint has responded to an order of its own,
//! which shows what the earlier orders did. An adapter is unloaded only after the TTL of its load
//! order, so that a delayed duplicate of that order cannot load the adapter again.

use std::{collections::BTreeMap, time::Duration};

use super::{AdapterKey, MemoryView, StateVersion};
use crate::{
    clock::Time,
    endpoint::{Order, OrderKind},
};

/// Limits of an adapter pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterLimits {
    /// Memory reserved for adapters, in bytes.
    pub max_bytes: u64,
    /// Largest number of orders in progress at the same time.
    pub max_orders: usize,
    /// Time after sending at which an order can no longer take effect.
    pub order_ttl: Duration,
}

/// The next step for a request that needs an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterStep {
    /// Run the request; its adapter is resident and stays so until the request releases it.
    Ready,
    /// Send this order, then ask for the next step.
    Send(Order),
    /// Wait, then ask for the next step.
    Wait,
}

/// Why a slot's bytes count as used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotState {
    /// An order of this kind was sent for the adapter and has no outcome yet.
    Ordered(OrderKind),
    /// The adapter has been resident since this state of the endpoint, or longer.
    Resident(StateVersion),
    /// The adapter was unloaded at this state of the endpoint, which no report has shown yet.
    Unloaded(StateVersion),
    /// An order of this kind was sent, and whether it took effect is unknown.
    Unconfirmed(OrderKind),
}

/// One adapter that may take memory.
#[derive(Clone, Debug)]
struct Slot {
    /// Size of the adapter, in bytes.
    bytes: u64,
    state: SlotState,
    /// When the last order for the adapter ended, or a report first showed the adapter.
    changed_at: Time,
    /// When a request last asked for the adapter.
    used_at: Time,
    /// Number of requests that use the adapter.
    pins: u32,
}

/// What the pool knows about the effects of earlier stewards' orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Accounting {
    /// Orders of an earlier steward may take effect until this time.
    OpenUntil(Time),
    /// The orders of earlier stewards have passed their TTL, and an order was sent whose response
    /// gives the endpoint's state.
    Probing,
    /// The response gave this state, and no report has shown it yet.
    AwaitingReport(StateVersion),
    /// Every adapter that may take memory has a slot.
    Complete,
}

/// The adapters of one endpoint.
#[derive(Clone, Debug)]
pub struct AdapterPool {
    limits: AdapterLimits,
    /// Every adapter that is resident or may become so.
    slots: BTreeMap<AdapterKey, Slot>,
    accounting: Accounting,
}

impl AdapterPool {
    /// Creates the pool of a new steward; `is_first` says that the endpoint had no steward before.
    pub fn new(limits: AdapterLimits, is_first: bool, now: Time) -> Self {
        let wait = if is_first { Duration::ZERO } else { limits.order_ttl };
        Self { limits, slots: BTreeMap::new(), accounting: Accounting::OpenUntil(now + wait) }
    }

    /// Returns the next step for a request that needs an adapter of `bytes`.
    ///
    /// `template` is the order to complete, or `None` if this steward may not send one. If the step
    /// is [`AdapterStep::Ready`], the adapter stays resident until it is released.
    pub fn next_step(
        &mut self,
        key: &AdapterKey,
        bytes: u64,
        template: Option<Order>,
        view: &MemoryView,
        now: Time,
    ) -> AdapterStep {
        if let Some(slot) = self.slots.get_mut(key)
            && slot.is_usable(view.has_adapter(key))
        {
            slot.used_at = now;
            slot.pins += 1;
            return AdapterStep::Ready;
        }
        let in_progress = self.slots.values().filter(|slot| slot.is_ordered()).count();
        let Some(order) =
            template.filter(|_| in_progress < self.limits.max_orders && view.is_current())
        else {
            return AdapterStep::Wait;
        };
        if let Some(slot) = self.slots.get(key) {
            // The slot already counts the adapter's bytes. Once it may be unloaded, no duplicate of
            // an earlier order is left.
            let may_retry = slot.may_unload(self.limits.order_ttl, now);
            return if may_retry { self.load(key, bytes, order, now) } else { AdapterStep::Wait };
        }
        match self.accounting {
            Accounting::Complete if self.committed_bytes() + bytes <= self.limits.max_bytes => {
                self.load(key, bytes, order, now)
            }
            Accounting::Complete => self.evict(order, now),
            Accounting::OpenUntil(time) if now >= time => {
                self.accounting = Accounting::Probing;
                AdapterStep::Send(fill_order(order, OrderKind::UnloadAdapter, key, 0))
            }
            _ => AdapterStep::Wait,
        }
    }

    /// Returns the step that loads an adapter, and gives the adapter a slot.
    fn load(&mut self, key: &AdapterKey, bytes: u64, order: Order, now: Time) -> AdapterStep {
        let state = SlotState::Ordered(OrderKind::LoadAdapter);
        self.slots
            .insert(key.clone(), Slot { bytes, state, changed_at: now, used_at: now, pins: 0 });
        AdapterStep::Send(fill_order(order, OrderKind::LoadAdapter, key, bytes))
    }

    /// Returns the step that unloads the least recently used adapter, or a wait if none may be
    /// unloaded.
    fn evict(&mut self, order: Order, now: Time) -> AdapterStep {
        let order_ttl = self.limits.order_ttl;
        let candidates = self.slots.iter_mut().filter(|(_, slot)| slot.may_unload(order_ttl, now));
        let Some((key, slot)) = candidates.min_by_key(|(_, slot)| slot.used_at) else {
            return AdapterStep::Wait;
        };
        slot.state = SlotState::Ordered(OrderKind::UnloadAdapter);
        AdapterStep::Send(fill_order(order, OrderKind::UnloadAdapter, key, 0))
    }

    /// Records the endpoint's state after an order, or with `None` that no response arrived.
    pub fn record_response(&mut self, order: &Order, version: Option<StateVersion>, now: Time) {
        let Some(adapter) = order.adapter.clone() else { return };
        let key = (order.model.clone(), adapter);
        match self.slots.get_mut(&key) {
            Some(slot) if slot.state == SlotState::Ordered(order.kind) => {
                slot.state = match (order.kind, version) {
                    (OrderKind::LoadAdapter, Some(version)) => SlotState::Resident(version),
                    (_, Some(version)) => SlotState::Unloaded(version),
                    (kind, None) => SlotState::Unconfirmed(kind),
                };
                slot.changed_at = now;
            }
            _ if self.accounting == Accounting::Probing => {
                self.accounting =
                    version.map_or(Accounting::OpenUntil(now), Accounting::AwaitingReport);
            }
            _ => {}
        }
    }

    /// Brings the slots in line with what the ledger knows after a report.
    pub fn reconcile(&mut self, view: &MemoryView, now: Time) {
        if !view.is_current() {
            return;
        }
        self.slots.retain(|key, slot| match slot.state {
            SlotState::Resident(version) if view.covers(version) && !view.has_adapter(key) => {
                // A delayed duplicate of the load order may still load the adapter again.
                slot.state = SlotState::Unconfirmed(OrderKind::LoadAdapter);
                true
            }
            SlotState::Unloaded(version) => !view.covers(version) || view.has_adapter(key),
            _ => true,
        });
        for (key, bytes) in view.adapters() {
            let state = SlotState::Resident(view.latest());
            let slot = Slot { bytes: *bytes, state, changed_at: now, used_at: now, pins: 0 };
            self.slots.entry(key.clone()).or_insert(slot);
        }
        if let Accounting::AwaitingReport(version) = self.accounting {
            if view.is_superseded(version.incarnation) {
                self.accounting = Accounting::OpenUntil(now);
            } else if view.covers(version) {
                self.accounting = Accounting::Complete;
            }
        }
    }

    /// Releases an adapter that a request no longer uses.
    pub fn release(&mut self, key: &AdapterKey) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.pins = slot.pins.saturating_sub(1);
        }
    }

    /// Returns the resident adapters.
    pub fn resident(&self) -> impl Iterator<Item = &AdapterKey> {
        let is_resident = |slot: &Slot| matches!(slot.state, SlotState::Resident(_));
        self.slots.iter().filter(move |(_, slot)| is_resident(slot)).map(|(key, _)| key)
    }

    /// Returns the bytes of all adapters that are resident or may become so.
    pub fn committed_bytes(&self) -> u64 {
        self.slots.values().map(|slot| slot.bytes).sum()
    }
}

impl Slot {
    /// Returns whether an order for the adapter is in progress.
    fn is_ordered(&self) -> bool {
        matches!(self.state, SlotState::Ordered(_))
    }

    /// Returns whether requests may use the adapter; `reported` says that the last report shows it.
    fn is_usable(&self, reported: bool) -> bool {
        match self.state {
            SlotState::Resident(_) => true,
            SlotState::Unconfirmed(OrderKind::LoadAdapter) => reported,
            _ => false,
        }
    }

    /// Returns whether the adapter may be unloaded.
    ///
    /// No request may use it, and no duplicate of its load order may still take effect.
    fn may_unload(&self, order_ttl: Duration, now: Time) -> bool {
        let has_outcome = matches!(self.state, SlotState::Resident(_) | SlotState::Unconfirmed(_));
        has_outcome && self.pins == 0 && now.since(self.changed_at) >= order_ttl
    }
}

/// Returns the order template with the kind, adapter and bytes filled in.
fn fill_order(template: Order, kind: OrderKind, key: &AdapterKey, bytes: u64) -> Order {
    Order { kind, model: key.0.clone(), adapter: Some(key.1.clone()), bytes, ..template }
}
