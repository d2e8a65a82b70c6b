//! Non-repeatable requests.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use http::Method;
use rustix::process::Signal;
use serde_json::json;

use crate::util::{
    block_on, eventually,
    fleet::{Fleet, KITES_KEY, Plan, READY},
    http::{Answer, call},
};

const IDS: u32 = 12;

async fn pay(address: SocketAddr, id: &str) -> Option<Answer> {
    let headers = [("x-api-key", KITES_KEY), ("idempotency-key", id)];
    call(Method::POST, address, "/services/ledger/payments", &headers, "{}").await.ok()
}

/// Waits until the buckets are spread over both instances.
async fn wait_owned(fleet: &Fleet) {
    eventually("both instances own buckets", READY, || async {
        let mut owned = Vec::new();
        for operator in &fleet.operators {
            owned.push(fleet.status(*operator).await["buckets"].as_u64().unwrap_or(0));
        }
        owned.iter().all(|count| *count > 0) && owned.iter().sum::<u64>() == 32
    })
    .await;
}

fn ids() -> Vec<String> {
    (0..IDS).map(|number| format!("restock-{number}")).collect()
}

async fn pay_all(address: SocketAddr) -> Vec<Option<Answer>> {
    let ids = ids();
    join_all(ids.iter().map(|id| pay(address, id))).await
}

/// Checks that nothing ran twice and that no refused payment ran.
async fn check_runs(fleet: &Fleet) {
    let runs = fleet.read(fleet.endpoint("ledger-0"), "/standin/runs").await;
    for id in ids() {
        assert!(runs[&id].as_u64().unwrap_or(0) <= 1, "{id} ran {}", runs[&id]);
    }
}

async fn runs(fleet: &Fleet) -> BTreeSet<String> {
    let runs = fleet.read(fleet.endpoint("ledger-0"), "/standin/runs").await;
    runs.as_object().map(|runs| runs.keys().cloned().collect()).unwrap_or_default()
}

/// Repeats every payment until each is answered whole or its outcome is said to be unknown.
async fn settle_all(fleet: &Fleet, address: SocketAddr) {
    for id in ids() {
        eventually("a repeat is settled", READY, || async {
            let Some(answer) = pay(address, &id).await else { return false };
            answer.status == 200 || answer.code() == 1501
        })
        .await;
    }
    check_runs(fleet).await;
}

#[test]
fn payment_repeated_at_other_instance() {
    block_on(async {
        let fleet = Fleet::start("once-repeat", Plan::default()).await;
        let first = pay_all(fleet.caller(0)).await;
        let second = pay_all(fleet.caller(1)).await;
        for (first, second) in first.iter().zip(&second) {
            let (first, second) = (first.as_ref().unwrap(), second.as_ref().unwrap());
            assert_eq!((first.status, second.status), (200, 200), "{}", first.text());
            assert_eq!(first.body, second.body, "the first answer is kept");
        }
        let headers = [("x-api-key", KITES_KEY), ("idempotency-key", "restock-0")];
        let path = "/services/ledger/payments";
        let other = call(Method::POST, fleet.caller(1), path, &headers, "{\"other\":1}").await;
        assert_eq!(other.unwrap().code(), 1108, "the id is taken by another request");
        check_runs(&fleet).await;
    });
}

#[test]
fn payment_answer_outlives_handover() {
    block_on(async {
        let plan = Plan { instances: vec!["dc-a", "dc-b", "dc-b"], ..Plan::default() };
        let mut fleet = Fleet::start("once-handover", plan).await;
        fleet.instances[2].kill();
        let first = pay_all(fleet.caller(0)).await;
        fleet.instances[2].restart();
        eventually("the newcomer takes buckets", READY, || async {
            fleet.status(fleet.operators[2]).await["buckets"].as_u64() > Some(0)
        })
        .await;
        let second = pay_all(fleet.caller(1)).await;
        for (first, second) in first.iter().zip(&second) {
            let (first, second) = (first.as_ref().unwrap(), second.as_ref().unwrap());
            assert_eq!((first.status, second.status), (200, 200), "{}", second.text());
            assert_eq!(first.body, second.body);
        }
        check_runs(&fleet).await;
    });
}

