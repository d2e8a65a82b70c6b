//! Engines' memory: models and adapters must never need more memory than an engine has, even when
//! its steward is killed.

use std::time::Duration;

use cardamomshore::standin::engine::EngineSettings;
use http::Method;
use serde_json::json;

use crate::util::{
    block_on,
    fleet::{CONFIG, Fleet, FleetSpec, KITES_KEY},
    http::{Response, call, chat},
    wait_until,
};

/// Longest wait for a lease to expire and another instance to take over, on a busy host.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest wait for an order to end, on a busy host.
const ORDER_TIMEOUT: Duration = Duration::from_secs(90);

/// Returns a fleet with one engine of 1,000 MB, which ignores fencing numbers and has a replica of
/// `glue` of 500 MB.
fn spec() -> FleetSpec {
    let engine = EngineSettings {
        memory_mb: 1_000,
        preload: vec![("glue".to_owned(), 500)],
        fencing: false,
        ..EngineSettings::default()
    };
    let config = CONFIG
        .replace("fencing: true, memory_mb: 1000,", "memory_mb: 1000, order_ms: 30000,")
        .replace("glue: { pool: assistant, mb: 100 }", "glue: { pool: assistant, mb: 500 }")
        .replace(
            "spar: { pool: assistant, mb: 100 }",
            "spar: { pool: assistant, mb: 400 }\n  twine: { pool: assistant, mb: 300 }",
        );
    FleetSpec {
        instances: vec!["dc-a", "dc-a", "dc-a"],
        engines: vec![("dc-a", engine)],
        services: vec![],
        config,
    }
}

/// Returns whether a model is resident on the engine.
async fn is_resident(fleet: &Fleet, model: &str) -> bool {
    let report = fleet.fetch_json(fleet.endpoint_address("engine-0"), "/report").await;
    report["residents"].to_string().contains(&format!("\"{model}\""))
}

/// Returns how often the engine got an order that needs more memory than it has.
async fn overcommits(fleet: &Fleet) -> u64 {
    let counts = fleet.fetch_json(fleet.endpoint_address("engine-0"), "/standin/counts").await;
    counts["overcommits"].as_u64().expect("expected a number")
}

/// A steward must load a model that fits, and must refuse a load that is already accepted, one
/// that does not fit and the unload of a model that must stay.
#[test]
fn memory_load_and_refusals_of_a_steward() {
    block_on(async {
        let fleet = Fleet::start("memory-load", spec()).await;
        let steward =
            fleet.steward_index("engine-0").await.expect("expected the endpoint to have a steward");
        wait_until("the load is accepted", ORDER_TIMEOUT, || async {
            fleet.request_move(steward, "engine-0", "spar", false).await.accepted
        })
        .await;
        let duplicate = fleet.request_move(steward, "engine-0", "spar", false).await;
        assert!(!duplicate.accepted, "expected a second load to be refused: {duplicate:?}");
        let oversized = fleet.request_move(steward, "engine-0", "twine", false).await;
        assert!(
            !oversized.accepted && oversized.reason.contains("free memory"),
            "expected refusal for lack of free memory: {oversized:?}"
        );
        let response = chat(fleet.caller_address(0), KITES_KEY, "spar", 5, true)
            .await
            .expect("expected a response");
        assert_eq!(response.status, 200, "response: {}", response.text());
        let unload = fleet.request_move(steward, "engine-0", "spar", true).await;
        assert!(
            !unload.accepted && unload.reason.contains("keeps"),
            "expected the steward to keep the model: {unload:?}"
        );
        assert!(is_resident(&fleet, "spar").await);
        assert_eq!(overcommits(&fleet).await, 0);
    });
}

