//! Tests of the pacing of bulk output.

use std::time::Duration;

use cardamomshore::{clock::Time, kernel::pacing::OutputPacer};

const START: Time = Time::from_millis(1_000);

#[test]
fn pacer_joining_instances_keep_to_rate() {
    // 195 instances join at once, and each needs 30 kB from a leader that may send 4 MB a second.
    let mut pacer = OutputPacer::new(4e6);
    let waits: Vec<Duration> = (0..195).map(|_| pacer.reserve(30_000, START)).collect();
    assert_eq!(waits[0], Duration::ZERO, "the first need not wait");
    for at_ms in (0..1_400).step_by(100) {
        let (from, to) = (Duration::from_millis(at_ms), Duration::from_millis(at_ms + 100));
        let sent = waits.iter().filter(|wait| (from..to).contains(wait)).count() * 30_000;
        assert!(sent <= 430_000, "{sent} bytes are sent in the 100 ms from {at_ms} ms on");
    }
    assert!(waits[194] <= Duration::from_millis(1_500), "the last waits {:?}", waits[194]);
}

#[test]
fn pacer_idle_time_not_saved() {
    let mut pacer = OutputPacer::new(1e6);
    pacer.reserve(1_000, START);
    let later = START + Duration::from_secs(60);
    assert_eq!(pacer.reserve(100_000, later), Duration::ZERO);
    assert_eq!(pacer.reserve(1, later), Duration::from_millis(100));
}

#[test]
fn pacer_without_rate_never_waits() {
    let mut pacer = OutputPacer::new(0.0);
    assert_eq!(pacer.reserve(1 << 30, START), Duration::ZERO);
    assert_eq!(pacer.reserve(1 << 30, START), Duration::ZERO);
}
