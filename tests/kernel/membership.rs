//! Tests of the members that a leader names.

use std::{net::SocketAddr, time::Duration};

use cardamomshore::kernel::membership::{LinkedInstance, Member, current_members};

/// Time since the election of a leader that all instances have joined.
const LONG: Duration = Duration::from_secs(60);

/// Time since the election of a leader that few instances have joined.
const SHORT: Duration = Duration::from_millis(200);

fn member(number: u16) -> Member {
    let callers = SocketAddr::from(([10, 0, 0, 1], number));
    Member { instance: format!("i{number:03}").into(), callers }
}

fn linked(number: u16, ready: bool) -> LinkedInstance {
    LinkedInstance { member: member(number), ready }
}

#[test]
fn members_only_ready_instances() {
    let linked = [linked(2, true), linked(1, true), linked(3, false)];
    assert_eq!(current_members(&linked, &[], None, LONG), [member(1), member(2)]);
}

#[test]
fn members_new_leader_keeps_those_it_knew() {
    let known: Vec<Member> = (0..195).map(member).collect();
    let members = current_members(&[linked(7, true)], &known, Some("i000"), SHORT);
    assert_eq!(members, known[1..], "all but the former leader");
}

#[test]
fn members_known_instance_not_ready_any_more() {
    let members = current_members(&[linked(7, false)], &[member(7), member(8)], None, SHORT);
    assert_eq!(members, [member(8)]);
}

#[test]
fn members_not_joined_in_time_left_out() {
    let members = current_members(&[linked(7, true)], &[member(7), member(8)], None, LONG);
    assert_eq!(members, [member(7)]);
}
