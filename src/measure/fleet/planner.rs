//! The planner's rounds.

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

/// State of the planner.
pub struct PlannerState {
    policy: &'static dyn PlacementPolicy,
    planning: Planning,
    keepers: BTreeMap<Model, EndpointId>,
}

impl PlannerState {
    /// Creates the state of a planner that just took the duty.
    pub fn new(config: &Config, policy: &str) -> Self {
        Self {
            policy: registry::placement(policy).unwrap_or(&Marginal),
            planning: Planning::new(config.weight_store, Time(0)),
            keepers: BTreeMap::new(),
        }
    }
}

impl Fleet<'_> {
    /// Decides and orders the steps of one round.
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

    fn apply_step(&mut self, step: &Step) -> bool {
        let (endpoint, model) = step.target();
        let Some(position) = self.positions.get(endpoint).copied() else { return false };
        let engine = &mut self.endpoints[position].engine;
        if !step.is_load() {
            let elsewhere = self.planner.keepers.get(model).is_some_and(|id| id != endpoint);
            return elsewhere && engine.unload(model);
        }
        let incarnation = engine.incarnation;
        let Some(time) = engine.start_load(model, &self.config.models[model]) else { return false };
        let event = Event::Loaded { endpoint: position, model: model.clone(), incarnation };
        self.events.add(self.now + time, event);
        self.score.record_load(self.now);
        true
    }
}
