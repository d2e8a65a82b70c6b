//! A caller gets the whole answer to its own request, or one that is visibly broken.

use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use serde_json::json;

use crate::util::{
    block_on, eventually,
    fleet::{Fleet, KITES_KEY, Plan, READY, engine_settings},
    http::{call, chat, expected_text},
    streaming::{Ended, Stream},
};
use cardamomshore::standin::engine::EngineSettings;

fn whole(tokens: u64) -> (String, bool, Ended) {
    (expected_text(tokens), true, Ended::Complete)
}

/// Returns engines that need this many milliseconds for a token, in two data centres.
fn engines(token_ms: u64) -> Vec<(&'static str, EngineSettings)> {
    let engine = EngineSettings { token_ms, ..engine_settings() };
    vec![("dc-a", engine.clone()), ("dc-b", engine)]
}

async fn count(fleet: &Fleet, engine: &str, field: &str) -> u64 {
    let counts = fleet.read(fleet.endpoint(engine), "/standin/counts").await;
    counts[field].as_u64().expect("a count")
}

#[test]
fn stream_cut_resumed_at_offset() {
    block_on(async {
        let fleet = Fleet::start("stream-cut", Plan::default()).await;
        fleet.wait_linked().await;
        fleet.set_faults(fleet.endpoint("engine-0"), json!({ "cut_after": 5 })).await;
        fleet.set_faults(fleet.endpoint("engine-1"), json!({ "cut_after": 9 })).await;
        for index in [0, 1, 0, 1] {
            let stream = Stream::open(fleet.caller(index), KITES_KEY, "glue", 20).await;
            assert_eq!(stream.finish().await, whole(20));
        }
        let mut seen = fleet.read(fleet.endpoint("engine-0"), "/standin/seen").await.to_string();
        seen += &fleet.read(fleet.endpoint("engine-1"), "/standin/seen").await.to_string();
        assert!(seen.contains("x-resume-from: 9"), "resumed, not restarted");
    });
}

#[test]
fn stream_endpoint_dies() {
    block_on(async {
        let plan = Plan { engines: engines(50), ..Plan::default() };
        let fleet = Fleet::start("stream-dies", plan).await;
        fleet.wait_linked().await;
        let mut streams = Vec::new();
        for index in 0..4 {
            let question = format!("Which glue for spar {index}?");
            let address = fleet.caller(index % 2);
            let mut stream = Stream::open_with(address, KITES_KEY, "glue", 40, &question).await;
            stream.read_events(3).await;
            streams.push(stream);
        }
        let engine = busy_engine(&fleet).await;
        let put = call(Method::PUT, fleet.endpoint(engine), "/standin/crash", &[], "").await;
        assert_eq!(put.expect("the engine crashes").status, 200);
        for stream in streams {
            assert_eq!(stream.finish().await, whole(40));
        }
    });
}

/// Returns the engine that runs most.
async fn busy_engine(fleet: &Fleet) -> &'static str {
    let first = count(fleet, "engine-0", "started").await;
    let second = count(fleet, "engine-1", "started").await;
    if first > second { "engine-0" } else { "engine-1" }
}

#[test]
fn stream_endpoint_stalls() {
    block_on(async {
        let fleet = Fleet::start("stream-stalls", Plan::default()).await;
        fleet.wait_linked().await;
        fleet.set_faults(fleet.endpoint("engine-0"), json!({ "stall_after": 4 })).await;
        fleet.set_faults(fleet.endpoint("engine-1"), json!({ "stall_after": 7 })).await;
        let streams = (0..4).map(|index| {
            let address = fleet.caller(index % 2);
            async move { Stream::open(address, KITES_KEY, "glue", 10).await.finish().await }
        });
        for ended in join_all(streams).await {
            assert_eq!(ended, whole(10));
        }
    });
}

#[test]
fn stream_steward_killed() {
    block_on(async {
        let plan = Plan { engines: engines(50), ..Plan::default() };
        let mut fleet = Fleet::start("stream-steward", plan).await;
        fleet.wait_linked().await;
        let streams = (0..6).map(|_| Stream::open(fleet.caller(0), KITES_KEY, "glue", 60));
        let mut streams = join_all(streams).await;
        for stream in &mut streams {
            stream.read_events(5).await;
        }
        assert!(count(&fleet, "engine-1", "started").await > 0, "the other steward runs some");
        fleet.instances[1].kill();
        for ended in join_all(streams.into_iter().map(Stream::finish)).await {
            assert_eq!(ended, whole(60));
        }
        eventually("the lost steward's engine is idle", READY, || async {
            let report = fleet.read(fleet.endpoint("engine-1"), "/report").await;
            report["running"] == 0
        })
        .await;
    });
}

