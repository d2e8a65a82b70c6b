//! Tests of what a leader does while its decisions fall behind.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::overload::{Intake, LinkBacklog, intake},
};

const START: Time = Time::from_millis(50_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns what is done with a request whose response is due in 800 ms and of use for 5 s.
fn intake_of_age(age: Duration) -> Intake {
    intake(age, START + ms(800), START + ms(5_000), START)
}

/// Guards against refusals while the leader keeps up, also where frames arrive without a pause.
#[test]
fn intake_of_leader_that_keeps_up_decides() {
    let mut backlog = LinkBacklog::default();
    for at in 0..10_000 {
        let age = backlog.record_frame(START + ms(at));
        assert_eq!(intake_of_age(age), Intake::Decide, "after {at} ms");
        if at % 90 == 89 {
            backlog.record_empty();
        }
    }
}

/// Guards against a leader that goes on with requests that nobody waits for any more.
#[test]
fn intake_of_leader_that_falls_behind_sheds() {
    let mut backlog = LinkBacklog::default();
    assert_eq!(backlog.record_frame(START), Duration::ZERO, "the first one has not waited");
    let age = backlog.record_frame(START + ms(450));
    assert_eq!(intake_of_age(age), Intake::Shed(ms(900)));
    backlog.record_empty();
    let age = backlog.record_frame(START + ms(900));
    assert_eq!(intake_of_age(age), Intake::Decide, "the leader has caught up");
}

/// Guards against refusing a request that can wait: one that is late already counts by its deadline.
#[test]
fn intake_of_late_request_counts_by_deadline() {
    let late = |age| intake(age, START - ms(10), START + ms(5_000), START);
    assert_eq!(late(ms(2_000)), Intake::Decide);
    assert!(matches!(late(ms(2_600)), Intake::Shed(_)));
}
