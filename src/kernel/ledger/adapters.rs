//! The adapters of one endpoint, within bytes that its ledger reserves once.
//!
//! Adapters change too often for the platform's service, so that nothing here is in the record. A
//! new steward takes the pool as full until every order of its predecessor has outlived its life
//! and an answered order of its own shows what they did. An adapter is unloaded only when its
//! load has outlived its life, so that no late copy of the load can bring it back.

use std::{collections::BTreeMap, time::Duration};

use super::{Mark, View};
use crate::{
    clock::Time,
    endpoint::{Order, OrderKind},
    names::{Adapter, Model},
};

/// An adapter and its model.
pub type AdapterKey = (Model, Adapter);

/// What a pool of adapters depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterLimits {
    /// Memory for adapters, in bytes.
    pub bytes: u64,
    /// Orders that may run at once.
    pub orders: usize,
    /// Time after which an order that was sent can no longer take effect.
    pub life: Duration,
}

/// What to do for a request that needs an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterStep {
    /// Run it; the adapter is resident and stays until it is released.
    Ready,
    /// Send this order, then ask again.
    Send(Order),
    /// Ask again later.
    Wait,
}

/// How an adapter's bytes are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// An order was sent.
    Ordered(OrderKind),
    /// It is resident at least since this state of the endpoint.
    Resident(Mark),
    /// It was unloaded at this state of the endpoint.
    Unloaded(Mark),
    /// The answer to an order is lost.
    Doubtful(OrderKind),
}

#[derive(Clone, Debug)]
struct Slot {
    bytes: u64,
    state: State,
    /// When its load was answered or given up.
    loaded: Time,
    used: Time,
    pins: u32,
}

/// Whether free bytes are known to be free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trust {
    /// Orders of an earlier steward may take effect until then.
    After(Time),
    /// The order that shows the endpoint's state is on its way.
    Asked,
    /// The endpoint's state after that order must be reported.
    From(Mark),
    /// All orders are known.
    Known,
}

/// The adapters of one endpoint.
#[derive(Clone, Debug)]
pub struct AdapterPool {
    limits: AdapterLimits,
    slots: BTreeMap<AdapterKey, Slot>,
    trust: Trust,
}

impl AdapterPool {
    /// Creates the pool of a new steward; `first` tells that there was none before.
    pub fn new(limits: AdapterLimits, first: bool, now: Time) -> Self {
        let wait = if first { Duration::ZERO } else { limits.life };
        Self { limits, slots: BTreeMap::new(), trust: Trust::After(now + wait) }
    }

    /// Decides what to do for a request that needs an adapter of `bytes`.
    ///
    /// `blank` is the order to fill in, or `None` where this steward may send none.
    pub fn want(
        &mut self,
        key: &AdapterKey,
        bytes: u64,
        blank: Option<Order>,
        view: &View,
        now: Time,
    ) -> AdapterStep {
        if let Some(slot) = self.slots.get_mut(key)
            && slot.is_usable(view.has_adapter(key))
        {
            slot.used = now;
            slot.pins += 1;
            return AdapterStep::Ready;
        }
        let busy = self.slots.values().filter(|slot| slot.is_ordered()).count();
        let Some(order) = blank.filter(|_| busy < self.limits.orders && view.is_current()) else {
            return AdapterStep::Wait;
        };
        if let Some(slot) = self.slots.get(key) {
            // Its bytes are counted, and no other copy of its orders is left.
            let again = slot.may_go(self.limits.life, now);
            return if again { self.load(key, bytes, order, now) } else { AdapterStep::Wait };
        }
        match self.trust {
            Trust::Known if self.taken() + bytes <= self.limits.bytes => {
                self.load(key, bytes, order, now)
            }
            Trust::Known => self.evict(order, now),
            Trust::After(time) if now >= time => {
                self.trust = Trust::Asked;
                AdapterStep::Send(filled(order, OrderKind::UnloadAdapter, key, 0))
            }
            _ => AdapterStep::Wait,
        }
    }

