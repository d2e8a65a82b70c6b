//! Memory of an engine stand-in: the resident models and adapters, and the open loads.

use std::collections::BTreeMap;

use super::EngineSettings;
use crate::{
    endpoint::{Order, OrderKind, Report, Resident},
    names::{Adapter, Model},
};

const BYTES_PER_MB: u64 = 1 << 20;

/// A model, or an adapter of a model.
type ResidentKey = (Model, Option<Adapter>);

/// Why an order was refused.
#[derive(Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum OrderError {
    /// The fencing number is lower than that of an earlier order.
    #[error("old fencing number")]
    Fenced,
    /// Not enough memory is free.
    #[error("out of memory")]
    NoRoom,
    /// The model of an adapter is not resident.
    #[error("model not resident")]
    NoModel,
}

/// Resident models and adapters, and open loads.
pub struct Memory {
    capacity_bytes: u64,
    /// Highest fencing number of an order.
    fence: u64,
    /// Number that grows with each finished order.
    sequence: u64,
    /// Bytes of each resident model or adapter.
    residents: BTreeMap<ResidentKey, u64>,
    /// Bytes of each open load, by the id of its order.
    loading: BTreeMap<String, u64>,
}

impl Memory {
    /// Creates the memory of an engine that has just started.
    pub fn new(settings: &EngineSettings) -> Self {
        let preload = settings.preload.iter();
        let residents =
            preload.map(|(model, mb)| ((model.as_str().into(), None), mb * BYTES_PER_MB)).collect();
        Self {
            capacity_bytes: settings.memory_mb * BYTES_PER_MB,
            fence: 0,
            sequence: 1,
            residents,
            loading: BTreeMap::new(),
        }
    }

    /// Starts an order and reserves the memory that it needs.
    pub fn start_order(
        &mut self,
        order: &Order,
        settings: &EngineSettings,
    ) -> Result<(), OrderError> {
        if settings.fencing && order.fence < self.fence {
            return Err(OrderError::Fenced);
        }
        self.fence = self.fence.max(order.fence);
        if self.residents.contains_key(&resident_key(order)) {
            return Ok(());
        }
        match order.kind {
            OrderKind::Load => self.reserve(order),
            OrderKind::LoadAdapter if !self.is_resident(&order.model) => Err(OrderError::NoModel),
            OrderKind::LoadAdapter => self.reserve(order),
            OrderKind::Unload | OrderKind::UnloadAdapter => Ok(()),
        }
    }

    /// Reserves the memory of a load order; fails if not enough is free.
    fn reserve(&mut self, order: &Order) -> Result<(), OrderError> {
        if order.bytes > self.free() {
            return Err(OrderError::NoRoom);
        }
        self.loading.insert(order.id.clone(), order.bytes);
        Ok(())
    }

    /// Finishes an order and returns the new sequence number.
    pub fn finish_order(&mut self, order: &Order) -> u64 {
        self.loading.remove(&order.id);
        match order.kind {
            OrderKind::Load | OrderKind::LoadAdapter => {
                self.residents.insert(resident_key(order), order.bytes);
            }
            OrderKind::Unload => self.residents.retain(|(model, _), _| *model != order.model),
            OrderKind::UnloadAdapter => {
                self.residents.remove(&resident_key(order));
            }
        }
        self.sequence += 1;
        self.sequence
    }

    /// Returns whether a model is resident.
    pub fn is_resident(&self, model: &Model) -> bool {
        self.residents.contains_key(&(model.clone(), None))
    }

    /// Returns the number of free bytes.
    fn free(&self) -> u64 {
        let used: u64 = self.residents.values().chain(self.loading.values()).sum();
        self.capacity_bytes.saturating_sub(used)
    }

    /// Returns a report of the memory; the caller sets the incarnation and the running requests.
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

fn resident_key(order: &Order) -> ResidentKey {
    (order.model.clone(), order.adapter.clone())
}
