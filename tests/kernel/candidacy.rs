//! Tests of the wait before an instance tries to become leader.

use std::time::Duration;

use cardamomshore::kernel::candidacy::candidate_wait;

const YOUNG_AGE: Duration = Duration::from_secs(2);

const OLD_AGE: Duration = Duration::from_secs(60);

#[test]
fn candidate_restarted_instance_goes_first() {
    assert!(candidate_wait(0.0, YOUNG_AGE, 1.0) < candidate_wait(0.0, OLD_AGE, 0.0));
}

#[test]
fn candidate_strong_machine_goes_first() {
    assert!(candidate_wait(0.0, OLD_AGE, 1.0) < candidate_wait(0.9, YOUNG_AGE, 0.0));
}

#[test]
fn candidate_equal_machines_spread() {
    let waits = [0.0, 0.5, 1.0].map(|draw| candidate_wait(0.0, YOUNG_AGE, draw));
    assert!(waits[0] < waits[1] && waits[1] < waits[2], "{waits:?}");
}
