//! The planner, which decides which models are loaded on which engines.

use std::collections::BTreeMap;

use super::{Fleet, events::Event};
use crate::{
    clock::Time,
    config::Config,
    kernel::{
        placement::{Marginal, PlacementPolicy, Planning, Step, View, keeper_moves},
        registry,
    },
    names::{EndpointId, Model},
};

/// The state of the planner.
pub struct PlannerState {
    policy: &'static dyn PlacementPolicy,
    planning: Planning,
    /// Endpoint that keeps a replica of each model.
    keepers: BTreeMap<Model, EndpointId>,
}

impl PlannerState {
    /// Creates the state of an instance that just became the planner.
    pub fn new(config: &Config, policy: &str) -> Self {
        Self {
            policy: registry::placement(policy).unwrap_or(&Marginal),
            planning: Planning::new(config.weight_store, Time(0)),
            keepers: BTreeMap::new(),
        }
    }
}

impl Fleet<'_> {
    /// Decides the loads and unloads of one round and carries them out.
    pub fn run_planner(&mut self) {
        let view = View::new(&self.config, &self.directory);
        for moved in keeper_moves(&view, &self.planner.keepers) {
            self.planner.keepers.insert(moved.model, moved.to);
        }
        let planner = &mut self.planner;
        let steps = planner.planning.steps(planner.policy, &view, &planner.keepers, self.now);
        for step in steps {
            if !self.apply_step(&step) {
                self.planner.planning.record_refused(&step);
            }
        }
    }

    /// Carries out a load or unload and returns whether the endpoint accepted it.
    fn apply_step(&mut self, step: &Step) -> bool {
        let (endpoint, model) = step.target();
        let Some(position) = self.positions.get(endpoint).copied() else { return false };
        let engine = &mut self.endpoints[position].engine;
        if !step.is_load() {
            let is_kept_elsewhere =
                self.planner.keepers.get(model).is_some_and(|id| id != endpoint);
            return is_kept_elsewhere && engine.unload(model);
        }
        let incarnation = engine.incarnation;
        let Some(load_time) = engine.start_load(model, &self.config.models[model]) else {
            return false;
        };
        let event = Event::Loaded { endpoint: position, model: model.clone(), incarnation };
        self.events.add(self.now + load_time, event);
        self.score.record_load(self.now);
        true
    }
}
