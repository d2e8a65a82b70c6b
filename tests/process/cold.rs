//! A fresh endpoint gets no more than it bears, over all instances together.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use http::Method;
use serde_json::json;

use crate::util::{
    block_on, eventually,
    fleet::{CONFIG, Fleet, KITES_KEY, Plan, READY, engine_settings},
    http::{call, chat},
};
use cardamomshore::{
    platform::ListedState,
    standin::engine::{EngineCounts, EngineSettings},
};

/// Requests that a cold engine bears, as the configuration says.
const COLD_LIMIT: u32 = 4;

/// Callers that ask all the time.
const CALLERS: usize = 24;

/// Returns an engine that crashes when it is overloaded before it is warm.
fn fragile() -> EngineSettings {
    EngineSettings { cold_limit: COLD_LIMIT, warm_after: 20, ..engine_settings() }
}

/// Callers that ask until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
}

impl Load {
    fn start(fleet: &Fleet, instances: &[usize]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU64::new(0));
        for caller in 0..CALLERS {
            let address = fleet.caller(instances[caller % instances.len()]);
            let (stop, answered) = (stop.clone(), answered.clone());
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let answer = chat(address, KITES_KEY, "glue", 10, caller % 2 == 0).await;
                    let whole = answer.is_ok_and(|answer| answer.status == 200);
                    answered.fetch_add(u64::from(whole), Ordering::Relaxed);
                }
            });
        }
        Self { stop, answered }
    }

    async fn wait_for(&self, more: u64) {
        let start = self.answered.load(Ordering::Relaxed);
        eventually("callers are answered", READY, || async {
            self.answered.load(Ordering::Relaxed) >= start + more
        })
        .await;
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

async fn counts(fleet: &Fleet) -> EngineCounts {
    let counts = fleet.read(fleet.endpoint("engine-0"), "/standin/counts").await;
    serde_json::from_value(counts).expect("counts")
}

fn plan() -> Plan {
    Plan {
        instances: vec!["dc-a", "dc-b", "dc-a"],
        engines: vec![("dc-a", fragile())],
        ..Plan::default()
    }
}

#[test]
fn cold_engine_bears_all_instances() {
    block_on(async {
        let fleet = Fleet::start("cold-all", plan()).await;
        fleet.wait_linked().await;
        let load = Load::start(&fleet, &[0, 1, 2]);
        load.wait_for(20).await;
        let early = counts(&fleet).await;
        assert_eq!(early.crashes, 0);
        eventually("the limit rises", READY, || async { counts(&fleet).await.peak > COLD_LIMIT })
            .await;
        load.wait_for(50).await;
        assert_eq!(counts(&fleet).await.crashes, 0);
    });
}

#[test]
fn cold_engine_after_crash() {
    block_on(async {
        let fleet = Fleet::start("cold-crash", plan()).await;
        fleet.wait_linked().await;
        let load = Load::start(&fleet, &[0, 1, 2]);
        eventually("the limit rises", READY, || async {
            counts(&fleet).await.peak > 2 * COLD_LIMIT
        })
        .await;
        let put = call(Method::PUT, fleet.endpoint("engine-0"), "/standin/crash", &[], "").await;
        assert_eq!(put.expect("the engine crashes").status, 200);
        load.wait_for(100).await;
        assert_eq!(counts(&fleet).await.crashes, 1, "only the one that was ordered");
    });
}

#[test]
fn cold_engine_under_new_steward() {
    block_on(async {
        let mut fleet = Fleet::start("cold-steward", plan()).await;
        fleet.wait_linked().await;
        let mut steward = 0;
        for index in 0..3 {
            if fleet.instances[index].output().contains("subject=engine-0 fence=1") {
                steward = index;
            }
        }
        let others: Vec<usize> = (0..3).filter(|index| *index != steward).collect();
        let load = Load::start(&fleet, &others);
        load.wait_for(10).await;
        fleet.instances[steward].kill();
        load.wait_for(100).await;
        assert_eq!(counts(&fleet).await.crashes, 0);
    });
}

#[test]
fn returned_data_centre_starts_cold() {
    block_on(async {
        let engines = vec![("dc-a", engine_settings()), ("dc-b", fragile())];
        let fleet = Fleet::start("returned", Plan { engines, ..Plan::default() }).await;
        fleet.wait_linked().await;
        let load = Load::start(&fleet, &[0, 1]);
        let started = || async {
            let counts = fleet.read(fleet.endpoint("engine-1"), "/standin/counts").await;
            counts["started"].as_u64().expect("a count")
        };
        let marked = |mark: &'static str| {
            let operator = fleet.operators[1];
            async move {
                let answer = call(Method::GET, operator, "/timeline", &[], "").await;
                answer.is_ok_and(|answer| answer.text().contains(mark))
            }
        };
        eventually("the engine is warm", READY, || marked("EndpointWarm")).await;
        fleet.apply(1, &CONFIG.replace("dc-b: {}", "dc-b: { out: true }")).await;
        eventually("new work stops", READY, || async {
            let before = started().await;
            load.wait_for(30).await;
            started().await == before
        })
        .await;
        let before = started().await;
        load.wait_for(60).await;
        assert_eq!(started().await, before);
        assert!(!marked("sign=returned").await);
        fleet.apply(2, CONFIG).await;
        eventually("it starts from cold", READY, || marked("sign=returned")).await;
        eventually("it serves again", READY, || async { started().await > before + 20 }).await;
        let counts = fleet.read(fleet.endpoint("engine-1"), "/standin/counts").await;
        assert_eq!(counts["crashes"], 0);
    });
}

#[test]
fn leaving_engine_gets_no_new_work() {
    block_on(async {
        let engines = vec![("dc-a", engine_settings()), ("dc-b", engine_settings())];
        let fleet = Fleet::start("leaving", Plan { engines, ..Plan::default() }).await;
        fleet.wait_linked().await;
        let load = Load::start(&fleet, &[0, 1]);
        load.wait_for(50).await;
        let mut list = fleet.list.clone();
        let leaving = list.endpoints.iter_mut().find(|e| e.id.as_str() == "engine-0");
        leaving.expect("a listed engine").state = ListedState::Leaving;
        fleet.publish_list(&list).await;
        eventually("new work stops", READY, || async {
            let before = counts(&fleet).await.started;
            load.wait_for(30).await;
            counts(&fleet).await.started == before
        })
        .await;
        let started = counts(&fleet).await.started;
        load.wait_for(100).await;
        assert_eq!(counts(&fleet).await.started, started);
        let report = fleet.read(fleet.endpoint("engine-0"), "/report").await;
        assert_eq!(report["running"], json!(0));
        assert_eq!(counts(&fleet).await.completed, started, "what ran was answered");
    });
}
