//! The cost of unloading models from engines.

use std::{collections::HashMap, sync::Arc};

use super::{ABSENCE_COST, IDLE_DEMAND, Layout, RECENT_DEMAND};
use crate::kernel::grants::Endpoint;

/// Cost in squared utilization of each running request of a model to unload, since the load waits
/// for its end.
const RUN_DRAIN_COST: f64 = 0.02;

/// Cost in squared utilization of reloading a model from the engine's own memory or disk.
const LOCAL_LOAD_COST: f64 = 0.005;

/// Cost in squared utilization of reloading a model from the weight store.
const STORE_LOAD_COST: f64 = 0.02;

/// Cost in squared utilization of unloading the last replica of a model that is in demand.
const IN_DEMAND_COST: f64 = 0.15;

/// A model at an engine that may be unloaded there.
pub(super) struct Unloadable {
    pub model: Arc<str>,
    pub weights_mb: f64,
    /// Cost of unloading it, in squared utilization, for the choice among the engine's models.
    pub cost: f64,
    /// Demand that the engine loses.
    pub freed: f64,
    /// By how much the squared utilizations of the model's other engines grow, and the cost of its
    /// absence if there is none.
    pub burden: f64,
    pub has_runs: bool,
}

impl Layout<'_> {
    /// Recomputes what unloading each model would cost at these engines.
    pub(super) fn update_unloadable(&mut self, indices: impl Iterator<Item = usize>) {
        let sums = self.utilization_sums();
        for index in indices {
            if !self.states[index].changing {
                self.states[index].unloadable = self.unloadable(index, &sums);
            }
        }
    }

    /// Returns the models that an engine may unload, the cheapest first.
    fn unloadable(&self, index: usize, sums: &HashMap<Arc<str>, f64>) -> Vec<Unloadable> {
        let engine = self.engines[index];
        let mut unloadable: Vec<Unloadable> = engine
            .replicas
            .keys()
            .map(|model| {
                let runs = engine.running_count(model);
                let (freed, burden) = self.unload_effect(index, model, sums);
                Unloadable {
                    model: model.clone(),
                    weights_mb: engine.held_size(model, self.input.spec).weights_mb,
                    cost: self.unload_cost(engine, model) + RUN_DRAIN_COST * runs as f64,
                    freed,
                    burden,
                    has_runs: runs > 0,
                }
            })
            .collect();
        unloadable.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        unloadable
    }

    /// Returns the demand that an engine loses by unloading a model, and by how much the squared
    /// utilizations of the model's other engines grow. The last replica costs its absence instead.
    fn unload_effect(
        &self,
        index: usize,
        model: &str,
        sums: &HashMap<Arc<str>, f64>,
    ) -> (f64, f64) {
        let is_last = self.usable_replicas.get(model).is_none_or(|count| *count <= 1);
        let absence = if is_last { self.absence_cost(self.engines[index], model) } else { 0.0 };
        let Some(replicas) = self.replicas.get(model).filter(|it| it.contains(&index)) else {
            return (0.0, absence);
        };
        let (demand, count) = (self.demand_of(model), replicas.len() as f64);
        let freed = demand / count;
        if replicas.len() == 1 {
            return (freed, absence);
        }
        let growth = demand / (count - 1.0) - freed;
        let others = sums.get(model).copied().unwrap_or(0.0) - self.states[index].utilization;
        (freed, 2.0 * growth * others + (count - 1.0) * growth.powi(2) + absence)
    }

    /// Returns the cost of unloading a model at an engine, in squared utilization.
    fn unload_cost(&self, engine: &Endpoint, name: &str) -> f64 {
        let demand = self.demand_of(name);
        let count = self.usable_replicas.get(name).copied().unwrap_or(0) as f64;
        if count > 1.0 {
            return demand.powi(2) / (count * (count - 1.0));
        }
        self.absence_cost(engine, name)
    }

    /// Returns the cost of unloading the last replica of a model, in squared utilization.
    ///
    /// The cost is low if the model has no demand or can be reloaded within a second. For other
    /// models it exceeds what an urgent model may cost, so that two models do not keep replacing
    /// each other.
    fn absence_cost(&self, engine: &Endpoint, name: &str) -> f64 {
        let demand = self.demand_of(name);
        let local = engine.has_local_weights(name);
        let reload_cost = match () {
            () if local && demand < IDLE_DEMAND => LOCAL_LOAD_COST,
            () if demand <= RECENT_DEMAND => STORE_LOAD_COST,
            () => IN_DEMAND_COST,
        };
        reload_cost + ABSENCE_COST * demand
    }
}
