//! Tests of usage reports while links are cut and clocks are wrong.

use std::time::Duration;

use cardamomshore::{
    clock::{Time, wall_millis},
    soak::process::{DUTY_WINDOW, free_address},
    standin::{
        duties::{DutyApi, DutyCall, DutyContent},
        metadata::StoreFaults,
    },
};
use rustix::process::Signal;
use tokio::time::sleep;

use super::duties::{
    DUE, HOMES, assert_one_holder, assert_reported, reported, send_for, start, window_now,
};
use crate::util::{
    block_on,
    gate::{Gate, is_half_open},
    gateways::{DATA_CENTRES, World, leader_address},
    instance::CountingInstance,
    relay::{Fault, Relay},
    wait_until,
};
/// Time for which a link is cut. It is shorter than half of the time until a report is due, for which
/// the leader waits for counts.
const CUT_TIME: Duration = Duration::from_millis(2_400);

/// Time after which a leader that cannot renew its lease makes no calls: the lease, and the call that
/// is on the way.
const LEASE_END: Duration = Duration::from_millis(1_700);

/// Time after its election for which a leader makes no calls.
const FIRST_CALL: Duration = Duration::from_secs(3);

/// Longest wait for a link.
const LINK_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for the calls of another holder, with the leader frozen.
const FREEZE_TIMEOUT: Duration = Duration::from_secs(15);

/// Step of a wall clock in milliseconds.
const STEP_MS: i64 = 10_000;

/// Interval at which the test looks for the end of a window.
const CLOCK_CHECK: Duration = Duration::from_millis(10);

/// Runs that an instance of the test counts in each window.
const RUNS: u64 = 50;

const HELD: Fault =
    Fault { hold_forward: true, hold_backward: true, delay_ms: 0, spare_new: false };

/// Guards against windows that lack what an instance counted while its link to the leader was cut.
#[test]
fn duties_usage_instance_cut_off_from_leader() {
    block_on(async {
        let mut world = start("duties_cut_off").await;
        let leader = world.leader().expect("a leader");
        let address = leader_address(&world.store).expect("a leader");
        let relay = Relay::start(address).await;
        let gateway = &mut world.gateways[(leader + 1) % HOMES.len()];
        gateway.store.redirect(address, relay.address);
        gateway.kill();
        gateway.restart().expect("a gateway");
        wait_until("a link", LINK_TIMEOUT, || async { relay.accepted() > 0 }).await;
        world.wait_ready().await;
        let from = window_now() + 1;
        let cut = async {
            sleep(DUTY_WINDOW).await;
            let accepted = relay.accepted();
            relay.set(HELD);
            sleep(CUT_TIME).await;
            assert!(relay.accepted() > accepted, "the link is opened again");
            relay.set(Fault::default());
        };
        tokio::join!(send_for(&world, &[0, 1, 2], DUTY_WINDOW * 3), cut);
        sleep(DUE + DUTY_WINDOW).await;
        assert_one_holder(&world);
        assert_reported(&world, from, 0);
    });
}

/// Guards against calls and records of a leader that the store does not answer, and against windows
/// that its successor reports without its counts.
#[test]
fn duties_usage_leader_cut_off_from_store() {
    block_on(async {
        let world = start("duties_cut_off_store").await;
        let from = window_now() + 1;
        send_for(&world, &[0, 1, 2], Duration::from_secs(4)).await;
        let leader = world.leader().expect("a leader");
        let store = &world.gateways[leader].store;
        store.set_faults(StoreFaults { silent: true, ..StoreFaults::default() });
        send_for(&world, &[0, 1, 2], Duration::from_secs(7)).await;
        assert_ne!(world.leader(), Some(leader));
        store.set_faults(StoreFaults::default());
        send_for(&world, &[0, 1, 2], Duration::from_secs(2)).await;
        sleep(DUE + DUTY_WINDOW).await;
        assert_one_holder(&world);
        assert_reported(&world, from, 0);
    });
}

/// Starts one gateway, and two instances of the test that are linked to it.
async fn start_with_instances(name: &str) -> (World, [CountingInstance; 2]) {
    let world = World::start_with_duties(name, &DATA_CENTRES[..1], &["v1"]).await;
    let start = |name| CountingInstance::start(name, world.store.clone(), window_now());
    let instances = ["counting-0", "counting-1"].map(start);
    (world, instances)
}

/// Returns the window that is open by a clock that is `step_ms` ahead.
fn window_at(step_ms: i64) -> u64 {
    wall_millis().saturating_add_signed(step_ms) / DUTY_WINDOW.as_millis() as u64
}

/// Lets each instance count [`RUNS`] runs in each of so many windows by a clock that is `step_ms`
/// ahead.
async fn count_windows(instances: &[CountingInstance], step_ms: i64, windows: u64) {
    for _ in 0..windows {
        let window = window_at(step_ms);
        instances.iter().for_each(|instance| instance.count(window, "kites", RUNS));
        while window_at(step_ms) == window {
            sleep(CLOCK_CHECK).await;
        }
        instances.iter().for_each(|instance| instance.open(window + 1));
    }
}

