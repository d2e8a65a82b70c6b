//! Tests of the wait before an instance tries to become leader.

use std::time::Duration;

use cardamomshore::kernel::candidacy::candidate_wait;

/// Age of an instance that was just restarted.
const YOUNG_AGE: Duration = Duration::from_secs(2);

/// Age of an instance that has run for a long time.
const OLD_AGE: Duration = Duration::from_secs(60);

#[test]
fn candidate_wait_restarted_instance_first() {
    assert!(candidate_wait(0.0, YOUNG_AGE, 1.0) < candidate_wait(0.0, OLD_AGE, 0.0));
}

#[test]
fn candidate_wait_strong_instance_first() {
    assert!(candidate_wait(0.0, OLD_AGE, 1.0) < candidate_wait(0.9, YOUNG_AGE, 0.0));
}

#[test]
fn candidate_wait_equal_instances_spread() {
    let waits = [0.0, 0.5, 1.0].map(|draw| candidate_wait(0.0, YOUNG_AGE, draw));
    assert!(waits[0] < waits[1] && waits[1] < waits[2], "{waits:?}");
}