/// A load of a killed steward may end after the takeover, since the engine does not check fencing
/// numbers. The next steward must count its memory as taken until the order is closed.
#[test]
fn memory_steward_killed_before_its_load_lands() {
    block_on(async {
        let mut spec = spec();
        spec.engines[0].1.load_ms = 25_000;
        let mut fleet = Fleet::start("memory-killed", spec).await;
        let steward =
            fleet.steward_index("engine-0").await.expect("expected the endpoint to have a steward");
        wait_until("the load is accepted", ORDER_TIMEOUT, || async {
            fleet.request_move(steward, "engine-0", "spar", false).await.accepted
        })
        .await;
        wait_until("the load has begun", ORDER_TIMEOUT, || async {
            let report = fleet.fetch_json(fleet.endpoint_address("engine-0"), "/report").await;
            report["open"].as_array().is_some_and(|open| !open.is_empty())
        })
        .await;
        fleet.instances[steward].kill();
        let next = fleet.wait_next_steward("engine-0", steward, TAKEOVER_TIMEOUT).await;
        assert!(!is_resident(&fleet, "spar").await, "expected the takeover before the load ended");
        // The first steward's load may still end, so no other model fits beside it.
        wait_until("the load ends", ORDER_TIMEOUT, || async {
            let load = fleet.request_move(next, "engine-0", "twine", false).await;
            assert!(!load.accepted, "expected refusal while the load is open");
            is_resident(&fleet, "spar").await
        })
        .await;
        let open = fleet.fetch_record("engine-0").await;
        assert_eq!(open.intents.len(), 1, "expected one open order: {open:?}");
        wait_until("the order is closed", ORDER_TIMEOUT, || async {
            fleet.fetch_record("engine-0").await.intents.is_empty()
        })
        .await;
        let load = fleet.request_move(next, "engine-0", "twine", false).await;
        assert!(!load.accepted, "expected refusal for lack of memory: {load:?}");
        assert_eq!(overcommits(&fleet).await, 0);
    });
}

/// Sends a chat request for an adapter of `glue` and returns the response.
async fn chat_with_adapter(fleet: &Fleet, adapter: &str) -> Response {
    let body = json!({
        "model": "glue", "adapter": adapter, "max_tokens": 3,
        "messages": [{ "role": "user", "content": "Which glue for bamboo spars?" }],
    });
    let headers = [("x-api-key", KITES_KEY), ("content-type", "application/json")];
    let path = "/v1/chat/completions";
    let response =
        call(Method::POST, fleet.caller_address(0), path, &headers, body.to_string()).await;
    response.expect("expected a response")
}

/// Adapters that requests name must be loaded into the memory for adapters, and unused ones be
/// evicted, without an overcommit.
#[test]
fn memory_adapters_are_loaded_and_evicted_on_demand() {
    block_on(async {
        let mut spec = spec();
        // Two of the three adapters fit; one may be evicted two seconds after it was loaded.
        spec.config =
            spec.config.replace("order_ms: 30000,", "order_ms: 2000, adapter_mb: 20,").replace(
                "glue: { pool: assistant, mb: 500 }",
                "glue: { pool: assistant, mb: 500, adapters: { kite: 10, reel: 10, tail: 10 } }",
            );
        let fleet = Fleet::start("memory-adapters", spec).await;
        for adapter in ["kite", "reel", "tail", "kite"] {
            let response = chat_with_adapter(&fleet, adapter).await;
            assert_eq!(response.status, 200, "{adapter}: {}", response.text());
            let report = fleet.fetch_json(fleet.endpoint_address("engine-0"), "/report").await;
            let residents = report["residents"]
                .as_array()
                .expect("expected the report to list the residents")
                .clone();
            let adapters = residents.iter().filter(|r| !r["adapter"].is_null());
            let adapters: Vec<_> = adapters.map(|r| r["adapter"].to_string()).collect();
            assert!(
                adapters.contains(&format!("\"{adapter}\"")),
                "expected {adapter} in {adapters:?}"
            );
            assert!(adapters.len() <= 2, "expected at most 2 adapters, got {adapters:?}");
        }
        let unknown = chat_with_adapter(&fleet, "string").await;
        assert!(
            unknown.is_not_run(),
            "expected a response that says `not-run`: {}",
            unknown.text()
        );
        assert_eq!(overcommits(&fleet).await, 0);
    });
}