/// Checks that each window in this range is reported with the counts of both instances.
fn assert_counted(world: &World, from: u64, to: u64) {
    let reported = reported(world);
    for window in from..to {
        assert_eq!(reported.get(&window), Some(&(2 * RUNS)), "window {window} of {reported:?}");
    }
}

/// Checks that reports of windows from `from` on arrive after the end of their window and before they
/// are due, by a clock that is `step_ms` ahead.
fn assert_in_time(world: &World, from: u64, step_ms: i64) {
    let (now, wall) = (Time::now(), wall_millis().saturating_add_signed(step_ms));
    for call in world.duties.as_ref().expect("an API").log.calls() {
        let DutyContent::Usage { window_id, .. } = call.content else { continue };
        let arrived = wall - now.since(call.at).as_millis() as u64;
        let end = (window_id + 1) * DUTY_WINDOW.as_millis() as u64;
        let due = end + DUE.as_millis() as u64;
        let is_in_time = (end..due).contains(&arrived);
        assert!(window_id < from || is_in_time, "window {window_id} ends {end}, {arrived}");
    }
}

/// Guards against an instance whose wall clock is stepped and that moves true time, so that windows
/// are reported early, late or with a part of their runs.
#[test]
fn duties_usage_clock_of_instance_is_stepped() {
    block_on(async {
        let (world, instances) = start_with_instances("duties_clock_step").await;
        count_windows(&instances, 0, 2).await;
        let from = window_now();
        for step_ms in [STEP_MS, -STEP_MS] {
            count_windows(&instances, 0, 1).await;
            instances[0].step_clock(step_ms);
            count_windows(&instances, 0, 2).await;
            instances[0].step_clock(0);
        }
        let to = window_now();
        sleep(DUE).await;
        assert_one_holder(&world);
        assert_counted(&world, from, to);
        assert_in_time(&world, from, 0);
    });
}

/// Guards against a leader that goes by its own wall clock although it is wrong.
#[test]
fn duties_usage_clock_of_leader_is_wrong() {
    block_on(async {
        let (world, instances) = start_with_instances("duties_clock_leader").await;
        instances.iter().for_each(|instance| instance.step_clock(STEP_MS));
        count_windows(&instances, STEP_MS, 2).await;
        let from = window_at(STEP_MS);
        count_windows(&instances, STEP_MS, 3).await;
        let to = window_at(STEP_MS);
        sleep(DUE).await;
        assert_one_holder(&world);
        assert_counted(&world, from, to);
        assert_in_time(&world, from, STEP_MS);
    });
}

/// Guards against calls of a leader that is alone and cannot renew its lease, and against calls too
/// early once it leads again.
#[test]
fn duties_usage_leader_cut_off_from_all() {
    block_on(async {
        let (world, instances) = start_with_instances("duties_cut_off_all").await;
        count_windows(&instances, 0, 2).await;
        instances.iter().for_each(|instance| instance.set_cut(true));
        let store = &world.gateways[0].store;
        store.set_faults(StoreFaults { silent: true, ..StoreFaults::default() });
        let cut_at = Time::now();
        count_windows(&instances, 0, 2).await;
        store.set_faults(StoreFaults::default());
        let healed_at = Time::now();
        instances.iter().for_each(|instance| instance.set_cut(false));
        count_windows(&instances, 0, 2).await;
        let from = window_now();
        count_windows(&instances, 0, 2).await;
        let to = window_now();
        sleep(DUE).await;
        assert_one_holder(&world);
        let calls = world.duties.as_ref().expect("an API").log.calls();
        let is_forbidden =
            |call: &&DutyCall| call.at > cut_at + LEASE_END && call.at < healed_at + FIRST_CALL;
        let forbidden: Vec<_> = calls.iter().filter(is_forbidden).collect();
        assert!(forbidden.is_empty(), "{forbidden:#?}");
        assert_counted(&world, from, to);
    });
}

/// Guards against a call that was decided before its sender was frozen, and that is sent although
/// another holder has called since. Its connection was opened in the meantime.
#[test]
fn duties_usage_holder_frozen_while_it_connects() {
    block_on(async {
        let api = DutyApi::start(free_address()).expect("an API");
        let gate = Gate::start(api.address);
        let world = World::start_with_gate("duties_frozen_connecting", &HOMES, api, &gate).await;
        send_for(&world, &[0, 1, 2], DUTY_WINDOW * 2).await;
        let fillers = gate.close().await;
        wait_until("a half open connection", DUTY_WINDOW * 2, || async {
            is_half_open(gate.address)
        })
        .await;
        let leader = world.leader().expect("a leader");
        world.gateways[leader].signal(Signal::STOP);
        assert!(is_half_open(gate.address), "the leader was frozen too late");
        drop(fillers);
        gate.open();
        let log = &world.duties.as_ref().expect("an API").log;
        let before = log.calls().len();
        wait_until("calls of another holder", FREEZE_TIMEOUT, || async {
            log.calls().len() > before
        })
        .await;
        world.gateways[leader].signal(Signal::CONT);
        sleep(FIRST_CALL).await;
        assert_one_holder(&world);
    });
}
