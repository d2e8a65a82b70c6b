//! Tests of the lease by which an instance leads, and of what it knows of other leaders.

use std::{net::SocketAddr, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::{
        leadership::{HeldLease, LEASE_TTL, LastLeader, Leader, Leadership, LeaseStep, StartId},
        revision::{LeaseId, Revision},
    },
};

/// Time that a leader waits before its first order.
const ORDER_GAP: Duration = Duration::from_secs(3);

const START: Time = Time::from_millis(1_000_000);

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_600))
}

/// The start of the instance under test.
const OWN_START: StartId = StartId(1);

/// Returns a leader of a start that each instance name has in these tests.
fn leader(instance: &str, term: u64) -> Leader {
    let start = Some(if instance == "a" { OWN_START } else { StartId(2) });
    Leader { instance: instance.into(), start, address: address(), term }
}

fn last_leader(instance: &str, is_current: bool) -> LastLeader {
    let Leader { instance, start, .. } = leader(instance, 0);
    LastLeader { instance, start, is_current }
}

/// Returns the instance "a", which knows no leader.
fn newcomer() -> Leadership {
    Leadership::new("a".into(), OWN_START)
}

fn lease(term: u64, now: Time) -> HeldLease {
    let lease = LeaseId { era: 0, number: term };
    HeldLease { lease, term, renewed_at: now, orders_from: now, recorded: true, elected_at: now }
}

/// Returns an instance that was elected in `term`.
fn elected(term: u64) -> Leadership {
    let mut leadership = newcomer();
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
    let mut leadership = newcomer();
    leadership.apply_announcement(leader("b", 9));
    assert!(!leadership.apply_record(Some(leader("c", 5))).is_new);
    assert_eq!(leadership.leader(), Some(&leader("b", 9)));
    leadership.apply_record(None);
    assert_eq!(leadership.leader(), None, "the record of the leader has ended");
}

#[test]
fn step_candidate_only_without_leader() {
    let mut leadership = newcomer();
    assert_eq!(leadership.next_step(false, START), LeaseStep::Wait, "nothing was read yet");
    leadership.synced = true;
    leadership.apply_record(Some(leader("b", 5)));
    assert_eq!(leadership.next_step(false, START), LeaseStep::Wait);
    leadership.apply_record(None);
    assert_eq!(leadership.next_step(false, START), LeaseStep::Acquire(Revision::default()));
    assert_eq!(leadership.next_step(true, START), LeaseStep::Wait, "it is stopping");
    leadership.apply_record(Some(leader("a", 7)));
    let own = LeaseStep::Acquire(Revision::new(0, 7));
    assert_eq!(leadership.next_step(false, START), own, "the response to its write was lost");
}

/// Guards against two machines of one name that lead at once: the lost one may only be cut off.
#[test]
fn step_record_of_former_start_waits() {
    for start in [Some(StartId(7)), None] {
        let mut leadership = newcomer();
        leadership.synced = true;
        leadership.apply_record(Some(Leader { start, ..leader("a", 7) }));
        let step = leadership.next_step(false, START);
        assert_eq!(step, LeaseStep::Wait, "start {start:?} holds the lease");
        leadership.apply_record(None);
        assert_eq!(leadership.next_step(false, START), LeaseStep::Acquire(Revision::default()));
    }
}

/// Guards against a lease that is waited for although its holder has ended: a fleet that lost power would
/// have no leader for that time.
#[test]
fn step_record_of_former_start_at_same_address_replaced() {
    let former = Leader { start: Some(StartId(7)), ..leader("a", 7) };
    let mut leadership = newcomer();
    leadership.synced = true;
    leadership.set_address(former.address);
    leadership.apply_record(Some(former));
    assert!(matches!(leadership.next_step(false, START), LeaseStep::Acquire(_)));
    leadership.apply_record(Some(Leader { start: Some(StartId(7)), ..leader("b", 8) }));
    assert_eq!(leadership.next_step(false, START), LeaseStep::Wait, "another instance leads");
}

/// Guards against the long wait of many candidates at the only instance that can take over at once.
#[test]
fn sole_candidate_restarted_leader_only() {
    let former = Leader { start: Some(StartId(7)), ..leader("a", 7) };
    let mut leadership = newcomer();
    leadership.set_address(former.address);
    assert!(!leadership.is_sole_candidate(), "no leader is recorded, so others are candidates too");
    leadership.apply_record(Some(former));
    assert!(leadership.is_sole_candidate());
    leadership.apply_record(Some(Leader { start: Some(StartId(7)), ..leader("b", 8) }));
    assert!(!leadership.is_sole_candidate(), "another instance leads");
}

