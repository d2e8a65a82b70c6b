//! Non-repeatable requests: a payment runs at most once, through handovers, killed or paused
//! instances and faults of the platform.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use http::Method;
use rustix::process::Signal;
use serde_json::json;

use crate::util::{
    block_on,
    fleet::{Fleet, FleetSpec, KITES_KEY, READY_TIMEOUT},
    http::{Response, call},
    wait_until,
};

/// Number of payments that most tests send.
const ID_COUNT: u32 = 12;

/// Sends a payment and returns the response, or `None` if none arrives.
async fn pay(address: SocketAddr, id: &str) -> Option<Response> {
    let headers = [("x-api-key", KITES_KEY), ("idempotency-key", id)];
    call(Method::POST, address, "/services/ledger/payments", &headers, "{}").await.ok()
}

/// Waits until all 32 buckets of ids are owned and both instances own some.
async fn wait_buckets_spread(fleet: &Fleet) {
    wait_until("both instances own buckets", READY_TIMEOUT, || async {
        let mut owned = Vec::new();
        for operator in &fleet.operators {
            owned.push(fleet.fetch_status(*operator).await["buckets"].as_u64().unwrap_or(0));
        }
        owned.iter().all(|count| *count > 0) && owned.iter().sum::<u64>() == 32
    })
    .await;
}

/// Returns the ids of the payments.
fn ids() -> Vec<String> {
    (0..ID_COUNT).map(|number| format!("restock-{number}")).collect()
}

/// Sends all payments concurrently and returns their responses.
async fn pay_all(address: SocketAddr) -> Vec<Option<Response>> {
    let ids = ids();
    join_all(ids.iter().map(|id| pay(address, id))).await
}

/// Checks that no payment ran more than once.
async fn assert_none_ran_twice(fleet: &Fleet) {
    let runs = fleet.fetch_json(fleet.endpoint_address("ledger-0"), "/standin/runs").await;
    for id in ids() {
        assert!(
            runs[&id].as_u64().unwrap_or(0) <= 1,
            "expected {id} to run at most once, ran {}",
            runs[&id]
        );
    }
}

/// Returns the ids of the payments that ran at the service.
async fn run_ids(fleet: &Fleet) -> BTreeSet<String> {
    let runs = fleet.fetch_json(fleet.endpoint_address("ledger-0"), "/standin/runs").await;
    runs.as_object().map(|runs| runs.keys().cloned().collect()).unwrap_or_default()
}

/// Retries every payment until its response is status 200 or says that the outcome is unknown.
async fn retry_until_settled(fleet: &Fleet, address: SocketAddr) {
    for id in ids() {
        wait_until("a retry has a final outcome", READY_TIMEOUT, || async {
            let Some(response) = pay(address, &id).await else { return false };
            response.status == 200 || response.code() == 1501
        })
        .await;
    }
    assert_none_ran_twice(fleet).await;
}

/// A caller that retries a payment at another instance must get the first response. The same id
/// with another body must be refused.
#[test]
fn payment_repeated_at_other_instance() {
    block_on(async {
        let fleet = Fleet::start("once-repeat", FleetSpec::default()).await;
        let first = pay_all(fleet.caller_address(0)).await;
        let second = pay_all(fleet.caller_address(1)).await;
        for (first, second) in first.iter().zip(&second) {
            let (first, second) = (first.as_ref().unwrap(), second.as_ref().unwrap());
            assert_eq!((first.status, second.status), (200, 200), "response: {}", first.text());
            assert_eq!(first.body, second.body, "expected the first response again");
        }
        let headers = [("x-api-key", KITES_KEY), ("idempotency-key", "restock-0")];
        let path = "/services/ledger/payments";
        let reused =
            call(Method::POST, fleet.caller_address(1), path, &headers, "{\"other\":1}").await;
        assert_eq!(reused.unwrap().code(), 1108, "expected code 1108 for an id of another request");
        assert_none_ran_twice(&fleet).await;
    });
}

/// A recorded response could be lost when the bucket of its id is handed over to an instance that
/// has just started.
#[test]
fn payment_answer_outlives_handover() {
    block_on(async {
        let spec = FleetSpec { instances: vec!["dc-a", "dc-b", "dc-b"], ..FleetSpec::default() };
        let mut fleet = Fleet::start("once-handover", spec).await;
        fleet.instances[2].kill();
        let first = pay_all(fleet.caller_address(0)).await;
        fleet.instances[2].restart();
        wait_until("the restarted instance owns buckets", READY_TIMEOUT, || async {
            fleet.fetch_status(fleet.operators[2]).await["buckets"].as_u64() > Some(0)
        })
        .await;
        let second = pay_all(fleet.caller_address(1)).await;
        for (first, second) in first.iter().zip(&second) {
            let (first, second) = (first.as_ref().unwrap(), second.as_ref().unwrap());
            assert_eq!((first.status, second.status), (200, 200), "response: {}", second.text());
            assert_eq!(first.body, second.body);
        }
        assert_none_ran_twice(&fleet).await;
    });
}

/// An owner that is killed while payments run leaves them without a response. They must not be
/// reported as not run, and a retry must not run them a second time.
#[test]
fn payment_owner_killed_in_flight() {
    block_on(async {
        let mut fleet = Fleet::start("once-killed", FleetSpec::default()).await;
        fleet.set_faults(fleet.endpoint_address("ledger-0"), json!({ "late_ms": 2000 })).await;
        let address = fleet.caller_address(0);
        let payments = tokio::spawn(pay_all(address));
        wait_until("all payments run", READY_TIMEOUT, || async {
            run_ids(&fleet).await.len() as u32 == ID_COUNT
        })
        .await;
        fleet.instances[1].kill();
        for response in payments.await.unwrap().into_iter().flatten() {
            assert!(
                !response.is_not_run(),
                "expected a response that does not say `not-run`: {}",
                response.text()
            );
        }
        retry_until_settled(&fleet, address).await;
    });
}

