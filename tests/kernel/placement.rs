//! Tests of placement: every model keeps a replica, the limits of the weight store hold, and no
//! engine's memory is overcommitted.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use cardamomshore::{
    clock::Time,
    config::WeightStoreLimits,
    kernel::{
        placement::{
            Averages, EngineState, LoadPermits, Marginal, Need, PlacementPolicy, Planning, Static,
            Step, View, keeper_moves,
        },
        registry,
    },
    names::{EndpointId, Model},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Number of rounds that an engine takes to carry out an order.
const ORDER_ROUNDS: u32 = 8;

/// Number of rounds by which the planner's view lags behind the engines.
const LAG_ROUNDS: usize = 3;
const STORE_LIMITS: WeightStoreLimits = WeightStoreLimits { load_rate: 2.0, max_loads: 6 };

/// A planner and engines that take some rounds to carry out its steps.
struct Fleet {
    /// Actual state of the engines.
    view: View,
    /// Past states, of which the planner sees the oldest one.
    history: VecDeque<View>,
    /// Memory of each engine in bytes.
    memory: BTreeMap<EndpointId, u64>,
    /// Open orders with the rounds that they still take.
    open: Vec<(Step, u32)>,
    /// Endpoint that must not unload each model.
    keepers: BTreeMap<Model, EndpointId>,
    planning: Planning,
    now: Time,
    /// When each load started.
    loads: Vec<Time>,
    /// Number of unloads that the engines began.
    unloads: u32,
    /// Number of loads that a steward refused.
    refusals: u32,
}

impl Fleet {
    /// Creates engines spread over the data centres, and models of `bytes` bytes each.
    fn new(engines: u32, data_centres: u32, memory: u64, models: u32, bytes: u64) -> Self {
        let states = (0..engines).map(|i| EngineState {
            endpoint: format!("e-{i:02}").into(),
            pool: "assistant".into(),
            data_centre: format!("dc-{}", i % data_centres).into(),
            in_service: true,
            free: memory,
            freeing: 0,
            resident: BTreeSet::new(),
            loading: BTreeSet::new(),
            load: 800,
        });
        let need = Need { pool: "assistant".into(), bytes, demand: 300.0, waiting: 0 };
        let needs = (0..models).map(|i| (format!("m-{i:02}").into(), need.clone()));
        let view = View { engines: states.collect(), needs: needs.collect(), may_exchange: true };
        Self {
            memory: view.engines.iter().map(|engine| (engine.endpoint.clone(), memory)).collect(),
            view,
            history: VecDeque::new(),
            open: Vec::new(),
            keepers: BTreeMap::new(),
            planning: Planning::new(STORE_LIMITS, Time(0)),
            now: Time(0),
            loads: Vec::new(),
            unloads: 0,
            refusals: 0,
        }
    }

    fn run(&mut self, policy: &dyn PlacementPolicy, rounds: u32) {
        for _ in 0..rounds {
            self.round(policy);
            self.check();
        }
    }

    fn round(&mut self, policy: &dyn PlacementPolicy) {
        self.now = self.now + ROUND_INTERVAL;
        self.finish_orders();
        self.history.push_back(self.view.clone());
        if self.history.len() <= LAG_ROUNDS {
            return;
        }
        let Some(seen) = self.history.pop_front() else { return };
        for moved in keeper_moves(&seen, &self.keepers) {
            // The planner's transaction fails if the new keeper's record shows an intent to unload.
            let to = self.view.engine(&moved.to);
            if to.is_some_and(|engine| engine.resident.contains(&moved.model)) {
                self.keepers.insert(moved.model, moved.to);
            }
        }
        let steps = self.planning.steps(policy, &seen, &self.keepers, self.now);
        for step in steps {
            self.start_order(step);
        }
    }

    fn start_order(&mut self, step: Step) {
        let (endpoint, model) = step.target();
        let bytes = self.view.needs[model].bytes;
        let kept_elsewhere = self.keepers.get(model).is_some_and(|keeper| keeper != endpoint);
        let engine = self.view.engines.iter_mut().find(|s| s.endpoint == *endpoint).unwrap();
        if step.is_load() {
            if engine.free < bytes || engine.has_or_loads(model) {
                // The steward refuses a load that does not fit or has no effect.
                self.refusals += 1;
                return self.planning.record_refused(&step);
            }
            engine.free -= bytes;
            engine.loading.insert(model.clone());
            self.loads.push(self.now);
        } else {
            assert!(kept_elsewhere, "{step:?} unloads the last replica");
            if !engine.resident.remove(model) {
                return self.planning.record_refused(&step);
            }
            self.unloads += 1;
        }
        self.open.push((step, ORDER_ROUNDS));
    }

