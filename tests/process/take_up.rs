//! Tests of streams that callers take up again while engines of two software versions serve.

use std::time::Duration;

use cardamomshore::{
    soak::process::GatewayProcess,
    standin::{caller::TakeUp, metadata::StoreCopy, worker::LAST_EVENT},
};
use futures_util::future::join_all;
use tokio::time::{Instant, sleep};

use crate::util::{
    block_on,
    gateways::{DATA_CENTRES, MODEL, World},
};

/// Software versions of the engines, of which two each serve.
const VERSIONS: [&str; 4] = ["v1", "v2", "v1", "v2"];

/// Streams that are taken up in a test.
const STREAMS: usize = 20;

/// Events that a caller has when its stream breaks off.
const AFTER: usize = 3;

/// Time for which a caller tries to take a stream up.
const TRY_TIME: Duration = Duration::from_secs(6);

/// Begins streams that break off after some events, and returns their ids.
async fn begin(world: &World) -> Vec<String> {
    let mut ids = Vec::new();
    for number in 0..STREAMS {
        let id = format!("{:016x}", rand::random::<u64>());
        let begun = world.stream(number % 2, &id, None, AFTER).await;
        assert_eq!(begun, Some((200, AFTER)), "expected stream {number} to begin");
        ids.push(id);
    }
    ids
}

/// Begins streams at both gateways at the same time, so that all engines get some, however fast they are.
async fn begin_at_once(world: &World) -> Vec<String> {
    let ids: Vec<String> =
        (0..STREAMS).map(|_| format!("{:016x}", rand::random::<u64>())).collect();
    let begun = ids.iter().enumerate().map(|(n, id)| world.stream(n % 2, id, None, AFTER));
    for (number, begun) in join_all(begun).await.into_iter().enumerate() {
        assert_eq!(begun, Some((200, AFTER)), "expected stream {number} to begin");
    }
    ids
}

/// Takes a stream up again at a gateway, until it goes on or the time is over. Returns the id of the
/// request by which it went on.
async fn take_up(world: &World, gateway: usize, id: &str) -> Option<String> {
    let until = Instant::now() + TRY_TIME;
    while Instant::now() < until {
        let request = format!("{:016x}", rand::random::<u64>());
        let stream = TakeUp { request: id.to_owned(), after: AFTER as u64 };
        let rest = LAST_EVENT as usize - AFTER;
        match world.stream(gateway, &request, Some(stream), LAST_EVENT as usize).await {
            Some((200, events)) if events == rest => return Some(request),
            _ => sleep(Duration::from_millis(100)).await,
        }
    }
    None
}

/// Takes streams up at the gateways that did not begin them. Returns how many went on, and panics if
/// one did at another version than the one that began it.
async fn take_up_all(world: &World, ids: &[String]) -> usize {
    let mut count = 0;
    for (number, id) in ids.iter().enumerate() {
        let Some(request) = take_up(world, (number + 1) % 2, id).await else { continue };
        let versions = world.versions_of(&[id, &request]);
        assert_eq!(versions[0], versions[1], "stream {number} is joined from two versions");
        count += 1;
    }
    count
}

#[test]
fn take_up_goes_on_at_version_that_began() {
    block_on(async {
        let world = World::start_with_engines("take-up", &VERSIONS).await;
        let ids = begin(&world).await;
        assert_eq!(take_up_all(&world, &ids).await, STREAMS);
    });
}

#[test]
fn take_up_after_all_killed_at_version_that_began() {
    block_on(async {
        let mut world = World::start_with_engines("take-up-killed", &VERSIONS).await;
        let ids = begin(&world).await;
        sleep(Duration::from_secs(1)).await;
        world.restart_all().await;
        assert_eq!(take_up_all(&world, &ids).await, STREAMS);
    });
}

#[test]
fn take_up_right_after_loss_of_leader_goes_on() {
    block_on(async {
        let mut world = World::start_with_engines("take-up-leader", &VERSIONS).await;
        // One of the two is the leader.
        for (killed, other) in [(0, 1), (1, 0)] {
            let ids = begin(&world).await;
            sleep(Duration::from_secs(1)).await;
            world.gateways[killed].kill();
            for id in &ids {
                let request = format!("{:016x}", rand::random::<u64>());
                let stream = TakeUp { request: id.clone(), after: AFTER as u64 };
                let last = LAST_EVENT as usize;
                let answer = world.stream(other, &request, Some(stream), last).await;
                assert_eq!(answer, Some((200, last - AFTER)), "expected it to go on at once");
            }
            world.gateways[killed].restart().expect("expected the gateway to start");
            world.wait_ready().await;
            sleep(Duration::from_secs(1)).await;
        }
    });
}

/// Times that a caller tries to take a stream up after all gateways were killed.
const TRIES: usize = 4;

/// Wait of a caller between two tries.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Deadline of the callers of streams.
const STREAM_TIMEOUT: Duration = Duration::from_secs(5);

/// Kills all gateways while the store returns from a copy, and starts them again.
async fn restart_all_with_copy(world: &mut World, copy: StoreCopy) {
    world.gateways.iter_mut().for_each(GatewayProcess::kill);
    world.store.restore(copy);
    for gateway in &mut world.gateways {
        gateway.restart().expect("expected the gateway to start");
    }
    world.timeout = STREAM_TIMEOUT;
    world.wait_ready().await;
}

/// Takes streams up at once, each with a few tries. Returns how many went on, and panics if one did at
/// another version than the one that began it.
async fn take_up_at_once(world: &World, ids: &[String]) -> usize {
    let take_ups = ids.iter().enumerate().map(|(number, id)| async move {
        for _ in 0..TRIES {
            let request = format!("{:016x}", rand::random::<u64>());
            let stream = TakeUp { request: id.to_owned(), after: AFTER as u64 };
            let gateway = number % world.gateways.len();
            let answer = world.stream(gateway, &request, Some(stream), LAST_EVENT as usize).await;
            if answer.is_some_and(|(status, _)| status == 200) {
                let versions = world.versions_of(&[id, &request]);
                assert_eq!(versions[0], versions[1], "stream {number} is joined from two versions");
                return true;
            }
            sleep(RETRY_WAIT).await;
        }
        false
    });
    join_all(take_ups).await.into_iter().filter(|went_on| *went_on).count()
}

/// Guards against streams that are refused until their callers give up, since a fleet that has only a
/// copy of the store does not know that all of them began at the only version.
#[test]
fn take_up_after_all_killed_and_store_returned_goes_on() {
    block_on(async {
        let mut world = World::start_with_engines("take-up-returned", &["v1", "v1"]).await;
        let copy = world.store.copy();
        let ids = begin(&world).await;
        restart_all_with_copy(&mut world, copy).await;
        assert_eq!(take_up_at_once(&world, &ids).await, STREAMS);
    });
}

/// Guards against streams of a new version that go on at the old one, since the copy lacks the entries
/// of all engines of the new one.
#[test]
fn take_up_after_all_killed_and_store_returned_from_before_release() {
    block_on(async {
        let mut world = World::start_with_engines("take-up-release", &["v1", "v1"]).await;
        let copy = world.store.copy();
        for data_centre in DATA_CENTRES {
            world.start_worker("engines", data_centre, "v2", vec![MODEL.to_owned()]);
        }
        sleep(Duration::from_secs(1)).await;
        let ids = begin_at_once(&world).await;
        let runs = world.log.runs().into_iter();
        assert!(
            runs.filter(|run| run.version == "v2").count() > 0,
            "none began at the new version"
        );
        restart_all_with_copy(&mut world, copy).await;
        take_up_at_once(&world, &ids).await;
    });
}
