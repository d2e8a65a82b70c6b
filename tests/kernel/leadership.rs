//! Tests of the lease by which an instance leads, and of what it knows of other leaders.

use std::{net::SocketAddr, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::leadership::{HeldLease, LEASE_TTL, Leader, Leadership, LeaseStep},
};

const START: Time = Time::from_millis(1_000_000);

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_600))
}

fn leader(instance: &str, term: u64) -> Leader {
    Leader { instance: instance.into(), address: address(), term }
}

fn lease(term: u64, now: Time) -> HeldLease {
    HeldLease { lease: term, term, renewed_at: now, orders_from: now, elected_at: now }
}

/// Returns an instance that was elected in `term`.
fn elected(term: u64) -> Leadership {
    let mut leadership = Leadership::new("a".into());
    leadership.synced = true;
    leadership.elect(lease(term, START), address());
    leadership
}

#[test]
fn order_after_pause_not_given() {
    let leadership = elected(5);
    assert!(leadership.may_order_in(5, START));
    let thawed = START + LEASE_TTL;
    assert!(!leadership.may_order_in(5, thawed), "the lease may have ended during the pause");
    assert!(leadership.leads(), "only the store tells whether another instance leads");
}

#[test]
fn order_of_earlier_term_not_given() {
    // The process is paused, its lease ends, and it is elected again before a task goes on that
    // decided on an order before the pause.
    let mut leadership = elected(5);
    let thawed = START + Duration::from_secs(4);
    assert_eq!(leadership.step_down(), Some(5));
    leadership.elect(lease(9, thawed), address());
    assert!(leadership.may_order_in(9, thawed));
    assert!(!leadership.may_order_in(5, thawed), "an engine would see a lower term after a higher");
}

#[test]
fn announcement_later_term_ends_leadership() {
    let mut leadership = elected(5);
    let change = leadership.apply_announcement(leader("b", 9));
    assert_eq!((change.is_new, change.lost_term), (true, Some(5)));
    assert!(!leadership.may_order_in(5, START));
    assert_eq!(leadership.leader(), Some(&leader("b", 9)));
}

#[test]
fn announcement_earlier_term_ignored() {
    let mut leadership = elected(9);
    let change = leadership.apply_announcement(leader("b", 5));
    assert_eq!((change.is_new, change.lost_term), (false, None));
    assert!(leadership.may_order_in(9, START), "a paused leader announces itself too late");
}

#[test]
fn record_older_than_announcement_ignored() {
    let mut leadership = Leadership::new("a".into());
    leadership.apply_announcement(leader("b", 9));
    assert!(!leadership.apply_record(Some(leader("c", 5))).is_new);
    assert_eq!(leadership.leader(), Some(&leader("b", 9)));
    leadership.apply_record(None);
    assert_eq!(leadership.leader(), None, "the record of the leader has ended");
}

#[test]
fn step_candidate_only_without_leader() {
    let mut leadership = Leadership::new("a".into());
    assert_eq!(leadership.next_step(false, START), LeaseStep::Wait, "nothing was read yet");
    leadership.synced = true;
    leadership.apply_record(Some(leader("b", 5)));
    assert_eq!(leadership.next_step(false, START), LeaseStep::Wait);
    leadership.apply_record(None);
    assert_eq!(leadership.next_step(false, START), LeaseStep::Acquire(0));
    assert_eq!(leadership.next_step(true, START), LeaseStep::Wait, "it is stopping");
    leadership.apply_record(Some(leader("a", 7)));
    assert_eq!(leadership.next_step(false, START), LeaseStep::Acquire(7), "from before a restart");
}

#[test]
fn step_leader_renews_early() {
    let leadership = elected(5);
    assert_eq!(leadership.next_step(false, START), LeaseStep::Wait);
    let later = START + LEASE_TTL.mul_f64(0.25);
    assert_eq!(leadership.next_step(false, later), LeaseStep::Renew(lease(5, START)));
}

#[test]
fn succession_names_former_leader() {
    let mut leadership = Leadership::new("a".into());
    leadership.last_leader = Some("b".into());
    assert!(!leadership.led_last());
    leadership.elect(lease(5, START), address());
    let later = START + Duration::from_secs(3);
    assert_eq!(leadership.succession(later), (Some("b".into()), Duration::from_secs(3)));
    assert!(leadership.led_last(), "it is the last leader itself now");
}
