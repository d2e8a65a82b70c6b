//! The memory of engines through the death of their steward.

use std::time::Duration;

use cardamomshore::standin::engine::EngineSettings;
use http::Method;
use serde_json::json;

use crate::util::{
    block_on, eventually,
    fleet::{CONFIG, Fleet, KITES_KEY, Plan},
    http::{Answer, call, chat},
};

/// Longest time for a lease to lapse and another instance to take over, on a busy machine.
const TAKE_OVER: Duration = Duration::from_secs(60);

/// Longest time for an order to end on a busy machine.
const ORDER: Duration = Duration::from_secs(90);

/// Returns a fleet with one engine of 1,000 MB that ignores fencing and holds 500 MB of `glue`.
fn plan() -> Plan {
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
    Plan {
        instances: vec!["dc-a", "dc-a", "dc-a"],
        engines: vec![("dc-a", engine)],
        services: vec![],
        config,
    }
}

async fn has(fleet: &Fleet, model: &str) -> bool {
    let report = fleet.read(fleet.endpoint("engine-0"), "/report").await;
    report["residents"].to_string().contains(&format!("\"{model}\""))
}

async fn overcommits(fleet: &Fleet) -> u64 {
    let counts = fleet.read(fleet.endpoint("engine-0"), "/standin/counts").await;
    counts["overcommits"].as_u64().expect("a count")
}

#[test]
fn memory_load_and_refusals_of_a_steward() {
    block_on(async {
        let fleet = Fleet::start("memory-load", plan()).await;
        let steward = fleet.steward("engine-0").await.expect("a steward");
        eventually("the load is accepted", ORDER, || async {
            fleet.ask_move(steward, "engine-0", "spar", false).await.accepted
        })
        .await;
        let twice = fleet.ask_move(steward, "engine-0", "spar", false).await;
        assert!(!twice.accepted, "{twice:?}");
        let large = fleet.ask_move(steward, "engine-0", "twine", false).await;
        assert!(!large.accepted && large.reason.contains("free memory"), "{large:?}");
        let answer = chat(fleet.caller(0), KITES_KEY, "spar", 5, true).await.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let kept = fleet.ask_move(steward, "engine-0", "spar", true).await;
        assert!(!kept.accepted && kept.reason.contains("keeps"), "{kept:?}");
        assert!(has(&fleet, "spar").await);
        assert_eq!(overcommits(&fleet).await, 0);
    });
}

#[test]
fn memory_steward_killed_before_its_load_lands() {
    block_on(async {
        let mut plan = plan();
        plan.engines[0].1.load_ms = 25_000;
        let mut fleet = Fleet::start("memory-killed", plan).await;
        let steward = fleet.steward("engine-0").await.expect("a steward");
        eventually("the load is accepted", ORDER, || async {
            fleet.ask_move(steward, "engine-0", "spar", false).await.accepted
        })
        .await;
        eventually("the load has begun", ORDER, || async {
            let report = fleet.read(fleet.endpoint("engine-0"), "/report").await;
            report["open"].as_array().is_some_and(|open| !open.is_empty())
        })
        .await;
        fleet.instances[steward].kill();
        let next = fleet.next_steward("engine-0", steward, TAKE_OVER).await;
        assert!(!has(&fleet, "spar").await, "the load landed before the takeover");
        // What the first steward sent may still land, so nothing else fits.
        eventually("the load lands", ORDER, || async {
            let moved = fleet.ask_move(next, "engine-0", "twine", false).await;
            assert!(!moved.accepted, "accepted beside an open load");
            has(&fleet, "spar").await
        })
        .await;
        let open = fleet.record("engine-0").await;
        assert_eq!(open.intents.len(), 1, "{open:?}");
        eventually("the order is closed", ORDER, || async {
            fleet.record("engine-0").await.intents.is_empty()
        })
        .await;
        let moved = fleet.ask_move(next, "engine-0", "twine", false).await;
        assert!(!moved.accepted, "{moved:?}");
        assert_eq!(overcommits(&fleet).await, 0);
    });
}

/// Asks for an answer by an adapter of `glue`.
async fn ask_adapter(fleet: &Fleet, adapter: &str) -> Answer {
    let body = json!({
        "model": "glue", "adapter": adapter, "max_tokens": 3,
        "messages": [{ "role": "user", "content": "Which glue for bamboo spars?" }],
    });
    let headers = [("x-api-key", KITES_KEY), ("content-type", "application/json")];
    let path = "/v1/chat/completions";
    let answer = call(Method::POST, fleet.caller(0), path, &headers, body.to_string()).await;
    answer.expect("an answer")
}

#[test]
fn memory_adapters_are_loaded_and_evicted_on_demand() {
    block_on(async {
        let mut plan = plan();
        // Two of the three adapters fit; one may go two seconds after it was loaded.
        plan.config =
            plan.config.replace("order_ms: 30000,", "order_ms: 2000, adapter_mb: 20,").replace(
                "glue: { pool: assistant, mb: 500 }",
                "glue: { pool: assistant, mb: 500, adapters: { kite: 10, reel: 10, tail: 10 } }",
            );
        let fleet = Fleet::start("memory-adapters", plan).await;
        for adapter in ["kite", "reel", "tail", "kite"] {
            let answer = ask_adapter(&fleet, adapter).await;
            assert_eq!(answer.status, 200, "{adapter}: {}", answer.text());
            let report = fleet.read(fleet.endpoint("engine-0"), "/report").await;
            let residents = report["residents"].as_array().expect("residents").clone();
            let adapters = residents.iter().filter(|r| !r["adapter"].is_null());
            let adapters: Vec<_> = adapters.map(|r| r["adapter"].to_string()).collect();
            assert!(adapters.contains(&format!("\"{adapter}\"")), "{adapters:?}");
            assert!(adapters.len() <= 2, "{adapters:?}");
        }
        let unknown = ask_adapter(&fleet, "string").await;
        assert!(unknown.is_not_run(), "{}", unknown.text());
        assert_eq!(overcommits(&fleet).await, 0);
    });
}
