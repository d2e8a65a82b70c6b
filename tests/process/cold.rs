//! Warm-up of endpoints: all instances together send a cold endpoint no more requests than its
//! limit. Endpoints that leave get no new requests.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use http::Method;
use serde_json::json;

use crate::util::{
    block_on,
    fleet::{CONFIG, Fleet, FleetSpec, KITES_KEY, READY_TIMEOUT, engine_settings},
    http::{call, chat},
    wait_until,
};
use cardamomshore::{
    platform::ListedState,
    standin::engine::{EngineCounts, EngineSettings},
};

/// Most concurrent requests of a cold engine, as in the configuration.
const COLD_LIMIT: u32 = 4;

/// Number of callers that send requests without a pause.
const CALLERS: usize = 24;

/// Returns the settings of an engine that crashes when it is overloaded while cold.
fn fragile_engine() -> EngineSettings {
    EngineSettings { cold_limit: COLD_LIMIT, warm_after: 20, ..engine_settings() }
}

/// Callers that send requests until this value is dropped.
struct Traffic {
    /// Whether the callers should stop.
    stop: Arc<AtomicBool>,
    /// Number of requests completed with status 200.
    completed: Arc<AtomicU64>,
}

impl Traffic {
    /// Starts [`CALLERS`] callers that spread over `instances`.
    fn start(fleet: &Fleet, instances: &[usize]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let completed = Arc::new(AtomicU64::new(0));
        for caller in 0..CALLERS {
            let address = fleet.caller_address(instances[caller % instances.len()]);
            let (stop, completed) = (stop.clone(), completed.clone());
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let response = chat(address, KITES_KEY, "glue", 10, caller % 2 == 0).await;
                    let is_complete = response.is_ok_and(|response| response.status == 200);
                    completed.fetch_add(u64::from(is_complete), Ordering::Relaxed);
                }
            });
        }
        Self { stop, completed }
    }

    /// Waits until `count` more requests have been completed.
    async fn wait_completed(&self, count: u64) {
        let start = self.completed.load(Ordering::Relaxed);
        wait_until("requests are completed", READY_TIMEOUT, || async {
            self.completed.load(Ordering::Relaxed) >= start + count
        })
        .await;
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Returns the counters of engine 0.
async fn counts(fleet: &Fleet) -> EngineCounts {
    let counts = fleet.fetch_json(fleet.endpoint_address("engine-0"), "/standin/counts").await;
    serde_json::from_value(counts).expect("expected the counts of an engine")
}

/// Returns a fleet of three instances and one engine that crashes when it is overloaded.
fn spec() -> FleetSpec {
    FleetSpec {
        instances: vec!["dc-a", "dc-b", "dc-a"],
        engines: vec![("dc-a", fragile_engine())],
        ..FleetSpec::default()
    }
}

/// If each instance kept the limit of a cold engine by itself, all of them together would overload
/// it. The limit must rise once requests complete.
#[test]
fn cold_engine_bears_all_instances() {
    block_on(async {
        let fleet = Fleet::start("cold-all", spec()).await;
        fleet.wait_linked().await;
        let traffic = Traffic::start(&fleet, &[0, 1, 2]);
        traffic.wait_completed(20).await;
        let first_counts = counts(&fleet).await;
        assert_eq!(first_counts.crashes, 0);
        wait_until("the engine runs more requests than when cold", READY_TIMEOUT, || async {
            counts(&fleet).await.peak > COLD_LIMIT
        })
        .await;
        traffic.wait_completed(50).await;
        assert_eq!(counts(&fleet).await.crashes, 0);
    });
}

/// An engine is cold again after a crash. If instances kept the limit of the warm engine, they
/// would overload it right after its restart.
#[test]
fn cold_engine_after_crash() {
    block_on(async {
        let fleet = Fleet::start("cold-crash", spec()).await;
        fleet.wait_linked().await;
        let traffic = Traffic::start(&fleet, &[0, 1, 2]);
        wait_until("the engine runs more requests than when cold", READY_TIMEOUT, || async {
            counts(&fleet).await.peak > 2 * COLD_LIMIT
        })
        .await;
        let put =
            call(Method::PUT, fleet.endpoint_address("engine-0"), "/standin/crash", &[], "").await;
        assert_eq!(put.expect("expected the engine to crash").status, 200);
        traffic.wait_completed(100).await;
        assert_eq!(
            counts(&fleet).await.crashes,
            1,
            "expected no crash but the one that the test caused"
        );
    });
}

/// The steward of a cold engine is killed under load. The next steward must keep to the limit of a
/// cold engine.
#[test]
fn cold_engine_under_new_steward() {
    block_on(async {
        let mut fleet = Fleet::start("cold-steward", spec()).await;
        fleet.wait_linked().await;
        let mut steward = 0;
        for index in 0..3 {
            if fleet.instances[index].output().contains("subject=engine-0 fence=1") {
                steward = index;
            }
        }
        let others: Vec<usize> = (0..3).filter(|index| *index != steward).collect();
        let traffic = Traffic::start(&fleet, &others);
        traffic.wait_completed(10).await;
        fleet.instances[steward].kill();
        traffic.wait_completed(100).await;
        assert_eq!(counts(&fleet).await.crashes, 0);
    });
}

/// An engine whose data centre was out of service has lost its warm-up. When the data centre
/// returns, it must get no more than a cold engine handles.
#[test]
fn returned_data_centre_starts_cold() {
    block_on(async {
        let engines = vec![("dc-a", engine_settings()), ("dc-b", fragile_engine())];
        let fleet = Fleet::start("returned", FleetSpec { engines, ..FleetSpec::default() }).await;
        fleet.wait_linked().await;
        let traffic = Traffic::start(&fleet, &[0, 1]);
        let started = || async {
            let counts =
                fleet.fetch_json(fleet.endpoint_address("engine-1"), "/standin/counts").await;
            counts["started"].as_u64().expect("expected a number")
        };
        let timeline_contains = |text: &'static str| {
            let operator = fleet.operators[1];
            async move {
                let response = call(Method::GET, operator, "/timeline", &[], "").await;
                response.is_ok_and(|response| response.text().contains(text))
            }
        };
        wait_until("the engine is warm", READY_TIMEOUT, || timeline_contains("EndpointWarm")).await;
        fleet.apply_config(1, &CONFIG.replace("dc-b: {}", "dc-b: { out: true }")).await;
        wait_until("the engine gets no new requests", READY_TIMEOUT, || async {
            let before = started().await;
            traffic.wait_completed(30).await;
            started().await == before
        })
        .await;
        let before = started().await;
        traffic.wait_completed(60).await;
        assert_eq!(started().await, before);
        assert!(!timeline_contains("sign=returned").await);
        fleet.apply_config(2, CONFIG).await;
        wait_until("the engine is cold after its return", READY_TIMEOUT, || {
            timeline_contains("sign=returned")
        })
        .await;
        wait_until("the engine serves after its return", READY_TIMEOUT, || async {
            started().await > before + 20
        })
        .await;
        let counts = fleet.fetch_json(fleet.endpoint_address("engine-1"), "/standin/counts").await;
        assert_eq!(counts["crashes"], 0);
    });
}

