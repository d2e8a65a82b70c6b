//! Benchmarks of the decisions for each request and of the periodic work, by the size of the fleet.

use std::{hint::black_box, time::Duration};

use cardamomshore::{
    clock::Time,
    config::{Config, WeightStoreLimits},
    kernel::{
        dispatch::{Queue, Slack, Ticket},
        placement::{Marginal, Planning, View, keeper_moves},
        routing::{Directory, Replica, RoutingInput, RoutingPolicy, TwoChoices},
        shares::{TOTAL_PARTS, TeamLimits, TeamShare},
    },
    wire::{Body, Chunk, Digest, EndpointDigest, Frame},
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use prost::Message;

const MODELS: usize = 390;
const PER_STEWARD: usize = 12;
const PER_ENDPOINT: usize = 8;

/// Returns the digest of one steward of twelve endpoints.
fn digest(steward: usize, number: u64) -> Digest {
    let endpoints = (0..PER_STEWARD).map(|i| {
        let endpoint = steward * PER_STEWARD + i;
        EndpointDigest {
            endpoint: format!("assistant-{endpoint:05}"),
            fence: 1,
            pool: "assistant".to_owned(),
            data_centre: format!("dc-{}", endpoint % 9),
            models: (0..PER_ENDPOINT)
                .map(|m| model((endpoint * PER_ENDPOINT + m) % MODELS))
                .collect(),
            running: (number % 40) as u32,
            queued: 0,
            limit: 48,
            adapters: (0..4).map(|a| format!("adapter-{a}")).collect(),
            loading: Vec::new(),
            free: 2 << 30,
        }
    });
    Digest {
        instance: format!("i-{steward:04}"),
        incarnation: 1,
        number,
        endpoints: endpoints.collect(),
        demand: Vec::new(),
    }
}

fn model(number: usize) -> String {
    format!("model-{number:03}")
}

fn directory(endpoints: usize) -> Directory {
    let mut directory = Directory::default();
    for steward in 0..endpoints / PER_STEWARD {
        directory.update(digest(steward, 1));
    }
    directory
}

fn config(models: usize) -> Config {
    let mut text = "classes:\n  chat: { first_ms: 1500, deadline_ms: 20000, percent: 95 }\nteams:\n  a: { rate: 1000, burst: 1000, classes: [chat] }\ndata_centres:\n".to_owned();
    for i in 0..9 {
        text += &format!("  dc-{i}: {{}}\n");
    }
    text += "pools:\n  assistant: { kind: engine, memory_mb: 80000, cold_limit: 4, warm_limit: 48 }\nmodels:\n";
    for i in 0..models {
        text += &format!("  {}: {{ pool: assistant, mb: 9000 }}\n", model(i));
    }
    Config::parse(1, &text).expect("the benchmark's configuration is valid")
}

fn ticket(team: usize, at: u64) -> Ticket {
    Ticket {
        team: format!("team-{team}").into(),
        class: "chat".into(),
        arrived: Time(at),
        due: Time(at + 1_500_000),
        deadline: Time(at + 20_000_000),
        background: team == 0,
        tokens: 300,
        target_fraction: 0.95,
        rate: 1_000,
    }
}

fn directory_update(c: &mut Criterion) {
    let mut group = c.benchmark_group("directory_update");
    for endpoints in [120, 1_200, 12_000] {
        let mut directory = directory(endpoints);
        let mut number = 1;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            b.iter(|| {
                number += 1;
                directory.update(digest(3, number))
            });
        });
    }
    group.finish();
}

fn routing_choose(c: &mut Criterion) {
    let mut group = c.benchmark_group("routing_choose");
    for endpoints in [120, 1_200, 12_000] {
        let directory = directory(endpoints);
        let mut draw = 1_u64;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            b.iter(|| {
                draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15) + 1;
                let copies = directory.replicas(&model(draw as usize % MODELS).into());
                let copies: Vec<&Replica> = copies.iter().map(AsRef::as_ref).collect();
                let wish = RoutingInput { prefix: draw, draw, ..RoutingInput::default() };
                black_box(copies.get(TwoChoices.choose(&copies, &wish)).is_some())
            });
        });
    }
    group.finish();
}

fn dispatch(c: &mut Criterion) {
    let mut group = c.benchmark_group("dispatch_push_pop");
    for (teams, length) in [(5, 10), (5, 1_000), (50, 1_000)] {
        let mut queue = Queue::default();
        for i in 0..length {
            assert!(queue.push(ticket(i % teams, i as u64), i).is_ok());
        }
        let mut at = length as u64;
        group.bench_function(format!("teams {teams} waiting {length}"), |b| {
            b.iter(|| {
                at += 1;
                let _ = queue.push(ticket(at as usize % teams, at), 0);
                queue.pop(&Slack, Time(at))
            });
        });
    }
    group.finish();
}

fn admission(c: &mut Criterion) {
    let mut share = TeamShare::empty(Time(0));
    share.configure(TeamLimits { rate: 1e9, burst: 1e9 }, TOTAL_PARTS, Time(0));
    let mut now = Time(0);
    c.bench_function("admission_charge", |b| {
        b.iter(|| {
            now = now + Duration::from_micros(100);
            share.record_demand(300.0, now);
            share.charge(300.0, now)
        });
    });
}

fn planner_round(c: &mut Criterion) {
    let mut group = c.benchmark_group("planner_round");
    group.sample_size(10);
    for (endpoints, models) in [(120, 39), (1_200, 390), (12_000, 390)] {
        let (directory, config) = (directory(endpoints), config(models));
        let limits = WeightStoreLimits { load_rate: 100.0, max_loads: 100 };
        let mut planning = Planning::new(limits, Time(0));
        let view = View::new(&config, &directory);
        let moves = keeper_moves(&view, &Default::default());
        let keepers = moves.into_iter().map(|moved| (moved.model, moved.to)).collect();
        let mut now = Time(0);
        group.bench_function(format!("endpoints {endpoints} models {models}"), |b| {
            b.iter(|| {
                now = now + Duration::from_millis(500);
                let view = View::new(&config, &directory);
                planning.steps(&Marginal, &view, &keepers, now).len()
            });
        });
    }
    group.finish();
}

fn codec(c: &mut Criterion) {
    let chunk = Chunk { data: vec![7; 200].into(), events: 9, ..Chunk::default() };
    let frame = Frame { clock: 1, stream: 2, body: Some(Body::Chunk(chunk)) };
    c.bench_function("codec_chunk", |b| {
        b.iter(|| {
            let bytes = black_box(&frame).encode_to_vec();
            Frame::decode(bytes.as_slice())
        });
    });
    let frame = Frame { clock: 1, stream: 0, body: Some(Body::Digest(digest(3, 1))) };
    println!("digest of {PER_STEWARD} endpoints: {} bytes", frame.encoded_len());
    c.bench_function("codec_digest", |b| {
        b.iter(|| {
            let bytes = black_box(&frame).encode_to_vec();
            Frame::decode(bytes.as_slice())
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700))
        .without_plots();
    targets = directory_update, routing_choose, dispatch, admission, planner_round, codec
}
criterion_main!(benches);
