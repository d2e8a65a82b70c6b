//! Who stands for leader first.

use std::time::Duration;

use cardamomshore::kernel::candidacy::candidate_wait;

const YOUNG: Duration = Duration::from_secs(2);

const OLD: Duration = Duration::from_secs(60);

#[test]
fn candidate_restarted_instance_goes_first() {
    assert!(candidate_wait(0.0, YOUNG, 1.0) < candidate_wait(0.0, OLD, 0.0));
}

#[test]
fn candidate_strong_machine_goes_first() {
    assert!(candidate_wait(0.0, OLD, 1.0) < candidate_wait(0.9, YOUNG, 0.0));
}

#[test]
fn candidate_equal_machines_spread() {
    let waits = [0.0, 0.5, 1.0].map(|draw| candidate_wait(0.0, YOUNG, draw));
    assert!(waits[0] < waits[1] && waits[1] < waits[2], "{waits:?}");
}
