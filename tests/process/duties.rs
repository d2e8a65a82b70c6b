//! Tests of usage reports with gateways and a stand-in of the platform API.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::{Time, wall_millis},
    soak::process::DUTY_WINDOW,
    standin::{
        duties::{DutyContent, DutyFaults, violations},
        metadata::StoreFaults,
        worker::EVENT_INTERVAL,
    },
};
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use crate::util::{
    block_on,
    gateways::{DATA_CENTRES, World},
};

pub const HOMES: [&str; 3] = [DATA_CENTRES[0], DATA_CENTRES[1], DATA_CENTRES[0]];

/// Deviation of a count from the truth that a report may have.
const TOLERANCE: f64 = 0.05;

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Time after the end of a window at which its report is due.
pub const DUE: Duration = Duration::from_secs(6);

pub async fn start(name: &str) -> World {
    World::start_with_duties(name, &HOMES, &["v1"]).await
}

/// Requests that are sent to each gateway at once.
const LANES: usize = 3;

/// Sends requests to these gateways until the time is over.
pub async fn send_for(world: &World, gateways: &[usize], time: Duration) {
    let until = Instant::now() + time;
    let lanes = gateways.iter().flat_map(|gateway| std::iter::repeat_n(*gateway, LANES));
    futures_util::future::join_all(lanes.map(|gateway| send_until(world, gateway, until))).await;
}

async fn send_until(world: &World, gateway: usize, until: Instant) {
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        if number % 4 == 0 {
            let id = format!("{:016x}", rand::random::<u64>());
            world.stream(gateway, &id, None, 20).await;
        } else {
            world.call(gateway, "pay").await;
        }
        sleep(REQUEST_INTERVAL).await;
    }
}

fn window_of(at: Time) -> u64 {
    let wall = wall_millis() - Time::now().since(at).as_millis() as u64;
    wall / DUTY_WINDOW.as_millis() as u64
}

/// Returns the runs that endpoints began, by window. A stream begins with its first event.
fn truth(world: &World) -> BTreeMap<u64, u64> {
    let mut runs = BTreeMap::new();
    for run in world.log.runs() {
        let delay = if run.is_stream { EVENT_INTERVAL } else { Duration::ZERO };
        *runs.entry(window_of(run.at + delay)).or_default() += 1;
    }
    runs
}

pub fn reported(world: &World) -> BTreeMap<u64, u64> {
    let api = world.duties.as_ref().expect("an API");
    let reports = api.log.reports().into_iter();
    reports.map(|(window, counts)| (window, counts.values().sum())).collect()
}

/// Time for which a new holder waits at least after the last call of the former one. The platform asks
/// for it between calls of holders that take turns; each holder keeps to it, since it cannot know
/// whether the former one will return.
const TURN_TIME: Duration = Duration::from_secs(3);

/// Checks that calls are of one holder at a time, and no window has two reports.
pub fn assert_one_holder(world: &World) {
    let calls = world.duties.as_ref().expect("an API").log.calls();
    let violations = violations(&calls);
    assert!(violations.is_empty(), "{violations:#?}");
    for (first, second) in calls.iter().zip(calls.iter().skip(1)) {
        let gap = second.at.since(first.at);
        let is_apart = first.token == second.token || gap >= TURN_TIME;
        assert!(is_apart, "{second:?} only {gap:?} after {first:?}");
    }
}

/// Returns the windows that ended at least `DUE` before now, with what was reported and what was run;
/// those at the begin of the fleet and those around a disturbance are left out by `from`.
fn compare(world: &World, from: u64) -> Vec<(u64, Option<u64>, u64)> {
    let (truth, reported) = (truth(world), reported(world));
    let last = (wall_millis() - DUE.as_millis() as u64) / DUTY_WINDOW.as_millis() as u64;
    let windows = (from..last).map(|window| {
        let run = truth.get(&window).copied().unwrap_or(0);
        (window, reported.get(&window).copied(), run)
    });
    windows.collect()
}

fn is_right((_, reported, run): &(u64, Option<u64>, u64)) -> bool {
    let allowed = (*run as f64 * TOLERANCE).max(1.0);
    reported.is_some_and(|reported| reported.abs_diff(*run) as f64 <= allowed)
}

