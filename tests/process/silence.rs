//! Tests of streams of sound engines that are silent for a while.

use std::time::Duration;

use cardamomshore::standin::worker::{LAST_EVENT, WorkerFaults};

use crate::util::{block_on, gateways::World};

/// Longer than the silence after which another engine is asked for, and shorter than callers wait.
const PAUSE: Duration = Duration::from_millis(1_900);

/// All events of a stream.
const ALL: usize = LAST_EVENT as usize;

async fn world(name: &str, versions: &[&str]) -> World {
    let mut world = World::start_with_engines(name, versions).await;
    world.timeout = Duration::from_secs(5);
    world
}

/// Sends a request for a stream to each gateway, and expects the whole of each.
async fn expect_whole(world: &World) {
    for gateway in 0..world.gateways.len() {
        let id = format!("{:016x}", rand::random::<u64>());
        assert_eq!(world.stream(gateway, &id, None, ALL).await, Some((200, ALL)));
    }
}

/// Guards against a stream that is cut for silence while no other engine can go on with it.
#[test]
fn stream_that_pauses_at_only_engine_goes_on() {
    block_on(async {
        let world = world("pausing-stream", &["v1"]).await;
        world.set_faults(WorkerFaults { stream_pause: PAUSE, ..WorkerFaults::default() });
        expect_whole(&world).await;
        assert_eq!(world.log.runs().len(), world.gateways.len(), "each ran once");
    });
}

/// Guards against the same before the first event.
#[test]
fn stream_that_begins_late_at_only_engine_goes_on() {
    block_on(async {
        let world = world("late-stream", &["v1"]).await;
        world.set_faults(WorkerFaults { start_pause: PAUSE, ..WorkerFaults::default() });
        expect_whole(&world).await;
        assert_eq!(world.log.runs().len(), world.gateways.len(), "each ran once");
    });
}

/// Guards against a stream that stays at a silent engine while another one can go on with it.
#[test]
fn stream_that_is_silent_goes_on_at_other_engine() {
    block_on(async {
        let world = world("silent-stream", &["v1", "v1"]).await;
        let long = Duration::from_secs(30);
        let engine = world.workers.iter().find(|worker| worker.is_engine()).expect("an engine");
        engine.set_faults(WorkerFaults { stream_pause: long, ..WorkerFaults::default() });
        for _ in 0..3 {
            expect_whole(&world).await;
        }
    });
}
