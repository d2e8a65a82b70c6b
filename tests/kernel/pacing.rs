//! Tests of the pacing of bulk output.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::pacing::{OutputPacer, PeerPacer, Resend},
};

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

/// Interval at which a peer says what it has.
const HEARTBEAT: Duration = Duration::from_millis(150);

/// Guards against a document that is sent again with each heartbeat of a peer that it has not reached yet:
/// when 300 instances joined at once, the copies alone filled the leader's link.
#[test]
fn resend_once_while_under_way() {
    let mut pacer = OutputPacer::new(OutputPacer::link_rate(100.0, 0.3));
    let mut peers = vec![Resend::default(); 300];
    let mut bytes = 0;
    for heartbeat in 0..20 {
        let now = START + HEARTBEAT * heartbeat;
        for peer in &mut peers {
            if peer.is_due(7, now) {
                bytes += 30_000;
                peer.record(7, pacer.reserve(30_000, now), now);
            }
        }
    }
    assert!(bytes <= 300 * 30_000 * 3 / 2, "{bytes} bytes for 300 documents of 30 kB");
}

/// Guards against a peer that waits for a newer document, or for one that was lost.
#[test]
fn resend_newer_version_at_once() {
    let mut peer = Resend::default();
    assert!(peer.is_due(7, START));
    peer.record(7, Duration::from_secs(1), START);
    assert!(!peer.is_due(7, START + Duration::from_secs(2)));
    assert!(peer.is_due(8, START));
    assert!(peer.is_due(7, START + Duration::from_secs(3)));
}

/// Guards against a peer that joins again with each heartbeat and uses the output that others need.
#[test]
fn peer_pacer_joining_again_reserves_once() {
    let mut pacer = PeerPacer::new(1e6);
    assert_eq!(pacer.reserve("edge-0", 500_000, START), Some(Duration::ZERO));
    let wait = pacer.reserve("edge-1", 100_000, START).expect("nothing is reserved for it");
    assert_eq!(wait, Duration::from_millis(500));
    for heartbeat in 1..=3 {
        let now = START + HEARTBEAT * heartbeat;
        assert_eq!(pacer.reserve("edge-1", 100_000, now), None, "the first copy still waits");
    }
    let other = pacer.reserve("edge-2", 1, START + wait).expect("nothing is reserved for it");
    assert_eq!(other, Duration::from_millis(100), "one copy of each of the others is ahead of it");
    assert!(pacer.reserve("edge-1", 100_000, START + wait).is_some(), "the first copy was due");
}
