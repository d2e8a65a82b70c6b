//! Benchmarks of the leader's decisions, by the size of the fleet and the length of its queue.

use std::{collections::HashMap, hint::black_box, net::Ipv4Addr, sync::Arc, time::Duration};

use cardamomshore::{
    catalog::{Catalog, EngineSpec, FetchSpec, ModelSpec, Service},
    clock::Time,
    kernel::grants::{
        Action, EndpointEntry, EngineReport, GrantKey, GrantRequest, Incarnation, Mode, ModelWork,
        Outcome, RetryLimits, Scheduler, SchedulerLimits, VersionNeed,
    },
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const START: Time = Time::from_millis(100_000);
const MODELS: usize = 240;

/// Engines that fetch prompt parts from one another.
const FETCH: FetchSpec = FetchSpec { token_bytes: 163_840.0, link_mbps: 700_000.0 };

fn catalog(fetch: Option<FetchSpec>) -> Arc<Catalog> {
    let spec = ModelSpec {
        weights_mb: 70_000.0,
        adapter_mb: 66.0,
        load_time: Duration::from_secs(4),
        disk_time: Duration::from_millis(800),
        memory_time: Duration::from_millis(400),
    };
    let engine = EngineSpec {
        slots: 48,
        kv_tokens: 196_000,
        weights_mb: 200_000.0,
        adapter_slots: 8,
        load_rate: 20.0,
        models: (0..MODELS).map(|number| (model(number), spec.clone())).collect(),
        fetch,
    };
    let service =
        Service { name: "llm".into(), cold_rate: 6.0, engine: Some(engine), scaling: None };
    let services = HashMap::from([(service.name.clone(), Arc::new(service))]);
    Arc::new(Catalog { version: 1, services, keys_required: true, ..Catalog::default() })
}

fn model(number: usize) -> Arc<str> {
    format!("model-{number:03}").into()
}

fn engine(number: usize) -> EndpointEntry {
    let models: Vec<Arc<str>> = (0..2).map(|i| model((number * 2 + i) % MODELS)).collect();
    EndpointEntry {
        id: format!("engine-{number:04}").into(),
        version: "v1".into(),
        incarnation: Incarnation(1),
        service: "llm".into(),
        address: (Ipv4Addr::from_bits(0x0a00_0001 + number as u32), 8_000).into(),
        data_centre: format!("dc-{}", number % 4).into(),
        slots: 48,
        draining: false,
        removed_in: None,
        cold_remaining: Duration::ZERO,
        models: models.iter().map(|model| (model.clone(), Vec::new())).collect(),
        in_memory: Vec::new(),
        on_disk: models,
    }
}

/// How the models of the requests are distributed.
#[derive(Clone, Copy)]
enum Spread {
    /// Each model gets as many requests.
    Even,
    /// One model gets half of the requests.
    Half,
}

impl Spread {
    /// Returns the model of the request `number`.
    fn model(self, number: u64) -> Arc<str> {
        match self {
            Spread::Half if number.is_multiple_of(2) => model(7),
            Spread::Even | Spread::Half => model(number as usize / 2 % MODELS),
        }
    }
}

/// A load of the leader.
#[derive(Clone, Copy)]
struct Case {
    /// Queued requests.
    waiting: usize,
    spread: Spread,
    label: &'static str,
    /// How engines fetch prompt parts; `None` if they do not.
    fetch: Option<FetchSpec>,
}

fn request(number: u64, spread: Spread, now: Time) -> GrantRequest {
    let work = ModelWork {
        model: spread.model(number),
        adapter: number.is_multiple_of(3).then(|| format!("adapter-{}", number % 600).into()),
        parts: vec![(number % 977, 2_500), (number, 3_800)],
        prompt_tokens: 9_190,
        output_tokens: 50,
    };
    GrantRequest {
        service: "llm".into(),
        data_centre: "dc-1".into(),
        team: None,
        charge: 10_000,
        priority: 1,
        due: now + Duration::from_millis(800),
        deadline: now + Duration::from_secs(50_000),
        max_pause: Some(Duration::from_millis(400)),
        work: Some(work),
        tried: Vec::new(),
        is_retry: false,
        fingerprint: number,
        stream: None,
        version: VersionNeed::Any,
    }
}

fn key(number: u64) -> GrantKey {
    GrantKey { instance: "entry".into(), number }
}

/// Returns a leader with `waiting` queued requests, the keys of the running ones and the last
/// number used.
///
/// The deadlines are so far away that no queued request expires in the run.
fn leader(engines: usize, case: Case) -> (Scheduler, Vec<GrantKey>, u64) {
    let Case { waiting, spread, fetch, .. } = case;
    let limits = SchedulerLimits {
        retries: RetryLimits { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10) },
        load_window: Duration::from_secs(5),
        rate_slack: 110_000.0,
    };
    let mut scheduler =
        Scheduler::new(limits, Mode::Leading { may_order: true, share: 1.0 }, START);
    scheduler.set_instance("leader".into());
    scheduler.set_catalog(catalog(fetch));
    scheduler.set_endpoints((0..engines).map(engine).collect(), START);
    for action in scheduler.tick(START) {
        let Action::Report { endpoint, .. } = action else { continue };
        let known = scheduler.endpoints().find(|known| known.info.id == endpoint);
        let models = known.map(|known| known.snapshot(START).models).unwrap_or_default();
        scheduler.handle_report(
            &endpoint,
            Some(EngineReport { models, ..EngineReport::default() }),
            START,
        );
    }
    let mut running = Vec::new();
    let mut number = 0;
    while scheduler.queue_len() < waiting && number < 100_000 {
        number += 1;
        for action in scheduler.handle_request(key(number), request(number, spread, START), START) {
            if let Action::Grant(key, _) = action {
                running.push(key);
            }
        }
    }
    (scheduler, running, number)
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("grants");
    let even = Case { waiting: 0, spread: Spread::Even, label: "evenly", fetch: None };
    let crowded = [0, 400, 2_000, 10_000].map(|waiting| Case { waiting, ..even });
    let half = Case { spread: Spread::Half, label: "half for one", ..even };
    let one_model = [400, 2_000, 10_000].map(|waiting| Case { waiting, ..half });
    let fetching = Case { label: "evenly, with fetches", fetch: Some(FETCH), ..even };
    let fetching = [0, 2_000].map(|waiting| Case { waiting, ..fetching });
    let cases: Vec<Case> = crowded.into_iter().chain(one_model).chain(fetching).collect();
    for (engines, case) in
        [140, 1_200].into_iter().flat_map(|engines| cases.iter().map(move |case| (engines, *case)))
    {
        let Case { waiting, spread, label, .. } = case;
        let name = format!("{engines} engines, {waiting} waiting, {label}");
        let (mut scheduler, mut running, mut number) = leader(engines, case);
        assert_eq!(scheduler.queue_len(), waiting, "the queue of {name}");
        let mut now = START + Duration::from_millis(1);
        group.bench_function(BenchmarkId::new("ask and done", &name), |bencher| {
            bencher.iter(|| {
                number += 1;
                now = now + Duration::from_micros(2);
                let mut actions =
                    scheduler.handle_request(key(number), request(number, spread, now), now);
                if let Some(key) = running.pop() {
                    actions.extend(scheduler.handle_outcome(&key, Outcome::Whole, now));
                }
                for action in black_box(actions) {
                    if let Action::Grant(key, _) = action {
                        running.push(key);
                    }
                }
                if scheduler.queue_len() > waiting {
                    scheduler.cancel_waiting(&key(number));
                }
            });
        });
        group.bench_function(BenchmarkId::new("tick", &name), |bencher| {
            bencher.iter(|| black_box(scheduler.tick(now)));
        });
        group.bench_function(BenchmarkId::new("tick with plan", &name), |bencher| {
            bencher.iter(|| {
                now = now + Duration::from_millis(200);
                black_box(scheduler.tick(now))
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10).measurement_time(Duration::from_secs(1)).warm_up_time(Duration::from_millis(200));
    targets = decisions
}
criterion_main!(benches);
