//! Tests of gateways that have lost their links to all endpoints.

use std::{net::Ipv4Addr, time::Duration};

use cardamomshore::standin::{http1::PacketFilter, worker::LAST_EVENT};
use tokio::time::{Instant, sleep, timeout};

use crate::util::{
    block_on,
    gateways::{DATA_CENTRES, World},
};

/// Time after which a gateway that is cut off must serve as well as the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time in which a request that nobody can serve must be rejected.
const REJECT_TIME: Duration = Duration::from_millis(500);

/// Time after which a caller leaves.
const PATIENCE: Duration = Duration::from_millis(150);

/// Requests of each kind in a test.
const REQUESTS: usize = 12;

/// Software versions of the engines.
const VERSIONS: [&str; 2] = ["v1", "v1"];

/// Data centres of the gateways.
const HOMES: [&str; 3] = [DATA_CENTRES[0], DATA_CENTRES[0], DATA_CENTRES[1]];

async fn start(name: &str) -> (World, usize) {
    let world = World::start_in(name, &HOMES, &VERSIONS).await;
    sleep(Duration::from_millis(1_500)).await;
    // Idle connections to all endpoints, which hang once the links are cut.
    for number in 0..REQUESTS * HOMES.len() {
        world.call(number % HOMES.len(), "pay").await;
    }
    let leader = world.leader().expect("expected a leader");
    (world, leader)
}

fn hosts(world: &World, gateways: &[usize]) -> Vec<Ipv4Addr> {
    gateways.iter().map(|index| world.gateways[*index].source).collect()
}

fn set_filter(world: &World, filter: &PacketFilter) {
    world.workers.iter().for_each(|worker| worker.set_filter(filter.clone()));
}

/// Cuts gateways off from all endpoints; all packets are dropped.
fn cut(world: &World, gateways: &[usize]) {
    set_filter(world, &PacketFilter::From(hosts(world, gateways)));
}

/// Sends requests to a gateway until the time is over, as callers do that keep its address.
async fn send_for(world: &World, gateway: usize, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let id = format!("{:016x}", rand::random::<u64>());
        let calls = async {
            tokio::join!(world.call(gateway, "look"), world.stream(gateway, &id, None, 1))
        };
        let _ = timeout(PATIENCE, calls).await;
    }
}

/// Panics unless a gateway serves all requests of all kinds at the first attempt.
async fn assert_serves(world: &World, gateway: usize) {
    for number in 0..REQUESTS {
        for route in ["look", "pay"] {
            let answer = world.call(gateway, route).await.expect("expected an answer");
            assert_eq!(answer.status, 200, "request {number} on {route}: {answer:?}");
            assert!(answer.endpoint.is_some(), "expected the answer of an endpoint");
        }
    }
    let id = format!("{:016x}", rand::random::<u64>());
    let last = LAST_EVENT as usize;
    assert_eq!(world.stream(gateway, &id, None, last).await, Some((200, last)));
}

#[test]
fn cut_off_follower_serves_at_first_attempt() {
    block_on(async {
        let (world, leader) = start("cut-off-follower").await;
        let follower = (leader + 1) % HOMES.len();
        cut(&world, &[follower]);
        send_for(&world, follower, CONTACT_TIME).await;
        assert_serves(&world, follower).await;
        assert_serves(&world, leader).await;
    });
}

#[test]
fn cut_off_leader_serves_at_first_attempt() {
    block_on(async {
        let (world, leader) = start("cut-off-leader").await;
        cut(&world, &[leader]);
        send_for(&world, leader, CONTACT_TIME).await;
        assert_serves(&world, leader).await;
        assert_serves(&world, (leader + 1) % HOMES.len()).await;
    });
}

#[test]
fn cut_off_all_but_one_served_by_that_one() {
    block_on(async {
        let (world, leader) = start("cut-off-most").await;
        let others: Vec<usize> = (0..HOMES.len()).filter(|index| *index != leader).collect();
        cut(&world, &[leader, others[0]]);
        tokio::join!(
            send_for(&world, leader, CONTACT_TIME),
            send_for(&world, others[0], CONTACT_TIME)
        );
        assert_serves(&world, leader).await;
        assert_serves(&world, others[0]).await;
        assert_serves(&world, others[1]).await;
    });
}

#[test]
fn cut_off_all_rejected_at_once_and_served_once_healed() {
    block_on(async {
        let (world, _) = start("cut-off-all").await;
        cut(&world, &[0, 1, 2]);
        let each = [0, 1, 2].map(|gateway| send_for(&world, gateway, CONTACT_TIME));
        futures_util::future::join_all(each).await;
        for number in 0..REQUESTS {
            let sent_at = Instant::now();
            let answer = world.call(number % HOMES.len(), "pay").await.expect("expected an answer");
            assert_eq!(answer.status, 503, "the request has not run");
            assert!(sent_at.elapsed() < REJECT_TIME, "rejected after {:?}", sent_at.elapsed());
        }
        cut(&world, &[]);
        sleep(CONTACT_TIME).await;
        for gateway in 0..HOMES.len() {
            assert_serves(&world, gateway).await;
        }
    });
}

#[test]
fn cut_off_while_streams_run_blames_no_prompt() {
    block_on(async {
        let versions = ["v1"; 6];
        let world = World::start_in("cut-off-blame", &HOMES, &versions).await;
        sleep(Duration::from_millis(1_500)).await;
        let leader = world.leader().expect("expected a leader");
        let last = LAST_EVENT as usize;
        for gateway in 0..HOMES.len() {
            let ids = (0..30).map(|_| format!("{:016x}", rand::random::<u64>()));
            let ids: Vec<String> = ids.collect();
            let streams = ids.iter().map(|id| world.stream(gateway, id, None, last));
            let streams = futures_util::future::join_all(streams);
            let cut = async {
                sleep(Duration::from_millis(200)).await;
                set_filter(&world, &PacketFilter::Closing(hosts(&world, &[gateway])));
                sleep(Duration::from_millis(2_500)).await;
            };
            tokio::join!(streams, cut);
            let other = (gateway + 1) % HOMES.len();
            for number in 0..REQUESTS {
                let id = format!("{:016x}", rand::random::<u64>());
                let stream = world.stream(other, &id, None, 1).await;
                assert!(
                    matches!(stream, Some((200, _))),
                    "{number} after {gateway}, leader {leader}"
                );
            }
            set_filter(&world, &PacketFilter::Open);
            sleep(CONTACT_TIME).await;
        }
    });
}
