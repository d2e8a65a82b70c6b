//! Orders to one engine, one at a time.
//!
//! Each order names the number of orders that the engine must have taken before. An order whose
//! answer is lost can therefore take effect only while the engine is in the state for which the
//! order was made, and the next order with the same number excludes it.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::{Command, Endpoint, EngineReport, endpoint::AdapterState};
use crate::{catalog::EngineSpec, clock::Time};

/// Time after which a change of models that has not begun to load is given up.
const SWAP_LIMIT: Duration = Duration::from_millis(1_500);

/// Time that a model takes to be dropped.
const UNLOAD_TIME: Duration = Duration::from_millis(30);

/// Time after which an adapter that was ordered can be used.
const ADAPTER_TIME: Duration = Duration::from_millis(12);

/// Wait after an order that came at the wrong time.
const CONFLICT_WAIT: Duration = Duration::from_millis(50);

/// Wait after an order without an answer, so that a report shows whether it was taken.
const LOST_WAIT: Duration = Duration::from_millis(350);

/// Lost answers in a row after which a report is read before the next order.
const LOSS_LIMIT: u32 = 3;

/// Time between two looks at an engine whose load should have ended.
const LOAD_LOOK: Duration = Duration::from_millis(200);

/// Age from which a report counts although it names fewer orders than are known.
const REPORT_AGE: Duration = Duration::from_millis(800);

/// Time after which an order or a report without a result counts as lost.
const PENDING_LIMIT: Duration = Duration::from_millis(1_500);

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// It is being carried out.
    Accepted,
    /// What was ordered already holds.
    Holds,
    /// Another order is under way, or others came before.
    Conflict,
    /// The engine refuses it for good.
    Refused,
    /// No answer came; it may be carried out later.
    Lost,
}

/// What to do next at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Nothing.
    Nothing,
    /// Send an order that holds only after this number of orders.
    Send(Command, u64),
    /// Read the engine's report.
    Report,
}

/// The orders of one engine.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    pending: Option<(Command, Time)>,
    reading: Option<Time>,
    /// Adapters that waiting requests need.
    pub(super) wants: VecDeque<(Arc<str>, Arc<str>)>,
    unsure: bool,
    /// Conflicts since the last other result.
    conflicts: u32,
    /// Lost answers since the last other result.
    losses: u32,
    /// Whether a report showed an order under way that this scheduler did not give.
    foreign: bool,
    next: Time,
    accepted: Time,
}

impl Lane {
    /// Notes that the engine is not in the expected state.
    pub(super) fn doubt(&mut self) {
        self.unsure = true;
    }
}

impl Endpoint {
    /// Returns whether one more adapter can be loaded, after dropping one that is not in use if need be.
    ///
    /// An engine takes no order while it loads a model.
    pub(super) fn makes_room(&self, spec: &EngineSpec) -> bool {
        if self.loading.is_some() {
            return false;
        }
        let wanted = self.lane.wants.len();
        self.adapters() + wanted < spec.adapter_slots as usize || self.oldest_adapter().is_some()
    }

    /// Returns the adapter that has not been used for longest and is not in use.
    fn oldest_adapter(&self) -> Option<(Arc<str>, Arc<str>)> {
        let used = |model: &Arc<str>, adapter: &Arc<str>| {
            let works = self.running.values().filter_map(|run| run.ask.work.as_ref());
            let mut works = works.filter(|w| w.model == *model);
            works.any(|work| work.adapter.as_ref() == Some(adapter))
        };
        let all = self.models.iter().flat_map(|(model, resident)| {
            resident.adapters.iter().map(move |(adapter, state)| (model, adapter, state.used))
        });
        let idle = all.filter(|(model, adapter, _)| !used(model, adapter));
        let oldest = idle.min_by_key(|(model, adapter, at)| (*at, *model, *adapter));
        oldest.map(|(model, adapter, _)| (model.clone(), adapter.clone()))
    }

    /// Notes that a waiting request needs an adapter.
    pub(super) fn want(&mut self, model: &Arc<str>, adapter: &Arc<str>) {
        let want = (model.clone(), adapter.clone());
        if !self.lane.wants.contains(&want) {
            self.lane.wants.push_back(want);
        }
    }

    /// Decides the next order; the caller carries it out and reports the result.
    pub fn next_order(&mut self, spec: &EngineSpec, now: Time) -> OrderStep {
        if self.is_occupied(now) || now < self.lane.next || !self.is_open(now) {
            return OrderStep::Nothing;
        }
        if self.lane.unsure || !self.seen || self.lane.foreign {
            return self.look(now);
        }
        if let Some(command) = self.next_adapter(spec).or_else(|| self.next_model(spec, now)) {
            self.lane.pending = Some((command.clone(), now));
            return OrderStep::Send(command, self.orders);
        }
        match &self.loading {
            Some((_, ready)) if *ready <= now => self.look(now),
            _ => OrderStep::Nothing,
        }
    }

    fn look(&mut self, now: Time) -> OrderStep {
        self.lane.reading = Some(now);
        self.lane.next = now + LOAD_LOOK;
        OrderStep::Report
    }

