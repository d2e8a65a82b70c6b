//! Instances that are killed, paused or replaced, and the platform's service down.

use std::time::Duration;

use cardamomshore::{kernel::stewardship::LEASE_TTL, platform::ListedState};
use rustix::process::Signal;
use serde_json::json;

use crate::util::{
    block_on, eventually,
    fleet::{Fleet, KITES_KEY, Plan, engine_settings},
    http::chat,
};

/// Longest time for a lease to lapse and another instance to take over, on a busy machine.
const TAKE_OVER: Duration = Duration::from_secs(60);

/// Longest time for a handover on a busy machine.
const HAND_OVER: Duration = Duration::from_secs(20);

fn plan(instances: usize) -> Plan {
    Plan {
        instances: vec!["dc-a"; instances],
        engines: vec![("dc-a", engine_settings())],
        services: vec![],
        ..Plan::default()
    }
}

async fn assert_serves(fleet: &Fleet, index: usize) {
    let answer = chat(fleet.caller(index), KITES_KEY, "glue", 4, true).await.expect("an answer");
    assert_eq!(answer.status, 200, "instance {index}: {}", answer.text());
}

async fn prints(fleet: &Fleet, index: usize, event: &str) {
    eventually(event, TAKE_OVER, || async { fleet.instances[index].output().contains(event) })
        .await;
}

#[test]
fn membership_paused_steward_is_replaced_and_stays_out() {
    block_on(async {
        let fleet = Fleet::start("membership-paused", plan(3)).await;
        let former = fleet.steward("engine-0").await.expect("a steward");
        let before = fleet.record("engine-0").await;
        fleet.instances[former].signal(Signal::STOP);
        let next = fleet.next_steward("engine-0", former, TAKE_OVER).await;
        let after = fleet.record("engine-0").await;
        assert!(after.fence > before.fence, "{after:?}");
        fleet.instances[former].signal(Signal::CONT);
        prints(&fleet, former, "E2302").await;
        // The work that it takes from callers now goes through the next steward.
        eventually("the resumed instance serves", TAKE_OVER, || async {
            let answer = chat(fleet.caller(former), KITES_KEY, "glue", 4, true).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
        assert_serves(&fleet, next).await;
        let output = fleet.instances[former].output();
        let resumed = output.find("E2302").expect("the loss");
        // The endpoint may come back to it as the preferred instance.
        let outside = output[resumed..].split("E2301").next().unwrap_or_default();
        assert!(!outside.contains("E2103"), "dispatched after the loss");
    });
}

#[test]
fn membership_service_down_for_longer_than_every_lease() {
    block_on(async {
        let fleet = Fleet::start("membership-down", plan(3)).await;
        let before = fleet.record("engine-0").await;
        fleet.set_faults(fleet.platform, json!({ "down": true })).await;
        let start = std::time::Instant::now();
        let mut served = 0;
        while start.elapsed() < LEASE_TTL * 2 {
            for index in 0..3 {
                assert_serves(&fleet, index).await;
                served += 1;
            }
        }
        fleet.set_faults(fleet.platform, json!({})).await;
        let start = std::time::Instant::now();
        while start.elapsed() < LEASE_TTL {
            for index in 0..3 {
                assert_serves(&fleet, index).await;
                served += 1;
            }
        }
        let after = fleet.record("engine-0").await;
        assert_eq!((after.fence, after.holder), (before.fence, before.holder));
        println!("served {served} requests while the service was down and came back");
    });
}

#[test]
fn membership_steward_killed_while_service_is_down() {
    block_on(async {
        let mut fleet = Fleet::start("membership-substitute", plan(3)).await;
        let former = fleet.steward("engine-0").await.expect("a steward");
        // Every instance has its share of the rates before the service goes down.
        for index in 0..3 {
            prints(&fleet, index, "E2701").await;
        }
        fleet.set_faults(fleet.platform, json!({ "down": true })).await;
        fleet.instances[former].kill();
        for index in (0..3).filter(|index| *index != former) {
            eventually("another instance dispatches", TAKE_OVER, || async {
                let answer = chat(fleet.caller(index), KITES_KEY, "glue", 4, true).await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
        fleet.set_faults(fleet.platform, json!({})).await;
        let next = fleet.next_steward("engine-0", former, TAKE_OVER).await;
        eventually("the next steward serves", TAKE_OVER, || async {
            let answer = chat(fleet.caller(next), KITES_KEY, "glue", 4, true).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    });
}

#[test]
fn membership_leaving_steward_hands_over_before_it_ends() {
    block_on(async {
        let mut fleet = Fleet::start("membership-leaving", plan(3)).await;
        let former = fleet.steward("engine-0").await.expect("a steward");
        fleet.instances[former].signal(Signal::TERM);
        let next = fleet.next_steward("engine-0", former, HAND_OVER).await;
        assert_serves(&fleet, next).await;
        eventually("the instance ends", HAND_OVER, || {
            let ended = fleet.instances[former].has_ended();
            async move { ended }
        })
        .await;
        assert!(fleet.instances[former].output().contains("E2303"));
    });
}

#[test]
fn membership_leaving_endpoint_is_drained_and_dropped() {
    block_on(async {
        let mut plan = plan(2);
        plan.engines.push(("dc-a", engine_settings()));
        let fleet = Fleet::start("membership-endpoint", plan).await;
        let mut list = fleet.list.clone();
        list.endpoints[0].state = ListedState::Leaving;
        fleet.publish_list(&list).await;
        eventually("the endpoint has no steward", HAND_OVER, || async {
            fleet.record("engine-0").await.holder.is_none()
        })
        .await;
        let seen = fleet.read(fleet.endpoint("engine-0"), "/standin/counts").await;
        for index in [0, 1, 0, 1] {
            assert_serves(&fleet, index).await;
        }
        let after = fleet.read(fleet.endpoint("engine-0"), "/standin/counts").await;
        assert_eq!(seen["started"], after["started"]);
        fleet.publish_list(&fleet.list).await;
        eventually("the endpoint is taken again", HAND_OVER, || async {
            fleet.record("engine-0").await.fence == 2
        })
        .await;
    });
}

#[test]
fn membership_platform_calls_idle_and_in_recovery() {
    block_on(async {
        let mut fleet = Fleet::start("membership-calls", plan(4)).await;
        let former = fleet.steward("engine-0").await.expect("a steward");
        let counts = |label: &'static str, before: serde_json::Value, after: &serde_json::Value| {
            for (kind, count) in after.as_object().expect("counts") {
                let difference = count.as_u64().unwrap_or(0) - before[kind].as_u64().unwrap_or(0);
                println!("{label}: {kind} {difference}");
            }
        };
        let start = fleet.read(fleet.platform, "/standin/counts").await;
        tokio::time::sleep(LEASE_TTL).await;
        let idle = fleet.read(fleet.platform, "/standin/counts").await;
        counts("idle for one lease, 4 instances", start, &idle);
        fleet.instances[former].kill();
        eventually("another steward", TAKE_OVER, || async {
            let mut stewards = 0;
            for operator in &fleet.operators {
                stewards += fleet.status(*operator).await["stewards"].as_u64().unwrap_or(0);
            }
            stewards == 1
        })
        .await;
        let after = fleet.read(fleet.platform, "/standin/counts").await;
        counts("until one of 4 instances is replaced", idle, &after);
    });
}