/// Checks that all windows from `from` on are reported, except for `missed` of them.
pub fn assert_reported(world: &World, from: u64, missed: usize) {
    let compared = compare(world, from);
    assert!(compared.len() > missed, "{compared:?}");
    assert!(compared.iter().filter(|(_, _, run)| *run > 40).count() >= 2, "{compared:?}");
    let wrong: Vec<_> = compared.iter().filter(|window| !is_right(window)).collect();
    assert!(wrong.len() <= missed, "wrong {wrong:?} of {compared:?}");
}

/// Time that a stream of a test takes at most.
const STREAM_TIME: Duration = Duration::from_millis(600);

/// Time for which an instance is frozen while the others join a restarted leader.
const LATE_JOIN: Duration = Duration::from_millis(2_000);

/// Returns the time until a window ends.
fn time_to_end(window: u64) -> Duration {
    let end_ms = (window + 1) * DUTY_WINDOW.as_millis() as u64;
    Duration::from_millis(end_ms.saturating_sub(wall_millis()))
}

pub fn window_now() -> u64 {
    window_of(Time::now())
}

/// Guards against windows that are missed, wrong or reported twice without any fault.
#[test]
fn duties_usage_counts_what_endpoints_ran() {
    block_on(async {
        let world = start("duties_counts").await;
        let from = window_now() + 1;
        send_for(&world, &[0, 1, 2], Duration::from_secs(15)).await;
        sleep(DUE).await;
        assert_one_holder(&world);
        assert_reported(&world, from, 0);
    });
}

/// Guards against counts that die with the leader, and against a new leader that sends another content
/// or too early.
#[test]
fn duties_usage_leader_killed_and_back() {
    block_on(async {
        let mut world = start("duties_killed").await;
        let from = window_now() + 1;
        for _ in 0..2 {
            send_for(&world, &[0, 1, 2], Duration::from_secs(4)).await;
            let leader = world.leader().expect("a leader");
            world.gateways[leader].kill();
            world.gateways[leader].restart().expect("a gateway");
            let others: Vec<usize> = (0..HOMES.len()).filter(|index| *index != leader).collect();
            send_for(&world, &others, Duration::from_secs(4)).await;
        }
        sleep(DUE + DUTY_WINDOW).await;
        assert_one_holder(&world);
        assert_reported(&world, from, 0);
    });
}

/// Guards against a leader that restarts, leads again and fixes a window without the counts of an
/// instance that joins it later than the others.
#[test]
fn duties_usage_instance_joins_restarted_leader_late() {
    block_on(async {
        let mut world = start("duties_late_join").await;
        let from = window_now() + 1;
        sleep(time_to_end(window_now())).await;
        // The runs end before the window does.
        send_for(&world, &[0, 1, 2], time_to_end(from).saturating_sub(STREAM_TIME)).await;
        sleep(time_to_end(from) + Duration::from_millis(100)).await;
        let leader = world.leader().expect("a leader");
        let late = (leader + 1) % HOMES.len();
        world.gateways[late].signal(Signal::STOP);
        world.gateways[leader].kill();
        world.gateways[leader].restart().expect("a gateway");
        sleep(LATE_JOIN).await;
        world.gateways[late].signal(Signal::CONT);
        send_for(&world, &[0, 1, 2], DUTY_WINDOW).await;
        sleep(DUE + DUTY_WINDOW).await;
        assert_one_holder(&world);
        assert_reported(&world, from, 0);
    });
}

/// Guards against a leader that sends after it was frozen beyond its lease.
#[test]
fn duties_usage_leader_frozen() {
    block_on(async {
        let world = start("duties_frozen").await;
        let from = window_now() + 1;
        send_for(&world, &[0, 1, 2], Duration::from_secs(4)).await;
        let leader = world.leader().expect("a leader");
        let others: Vec<usize> = (0..HOMES.len()).filter(|index| *index != leader).collect();
        world.gateways[leader].signal(Signal::STOP);
        send_for(&world, &others, Duration::from_secs(7)).await;
        world.gateways[leader].signal(Signal::CONT);
        send_for(&world, &[0, 1, 2], Duration::from_secs(4)).await;
        sleep(DUE + DUTY_WINDOW).await;
        assert_one_holder(&world);
        assert_reported(&world, from, 0);
    });
}

