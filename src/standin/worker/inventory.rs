//! What a stand-in for an engine holds, and what it does with orders.
//!
//! Time is passed in, so that tests can simulate it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::clock::Time;

/// Time that an idle model takes to be unloaded.
const UNLOAD_TIME: Duration = Duration::from_millis(20);

/// Adapters that may be fetched at the same time.
const MAX_FETCHES: usize = 4;

/// Time for which past states are kept for reports.
const HISTORY_TIME: Duration = Duration::from_secs(2);

/// Room of an engine, and the sizes of what it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Megabytes for models and adapters together.
    pub weights_mb: u64,
    /// Adapters that may be loaded or fetched at once.
    pub adapter_slots: usize,
    /// Megabytes of each model.
    pub model_mb: u64,
    /// Megabytes of each adapter.
    pub adapter_mb: u64,
}

/// An order as it arrives at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivedOrder {
    /// Whether something is loaded; otherwise it is unloaded.
    pub is_load: bool,
    /// The model.
    pub model: String,
    /// The adapter; `None` if the order is for the model.
    pub adapter: Option<String>,
    /// Orders that the engine must have accepted before; `None` for any number.
    pub expected: Option<u64>,
}

/// How an engine answers an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is carried out, although there may be no room for what it loads.
    Accepted {
        /// Whether there is room.
        fits: bool,
    },
    /// The order was carried out at once.
    Done,
    /// There is nothing to do.
    Holds,
    /// Another order is carried out, or another number of orders was accepted.
    Conflict,
    /// The order makes no sense.
    Invalid,
}

/// State of an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Adapter {
    /// It is fetched until this time.
    Coming(Time),
    Loaded,
    /// It is unloaded once no request uses it.
    Leaving,
}

/// The order to a model that is carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Ongoing {
    /// The model is loaded until this time.
    Load(String, Time),
    /// The model is unloaded once no request uses it, and not before this time.
    Unload(String, Time),
}

/// State that a report shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Orders accepted since the start.
    pub orders: u64,
    /// Whether an order is carried out.
    pub is_busy: bool,
    /// Loaded models with their loaded adapters.
    pub models: Vec<(String, Vec<String>)>,
    /// Adapters that are fetched, with their models.
    pub coming: Vec<(String, String)>,
}

/// What an engine holds.
#[derive(Clone, Debug)]
pub struct Inventory {
    room: Room,
    /// Whether an order that changes nothing is answered so also if its number is wrong.
    pub ignores_numbers: bool,
    orders: u64,
    models: BTreeMap<String, BTreeMap<String, Adapter>>,
    ongoing: Option<Ongoing>,
    history: VecDeque<(Time, Snapshot)>,
}

impl Inventory {
    /// Creates the inventory of an engine that holds these models.
    pub fn new(room: Room, models: impl IntoIterator<Item = String>) -> Self {
        let models = models.into_iter().map(|model| (model, BTreeMap::new())).collect();
        Self {
            room,
            ignores_numbers: false,
            orders: 0,
            models,
            ongoing: None,
            history: VecDeque::new(),
        }
    }

