//! Streams and responses under faults of engines and instances: a caller gets the whole response to
//! its own request, or one that is visibly cut.

use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use serde_json::json;

use crate::util::{
    block_on,
    fleet::{Fleet, FleetSpec, KITES_KEY, READY_TIMEOUT, engine_settings},
    http::{call, chat, expected_text},
    streaming::{Stream, StreamEnd},
    wait_until,
};
use cardamomshore::standin::engine::EngineSettings;

/// Returns the outcome of a complete stream of `tokens` output tokens.
fn complete(tokens: u64) -> (String, bool, StreamEnd) {
    (expected_text(tokens), true, StreamEnd::Complete)
}

/// Returns engines in two data centres that need `token_ms` milliseconds for an output token.
fn engines(token_ms: u64) -> Vec<(&'static str, EngineSettings)> {
    let engine = EngineSettings { token_ms, ..engine_settings() };
    vec![("dc-a", engine.clone()), ("dc-b", engine)]
}

/// Returns one of an engine's counters.
async fn count(fleet: &Fleet, engine: &str, field: &str) -> u64 {
    let counts = fleet.fetch_json(fleet.endpoint_address(engine), "/standin/counts").await;
    counts[field].as_u64().expect("expected a number")
}

/// An engine that cuts a stream must not cost the caller a token or repeat one. Another engine
/// must resume after the last token that arrived.
#[test]
fn stream_cut_resumed_at_offset() {
    block_on(async {
        let fleet = Fleet::start("stream-cut", FleetSpec::default()).await;
        fleet.wait_linked().await;
        fleet.set_faults(fleet.endpoint_address("engine-0"), json!({ "cut_after": 5 })).await;
        fleet.set_faults(fleet.endpoint_address("engine-1"), json!({ "cut_after": 9 })).await;
        for index in [0, 1, 0, 1] {
            let stream = Stream::open(fleet.caller_address(index), KITES_KEY, "glue", 20).await;
            assert_eq!(stream.finish().await, complete(20));
        }
        let mut seen =
            fleet.fetch_json(fleet.endpoint_address("engine-0"), "/standin/seen").await.to_string();
        seen += &fleet
            .fetch_json(fleet.endpoint_address("engine-1"), "/standin/seen")
            .await
            .to_string();
        assert!(
            seen.contains("x-resume-from: 9"),
            "expected the stream to be resumed, not restarted"
        );
    });
}

/// An engine that crashes breaks its streams. Another engine must complete them.
#[test]
fn stream_endpoint_dies() {
    block_on(async {
        let spec = FleetSpec { engines: engines(50), ..FleetSpec::default() };
        let fleet = Fleet::start("stream-dies", spec).await;
        fleet.wait_linked().await;
        let mut streams = Vec::new();
        for index in 0..4 {
            let prompt = format!("Which glue for spar {index}?");
            let address = fleet.caller_address(index % 2);
            let mut stream =
                Stream::open_with_prompt(address, KITES_KEY, "glue", 40, &prompt).await;
            stream.read_events(3).await;
            streams.push(stream);
        }
        let engine = busier_engine(&fleet).await;
        let put =
            call(Method::PUT, fleet.endpoint_address(engine), "/standin/crash", &[], "").await;
        assert_eq!(put.expect("expected the engine to crash").status, 200);
        for stream in streams {
            assert_eq!(stream.finish().await, complete(40));
        }
    });
}

/// Returns the engine that has started more requests.
async fn busier_engine(fleet: &Fleet) -> &'static str {
    let first = count(fleet, "engine-0", "started").await;
    let second = count(fleet, "engine-1", "started").await;
    if first > second { "engine-0" } else { "engine-1" }
}

/// An engine that goes silent in the middle of a stream shows no error. The stream must continue
/// on another engine.
#[test]
fn stream_endpoint_stalls() {
    block_on(async {
        let fleet = Fleet::start("stream-stalls", FleetSpec::default()).await;
        fleet.wait_linked().await;
        fleet.set_faults(fleet.endpoint_address("engine-0"), json!({ "stall_after": 4 })).await;
        fleet.set_faults(fleet.endpoint_address("engine-1"), json!({ "stall_after": 7 })).await;
        let streams = (0..4).map(|index| {
            let address = fleet.caller_address(index % 2);
            async move { Stream::open(address, KITES_KEY, "glue", 10).await.finish().await }
        });
        for outcome in join_all(streams).await {
            assert_eq!(outcome, complete(10));
        }
    });
}

