//! Tests of what instances of a large fleet do without a leader. A few instances take themselves for a
//! part of 300, before a store in which 3,000 endpoints write their entries each second.

use std::{sync::Arc, time::Duration};

use cardamomshore::standin::metadata::{MetadataStore, StoreFaults};
use serde_json::json;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::util::{
    block_on,
    gateways::{DATA_CENTRES, World},
    wait_until,
};

/// Instances that the store says there are.
const FLEET_SIZE: usize = 300;

/// Endpoints of a service without a route, so that no requests reach them.
const ENDPOINTS: usize = 3_000;

/// Entries that are written at once, and how often: each endpoint writes its entry every 1.2 s.
const BATCH: usize = 250;
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which a fleet serves again after all of it was killed: the old leader's lease of 1.5 s, the
/// election, the links, and the documents that are sent with them, on a busy host.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// Time after which instances grant requests again that have lost both the leader and the store: 2 s until
/// the records are old and the store is called, 3 s of failed calls, and two calls of 0.9 s each.
const LOST_STORE_TIME: Duration = Duration::from_secs(9);

/// Bytes that one instance besides the leader may read from the store until then. All endpoints are 1 MB.
const MAX_READ_BYTES: u64 = 300_000;

/// Writes the entries of many endpoints again and again until it is aborted.
fn write_entries(store: Arc<MetadataStore>) -> JoinHandle<()> {
    let entry = |number: usize| {
        json!({
            "service": "bulk", "address": format!("10.9.{}.{}:9000", number >> 8, number & 255),
            "zone": DATA_CENTRES[number % 2], "version": "v1", "slots": 16, "state": "ready",
            "born": 1_765_000_000_000_u64, "models": [], "seq": 1,
        })
        .to_string()
    };
    tokio::spawn(async move {
        for first in (0..ENDPOINTS).step_by(BATCH).cycle() {
            for number in first..first + BATCH {
                store.put(&format!("servers/bulk-{number:05}"), &entry(number));
            }
            sleep(BATCH_INTERVAL).await;
        }
    })
}

/// Returns a world of six gateways that take themselves for a part of a large fleet.
async fn start(name: &str) -> (World, JoinHandle<()>) {
    let homes = [DATA_CENTRES[0], DATA_CENTRES[1]].repeat(3);
    let world = World::start_in(name, &homes, &[]).await;
    let writer = write_entries(world.store.clone());
    world.store.put("cardamomshore/size", &FLEET_SIZE.to_string());
    wait_until("the gateways serve", RETURN_TIME, || world.all_serve("look")).await;
    sleep(Duration::from_secs(3)).await;
    (world, writer)
}

/// Returns the bytes that each gateway has read from the store.
fn read_bytes(world: &World) -> Vec<u64> {
    world.gateways.iter().map(|gateway| gateway.store.sent_bytes()).collect()
}

/// Guards against all instances of a fleet that was killed reading and watching the endpoints until the
/// first of them leads: with 300 instances they fill the store's links, and no leader keeps its lease.
#[test]
fn large_fleet_killed_reads_endpoints_once() {
    block_on(async {
        let (mut world, writer) = start("large-killed").await;
        let before = read_bytes(&world);
        let killed_at = Instant::now();
        world.restart_all().await;
        wait_until("all serve again", RETURN_TIME, || world.all_serve("look")).await;
        let time = killed_at.elapsed();
        let after = read_bytes(&world);
        writer.abort();
        let leader = world.leader();
        let read: Vec<u64> =
            after.iter().zip(&before).map(|(after, before)| after - before).collect();
        println!("all serve after {time:?}, read {read:?} bytes, leader {leader:?}");
        assert!(time < RETURN_TIME, "all serve after {time:?}");
        for (number, bytes) in read.iter().enumerate().filter(|(it, _)| Some(*it) != leader) {
            assert!(*bytes <= MAX_READ_BYTES, "gateway {number} has read {bytes} bytes");
        }
    });
}

/// Guards against the same when only the leader is killed, and against requests that are lost meanwhile.
#[test]
fn large_fleet_leader_killed_reads_endpoints_once() {
    block_on(async {
        let (mut world, writer) = start("large-leader").await;
        let former = world.leader().expect("expected a leader");
        let before = read_bytes(&world);
        world.gateways[former].kill();
        let killed_at = Instant::now();
        let others: Vec<usize> = (0..world.gateways.len()).filter(|it| *it != former).collect();
        let has_next = || async { world.leader().is_some_and(|leader| leader != former) };
        wait_until("another leads", RETURN_TIME, has_next).await;
        wait_until("the others serve", RETURN_TIME, || world.serve(&others, "look")).await;
        let time = killed_at.elapsed();
        let after = read_bytes(&world);
        writer.abort();
        let leader = world.leader();
        let read: Vec<u64> =
            after.iter().zip(&before).map(|(after, before)| after - before).collect();
        println!("the others serve after {time:?}, read {read:?} bytes, leader {leader:?}");
        for number in others.iter().filter(|it| Some(**it) != leader) {
            let bytes = read[*number];
            assert!(bytes <= MAX_READ_BYTES, "gateway {number} has read {bytes} bytes");
        }
    });
}

/// Guards against refusals of all requests for as long as the store is down, if the leader is lost meanwhile:
/// nobody can tell the instances the endpoints then.
#[test]
fn large_fleet_leader_killed_without_store_serves() {
    block_on(async {
        let (mut world, writer) = start("large-store").await;
        writer.abort();
        let former = world.leader().expect("expected a leader");
        let silent = StoreFaults { silent: true, ..StoreFaults::default() };
        world.gateways.iter().for_each(|gateway| gateway.store.set_faults(silent));
        world.gateways[former].kill();
        let killed_at = Instant::now();
        let others: Vec<usize> = (0..world.gateways.len()).filter(|it| *it != former).collect();
        // The tables are old, and the calls to the store have not failed for long.
        sleep(Duration::from_millis(2_000)).await;
        wait_until("the others serve", LOST_STORE_TIME, || world.serve(&others, "look")).await;
        println!("the others serve after {:?}", killed_at.elapsed());
        assert!(killed_at.elapsed() < LOST_STORE_TIME, "after {:?}", killed_at.elapsed());
    });
}