#[test]
fn payment_owner_killed_in_flight() {
    block_on(async {
        let mut fleet = Fleet::start("once-killed", Plan::default()).await;
        fleet.set_faults(fleet.endpoint("ledger-0"), json!({ "late_ms": 2000 })).await;
        let address = fleet.caller(0);
        let sending = tokio::spawn(pay_all(address));
        eventually("payments run", READY, || async { runs(&fleet).await.len() as u32 == IDS })
            .await;
        fleet.instances[1].kill();
        for answer in sending.await.unwrap().into_iter().flatten() {
            assert!(!answer.is_not_run(), "it ran: {}", answer.text());
        }
        settle_all(&fleet, address).await;
    });
}

#[test]
fn payment_owner_paused_and_resumed() {
    block_on(async {
        let fleet = Fleet::start("once-paused", Plan::default()).await;
        let before = pay_all(fleet.caller(0)).await;
        assert!(before.iter().flatten().all(|answer| answer.status == 200));
        fleet.instances[1].signal(Signal::STOP);
        settle_all(&fleet, fleet.caller(0)).await;
        fleet.instances[1].signal(Signal::CONT);
        for answer in pay_all(fleet.caller(1)).await.into_iter().flatten() {
            assert!(!answer.is_not_run() || answer.code() == 1301, "{}", answer.text());
        }
        settle_all(&fleet, fleet.caller(1)).await;
    });
}

#[test]
fn payment_platform_down_is_not_run_at_once() {
    block_on(async {
        let fleet = Fleet::start("once-down", Plan::default()).await;
        wait_owned(&fleet).await;
        let warm_up = pay(fleet.caller(0), "warm-up").await.unwrap();
        assert_eq!(warm_up.status, 200);
        fleet.set_faults(fleet.platform, json!({ "down": true })).await;
        let start = std::time::Instant::now();
        let refused = pay_all(fleet.caller(0)).await;
        let elapsed = start.elapsed();
        for answer in refused.into_iter().flatten() {
            assert!(answer.is_not_run() || answer.code() == 1501, "{}", answer.text());
            assert_ne!(answer.status, 200);
        }
        assert!(elapsed < Duration::from_secs(5), "took {elapsed:?}");
        let ran = runs(&fleet).await;
        assert!(ids().iter().all(|id| !ran.contains(id)), "a refused payment ran: {ran:?}");
        let kept = pay(fleet.caller(0), "warm-up").await.unwrap();
        assert_eq!(kept.status, 200, "a kept answer needs no platform: {}", kept.text());
        fleet.set_faults(fleet.platform, json!({})).await;
        settle_all(&fleet, fleet.caller(0)).await;
        assert_eq!(runs(&fleet).await.len() as u32, IDS + 1, "every payment lands in the end");
    });
}

#[test]
fn payment_platform_effect_without_answer() {
    block_on(async {
        let fleet = Fleet::start("once-mute", Plan::default()).await;
        fleet.set_faults(fleet.platform, json!({ "mute": true })).await;
        let first = pay_all(fleet.caller(0)).await;
        fleet.set_faults(fleet.platform, json!({})).await;
        let ran = runs(&fleet).await;
        for (id, answer) in ids().iter().zip(first) {
            let answer = answer.unwrap();
            assert!(!answer.is_not_run() || !ran.contains(id), "{id}: {}", answer.text());
        }
        settle_all(&fleet, fleet.caller(1)).await;
    });
}

/// Payments of the burst, and the callers that send them.
const BURST: usize = 600;
const CALLERS: usize = 60;

#[test]
fn payment_burst_within_platform_budget() {
    block_on(async {
        let fleet = Fleet::start("once-burst", Plan::default()).await;
        wait_owned(&fleet).await;
        let before = fleet.read(fleet.platform, "/standin/counts").await;
        let start = std::time::Instant::now();
        let callers = (0..CALLERS).map(|caller| {
            let address = fleet.caller(caller % 2);
            async move {
                for number in 0..BURST / CALLERS {
                    let paid = pay(address, &format!("burst-{caller}-{number}")).await;
                    let paid = paid.expect("an answer");
                    assert_eq!(paid.status, 200, "{}", paid.text());
                }
            }
        });
        join_all(callers).await;
        let elapsed = start.elapsed();
        let after = fleet.read(fleet.platform, "/standin/counts").await;
        let writes = after["txn"].as_u64().unwrap() - before["txn"].as_u64().unwrap();
        println!("{BURST} payments in {elapsed:?} took {writes} writes");
        assert!(writes < BURST as u64, "less than one write a payment, took {writes}");
        let per_second = writes as f64 / elapsed.as_secs_f64();
        assert!(per_second < 300.0, "within the platform's writes, took {per_second:.0} a second");
    });
}
