//! The memory of an engine stand-in.

use std::collections::BTreeMap;

use super::EngineSettings;
use crate::{
    endpoint::{Order, OrderKind, Report, Resident},
    names::{Adapter, Model},
};

const MEGABYTE: u64 = 1 << 20;

type Key = (Model, Option<Adapter>);

/// Why an order was not carried out.
#[derive(Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Denied {
    /// The fencing number is old.
    #[error("old fencing number")]
    Fenced,
    /// The memory does not suffice.
    #[error("out of memory")]
    NoRoom,
    /// The model of an adapter is not resident.
    #[error("model not resident")]
    NoModel,
}

/// What is resident and what is being loaded.
pub struct Memory {
    capacity: u64,
    fence: u64,
    sequence: u64,
    residents: BTreeMap<Key, u64>,
    loading: BTreeMap<String, u64>,
}

impl Memory {
    /// Creates the memory of an engine that just started.
    pub fn new(settings: &EngineSettings) -> Self {
        let preload = settings.preload.iter();
        let residents =
            preload.map(|(model, mb)| ((model.as_str().into(), None), mb * MEGABYTE)).collect();
        Self {
            capacity: settings.memory_mb * MEGABYTE,
            fence: 0,
            sequence: 1,
            residents,
            loading: BTreeMap::new(),
        }
    }

    /// Starts an order.
    pub fn start(&mut self, order: &Order, settings: &EngineSettings) -> Result<(), Denied> {
        if settings.fencing && order.fence < self.fence {
            return Err(Denied::Fenced);
        }
        self.fence = self.fence.max(order.fence);
        if self.residents.contains_key(&key(order)) {
            return Ok(());
        }
        match order.kind {
            OrderKind::Load => self.reserve(order),
            OrderKind::LoadAdapter if !self.has(&order.model) => Err(Denied::NoModel),
            OrderKind::LoadAdapter => self.reserve(order),
            OrderKind::Unload | OrderKind::UnloadAdapter => Ok(()),
        }
    }

    fn reserve(&mut self, order: &Order) -> Result<(), Denied> {
        if order.bytes > self.free() {
            return Err(Denied::NoRoom);
        }
        self.loading.insert(order.id.clone(), order.bytes);
        Ok(())
    }

    /// Finishes an order and returns the new sequence number.
    pub fn finish(&mut self, order: &Order) -> u64 {
        self.loading.remove(&order.id);
        match order.kind {
            OrderKind::Load | OrderKind::LoadAdapter => {
                self.residents.insert(key(order), order.bytes);
            }
            OrderKind::Unload => self.residents.retain(|(model, _), _| *model != order.model),
            OrderKind::UnloadAdapter => {
                self.residents.remove(&key(order));
            }
        }
        self.sequence += 1;
        self.sequence
    }

    /// Returns whether a model is resident.
    pub fn has(&self, model: &Model) -> bool {
        self.residents.contains_key(&(model.clone(), None))
    }

    fn free(&self) -> u64 {
        let taken: u64 = self.residents.values().chain(self.loading.values()).sum();
        self.capacity.saturating_sub(taken)
    }

    /// Returns the state of the memory; the caller fills in the rest.
    pub fn report(&self) -> Report {
        let residents = self.residents.iter().map(|((model, adapter), bytes)| Resident {
            model: model.clone(),
            adapter: adapter.clone(),
            bytes: *bytes,
        });
        Report {
            incarnation: 0,
            sequence: self.sequence,
            residents: residents.collect(),
            open: self.loading.keys().cloned().collect(),
            free: self.free(),
            running: 0,
        }
    }
}

fn key(order: &Order) -> Key {
    (order.model.clone(), order.adapter.clone())
}
