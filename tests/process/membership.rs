//! Stewardship when instances are killed, paused or leave, and while the platform is down.

use std::time::Duration;

use cardamomshore::{kernel::stewardship::LEASE_TTL, platform::ListedState};
use rustix::process::Signal;
use serde_json::json;

use crate::util::{
    block_on,
    fleet::{Fleet, FleetSpec, KITES_KEY, engine_settings},
    http::chat,
    wait_until,
};

/// Longest wait for a lease to expire and another instance to take over, on a busy host.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest wait for a handover on a busy host.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a fleet of instances in one data centre that share one engine.
fn spec(instances: usize) -> FleetSpec {
    FleetSpec {
        instances: vec!["dc-a"; instances],
        engines: vec![("dc-a", engine_settings())],
        services: vec![],
        ..FleetSpec::default()
    }
}

/// Checks that an instance serves a chat request.
async fn assert_serves(fleet: &Fleet, index: usize) {
    let response = chat(fleet.caller_address(index), KITES_KEY, "glue", 4, true)
        .await
        .expect("expected a response");
    assert_eq!(response.status, 200, "instance {index}, response: {}", response.text());
}

/// Waits until the output of an instance contains `event`, the number of an event.
async fn wait_logged(fleet: &Fleet, index: usize, event: &str) {
    wait_until(event, TAKEOVER_TIMEOUT, || async {
        fleet.instances[index].output().contains(event)
    })
    .await;
}

