//! Tests of the members that a leader names.

use std::{net::SocketAddr, time::Duration};

use cardamomshore::kernel::membership::{
    LinkedInstance, Member, current_members, store_watchers, weakness,
};

/// Time since the election of a leader that all instances have joined.
const LONG: Duration = Duration::from_secs(60);

/// Time since the election of a leader that few instances have joined.
const SHORT: Duration = Duration::from_millis(200);

fn member(number: u16) -> Member {
    let callers = SocketAddr::from(([10, 0, 0, 1], number));
    let data_centre = format!("dc{}", number % 3).into();
    let instance = format!("i{number:03}").into();
    Member { instance, data_centre, callers, peer: callers, strength: 1_000 }
}

/// Returns the names of the instances that watch the store.
fn watchers(members: &[Member], leader: Option<&str>) -> Vec<String> {
    let watchers = store_watchers(members, leader).into_iter();
    watchers.map(|member| member.instance.to_string()).collect()
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

#[test]
fn watchers_one_in_each_data_centre() {
    for size in [30, 195, 960] {
        let members: Vec<Member> = (0..size).map(member).collect();
        assert_eq!(watchers(&members, None), ["i000", "i001", "i002"]);
        assert_eq!(
            watchers(&members, Some("i001")),
            ["i000", "i004", "i002"],
            "besides the leader"
        );
    }
}

#[test]
fn watchers_strongest_first() {
    let mut members: Vec<Member> = (0..9).map(member).collect();
    members[6].strength = 2_000;
    members[1].strength = 500;
    assert_eq!(watchers(&members, None), ["i006", "i004", "i002"]);
}

#[test]
fn weakness_compared_with_strongest_member() {
    let mut members: Vec<Member> = (0..9).map(member).collect();
    assert_eq!(weakness(1_000, &members), 0.0, "all are equal");
    members[3].strength = 2_000;
    assert_eq!(weakness(2_000, &members), 0.0);
    assert_eq!(weakness(1_000, &members), 0.5);
    assert_eq!(weakness(500, &[]), 0.5, "no member is known");
}