/// Guards against windows that are lost in an outage of the platform API, and against second contents
/// after its responses were lost.
#[test]
fn duties_usage_platform_down_and_mute() {
    block_on(async {
        let world = start("duties_platform_down").await;
        let from = window_now() + 1;
        let api = world.duties.as_ref().expect("an API");
        let faults = [
            DutyFaults { refusing: true, ..DutyFaults::default() },
            DutyFaults { mute: true, ..DutyFaults::default() },
            DutyFaults { busy: true, ..DutyFaults::default() },
        ];
        for faults in faults {
            api.set_faults(faults);
            send_for(&world, &[0, 1, 2], DUTY_WINDOW * 2).await;
            api.set_faults(DutyFaults::default());
            send_for(&world, &[0, 1, 2], Duration::from_secs(1)).await;
        }
        sleep(DUE).await;
        assert_one_holder(&world);
        assert_reported(&world, from, 0);
    });
}

/// Guards against reports that are sent without a record, and counts that are lost, while the store is
/// down; and against a second content after it has returned from an older copy.
#[test]
fn duties_usage_store_down_and_returned() {
    block_on(async {
        let world = start("duties_store").await;
        let from = window_now() + 1;
        send_for(&world, &[0, 1, 2], Duration::from_secs(4)).await;
        let set_faults = |faults: StoreFaults| {
            world.gateways.iter().for_each(|gateway| gateway.store.set_faults(faults));
        };
        set_faults(StoreFaults { refusing: true, ..StoreFaults::default() });
        send_for(&world, &[0, 1, 2], Duration::from_secs(6)).await;
        set_faults(StoreFaults::default());
        send_for(&world, &[0, 1, 2], Duration::from_secs(8)).await;
        let copy = world.store.copy();
        send_for(&world, &[0, 1, 2], Duration::from_secs(5)).await;
        world.store.restore(copy);
        send_for(&world, &[0, 1, 2], Duration::from_secs(6)).await;
        sleep(DUE + DUTY_WINDOW).await;
        assert_one_holder(&world);
        // The window that was open or just ended when the store returned may be missed.
        assert_reported(&world, from, 1);
    });
}

/// Guards against reports of what nobody has counted after all gateways were killed, and against a
/// fleet that no longer reports.
#[test]
fn duties_usage_all_killed() {
    block_on(async {
        let mut world = start("duties_all_killed").await;
        let from = window_now() + 1;
        send_for(&world, &[0, 1, 2], Duration::from_secs(5)).await;
        world.restart_all().await;
        send_for(&world, &[0, 1, 2], Duration::from_secs(9)).await;
        sleep(DUE + DUTY_WINDOW).await;
        assert_one_holder(&world);
        // The counts of two windows die with the processes.
        assert_reported(&world, from, 3);
    });
}

/// Returns the numbers of engines that were ordered, by data centre.
fn scaled(world: &World) -> BTreeMap<String, Vec<u32>> {
    let mut orders: BTreeMap<String, Vec<u32>> = BTreeMap::new();
    for call in world.duties.as_ref().expect("an API").log.calls() {
        if let DutyContent::Scale { service, zone, desired_count } = call.content {
            assert_eq!(service, "desk");
            orders.entry(zone).or_default().push(desired_count);
        }
    }
    orders
}

/// Guards against services that are not scaled, orders that are repeated without need, and a new
/// leader that orders too early.
#[test]
fn duties_scaling_orders_survive_leader() {
    block_on(async {
        let mut world = start("duties_scaling").await;
        send_for(&world, &[0, 1, 2], Duration::from_secs(4)).await;
        assert!(scaled(&world).is_empty(), "nothing is scaled without bounds");
        world.scaling = Some(2);
        world.write_document();
        send_for(&world, &[0, 1, 2], Duration::from_secs(3)).await;
        let orders = scaled(&world);
        for data_centre in DATA_CENTRES {
            assert_eq!(orders.get(data_centre), Some(&vec![2]), "{orders:?}");
            world.start_worker("desk", data_centre, "v1", Vec::new());
        }
        let leader = world.leader().expect("a leader");
        world.gateways[leader].kill();
        let others: Vec<usize> = (0..HOMES.len()).filter(|index| *index != leader).collect();
        world.scaling = Some(3);
        world.write_document();
        send_for(&world, &others, Duration::from_secs(8)).await;
        assert_one_holder(&world);
        let orders = scaled(&world);
        for data_centre in DATA_CENTRES {
            assert!(orders[data_centre].contains(&3), "{orders:?}");
        }
    });
}
