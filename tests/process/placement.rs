//! Placement: the planner orders loads of missing replicas, and another instance takes its place.

use http::Method;
use std::time::Duration;

use crate::util::{
    block_on,
    fleet::{Fleet, FleetSpec, KITES_KEY, engine_settings},
    http::{call, chat, expected_text, streamed_text},
    wait_until,
};
use cardamomshore::standin::engine::EngineSettings;

/// Longest wait for another planner and the loads that it orders.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Returns a fleet on whose engines no replica of `spar` is resident at first.
fn spec() -> FleetSpec {
    let preload = vec![("glue".to_owned(), 100)];
    let first = EngineSettings { preload, ..engine_settings() };
    let second = EngineSettings { preload: Vec::new(), ..engine_settings() };
    FleetSpec {
        instances: vec!["dc-a", "dc-b", "dc-b"],
        engines: vec![("dc-a", first), ("dc-b", second)],
        ..FleetSpec::default()
    }
}

/// Returns whether all of `models` are resident on an engine.
async fn has_replicas(fleet: &Fleet, engine: &str, models: &[&str]) -> bool {
    let report = fleet.fetch_json(fleet.endpoint_address(engine), "/report").await;
    let residents = report["residents"].as_array().cloned().unwrap_or_default();
    models.iter().all(|model| residents.iter().any(|r| r["model"] == *model))
}

/// Returns the index of the instance that is the planner.
async fn planner_index(fleet: &Fleet) -> Option<usize> {
    for (index, operator) in fleet.operators.iter().enumerate() {
        if fleet.fetch_status(*operator).await["planner"] == true {
            return Some(index);
        }
    }
    None
}

/// A request for a model without a replica must wait for its load. After the planner is killed and
/// an engine has lost its replicas, the next planner must load them.
#[test]
fn placement_loads_missing_copy_and_survives_its_planner() {
    block_on(async {
        let mut fleet = Fleet::start("placement", spec()).await;
        // No replica is resident, so the request waits for the load.
        let response = chat(fleet.caller_address(0), KITES_KEY, "spar", 6, true).await.unwrap();
        assert_eq!(response.status, 200, "response: {}", response.text());
        assert_eq!(streamed_text(&response), (expected_text(6), true));
        wait_until("both models have a replica in both data centres", LOAD_TIMEOUT, || async {
            has_replicas(&fleet, "engine-0", &["glue", "spar"]).await
                && has_replicas(&fleet, "engine-1", &["glue", "spar"]).await
        })
        .await;
        let former = planner_index(&fleet).await.expect("expected an instance to be the planner");
        fleet.instances[former].kill();
        let crashed = fleet.endpoint_address("engine-1");
        call(Method::PUT, crashed, "/standin/crash", &[], "").await.unwrap();
        wait_until("the next planner loads the lost replicas", LOAD_TIMEOUT, || async {
            has_replicas(&fleet, "engine-1", &["glue", "spar"]).await
        })
        .await;
        let next =
            planner_index(&fleet).await.expect("expected another instance to be the planner");
        assert_ne!(next, former);
        for engine in ["engine-0", "engine-1"] {
            let counts = fleet.fetch_json(fleet.endpoint_address(engine), "/standin/counts").await;
            assert_eq!(counts["overcommits"], 0, "expected no overcommit: {counts}");
        }
    });
}