    fn finish_orders(&mut self) {
        for (_, rounds) in &mut self.open {
            *rounds -= 1;
        }
        let done: Vec<Step> =
            self.open.extract_if(.., |(_, rounds)| *rounds == 0).map(|(step, _)| step).collect();
        for step in done {
            let (endpoint, model) = step.target();
            let bytes = self.view.needs[model].bytes;
            let engine = self.view.engines.iter_mut().find(|s| s.endpoint == *endpoint).unwrap();
            if !step.is_load() {
                engine.free += bytes;
            } else if engine.loading.remove(model) {
                engine.resident.insert(model.clone());
            }
        }
    }

    fn crash(&mut self, position: usize) {
        let engine = &mut self.view.engines[position];
        engine.resident.clear();
        engine.loading.clear();
        engine.free = self.memory[&engine.endpoint];
        let endpoint = engine.endpoint.clone();
        self.open.retain(|(step, _)| *step.target().0 != endpoint);
    }

    fn set_in_service(&mut self, data_centre: &str, in_service: bool) {
        for engine in self.view.engines.iter_mut().filter(|s| s.data_centre.as_str() == data_centre)
        {
            engine.in_service = in_service;
        }
    }

    fn check(&self) {
        for engine in &self.view.engines {
            let used_bytes =
                engine.resident.union(&engine.loading).map(|m| self.view.needs[m].bytes);
            assert!(used_bytes.sum::<u64>() + engine.free <= self.memory[&engine.endpoint]);
        }
        assert!(self.view.open_loads() <= STORE_LIMITS.max_loads as usize);
        let recent = self.loads.iter().filter(|at| self.now.since(**at) < Duration::from_secs(1));
        assert!(recent.count() as f64 <= STORE_LIMITS.load_rate + 1.0);
    }

    fn replica_count(&self, model: &str) -> usize {
        self.view.resident_replicas(&model.into()).count()
    }

    /// Returns the number of models without a replica in service.
    fn missing_models(&self) -> usize {
        self.view
            .needs
            .keys()
            .filter(|model| self.view.resident_replicas(model).count() == 0)
            .count()
    }
}

#[test]
fn marginal_reaches_every_model_in_two_data_centres() {
    let mut fleet = Fleet::new(8, 4, 100, 30, 10);
    for need in fleet.view.needs.values_mut() {
        need.demand = 0.0;
    }
    fleet.run(&Marginal, 400);
    assert_eq!(fleet.refusals, 0);
    for model in fleet.view.needs.keys() {
        let data_centres: BTreeSet<_> =
            fleet.view.resident_replicas(model).map(|s| &s.data_centre).collect();
        assert!(data_centres.len() >= 2, "{model} has replicas in fewer than two data centres");
    }
}

#[test]
fn marginal_lost_replica_gets_first_permits() {
    let mut fleet = Fleet::new(4, 2, 100, 16, 10);
    fleet.run(&Marginal, 400);
    let busy = fleet.view.needs.get_mut("m-00").unwrap();
    busy.demand = 150_000.0;
    let positions: Vec<usize> =
        (0..4).filter(|i| fleet.view.engines[*i].resident.contains("m-09")).collect();
    for position in positions {
        fleet.crash(position);
    }
    let missing_models = fleet.missing_models();
    assert!(missing_models > 0);
    fleet.loads.clear();
    let rounds = LAG_ROUNDS as u32 + ORDER_ROUNDS + missing_models as u32 * 2 + 2;
    fleet.run(&Marginal, rounds);
    assert_eq!(fleet.missing_models(), 0, "not loaded in the time that the store's rate allows");
}

