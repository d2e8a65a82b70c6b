//! Placement by the planner's duty between separate processes.

use http::Method;
use std::time::Duration;

use crate::util::{
    block_on, eventually,
    fleet::{Fleet, KITES_KEY, Plan, engine_settings},
    http::{call, chat, expected_text, streamed_text},
};
use cardamomshore::standin::engine::EngineSettings;

/// Longest time for a change of holder and the loads after it.
const LIMIT: Duration = Duration::from_secs(120);

/// Returns a plan on whose engines no copy of `spar` is resident at first.
fn plan() -> Plan {
    let preload = vec![("glue".to_owned(), 100)];
    let first = EngineSettings { preload, ..engine_settings() };
    let second = EngineSettings { preload: Vec::new(), ..engine_settings() };
    Plan {
        instances: vec!["dc-a", "dc-b", "dc-b"],
        engines: vec![("dc-a", first), ("dc-b", second)],
        ..Plan::default()
    }
}

async fn has_models(fleet: &Fleet, engine: &str, wanted: &[&str]) -> bool {
    let report = fleet.read(fleet.endpoint(engine), "/report").await;
    let residents = report["residents"].as_array().cloned().unwrap_or_default();
    wanted.iter().all(|model| residents.iter().any(|r| r["model"] == *model))
}

async fn planner(fleet: &Fleet) -> Option<usize> {
    for (index, operator) in fleet.operators.iter().enumerate() {
        if fleet.status(*operator).await["planner"] == true {
            return Some(index);
        }
    }
    None
}

#[test]
fn placement_loads_missing_copy_and_survives_its_planner() {
    block_on(async {
        let mut fleet = Fleet::start("placement", plan()).await;
        // No copy is resident, so the request waits for the load.
        let answer = chat(fleet.caller(0), KITES_KEY, "spar", 6, true).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(streamed_text(&answer), (expected_text(6), true));
        eventually("both models are in both data centres", LIMIT, || async {
            has_models(&fleet, "engine-0", &["glue", "spar"]).await
                && has_models(&fleet, "engine-1", &["glue", "spar"]).await
        })
        .await;
        let holder = planner(&fleet).await.expect("an instance holds the duty");
        fleet.instances[holder].kill();
        let crashed = fleet.endpoint("engine-1");
        call(Method::PUT, crashed, "/standin/crash", &[], "").await.unwrap();
        eventually("the next planner loads the lost copies", LIMIT, || async {
            has_models(&fleet, "engine-1", &["glue", "spar"]).await
        })
        .await;
        let next = planner(&fleet).await.expect("another instance holds the duty");
        assert_ne!(next, holder);
        for engine in ["engine-0", "engine-1"] {
            let counts = fleet.read(fleet.endpoint(engine), "/standin/counts").await;
            assert_eq!(counts["overcommits"], 0, "{counts}");
        }
    });
}