    fn load(&mut self, key: &AdapterKey, bytes: u64, order: Order, now: Time) -> AdapterStep {
        let state = State::Ordered(OrderKind::LoadAdapter);
        self.slots.insert(key.clone(), Slot { bytes, state, loaded: now, used: now, pins: 0 });
        AdapterStep::Send(filled(order, OrderKind::LoadAdapter, key, bytes))
    }

    fn evict(&mut self, order: Order, now: Time) -> AdapterStep {
        let life = self.limits.life;
        let old = self.slots.iter_mut().filter(|(_, slot)| slot.may_go(life, now));
        let Some((key, slot)) = old.min_by_key(|(_, slot)| slot.used) else {
            return AdapterStep::Wait;
        };
        slot.state = State::Ordered(OrderKind::UnloadAdapter);
        AdapterStep::Send(filled(order, OrderKind::UnloadAdapter, key, 0))
    }

    /// Notes the state of the endpoint after an order, or `None` when the answer is lost.
    pub fn answered(&mut self, order: &Order, mark: Option<Mark>, now: Time) {
        let Some(adapter) = order.adapter.clone() else { return };
        let key = (order.model.clone(), adapter);
        match self.slots.get_mut(&key) {
            Some(slot) if slot.state == State::Ordered(order.kind) => {
                slot.state = match (order.kind, mark) {
                    (OrderKind::LoadAdapter, Some(mark)) => State::Resident(mark),
                    (_, Some(mark)) => State::Unloaded(mark),
                    (kind, None) => State::Doubtful(kind),
                };
                slot.loaded = now;
            }
            _ if self.trust == Trust::Asked => {
                self.trust = mark.map_or(Trust::After(now), Trust::From);
            }
            _ => {}
        }
    }

    /// Takes in the view after a report.
    pub fn reconcile(&mut self, view: &View, now: Time) {
        if !view.is_current() {
            return;
        }
        self.slots.retain(|key, slot| match slot.state {
            State::Resident(mark) if view.shows(mark) && !view.has_adapter(key) => {
                // A late copy of its load may yet bring it back.
                slot.state = State::Doubtful(OrderKind::LoadAdapter);
                true
            }
            State::Unloaded(mark) => !view.shows(mark) || view.has_adapter(key),
            _ => true,
        });
        for (key, bytes) in view.adapters() {
            let state = State::Resident(view.floor());
            let slot = Slot { bytes: *bytes, state, loaded: now, used: now, pins: 0 };
            self.slots.entry(key.clone()).or_insert(slot);
        }
        if let Trust::From(mark) = self.trust {
            if view.is_past(mark.incarnation) {
                self.trust = Trust::After(now);
            } else if view.shows(mark) {
                self.trust = Trust::Known;
            }
        }
    }

    /// Lets an adapter go that a request used.
    pub fn release(&mut self, key: &AdapterKey) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.pins = slot.pins.saturating_sub(1);
        }
    }

    /// Returns the adapters that requests may use.
    pub fn resident(&self) -> impl Iterator<Item = &AdapterKey> {
        let resident = |slot: &Slot| matches!(slot.state, State::Resident(_));
        self.slots.iter().filter(move |(_, slot)| resident(slot)).map(|(key, _)| key)
    }

    /// Returns the bytes that are taken or may still be taken.
    pub fn taken(&self) -> u64 {
        self.slots.values().map(|slot| slot.bytes).sum()
    }
}

impl Slot {
    fn is_ordered(&self) -> bool {
        matches!(self.state, State::Ordered(_))
    }

    fn is_usable(&self, reported: bool) -> bool {
        match self.state {
            State::Resident(_) => true,
            State::Doubtful(OrderKind::LoadAdapter) => reported,
            _ => false,
        }
    }

    /// Returns whether it may be unloaded: nobody uses it and no copy of its load can land.
    fn may_go(&self, life: Duration, now: Time) -> bool {
        let settled = matches!(self.state, State::Resident(_) | State::Doubtful(_));
        settled && self.pins == 0 && now.since(self.loaded) >= life
    }
}

fn filled(blank: Order, kind: OrderKind, key: &AdapterKey, bytes: u64) -> Order {
    Order { kind, model: key.0.clone(), adapter: Some(key.1.clone()), bytes, ..blank }
}
