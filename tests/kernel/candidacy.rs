//! Tests of the wait before an instance tries to become leader.

use std::time::Duration;

use cardamomshore::kernel::candidacy::candidate_wait;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Age of an instance that was just restarted.
const YOUNG_AGE: Duration = Duration::from_secs(2);

/// Age of an instance that has run for a long time.
const OLD_AGE: Duration = Duration::from_secs(60);

#[test]
fn candidate_wait_restarted_instance_first() {
    assert!(candidate_wait(0.0, YOUNG_AGE, 1.0, 1) < candidate_wait(0.0, OLD_AGE, 0.0, 1));
}

#[test]
fn candidate_wait_strong_instance_first() {
    assert!(candidate_wait(0.0, OLD_AGE, 1.0, 1) < candidate_wait(0.9, YOUNG_AGE, 0.0, 1));
}

#[test]
fn candidate_wait_equal_instances_spread() {
    let waits = [0.0, 0.5, 1.0].map(|draw| candidate_wait(0.0, YOUNG_AGE, draw, 1));
    assert!(waits[0] < waits[1] && waits[1] < waits[2], "{waits:?}");
}

/// Time until the others know of the first candidate's record: three calls to a remote store.
const ELECTION_TIME: Duration = Duration::from_millis(30);

/// Returns the waits of a fleet that has just started, in ascending order, with the fraction of the
/// instances that are weak.
fn start_waits(fleet_size: usize, weak_fraction: f64) -> Vec<(Duration, bool)> {
    let mut rng = StdRng::seed_from_u64(fleet_size as u64);
    let mut waits: Vec<(Duration, bool)> = (0..fleet_size)
        .map(|number| {
            let is_weak = (number as f64) < fleet_size as f64 * weak_fraction;
            let weakness = if is_weak { 0.52 } else { 0.0 };
            (candidate_wait(weakness, YOUNG_AGE, rng.random(), fleet_size), is_weak)
        })
        .collect();
    waits.sort();
    waits
}

/// Guards against the writes of all candidates at once after a whole fleet was killed: the store refuses
/// those above its limit, also the one that would have elected a leader.
#[test]
fn candidate_wait_spreads_started_fleet() {
    for fleet_size in [9, 30, 100, 300, 960] {
        let waits = start_waits(fleet_size, 0.0);
        let first = waits[0].0;
        let writers = waits.iter().filter(|(wait, _)| *wait < first + ELECTION_TIME).count();
        println!("{fleet_size} instances: first after {first:?}, {writers} write");
        assert!(writers <= 40, "{writers} of {fleet_size} write before a leader is known");
        assert!(first < Duration::from_millis(120), "{first:?} until the first of {fleet_size}");
    }
}

/// Guards against a weak leader where the strong instances are spread over more time.
#[test]
fn candidate_wait_strong_instance_first_in_large_fleet() {
    for fleet_size in [100, 300, 960] {
        let waits = start_waits(fleet_size, 0.9);
        assert!(!waits[0].1, "a weak one of {fleet_size} is first");
    }
}