#[test]
fn stream_unrecoverable_visibly_broken() {
    block_on(async {
        let fleet = Fleet::start("stream-broken", Plan::default()).await;
        fleet.wait_linked().await;
        for engine in ["engine-0", "engine-1"] {
            fleet.set_faults(fleet.endpoint(engine), json!({ "cut_after": 6 })).await;
        }
        let stream = Stream::open(fleet.caller(0), KITES_KEY, "glue", 20).await;
        assert_eq!(stream.finish().await, (expected_text(6), false, Ended::Cut));
    });
}

#[test]
fn answer_crossed_at_one_endpoint() {
    block_on(async {
        let fleet = Fleet::start("crossed-one", Plan::default()).await;
        fleet.wait_linked().await;
        // Equal prompts keep to one copy, which is the one to fail.
        chat(fleet.caller(0), KITES_KEY, "glue", 8, false).await.unwrap();
        let crossed = busy_engine(&fleet).await;
        fleet.set_faults(fleet.endpoint(crossed), json!({ "cross": true })).await;
        let before = count(&fleet, crossed, "started").await;
        for index in 0..8 {
            let stream = index % 4 < 2;
            let answer = chat(fleet.caller(index % 2), KITES_KEY, "glue", 8, stream).await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
            assert!(answer.text().contains("t7 "), "{}", answer.text());
            assert!(!answer.text().contains("another-request"), "{}", answer.text());
        }
        assert!(count(&fleet, crossed, "started").await > before, "some were crossed");
    });
}

#[test]
fn answer_crossed_everywhere() {
    block_on(async {
        let fleet = Fleet::start("crossed-all", Plan::default()).await;
        fleet.wait_linked().await;
        for engine in ["engine-0", "engine-1"] {
            fleet.set_faults(fleet.endpoint(engine), json!({ "cross": true })).await;
        }
        for stream in [true, false] {
            let answer = chat(fleet.caller(0), KITES_KEY, "glue", 4, stream).await.unwrap();
            assert_eq!((answer.status, answer.code()), (502, 1503), "{}", answer.text());
            assert!(!answer.is_not_run(), "it ran");
            assert!(!answer.text().contains("t0 "), "another request's text");
            assert!(!answer.text().contains("another-request"));
        }
    });
}

#[test]
fn caller_leaves_and_frees_the_slot() {
    block_on(async {
        let plan = Plan { engines: engines(100), ..Plan::default() };
        let fleet = Fleet::start("caller-leaves", plan).await;
        fleet.wait_linked().await;
        for index in 0..2 {
            let mut stream = Stream::open(fleet.caller(index), KITES_KEY, "glue", 10_000).await;
            stream.read_events(2).await;
            drop(stream);
        }
        for engine in ["engine-0", "engine-1"] {
            eventually("the engine stops generating", READY, || async {
                fleet.read(fleet.endpoint(engine), "/report").await["running"] == 0
            })
            .await;
            assert_eq!(count(&fleet, engine, "completed").await, 0);
        }
    });
}

#[test]
fn late_answer_reaches_nobody() {
    block_on(async {
        let fleet = Fleet::start("late", Plan::default()).await;
        fleet.wait_linked().await;
        for engine in ["engine-0", "engine-1"] {
            fleet.set_faults(fleet.endpoint(engine), json!({ "late_ms": 1_000 })).await;
        }
        for index in [0, 1, 0, 1] {
            let asked = chat(fleet.caller(index), KITES_KEY, "glue", 4, index == 0);
            let given_up = tokio::time::timeout(Duration::from_millis(200), asked).await;
            assert!(given_up.is_err(), "the answer is late");
        }
        for index in [0, 1, 0, 1] {
            let answer = chat(fleet.caller(index), KITES_KEY, "glue", 4, false).await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
            let own = answer.headers["x-request-id"].to_str().unwrap();
            assert_eq!(answer.json()["id"], own);
        }
        for engine in ["engine-0", "engine-1"] {
            eventually("what was given up ends", READY, || async {
                fleet.read(fleet.endpoint(engine), "/report").await["running"] == 0
            })
            .await;
        }
    });
}

#[test]
fn refusal_not_run_is_true() {
    block_on(async {
        let mut fleet = Fleet::start("not-run", Plan::default()).await;
        fleet.wait_linked().await;
        let down = json!({ "down": true });
        fleet.set_faults(fleet.endpoint("engine-0"), down).await;
        fleet.engines[1].kill();
        let answer = chat(fleet.caller(0), KITES_KEY, "glue", 4, false).await.unwrap();
        assert_ne!(answer.status, 200);
        let reached = answer.code() != 1304 || !answer.is_not_run();
        let started = count(&fleet, "engine-0", "started").await;
        assert!(reached || started == 0, "{}", answer.text());
        fleet.engines[0].kill();
        eventually("refusals say that nothing ran", READY, || async {
            let answer = chat(fleet.caller(0), KITES_KEY, "glue", 4, false).await.unwrap();
            answer.is_not_run()
        })
        .await;
    });
}