/// An engine that the list shows as leaving must complete its requests and get no new ones.
#[test]
fn leaving_engine_gets_no_new_work() {
    block_on(async {
        let engines = vec![("dc-a", engine_settings()), ("dc-b", engine_settings())];
        let fleet = Fleet::start("leaving", FleetSpec { engines, ..FleetSpec::default() }).await;
        fleet.wait_linked().await;
        let traffic = Traffic::start(&fleet, &[0, 1]);
        traffic.wait_completed(50).await;
        let mut list = fleet.list.clone();
        let leaving = list.endpoints.iter_mut().find(|e| e.id.as_str() == "engine-0");
        leaving.expect("expected the engine to be listed").state = ListedState::Leaving;
        fleet.publish_list(&list).await;
        wait_until("the engine gets no new requests", READY_TIMEOUT, || async {
            let before = counts(&fleet).await.started;
            traffic.wait_completed(30).await;
            counts(&fleet).await.started == before
        })
        .await;
        let started = counts(&fleet).await.started;
        traffic.wait_completed(100).await;
        assert_eq!(counts(&fleet).await.started, started);
        let report = fleet.fetch_json(fleet.endpoint_address("engine-0"), "/report").await;
        assert_eq!(report["running"], json!(0));
        assert_eq!(
            counts(&fleet).await.completed,
            started,
            "expected all started requests to complete"
        );
    });
}