/// A steward that is paused until its lease expires does not know of the takeover when it resumes.
/// It must give the endpoint up and dispatch nothing more on its own.
#[test]
fn membership_paused_steward_is_replaced_and_stays_out() {
    block_on(async {
        let fleet = Fleet::start("membership-paused", spec(3)).await;
        let former =
            fleet.steward_index("engine-0").await.expect("expected the endpoint to have a steward");
        let before = fleet.fetch_record("engine-0").await;
        fleet.instances[former].signal(Signal::STOP);
        let next = fleet.wait_next_steward("engine-0", former, TAKEOVER_TIMEOUT).await;
        let after = fleet.fetch_record("engine-0").await;
        assert!(after.fence > before.fence, "expected a higher fencing number: {after:?}");
        fleet.instances[former].signal(Signal::CONT);
        // E2302: the instance is no longer steward.
        wait_logged(&fleet, former, "E2302").await;
        // Requests that the resumed instance accepts now go through the next steward.
        wait_until("the resumed instance serves", TAKEOVER_TIMEOUT, || async {
            let response = chat(fleet.caller_address(former), KITES_KEY, "glue", 4, true).await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await;
        assert_serves(&fleet, next).await;
        let output = fleet.instances[former].output();
        let resumed = output.find("E2302").expect("expected the event of the lost stewardship");
        // The endpoint may return to the instance, which is its preferred steward (E2301), so a
        // dispatch (E2103) is wrong only before that.
        let outside = output[resumed..].split("E2301").next().unwrap_or_default();
        assert!(!outside.contains("E2103"), "expected no dispatch after the stewardship was lost");
    });
}

/// While the platform is down no lease can be renewed. All instances must serve on, and the
/// steward must keep its endpoint once the platform is back.
#[test]
fn membership_service_down_for_longer_than_every_lease() {
    block_on(async {
        let fleet = Fleet::start("membership-down", spec(3)).await;
        let before = fleet.fetch_record("engine-0").await;
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
        let after = fleet.fetch_record("engine-0").await;
        assert_eq!((after.fence, after.holder), (before.fence, before.holder));
        println!("served {served} requests while the platform was down and after it came back");
    });
}

/// If a steward is killed while the platform is down, no takeover can be recorded. The other
/// instances must dispatch to its engine all the same.
#[test]
fn membership_steward_killed_while_service_is_down() {
    block_on(async {
        let mut fleet = Fleet::start("membership-substitute", spec(3)).await;
        let former =
            fleet.steward_index("engine-0").await.expect("expected the endpoint to have a steward");
        // Every instance must have its share of the teams' rates (E2701) before the platform goes
        // down.
        for index in 0..3 {
            wait_logged(&fleet, index, "E2701").await;
        }
        fleet.set_faults(fleet.platform, json!({ "down": true })).await;
        fleet.instances[former].kill();
        for index in (0..3).filter(|index| *index != former) {
            wait_until("another instance dispatches for the steward", TAKEOVER_TIMEOUT, || async {
                let response = chat(fleet.caller_address(index), KITES_KEY, "glue", 4, true).await;
                response.is_ok_and(|response| response.status == 200)
            })
            .await;
        }
        fleet.set_faults(fleet.platform, json!({})).await;
        let next = fleet.wait_next_steward("engine-0", former, TAKEOVER_TIMEOUT).await;
        wait_until("the next steward serves", TAKEOVER_TIMEOUT, || async {
            let response = chat(fleet.caller_address(next), KITES_KEY, "glue", 4, true).await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await;
    });
}

/// A steward that leaves must hand its endpoint over before it ends, so that nobody waits for its
/// lease to expire.
#[test]
fn membership_leaving_steward_hands_over_before_it_ends() {
    block_on(async {
        let mut fleet = Fleet::start("membership-leaving", spec(3)).await;
        let former =
            fleet.steward_index("engine-0").await.expect("expected the endpoint to have a steward");
        fleet.instances[former].signal(Signal::TERM);
        let next = fleet.wait_next_steward("engine-0", former, HANDOVER_TIMEOUT).await;
        assert_serves(&fleet, next).await;
        wait_until("the leaving instance ends", HANDOVER_TIMEOUT, || {
            let ended = fleet.instances[former].has_ended();
            async move { ended }
        })
        .await;
        // E2303: the instance handed an endpoint over.
        assert!(fleet.instances[former].output().contains("E2303"));
    });
}

/// An endpoint that the list shows as leaving must lose its steward and get no new requests, and
/// must be usable once it is listed as live.
#[test]
fn membership_leaving_endpoint_is_drained_and_dropped() {
    block_on(async {
        let mut spec = spec(2);
        spec.engines.push(("dc-a", engine_settings()));
        let fleet = Fleet::start("membership-endpoint", spec).await;
        let mut list = fleet.list.clone();
        list.endpoints[0].state = ListedState::Leaving;
        fleet.publish_list(&list).await;
        wait_until("the endpoint has no steward", HANDOVER_TIMEOUT, || async {
            fleet.fetch_record("engine-0").await.holder.is_none()
        })
        .await;
        let before = fleet.fetch_json(fleet.endpoint_address("engine-0"), "/standin/counts").await;
        for index in [0, 1, 0, 1] {
            assert_serves(&fleet, index).await;
        }
        let after = fleet.fetch_json(fleet.endpoint_address("engine-0"), "/standin/counts").await;
        assert_eq!(before["started"], after["started"]);
        fleet.publish_list(&fleet.list).await;
        wait_until("the endpoint has a steward for the second time", HANDOVER_TIMEOUT, || async {
            fleet.fetch_record("engine-0").await.fence == 2
        })
        .await;
    });
}

/// Prints how many calls the instances send to the platform while idle and during a takeover, and
/// checks that one steward remains.
#[test]
fn membership_platform_calls_idle_and_in_recovery() {
    block_on(async {
        let mut fleet = Fleet::start("membership-calls", spec(4)).await;
        let former =
            fleet.steward_index("engine-0").await.expect("expected the endpoint to have a steward");
        let print_calls = |label: &'static str,
                           before: serde_json::Value,
                           after: &serde_json::Value| {
            for (kind, count) in after.as_object().expect("expected the counts to be an object") {
                let difference = count.as_u64().unwrap_or(0) - before[kind].as_u64().unwrap_or(0);
                println!("{label}: {kind} {difference}");
            }
        };
        let start = fleet.fetch_json(fleet.platform, "/standin/counts").await;
        tokio::time::sleep(LEASE_TTL).await;
        let idle = fleet.fetch_json(fleet.platform, "/standin/counts").await;
        print_calls("idle for one lease, 4 instances", start, &idle);
        fleet.instances[former].kill();
        wait_until("another instance is the steward", TAKEOVER_TIMEOUT, || async {
            let mut stewards = 0;
            for operator in &fleet.operators {
                stewards += fleet.fetch_status(*operator).await["stewards"].as_u64().unwrap_or(0);
            }
            stewards == 1
        })
        .await;
        let after = fleet.fetch_json(fleet.platform, "/standin/counts").await;
        print_calls("until one of 4 instances is replaced", idle, &after);
    });
}