    /// Returns whether requests for a model, and for an adapter if one is named, can run.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        let is_leaving = matches!(&self.ongoing, Some(Ongoing::Unload(name, _)) if name == model);
        let Some(adapters) = self.models.get(model).filter(|_| !is_leaving) else { return false };
        adapter.is_none_or(|adapter| adapters.get(adapter) == Some(&Adapter::Loaded))
    }

    /// Returns the names of the loaded models.
    pub fn models(&self) -> Vec<String> {
        self.models.keys().cloned().collect()
    }

    /// Returns the number of accepted orders.
    pub fn orders(&self) -> u64 {
        self.orders
    }

    /// Lets time pass. `is_used` tells whether a request uses a model or one of its adapters.
    ///
    /// Returns whether the models have changed.
    pub fn advance(&mut self, is_used: impl Fn(&str, Option<&str>) -> bool, now: Time) -> bool {
        for (model, adapters) in &mut self.models {
            adapters.retain(|name, state| *state != Adapter::Leaving || is_used(model, Some(name)));
            for state in adapters.values_mut() {
                if matches!(state, Adapter::Coming(ready) if *ready <= now) {
                    *state = Adapter::Loaded;
                }
            }
        }
        let changed = match &self.ongoing {
            Some(Ongoing::Load(model, ready)) if *ready <= now => {
                self.models.insert(model.clone(), BTreeMap::new());
                true
            }
            Some(Ongoing::Unload(model, ready)) if *ready <= now && !is_used(model, None) => {
                self.models.remove(model);
                true
            }
            _ => false,
        };
        if changed {
            self.ongoing = None;
        }
        self.record(now);
        changed
    }

    /// Applies an order. A load, of a model or an adapter, takes `load_time`.
    pub fn apply(
        &mut self,
        order: &ArrivedOrder,
        load_time: Duration,
        is_used: impl Fn(&str, Option<&str>) -> bool,
        now: Time,
    ) -> OrderAnswer {
        self.advance(&is_used, now);
        let holds = self.holds(order);
        if holds && self.ignores_numbers {
            return OrderAnswer::Holds;
        }
        let is_expected = order.expected.is_none_or(|expected| expected == self.orders);
        if self.is_busy() || !is_expected {
            return OrderAnswer::Conflict;
        }
        if holds {
            return OrderAnswer::Holds;
        }
        let answer = match (&order.adapter, order.is_load) {
            (Some(adapter), true) => self.fetch_adapter(&order.model, adapter, now + load_time),
            (Some(adapter), false) => {
                self.drop_adapter(&order.model, adapter, is_used(&order.model, Some(adapter)))
            }
            (None, true) => {
                let fits = self.used_mb() + self.room.model_mb <= self.room.weights_mb;
                self.ongoing = Some(Ongoing::Load(order.model.clone(), now + load_time));
                OrderAnswer::Accepted { fits }
            }
            (None, false) => {
                self.ongoing = Some(Ongoing::Unload(order.model.clone(), now + UNLOAD_TIME));
                OrderAnswer::Accepted { fits: true }
            }
        };
        if matches!(answer, OrderAnswer::Accepted { .. } | OrderAnswer::Done) {
            self.orders += 1;
        }
        self.record(now);
        answer
    }

    /// Returns the state a while ago, or the oldest one that is known.
    pub fn report(&self, lag: Duration, now: Time) -> Snapshot {
        let old = self.history.iter().rev().find(|(at, _)| now.since(*at) >= lag);
        old.or(self.history.front()).map_or_else(|| self.snapshot(), |(_, past)| past.clone())
    }

    /// Returns the present state.
    pub fn snapshot(&self) -> Snapshot {
        let all = self.models.iter().map(|(model, adapters)| {
            let loaded = adapters.iter().filter(|(_, state)| !matches!(state, Adapter::Coming(_)));
            (model.clone(), loaded.map(|(name, _)| name.clone()).collect())
        });
        let coming = self.models.iter().flat_map(|(model, adapters)| {
            let coming = adapters.iter().filter(|(_, state)| matches!(state, Adapter::Coming(_)));
            coming.map(|(name, _)| (model.clone(), name.clone()))
        });
        Snapshot {
            orders: self.orders,
            is_busy: self.is_busy(),
            models: all.collect(),
            coming: coming.collect(),
        }
    }

    /// Adds the present state to the history if it differs from the last one.
    fn record(&mut self, now: Time) {
        let snapshot = self.snapshot();
        if self.history.back().is_none_or(|(_, last)| *last != snapshot) {
            self.history.push_back((now, snapshot));
        }
        while self.history.get(1).is_some_and(|(at, _)| now.since(*at) > HISTORY_TIME) {
            self.history.pop_front();
        }
    }

    /// Returns whether an order is carried out that excludes others.
    fn is_busy(&self) -> bool {
        let mut states = self.models.values().flat_map(BTreeMap::values);
        self.ongoing.is_some() || states.any(|state| *state == Adapter::Leaving)
    }

    /// Returns whether the ordered state is there already. An adapter that is fetched counts as loaded
    /// for a load and as absent for an unload.
    fn holds(&self, order: &ArrivedOrder) -> bool {
        let adapters = self.models.get(&order.model);
        match (&order.adapter, order.is_load) {
            (None, is_load) => adapters.is_some() == is_load,
            (Some(name), true) => adapters.is_some_and(|adapters| adapters.contains_key(name)),
            (Some(name), false) => {
                let state = adapters.and_then(|adapters| adapters.get(name));
                state.is_none_or(|state| matches!(state, Adapter::Coming(_)))
            }
        }
    }

    /// Returns the megabytes that are in use.
    fn used_mb(&self) -> u64 {
        let loading = matches!(self.ongoing, Some(Ongoing::Load(..)));
        (self.models.len() + usize::from(loading)) as u64 * self.room.model_mb
            + self.adapter_count() as u64 * self.room.adapter_mb
    }

    fn adapter_count(&self) -> usize {
        self.models.values().map(BTreeMap::len).sum()
    }

    fn fetch_adapter(&mut self, model: &str, adapter: &str, ready: Time) -> OrderAnswer {
        let has_slot = self.adapter_count() < self.room.adapter_slots;
        let fits = has_slot && self.used_mb() + self.room.adapter_mb <= self.room.weights_mb;
        let states = self.models.values().flat_map(BTreeMap::values);
        if states.filter(|state| matches!(state, Adapter::Coming(_))).count() >= MAX_FETCHES {
            return OrderAnswer::Conflict;
        }
        let Some(adapters) = self.models.get_mut(model) else { return OrderAnswer::Invalid };
        adapters.insert(adapter.to_owned(), Adapter::Coming(ready));
        OrderAnswer::Accepted { fits }
    }

    fn drop_adapter(&mut self, model: &str, adapter: &str, is_used: bool) -> OrderAnswer {
        let Some(adapters) = self.models.get_mut(model) else { return OrderAnswer::Holds };
        if is_used {
            adapters.insert(adapter.to_owned(), Adapter::Leaving);
            return OrderAnswer::Accepted { fits: true };
        }
        adapters.remove(adapter);
        OrderAnswer::Done
    }
}