/// A paused owner loses its buckets without knowing. When it resumes, it must not run payments
/// that the new owner has settled.
#[test]
fn payment_owner_paused_and_resumed() {
    block_on(async {
        let fleet = Fleet::start("once-paused", FleetSpec::default()).await;
        let before = pay_all(fleet.caller_address(0)).await;
        assert!(before.iter().flatten().all(|response| response.status == 200));
        fleet.instances[1].signal(Signal::STOP);
        retry_until_settled(&fleet, fleet.caller_address(0)).await;
        fleet.instances[1].signal(Signal::CONT);
        for response in pay_all(fleet.caller_address(1)).await.into_iter().flatten() {
            assert!(
                !response.is_not_run() || response.code() == 1301,
                "expected `not-run` with code 1301 only: {}",
                response.text()
            );
        }
        retry_until_settled(&fleet, fleet.caller_address(1)).await;
    });
}

/// While the platform is down no payment can be recorded. It must be refused at once and not run;
/// recorded responses must still be served.
#[test]
fn payment_platform_down_is_not_run_at_once() {
    block_on(async {
        let fleet = Fleet::start("once-down", FleetSpec::default()).await;
        wait_buckets_spread(&fleet).await;
        let warm_up = pay(fleet.caller_address(0), "warm-up").await.unwrap();
        assert_eq!(warm_up.status, 200);
        fleet.set_faults(fleet.platform, json!({ "down": true })).await;
        let start = std::time::Instant::now();
        let refused = pay_all(fleet.caller_address(0)).await;
        let elapsed = start.elapsed();
        for response in refused.into_iter().flatten() {
            assert!(
                response.is_not_run() || response.code() == 1501,
                "expected `not-run` or code 1501: {}",
                response.text()
            );
            assert_ne!(response.status, 200);
        }
        assert!(elapsed < Duration::from_secs(5), "expected less than 5 s, took {elapsed:?}");
        let ran_ids = run_ids(&fleet).await;
        assert!(
            ids().iter().all(|id| !ran_ids.contains(id)),
            "expected no refused payment to run: {ran_ids:?}"
        );
        let replayed = pay(fleet.caller_address(0), "warm-up").await.unwrap();
        assert_eq!(
            replayed.status,
            200,
            "expected a recorded response without the platform: {}",
            replayed.text()
        );
        fleet.set_faults(fleet.platform, json!({})).await;
        retry_until_settled(&fleet, fleet.caller_address(0)).await;
        assert_eq!(
            run_ids(&fleet).await.len() as u32,
            ID_COUNT + 1,
            "expected every payment to run in the end"
        );
    });
}

/// The platform records claims but its responses are lost. Payments that ran must not be reported
/// as not run, and retries must not run them a second time.
#[test]
fn payment_platform_effect_without_answer() {
    block_on(async {
        let fleet = Fleet::start("once-mute", FleetSpec::default()).await;
        fleet.set_faults(fleet.platform, json!({ "mute": true })).await;
        let first = pay_all(fleet.caller_address(0)).await;
        fleet.set_faults(fleet.platform, json!({})).await;
        let ran_ids = run_ids(&fleet).await;
        for (id, response) in ids().iter().zip(first) {
            let response = response.unwrap();
            assert!(
                !response.is_not_run() || !ran_ids.contains(id),
                "expected no `not-run` for {id}, which ran: {}",
                response.text()
            );
        }
        retry_until_settled(&fleet, fleet.caller_address(1)).await;
    });
}

/// Number of payments in the burst.
const PAYMENT_COUNT: usize = 600;

/// Number of callers that send the burst concurrently.
const CALLER_COUNT: usize = 60;

/// One write to the platform for each payment would overload it, so writes of concurrent payments
/// must be grouped.
#[test]
fn payment_burst_within_platform_budget() {
    block_on(async {
        let fleet = Fleet::start("once-burst", FleetSpec::default()).await;
        wait_buckets_spread(&fleet).await;
        let before = fleet.fetch_json(fleet.platform, "/standin/counts").await;
        let start = std::time::Instant::now();
        let callers = (0..CALLER_COUNT).map(|caller| {
            let address = fleet.caller_address(caller % 2);
            async move {
                for number in 0..PAYMENT_COUNT / CALLER_COUNT {
                    let response = pay(address, &format!("burst-{caller}-{number}")).await;
                    let response = response.expect("expected a response");
                    assert_eq!(response.status, 200, "response: {}", response.text());
                }
            }
        });
        join_all(callers).await;
        let elapsed = start.elapsed();
        let after = fleet.fetch_json(fleet.platform, "/standin/counts").await;
        let writes = after["txn"].as_u64().unwrap() - before["txn"].as_u64().unwrap();
        println!("{PAYMENT_COUNT} payments in {elapsed:?} took {writes} writes");
        assert!(
            writes < PAYMENT_COUNT as u64,
            "expected less than one write a payment, got {writes}"
        );
        let per_second = writes as f64 / elapsed.as_secs_f64();
        assert!(per_second < 300.0, "expected less than 300 writes a second, got {per_second:.0}");
    });
}
