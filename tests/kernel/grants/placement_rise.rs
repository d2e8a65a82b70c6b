//! Placement while the demand for a model rises to that of many engines.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cardamomshore::{
    catalog::{Catalog, EngineSpec, ModelSpec, Service},
    clock::Time,
    kernel::grants::{
        Action, Command, Demand, EndpointEntry, EngineReport, OrderResult, Scheduler,
    },
};

use super::fleet::{LEADING, START, engine, key, limits, model_request};

const ENGINES: usize = 140;
const MODELS: usize = 250;
const LOAD_RATE: f64 = 20.0;
const LOAD_TIME: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(20);

fn catalog() -> Arc<Catalog> {
    let model = ModelSpec {
        weights_mb: 70_000.0,
        adapter_mb: 66.0,
        load_time: LOAD_TIME,
        disk_time: Duration::from_millis(2_000),
        memory_time: Duration::from_millis(1_000),
    };
    let spec = EngineSpec {
        slots: 32,
        kv_tokens: 190_000,
        weights_mb: 230_000.0,
        adapter_slots: 8,
        load_rate: LOAD_RATE,
        models: (0..MODELS).map(|n| (Arc::from(format!("m{n}")), model.clone())).collect(),
        fetch: None,
    };
    let service = Service { name: "llm".into(), cold_rate: 0.0, scaling: None, engine: Some(spec) };
    let services = HashMap::from([(service.name.clone(), Arc::new(service))]);
    Arc::new(Catalog { version: 1, services, ..Catalog::default() })
}

/// A simulated fleet whose engines carry out each order at once, or after the load time.
struct Fleet {
    scheduler: Scheduler,
    now: Time,
    number: u64,
    /// When loads from the weight store were ordered.
    loads: Vec<Time>,
    /// Loads under way: when each ends, its engine and its model.
    loading: Vec<(Time, Arc<str>, Arc<str>)>,
    /// Models of each engine.
    models: HashMap<Arc<str>, Vec<Arc<str>>>,
    /// Orders that each engine has accepted.
    orders: HashMap<Arc<str>, u64>,
}

impl Fleet {
    /// Creates engines with three models each, spread over all models.
    fn new() -> Self {
        let names = |number: usize| -> Vec<String> {
            (0..3).map(|i| format!("m{}", (number * 3 + i) % MODELS)).collect()
        };
        let entries: Vec<EndpointEntry> = (0..ENGINES)
            .map(|number| {
                let names = names(number);
                let names: Vec<&str> = names.iter().map(String::as_str).collect();
                let entry = engine(&format!("e{number:03}"), &names);
                EndpointEntry { on_disk: Vec::new(), ..entry }
            })
            .collect();
        let models = entries.iter().map(|entry| {
            (entry.id.clone(), entry.models.iter().map(|(model, _)| model.clone()).collect())
        });
        let models = models.collect();
        let mut scheduler = Scheduler::new(limits(), LEADING, START - Duration::from_secs(60));
        scheduler.set_catalog(catalog());
        scheduler.set_endpoints(entries, START);
        Self {
            scheduler,
            now: START,
            number: 0,
            loads: Vec::new(),
            loading: Vec::new(),
            models,
            orders: HashMap::new(),
        }
    }

    fn copies(&self, model: &str) -> usize {
        self.models.values().filter(|models| models.iter().any(|name| &**name == model)).count()
    }

    /// Plays a time in which requests for a model ask for `work` seconds of work a second.
    fn play(&mut self, model: &str, work: f64, length: Duration) {
        // A request for a prompt of 8,000 tokens counts as 0.1 s of work.
        let per_step = work / 0.1 * STEP.as_secs_f64();
        let end = self.now + length;
        let mut due = 0.0;
        while self.now < end {
            due += per_step;
            while due >= 1.0 {
                due -= 1.0;
                self.number += 1;
                let mut request = model_request(model, 8_000, self.now);
                request.team = None;
                let actions = self.scheduler.handle_request(key(self.number), request, self.now);
                self.carry_out(actions);
            }
            self.end_loads();
            let actions = self.scheduler.tick(self.now);
            self.carry_out(actions);
            self.now = self.now + STEP;
        }
    }

