//! What a scheduler takes an engine to hold, for logs.

use std::fmt;

use super::{Endpoint, EngineReport, Incarnation};

/// What an engine holds, as a scheduler knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Holdings {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Orders that the engine has accepted since its start.
    pub orders: u64,
    /// Models that are loaded.
    pub models: usize,
    /// Adapters that are loaded or being loaded.
    pub adapters: usize,
    /// Whether a model is being loaded.
    pub is_loading: bool,
}

impl Holdings {
    /// Returns what the scheduler knows of an endpoint.
    pub(super) fn of(endpoint: &Endpoint) -> Self {
        Self {
            incarnation: endpoint.info.incarnation,
            orders: endpoint.order_count,
            models: endpoint.replicas.len(),
            adapters: endpoint.adapter_count(),
            is_loading: endpoint.loading.is_some(),
        }
    }

    /// Returns whether a report shows the same numbers.
    pub fn matches(&self, report: &EngineReport) -> bool {
        self.orders == report.orders
            && self.models == report.models.len()
            && self.adapters == report.adapter_count()
            && self.is_loading == report.busy
    }
}

impl fmt::Display for Holdings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { incarnation: Incarnation(incarnation), orders, models, adapters, is_loading } =
            self;
        write!(
            f,
            "incarnation={incarnation} orders={orders} models={models} adapters={adapters} \
             is_loading={is_loading}"
        )
    }
}

impl EngineReport {
    /// Returns how many adapters are loaded or being loaded.
    pub fn adapter_count(&self) -> usize {
        let loaded: usize = self.models.iter().map(|(_, adapters)| adapters.len()).sum();
        loaded + self.loading_adapters.len()
    }
}