#[test]
fn marginal_follows_demand_but_not_small_swings() {
    let mut fleet = Fleet::new(8, 4, 60, 20, 10);
    fleet.run(&Marginal, 400);
    let before = fleet.replica_count("m-03");
    fleet.view.needs.get_mut("m-03").unwrap().demand = 12_000.0;
    fleet.run(&Marginal, 2_000);
    assert!(
        fleet.replica_count("m-03") > before,
        "the demand rose, but the model still has {before} replicas or fewer"
    );
    let mut loads = 0;
    for i in 0..60_u32 {
        if i == 20 {
            // The free memory is filled by now, so only an exchange could load more.
            loads = fleet.loads.len();
        }
        for (model, need) in fleet.view.needs.iter_mut().filter(|(m, _)| m.as_str() != "m-03") {
            let odd = (model.as_str().as_bytes()[3] as u32 + i).is_multiple_of(2);
            need.demand = if odd { 450.0 } else { 150.0 };
        }
        fleet.run(&Marginal, 20);
    }
    assert_eq!(fleet.loads.len(), loads, "a small swing of demand must not move models");
}

#[test]
fn marginal_makes_room_for_lost_model() {
    let mut fleet = Fleet::new(2, 2, 30, 4, 10);
    fleet.run(&Marginal, 200);
    assert_eq!(fleet.missing_models(), 0);
    let need = fleet.view.needs["m-00"].clone();
    fleet.view.needs.insert("m-new".into(), need);
    fleet.run(&Marginal, 100);
    assert_eq!(fleet.missing_models(), 0, "a model has no replica after {} unloads", fleet.unloads);
    assert!(fleet.unloads > 0);
}

#[test]
fn marginal_data_centre_out_and_back() {
    let mut fleet = Fleet::new(8, 4, 100, 16, 10);
    fleet.run(&Marginal, 400);
    fleet.set_in_service("dc-1", false);
    assert_eq!(fleet.missing_models(), 0, "each model has replicas in two data centres");
    fleet.run(&Marginal, 200);
    for keeper in fleet.keepers.values() {
        assert!(fleet.view.engine(keeper).unwrap().in_service);
    }
    fleet.set_in_service("dc-1", true);
    fleet.run(&Marginal, 200);
    assert_eq!(fleet.missing_models(), 0);
}

#[test]
fn planning_any_history_keeps_limits() {
    let event = (0..4_u8, 0..6_usize, 0..12_u32, 1..40_u32);
    let history = prop::collection::vec(event, 1..12);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(25), rng);
    let result = runner.run(&history, |history| {
        for policy in [&Marginal as &dyn PlacementPolicy, &Static] {
            let mut fleet = Fleet::new(6, 3, 50, 12, 10);
            for (kind, position, model, rounds) in &history {
                let name = format!("m-{model:02}");
                match kind {
                    0 => fleet.crash(*position),
                    1 => fleet.set_in_service(&format!("dc-{}", position % 3), false),
                    2 => fleet.set_in_service(&format!("dc-{}", position % 3), true),
                    _ => fleet.view.needs.get_mut(name.as_str()).unwrap().demand = 18_000.0,
                }
                fleet.run(policy, *rounds);
            }
            for data_centre in 0..3 {
                fleet.set_in_service(&format!("dc-{data_centre}"), true);
            }
            fleet.run(policy, 200);
            prop_assert_eq!(fleet.missing_models(), 0);
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn permits_hold_across_planners() {
    let mut permits = LoadPermits::new(STORE_LIMITS, Time(0));
    assert!(!permits.take(0, Time(0)), "a new planner has no unused permits");
    let later = Time::from_millis(60_000);
    assert!(!permits.take(6, later), "the open loads of the last planner count");
    assert!(permits.take(5, later));
    assert!(!permits.take(5, later), "permits of the idle time must not add up to a burst");
}

#[test]
fn averages_follow_bursts_and_outlast_pauses() {
    let mut averages = Averages::default();
    for i in 0..600_u64 {
        averages.record(10, Time::from_millis(i * 100));
    }
    let end = Time::from_millis(60_000);
    assert!((90.0..110.0).contains(&averages.fast(end)));
    let paused = end + Duration::from_secs(60);
    assert!(averages.fast(paused) < 1.0 && averages.slow(paused) > 10.0);
}

#[test]
fn registry_finds_each_placement_policy() {
    for name in ["marginal", "static"] {
        assert!(registry::placement(name).is_some(), "{name}");
    }
}
