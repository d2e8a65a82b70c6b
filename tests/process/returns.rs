//! Tests of gateways whose store returns from an older copy.

use std::time::Duration;

use crate::util::{block_on, gateways::World, wait_until};

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