/// Guards against orders of two machines of one name that are less than the gap apart.
#[test]
fn orders_of_former_start_waited_for() {
    for start in [Some(StartId(7)), None] {
        let mut leadership = newcomer();
        leadership.last_leader = Some(LastLeader { start, ..last_leader("a", true) });
        assert!(!leadership.ordered_last(ORDER_GAP, START), "start {start:?} gave them");
    }
}

/// Guards against a leader that keeps its lead beside a later one of the same name.
#[test]
fn record_of_later_start_ends_leadership() {
    let mut leadership = elected(5);
    let change =
        leadership.apply_record(Some(Leader { start: Some(StartId(7)), ..leader("a", 9) }));
    assert_eq!(change.lost_term, Some(5));
    assert!(!leadership.may_order_in(5, START));
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
    let mut leadership = newcomer();
    leadership.last_leader = Some(last_leader("b", true));
    assert!(!leadership.ordered_last(ORDER_GAP, START));
    leadership.elect(lease(5, START), address());
    let later = START + Duration::from_secs(3);
    assert_eq!(leadership.succession(later), (Some("b".into()), Duration::from_secs(3)));
    assert!(leadership.ordered_last(ORDER_GAP, START), "it is the last leader itself now");
}

#[test]
fn record_lower_number_in_new_era_followed() {
    let mut leadership = newcomer();
    leadership.apply_record(Some(leader("b", Revision::new(1, 87).ordinal())));
    let restored = leader("c", Revision::new(2, 40).ordinal());
    assert!(leadership.apply_record(Some(restored.clone())).is_new);
    assert_eq!(leadership.leader(), Some(&restored));
}

#[test]
fn step_after_return_takes_over_own_record() {
    let mut leadership = elected(Revision::new(1, 87).ordinal());
    leadership.apply_record(Some(leader("a", Revision::new(2, 40).ordinal())));
    leadership.step_down_after_return(START);
    assert!(!leadership.leads(), "its lease was granted in another era");
    let step = leadership.next_step(false, START);
    assert_eq!(step, LeaseStep::Acquire(Revision::new(2, 40)));
}

#[test]
fn orders_after_return_wait() {
    let mut leadership = newcomer();
    assert!(!leadership.ordered_last(ORDER_GAP, START), "the store may have lost the record");
    leadership.last_leader = Some(last_leader("a", false));
    assert!(!leadership.ordered_last(ORDER_GAP, START), "a later record may be lost");
    leadership.last_leader = Some(last_leader("a", true));
    assert!(leadership.ordered_last(ORDER_GAP, START));
}

#[test]
fn orders_of_leader_at_return_go_on() {
    let mut leadership = elected(Revision::new(1, 87).ordinal());
    leadership.step_down_after_return(START + Duration::from_secs(2));
    leadership.last_leader = Some(last_leader("b", false));
    assert!(leadership.ordered_last(ORDER_GAP, START + Duration::from_secs(2)));
    assert!(!leadership.ordered_last(ORDER_GAP, START + ORDER_GAP), "another may have led since");
    leadership.last_leader = Some(last_leader("b", true));
    assert!(!leadership.ordered_last(ORDER_GAP, START), "another leads in the new era");
}

#[test]
fn fleet_size_lost_by_store_holds() {
    let mut leadership = newcomer();
    leadership.apply_fleet_size(8, 1);
    leadership.apply_fleet_size(3, 2);
    assert_eq!((leadership.fleet_size(), leadership.is_size_lost()), (8, true));
    leadership.apply_fleet_size(3, 2);
    assert_eq!(leadership.fleet_size(), 8, "a second read in the new era shows the same");
    leadership.set_fleet_size(8);
    leadership.apply_fleet_size(3, 2);
    let now = (leadership.fleet_size(), leadership.is_size_lost());
    assert_eq!(now, (3, false), "a leader has recorded fewer");
}

#[test]
fn orders_of_leader_that_ended_while_it_waited_wait() {
    let mut leadership = newcomer();
    leadership.last_leader = Some(last_leader("b", true));
    let orders_from = START + ORDER_GAP;
    let held = HeldLease { orders_from, recorded: false, ..lease(5, START) };
    leadership.elect(held, address());
    let now = START + Duration::from_secs(1);
    leadership.step_down();
    assert!(!leadership.ordered_last(ORDER_GAP, now), "the last orders are those of b");
}

#[test]
fn step_orders_recorded_before_first() {
    let mut leadership = newcomer();
    leadership.elect(HeldLease { recorded: false, ..lease(5, START) }, address());
    assert!(!leadership.may_order(START), "a later leader would not know of its orders");
    let held = HeldLease { recorded: false, ..lease(5, START) };
    assert_eq!(leadership.next_step(false, START), LeaseStep::RecordOrders(held));
    leadership.set_orders_recorded(4);
    assert!(!leadership.may_order(START), "that was an earlier term");
    leadership.set_orders_recorded(5);
    assert!(leadership.may_order(START) && leadership.ordered_last(ORDER_GAP, START));
}