/// The streams through a killed steward break with it. They must continue elsewhere, and its
/// engine must not go on with them.
#[test]
fn stream_steward_killed() {
    block_on(async {
        let spec = FleetSpec { engines: engines(50), ..FleetSpec::default() };
        let mut fleet = Fleet::start("stream-steward", spec).await;
        fleet.wait_linked().await;
        let streams = (0..6).map(|_| Stream::open(fleet.caller_address(0), KITES_KEY, "glue", 60));
        let mut streams = join_all(streams).await;
        for stream in &mut streams {
            stream.read_events(5).await;
        }
        assert!(
            count(&fleet, "engine-1", "started").await > 0,
            "expected the other steward to run some of the streams"
        );
        fleet.instances[1].kill();
        for outcome in join_all(streams.into_iter().map(Stream::finish)).await {
            assert_eq!(outcome, complete(60));
        }
        wait_until("the engine of the killed steward is idle", READY_TIMEOUT, || async {
            let report = fleet.fetch_json(fleet.endpoint_address("engine-1"), "/report").await;
            report["running"] == 0
        })
        .await;
    });
}

/// When both engines cut a stream at the same token, it cannot be completed. The caller must not
/// take the partial text for a whole response.
#[test]
fn stream_unrecoverable_visibly_broken() {
    block_on(async {
        let fleet = Fleet::start("stream-broken", FleetSpec::default()).await;
        fleet.wait_linked().await;
        for engine in ["engine-0", "engine-1"] {
            fleet.set_faults(fleet.endpoint_address(engine), json!({ "cut_after": 6 })).await;
        }
        let stream = Stream::open(fleet.caller_address(0), KITES_KEY, "glue", 20).await;
        assert_eq!(stream.finish().await, (expected_text(6), false, StreamEnd::Cut));
    });
}

/// A faulty engine returns another request's response. The caller must not get it; its request must
/// be retried on another engine.
#[test]
fn answer_crossed_at_one_endpoint() {
    block_on(async {
        let fleet = Fleet::start("crossed-one", FleetSpec::default()).await;
        fleet.wait_linked().await;
        // Requests with equal prompts go to one replica, whose engine gets the fault.
        chat(fleet.caller_address(0), KITES_KEY, "glue", 8, false).await.unwrap();
        let faulty = busier_engine(&fleet).await;
        fleet.set_faults(fleet.endpoint_address(faulty), json!({ "cross": true })).await;
        let before = count(&fleet, faulty, "started").await;
        for index in 0..8 {
            let stream = index % 4 < 2;
            let response =
                chat(fleet.caller_address(index % 2), KITES_KEY, "glue", 8, stream).await.unwrap();
            assert_eq!(response.status, 200, "response: {}", response.text());
            assert!(
                response.text().contains("t7 "),
                "expected the last token: {}",
                response.text()
            );
            assert!(
                !response.text().contains("another-request"),
                "expected no text of another request: {}",
                response.text()
            );
        }
        assert!(
            count(&fleet, faulty, "started").await > before,
            "expected the faulty engine to get requests"
        );
    });
}

/// If every engine returns another request's response, the caller must get an error that does not
/// claim that the request did not run.
#[test]
fn answer_crossed_everywhere() {
    block_on(async {
        let fleet = Fleet::start("crossed-all", FleetSpec::default()).await;
        fleet.wait_linked().await;
        for engine in ["engine-0", "engine-1"] {
            fleet.set_faults(fleet.endpoint_address(engine), json!({ "cross": true })).await;
        }
        for stream in [true, false] {
            let response =
                chat(fleet.caller_address(0), KITES_KEY, "glue", 4, stream).await.unwrap();
            assert_eq!(
                (response.status, response.code()),
                (502, 1503),
                "response: {}",
                response.text()
            );
            assert!(!response.is_not_run(), "expected a response that does not say `not-run`");
            assert!(!response.text().contains("t0 "), "expected no text of another request");
            assert!(!response.text().contains("another-request"));
        }
    });
}