    /// Returns whether the result of an order or a report is awaited.
    fn is_occupied(&mut self, now: Time) -> bool {
        if self.lane.pending.as_ref().is_some_and(|(_, at)| now.since(*at) > PENDING_LIMIT) {
            self.lane.pending = None;
            self.lane.unsure = true;
        }
        self.lane.reading = self.lane.reading.filter(|at| now.since(*at) < PENDING_LIMIT);
        self.lane.pending.is_some() || self.lane.reading.is_some()
    }

    fn next_adapter(&mut self, spec: &EngineSpec) -> Option<Command> {
        if self.loading.is_some() {
            return None;
        }
        while let Some((model, adapter)) = self.lane.wants.front().cloned() {
            let resident = self.models.get(&model);
            if resident.is_none_or(|resident| resident.adapters.contains_key(&adapter)) {
                self.lane.wants.pop_front();
                continue;
            }
            let size = spec.models.get(&model).map_or(0.0, |spec| spec.adapter_mb);
            let fits = self.weights(spec) + size <= spec.weights_mb;
            if fits && self.adapters() < spec.adapter_slots as usize {
                return Some(Command::LoadAdapter { model, adapter });
            }
            let (model, adapter) = self.oldest_adapter()?;
            return Some(Command::UnloadAdapter { model, adapter });
        }
        None
    }

    fn next_model(&mut self, spec: &EngineSpec, now: Time) -> Option<Command> {
        if self.loading.is_some() {
            return None;
        }
        let swap = self.swap.clone()?;
        if now.since(swap.since) > SWAP_LIMIT {
            // The runs of a yielding model take long; another engine may be faster.
            self.swap = None;
            return None;
        }
        if self.models.contains_key(&swap.load) {
            self.swap = None;
            return None;
        }
        if let Some(model) = swap.unload.iter().find(|model| self.models.contains_key(*model)) {
            let idle = self.runs(model) == 0;
            return idle.then(|| Command::Unload { model: model.clone() });
        }
        let size = spec.models.get(&swap.load)?.weights_mb;
        if self.weights(spec) + size > spec.weights_mb {
            self.swap = None;
            return None;
        }
        Some(Command::Load { model: swap.load })
    }

    /// Takes the result of an order in; `ready` is when a load should have ended.
    pub fn order_done(&mut self, result: OrderResult, ready: Time, now: Time) {
        let Some((command, _)) = self.lane.pending.take() else { return };
        if result != OrderResult::Conflict {
            self.lane.conflicts = 0;
        }
        if result != OrderResult::Lost {
            self.lane.losses = 0;
        }
        match result {
            OrderResult::Accepted => self.accepted(&command, ready, now),
            // Dropping an adapter takes no time, so that its order holds at once.
            OrderResult::Holds if matches!(command, Command::UnloadAdapter { .. }) => {
                self.accepted(&command, ready, now);
            }
            OrderResult::Holds => self.lane.unsure = true,
            OrderResult::Conflict => {
                // Most often the order before is still under way; only a second one is a doubt.
                self.lane.unsure = self.lane.conflicts > 0;
                self.lane.conflicts += 1;
                self.lane.next = now + CONFLICT_WAIT;
            }
            // The same order again excludes the lost one, whichever of them comes first.
            OrderResult::Lost => {
                self.lane.unsure = self.lane.losses >= LOSS_LIMIT;
                self.lane.losses += 1;
                self.lane.next = now + CONFLICT_WAIT;
            }
            OrderResult::Refused => {
                self.lane.unsure = true;
                self.lane.next = now + LOST_WAIT;
                self.swap = None;
                self.lane.wants.clear();
            }
        }
    }

    fn accepted(&mut self, command: &Command, ready: Time, now: Time) {
        self.orders += 1;
        self.lane.accepted = now;
        match command {
            Command::Load { model } => {
                self.loading = Some((model.clone(), ready));
                self.loaded = ready;
                self.swap = None;
            }
            Command::Unload { model } => {
                self.drop_model(model, now);
                self.lane.next = now + UNLOAD_TIME;
            }
            Command::LoadAdapter { model, adapter } => {
                let state = AdapterState { ready: now + ADAPTER_TIME, used: now };
                if let Some(resident) = self.models.get_mut(model) {
                    resident.adapters.insert(adapter.clone(), state);
                }
            }
            Command::UnloadAdapter { model, adapter } => {
                if let Some(resident) = self.models.get_mut(model) {
                    resident.adapters.remove(adapter);
                }
            }
        }
    }

    /// Takes a report in, or notes that none came.
    pub fn report_done(&mut self, holding: Option<EngineReport>, now: Time) {
        self.lane.reading = None;
        let Some(holding) = holding else {
            self.lane.next = now + LOST_WAIT;
            return;
        };
        self.reached();
        let old = now.since(self.lane.accepted) < REPORT_AGE;
        if holding.orders < self.orders && old {
            // The report is from before the last order, which the engine is known to have taken.
            self.lane.unsure = false;
            self.lane.next = now;
            return;
        }
        self.lane.foreign = holding.busy && self.loading.is_none();
        self.lane.unsure = false;
        self.take_report(holding, now);
        if !self.lane.foreign && self.loading.is_none() {
            self.lane.next = now;
        }
    }
}