    fn end_loads(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.loading.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, engine, model) in ended {
            self.models.entry(engine).or_default().push(model);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Report { endpoint, .. } => {
                    let models = self.models[&endpoint].iter();
                    let report = EngineReport {
                        models: models.map(|model| (model.clone(), Vec::new())).collect(),
                        orders: self.orders.get(&endpoint).copied().unwrap_or(0),
                        busy: self.loading.iter().any(|(_, engine, _)| *engine == endpoint),
                        ..EngineReport::default()
                    };
                    self.scheduler.handle_report(&endpoint, Some(report), self.now);
                }
                Action::Order { endpoint, order, .. } => {
                    *self.orders.entry(endpoint.clone()).or_default() += 1;
                    match &order.command {
                        Command::Load { model } => {
                            self.loads.push(self.now);
                            let ready = self.now + LOAD_TIME;
                            self.loading.push((ready, endpoint.clone(), model.clone()));
                        }
                        Command::Unload { model } => {
                            let models = self.models.entry(endpoint.clone()).or_default();
                            models.retain(|name| name != model);
                        }
                        Command::LoadAdapter { .. } | Command::UnloadAdapter { .. } => {}
                    }
                    let result = OrderResult::Accepted;
                    self.scheduler.handle_order_result(&endpoint, &order, result, self.now);
                }
                Action::Grant(..) | Action::Refuse(..) => {}
            }
        }
    }

    /// Returns the most loads that were ordered in any five seconds.
    fn most_loads_in_window(&self) -> usize {
        let window = Duration::from_secs(5);
        let count = |at: &Time| {
            self.loads.iter().filter(|it| **it >= *at && it.since(*at) < window).count()
        };
        self.loads.iter().map(count).max().unwrap_or(0)
    }
}

#[test]
fn demand_rise_seen_before_average_follows() {
    // Guards against a rise that is planned for only after the average over 2.5 s has followed it.
    let model: Arc<str> = "m0".into();
    let mut demand = Demand::default();
    let mut now = START;
    for _ in 0..100 {
        demand.record(&model, Duration::from_millis(100), now);
        now = now + Duration::from_millis(5);
    }
    assert!(demand.rate(&model, now) < 5.0);
    assert!(demand.expected(&model, now) > 7.0, "{}", demand.expected(&model, now));
}

#[test]
fn demand_single_request_is_no_rise() {
    // Guards against loads for a model that is requested once in a while.
    let model: Arc<str> = "m0".into();
    let mut demand = Demand::default();
    demand.record(&model, Duration::from_millis(100), START);
    let (rate, expected) = (demand.rate(&model, START), demand.expected(&model, START));
    assert!(expected <= rate * 1.01, "{expected} for a rate of {rate}");
}

#[test]
fn plan_rise_to_many_engines_gets_copies_in_load_time() {
    let mut fleet = Fleet::new();
    fleet.play("m7", 40.0, LOAD_TIME + Duration::from_millis(1_500));
    let copies = fleet.copies("m7");
    assert!(copies >= 25, "{copies} copies for 40 s of work a second");
    assert!(fleet.most_loads_in_window() as f64 <= LOAD_RATE * 5.0 * 1.1 + 3.0);
}

#[test]
fn plan_second_rise_gets_copies_beside_first() {
    let mut fleet = Fleet::new();
    fleet.play("m7", 40.0, Duration::from_secs(8));
    fleet.play("m9", 40.0, Duration::from_secs(8));
    let (first, second) = (fleet.copies("m7"), fleet.copies("m9"));
    assert!(second >= 25, "{second} copies of the second model, {first} of the first");
    assert!(fleet.most_loads_in_window() as f64 <= LOAD_RATE * 5.0 * 1.1 + 3.0);
}

#[test]
fn plan_rise_keeps_a_copy_of_each_model() {
    let mut fleet = Fleet::new();
    fleet.play("m7", 40.0, Duration::from_secs(8));
    fleet.play("m3", 0.5, Duration::from_secs(8));
    assert!(fleet.copies("m3") >= 1, "a model that is asked for has a copy");
}