/// An engine could go on generating for a caller that has disconnected.
#[test]
fn caller_leaves_and_frees_the_slot() {
    block_on(async {
        let spec = FleetSpec { engines: engines(100), ..FleetSpec::default() };
        let fleet = Fleet::start("caller-leaves", spec).await;
        fleet.wait_linked().await;
        for index in 0..2 {
            let mut stream =
                Stream::open(fleet.caller_address(index), KITES_KEY, "glue", 10_000).await;
            stream.read_events(2).await;
            drop(stream);
        }
        for engine in ["engine-0", "engine-1"] {
            wait_until("the engine stops generating", READY_TIMEOUT, || async {
                fleet.fetch_json(fleet.endpoint_address(engine), "/report").await["running"] == 0
            })
            .await;
            assert_eq!(count(&fleet, engine, "completed").await, 0);
        }
    });
}

/// A response that an engine sends after its caller gave up could be delivered to another request.
#[test]
fn late_answer_reaches_nobody() {
    block_on(async {
        let fleet = Fleet::start("late", FleetSpec::default()).await;
        fleet.wait_linked().await;
        for engine in ["engine-0", "engine-1"] {
            fleet.set_faults(fleet.endpoint_address(engine), json!({ "late_ms": 1_000 })).await;
        }
        for index in [0, 1, 0, 1] {
            let request = chat(fleet.caller_address(index), KITES_KEY, "glue", 4, index == 0);
            let outcome = tokio::time::timeout(Duration::from_millis(200), request).await;
            assert!(outcome.is_err(), "expected the response to be late");
        }
        for index in [0, 1, 0, 1] {
            let response =
                chat(fleet.caller_address(index), KITES_KEY, "glue", 4, false).await.unwrap();
            assert_eq!(response.status, 200, "response: {}", response.text());
            let request_id = response.headers["x-request-id"].to_str().unwrap();
            assert_eq!(response.json()["id"], request_id);
        }
        for engine in ["engine-0", "engine-1"] {
            wait_until("the abandoned requests end", READY_TIMEOUT, || async {
                fleet.fetch_json(fleet.endpoint_address(engine), "/report").await["running"] == 0
            })
            .await;
        }
    });
}

/// A refusal that says that the request did not run would be wrong if an engine had started it;
/// the caller may retry such a request safely.
#[test]
fn refusal_not_run_is_true() {
    block_on(async {
        let mut fleet = Fleet::start("not-run", FleetSpec::default()).await;
        fleet.wait_linked().await;
        let down = json!({ "down": true });
        fleet.set_faults(fleet.endpoint_address("engine-0"), down).await;
        fleet.engines[1].kill();
        let response = chat(fleet.caller_address(0), KITES_KEY, "glue", 4, false).await.unwrap();
        assert_ne!(response.status, 200);
        let may_have_run = response.code() != 1304 || !response.is_not_run();
        let started = count(&fleet, "engine-0", "started").await;
        assert!(may_have_run || started == 0, "expected no started request: {}", response.text());
        fleet.engines[0].kill();
        wait_until("refusals say that the request did not run", READY_TIMEOUT, || async {
            let response =
                chat(fleet.caller_address(0), KITES_KEY, "glue", 4, false).await.unwrap();
            response.is_not_run()
        })
        .await;
    });
}

/// A request that crashed its engine may have run, so its refusal must not say that it did not
/// run.
#[test]
fn refusal_after_run_is_unknown() {
    block_on(async {
        let engine = EngineSettings { restart_ms: 60_000, ..engine_settings() };
        let spec = FleetSpec {
            engines: vec![("dc-a", engine.clone()), ("dc-b", engine)],
            ..FleetSpec::default()
        };
        let mut fleet = Fleet::start("after-run", spec).await;
        fleet.wait_linked().await;
        fleet.set_faults(fleet.endpoint_address("engine-0"), json!({ "crash_on": "spider" })).await;
        fleet.engines[1].kill();
        let body = json!({ "model": "glue", "max_tokens": 4,
            "messages": [{ "role": "user", "content": "spider" }] });
        let headers = [("x-api-key", KITES_KEY), ("x-cardamomshore-class", "payment")];
        let path = "/v1/chat/completions";
        let response =
            call(Method::POST, fleet.caller_address(0), path, &headers, body.to_string()).await;
        let response = response.unwrap();
        assert_eq!(count(&fleet, "engine-0", "crashes").await, 1);
        assert!(
            response.status >= 500 && !response.is_not_run(),
            "expected an error without `not-run`: {}",
            response.text()
        );
    });
}

/// Number of engines in the tests with a request that crashes engines.
const ENGINE_COUNT: usize = 5;

