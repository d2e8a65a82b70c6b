//! Tests of gateways whose store returns from an older copy.

use std::time::Duration;

use cardamomshore::standin::operator::Document;
use tokio::time::{Instant, sleep};

use crate::util::{
    block_on,
    gateways::{DATA_CENTRES, World},
    wait_until,
};

/// Time in which a confirmed change must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Writes by others, after which the store returns: more than follow until the change.
const LOST_WRITES: usize = 200;

#[test]
fn returns_change_confirmed_later_in_force() {
    block_on(async {
        let mut world = World::start("returns-change").await;
        let copy = world.store.copy();
        world.raise_revision(LOST_WRITES);
        world.add_route("before");
        wait_until("the first change in force", APPLY_TIME, || world.all_serve("before")).await;

        world.store.restore(copy);
        world.write_again();
        world.add_route("after");
        wait_until("the later change in force", APPLY_TIME, || world.all_serve("after")).await;
        assert!(world.all_serve("before").await, "an earlier change is still in force");
    });
}

#[test]
fn returns_older_document_not_taken() {
    block_on(async {
        let mut world = World::start("returns-older").await;
        let copy = world.store.copy();
        world.add_route("before");
        wait_until("the change in force", APPLY_TIME, || world.all_serve("before")).await;

        world.store.restore(copy);
        // More writes than were lost, so that the revisions do not tell the older document.
        world.raise_revision(LOST_WRITES);
        world.store.put("op/other", "x");
        let until = Instant::now() + APPLY_TIME;
        while Instant::now() < until {
            assert!(world.all_serve("before").await, "a confirmed change does not go back");
            sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn returns_restarted_gateway_gets_newest_document() {
    block_on(async {
        let mut world = World::start("returns-restart").await;
        let copy = world.store.copy();
        world.add_route("before");
        wait_until("the change in force", APPLY_TIME, || world.all_serve("before")).await;

        world.store.restore(copy);
        world.gateways[0].kill();
        world.gateways[0].restart().expect("expected the gateway to start");
        world.gateways[0].wait_ready().await.expect("expected the gateway to become ready");
        wait_until("the change in force", 2 * APPLY_TIME, || world.all_serve("before")).await;
    });
}

#[test]
fn returns_evacuation_confirmed_later_in_force() {
    block_on(async {
        let world = World::start("returns-evacuation").await;
        let copy = world.store.copy();
        world.raise_revision(LOST_WRITES);
        world.store.put("op/other", "x");
        sleep(Duration::from_millis(200)).await;

        world.store.restore(copy);
        world.store.put(&format!("op/evacuate/{}", DATA_CENTRES[0]), "{}");
        sleep(APPLY_TIME).await;
        let in_service = world.workers[1].id();
        for number in 0..20 {
            let answer = world.call(number % 2, "look").await.expect("expected an answer");
            assert_eq!(answer.endpoint.as_deref(), Some(&*in_service), "{answer:?}");
        }
    });
}

#[test]
fn returns_invalid_document_not_taken() {
    block_on(async {
        let mut world = World::start("returns-invalid").await;
        world.add_route("before");
        wait_until("the change in force", APPLY_TIME, || world.all_serve("before")).await;
        world.store.put(Document::key(), "{ \"version\": 99 ");
        sleep(Duration::from_millis(300)).await;
        world.gateways[0].kill();
        world.gateways[0].restart().expect("expected the gateway to start");
        wait_until("the last valid one in force", 2 * APPLY_TIME, || world.all_serve("before"))
            .await;
    });
}