#[test]
fn refusal_after_run_is_unknown() {
    block_on(async {
        let engine = EngineSettings { restart_ms: 60_000, ..engine_settings() };
        let plan =
            Plan { engines: vec![("dc-a", engine.clone()), ("dc-b", engine)], ..Plan::default() };
        let mut fleet = Fleet::start("after-run", plan).await;
        fleet.wait_linked().await;
        fleet.set_faults(fleet.endpoint("engine-0"), json!({ "crash_on": "spider" })).await;
        fleet.engines[1].kill();
        let body = json!({ "model": "glue", "max_tokens": 4,
            "messages": [{ "role": "user", "content": "spider" }] });
        let headers = [("x-api-key", KITES_KEY), ("x-cardamomshore-class", "payment")];
        let path = "/v1/chat/completions";
        let answer = call(Method::POST, fleet.caller(0), path, &headers, body.to_string()).await;
        let answer = answer.unwrap();
        assert_eq!(count(&fleet, "engine-0", "crashes").await, 1);
        assert!(answer.status >= 500 && !answer.is_not_run(), "{}", answer.text());
    });
}

/// Engines of the test with the request that crashes them.
const POISONED: usize = 5;

#[test]
fn poison_costs_two_endpoints() {
    let engine = EngineSettings { restart_ms: 300, ..engine_settings() };
    block_on(poison("poison", engine));
}

#[test]
fn poison_costs_two_endpoints_while_reports_lag() {
    let engine = EngineSettings { restart_ms: 0, lag_ms: 800, ..engine_settings() };
    block_on(poison("poison-lag", engine));
}

/// Sends a request that crashes engines again and again to every instance.
async fn poison(name: &str, engine: EngineSettings) {
    let engines = (0..POISONED).map(|i| (["dc-a", "dc-b"][i % 2], engine.clone())).collect();
    let instances = vec!["dc-a", "dc-b", "dc-a", "dc-b"];
    let fleet = Fleet::start(name, Plan { engines, instances, ..Plan::default() }).await;
    fleet.wait_linked().await;
    for i in 0..POISONED {
        let address = fleet.endpoint(&format!("engine-{i}"));
        fleet.set_faults(address, json!({ "crash_on": "spider" })).await;
    }
    let mut last = 0;
    for index in [0, 1, 2, 3, 0, 1, 2, 3] {
        let body = json!({ "model": "glue", "max_tokens": 4, "stream": index % 2 == 0,
                "messages": [{ "role": "user", "content": "spider" }] });
        let headers = [("x-api-key", KITES_KEY)];
        let path = "/v1/chat/completions";
        let answer =
            call(Method::POST, fleet.caller(index), path, &headers, body.to_string()).await;
        last = answer.map_or(0, |answer| answer.code());
    }
    assert_eq!(last, 1401, "refused as a suspect");
    let mut crashes = 0;
    for i in 0..POISONED {
        crashes += count(&fleet, &format!("engine-{i}"), "crashes").await;
    }
    assert!(crashes <= 2, "{crashes} endpoints crashed");
    eventually("others are served", Duration::from_secs(20), || async {
        let answer = chat(fleet.caller(2), KITES_KEY, "glue", 4, false).await.unwrap();
        answer.status == 200
    })
    .await;
}

#[test]
fn poison_spares_others_in_flight() {
    block_on(async {
        let engine = EngineSettings { restart_ms: 300, token_ms: 20, ..engine_settings() };
        let engines = (0..POISONED).map(|i| (["dc-a", "dc-b"][i % 2], engine.clone())).collect();
        let fleet = Fleet::start("spared", Plan { engines, ..Plan::default() }).await;
        fleet.wait_linked().await;
        for i in 0..POISONED {
            let address = fleet.endpoint(&format!("engine-{i}"));
            fleet.set_faults(address, json!({ "crash_on": "spider" })).await;
        }
        let mut others = Vec::new();
        for index in 0..10 {
            let question = format!("Which glue for spar {index}?");
            let address = fleet.caller(index % 2);
            let mut stream = Stream::open_with(address, KITES_KEY, "glue", 30, &question).await;
            stream.read_events(2).await;
            others.push(stream);
        }
        let body = json!({ "model": "glue", "max_tokens": 4,
            "messages": [{ "role": "user", "content": "spider" }] });
        let headers = [("x-api-key", KITES_KEY)];
        for index in [0, 1, 0] {
            let path = "/v1/chat/completions";
            let answer =
                call(Method::POST, fleet.caller(index), path, &headers, body.to_string()).await;
            assert_ne!(answer.unwrap().status, 200);
        }
        for stream in others {
            assert_eq!(stream.finish().await, whole(30));
        }
        let mut crashes = 0;
        for i in 0..POISONED {
            crashes += count(&fleet, &format!("engine-{i}"), "crashes").await;
        }
        assert!(crashes <= 2, "{crashes} endpoints crashed");
    });
}