/// A request that crashes each engine that runs it would crash the whole fleet if every instance
/// retried it. It must be refused as a suspect after two crashes.
#[test]
fn poison_costs_two_endpoints() {
    let engine = EngineSettings { restart_ms: 300, ..engine_settings() };
    block_on(assert_poison_contained("poison", engine));
}

/// The engines restart at once and their reports lag, so an instance learns late which request
/// crashed them.
#[test]
fn poison_costs_two_endpoints_while_reports_lag() {
    let engine = EngineSettings { restart_ms: 0, lag_ms: 800, ..engine_settings() };
    block_on(assert_poison_contained("poison-lag", engine));
}

/// Sends a request that crashes engines to every instance twice and checks that at most two
/// endpoints crash.
async fn assert_poison_contained(name: &str, engine: EngineSettings) {
    let engines =
        (0..ENGINE_COUNT).map(|index| (["dc-a", "dc-b"][index % 2], engine.clone())).collect();
    let instances = vec!["dc-a", "dc-b", "dc-a", "dc-b"];
    let fleet = Fleet::start(name, FleetSpec { engines, instances, ..FleetSpec::default() }).await;
    fleet.wait_linked().await;
    for index in 0..ENGINE_COUNT {
        let address = fleet.endpoint_address(&format!("engine-{index}"));
        fleet.set_faults(address, json!({ "crash_on": "spider" })).await;
    }
    let mut last_code = 0;
    for index in [0, 1, 2, 3, 0, 1, 2, 3] {
        let body = json!({ "model": "glue", "max_tokens": 4, "stream": index % 2 == 0,
                "messages": [{ "role": "user", "content": "spider" }] });
        let headers = [("x-api-key", KITES_KEY)];
        let path = "/v1/chat/completions";
        let response =
            call(Method::POST, fleet.caller_address(index), path, &headers, body.to_string()).await;
        last_code = response.map_or(0, |response| response.code());
    }
    assert_eq!(last_code, 1401, "expected code 1401 for a request that crashes endpoints");
    let mut crashes = 0;
    for index in 0..ENGINE_COUNT {
        crashes += count(&fleet, &format!("engine-{index}"), "crashes").await;
    }
    assert!(crashes <= 2, "expected at most 2 crashes, got {crashes}");
    wait_until("another request is served", Duration::from_secs(20), || async {
        let response = chat(fleet.caller_address(2), KITES_KEY, "glue", 4, false).await.unwrap();
        response.status == 200
    })
    .await;
}

/// Requests that run on an engine when another one crashes it must be completed elsewhere and must
/// not be refused as suspects.
#[test]
fn poison_spares_others_in_flight() {
    block_on(async {
        let engine = EngineSettings { restart_ms: 300, token_ms: 20, ..engine_settings() };
        let engines =
            (0..ENGINE_COUNT).map(|index| (["dc-a", "dc-b"][index % 2], engine.clone())).collect();
        let fleet = Fleet::start("spared", FleetSpec { engines, ..FleetSpec::default() }).await;
        fleet.wait_linked().await;
        for index in 0..ENGINE_COUNT {
            let address = fleet.endpoint_address(&format!("engine-{index}"));
            fleet.set_faults(address, json!({ "crash_on": "spider" })).await;
        }
        let mut others = Vec::new();
        for index in 0..10 {
            let prompt = format!("Which glue for spar {index}?");
            let address = fleet.caller_address(index % 2);
            let mut stream =
                Stream::open_with_prompt(address, KITES_KEY, "glue", 30, &prompt).await;
            stream.read_events(2).await;
            others.push(stream);
        }
        let body = json!({ "model": "glue", "max_tokens": 4,
            "messages": [{ "role": "user", "content": "spider" }] });
        let headers = [("x-api-key", KITES_KEY)];
        for index in [0, 1, 0] {
            let path = "/v1/chat/completions";
            let response =
                call(Method::POST, fleet.caller_address(index), path, &headers, body.to_string())
                    .await;
            assert_ne!(response.unwrap().status, 200);
        }
        for stream in others {
            assert_eq!(stream.finish().await, complete(30));
        }
        let mut crashes = 0;
        for index in 0..ENGINE_COUNT {
            crashes += count(&fleet, &format!("engine-{index}"), "crashes").await;
        }
        assert!(crashes <= 2, "expected at most 2 crashes, got {crashes}");
    });
}
