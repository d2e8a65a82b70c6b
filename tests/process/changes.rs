//! Tests of what the operators and the endpoints write to the store while the leader is in trouble.

use std::time::Duration;

use cardamomshore::standin::metadata::StoreFaults;
use tokio::time::sleep;

use crate::util::{
    block_on,
    gateways::{DATA_CENTRES, World},
    wait_until,
};

/// Time in which a confirmed change must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after which an endpoint that drains gets no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time for which the gateways run before something happens.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Time from a kill until the process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time from a kill to the change that follows it.
const CHANGE_DELAY: Duration = Duration::from_millis(100);

/// Data centres of the gateways. One of those in each watches the store besides the leader.
const HOMES: [&str; 5] =
    [DATA_CENTRES[0], DATA_CENTRES[0], DATA_CENTRES[0], DATA_CENTRES[0], DATA_CENTRES[0]];

/// Starts gateways and returns them with the index of the leader.
async fn start(name: &str) -> (World, usize) {
    let world = World::start_in(name, &HOMES, &[]).await;
    sleep(SETTLE_TIME).await;
    let leader = world.leader().expect("expected a leader");
    (world, leader)
}

/// Returns the indices of all gateways but these.
fn others(without: &[usize]) -> Vec<usize> {
    (0..HOMES.len()).filter(|index| !without.contains(index)).collect()
}

/// Returns the gateway that watches the store besides the leader: the first by name.
fn watcher(leader: usize) -> usize {
    others(&[leader])[0]
}

#[test]
fn changes_in_force_while_killed_leader_returns() {
    block_on(async {
        let (mut world, leader) = start("changes-killed").await;
        let others = others(&[leader]);
        world.gateways[leader].kill();
        sleep(CHANGE_DELAY).await;
        world.add_route("after-kill");
        sleep(RESTART_DELAY - CHANGE_DELAY).await;
        world.gateways[leader].restart().expect("expected the gateway to start");
        let left = APPLY_TIME - RESTART_DELAY + CHANGE_DELAY;
        wait_until("the change in force", left, || world.serve(&others, "after-kill")).await;
    });
}

#[test]
fn changes_in_force_while_leader_and_watcher_gone() {
    block_on(async {
        let (mut world, leader) = start("changes-gone").await;
        let gone = [leader, watcher(leader)];
        let others = others(&gone);
        gone.iter().for_each(|index| world.gateways[*index].kill());
        sleep(CHANGE_DELAY).await;
        world.add_route("after-kill");
        wait_until("the change in force", APPLY_TIME, || world.serve(&others, "after-kill")).await;
    });
}

#[test]
fn changes_in_force_while_leader_and_watcher_lack_store() {
    block_on(async {
        let (mut world, leader) = start("changes-cut").await;
        let cut = [leader, watcher(leader)];
        let others = others(&cut);
        let silent = StoreFaults { silent: true, ..StoreFaults::default() };
        cut.iter().for_each(|index| world.gateways[*index].store.set_faults(silent));
        sleep(CHANGE_DELAY).await;
        world.add_route("after-cut");
        wait_until("the change in force", APPLY_TIME, || world.serve(&others, "after-cut")).await;
    });
}

/// Guards against watches that wait on silent connections while other calls get responses.
/// The bound is that of a withdrawn key.
#[test]
fn changes_in_force_while_watches_are_silent() {
    block_on(async {
        let (mut world, _) = start("changes-silent").await;
        world.gateways.iter().for_each(|gateway| gateway.store.silence_watches());
        sleep(CHANGE_DELAY).await;
        world.add_route("after-silence");
        let time = Duration::from_secs(5);
        wait_until("the change in force", time, || world.all_serve("after-silence")).await;
    });
}

#[test]
fn changes_of_endpoints_known_while_leader_lacks_store() {
    block_on(async {
        let (world, leader) = start("changes-drain").await;
        let others = others(&[leader, watcher(leader)]);
        let silent = StoreFaults { silent: true, ..StoreFaults::default() };
        world.gateways[leader].store.set_faults(silent);
        world.gateways[watcher(leader)].store.set_faults(silent);
        sleep(CHANGE_DELAY).await;
        let draining = world.workers[0].id();
        world.workers[0].leave();
        sleep(DRAIN_TIME).await;
        for number in 0..40 {
            let gateway = others[number % others.len()];
            let answer = world.call(gateway, "look").await.expect("expected an answer");
            assert_ne!(answer.endpoint.as_deref(), Some(&*draining), "{answer:?}");
        }
    });
}
