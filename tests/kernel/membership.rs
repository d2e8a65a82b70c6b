//! Tests of the members that a leader names.

use std::{net::SocketAddr, time::Duration};

use cardamomshore::kernel::membership::{
    LinkedInstance, Member, current_members, lone_share, name_members, should_hand_over,
    store_watchers, weakness,
};

/// Time since the election of a leader that all instances have joined.
const LONG: Duration = Duration::from_secs(60);

/// Time since the election of a leader that few instances have joined.
const SHORT: Duration = Duration::from_millis(200);

/// Name of the leader, which is not one of the members unless a test says so.
const LEADER: &str = "leader";

fn member(number: u16) -> Member {
    let callers = SocketAddr::from(([10, 0, 0, 1], number));
    let data_centre = format!("dc{}", number % 3).into();
    let instance = format!("i{number:03}").into();
    Member {
        instance,
        data_centre,
        callers,
        peer: callers,
        relay: callers,
        cut_off: false,
        strength: 1_000,
        named: false,
    }
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
fn watchers_cut_off_member_only_without_others() {
    let cut_off = |number| Member { cut_off: true, ..member(number) };
    let members = [cut_off(0), member(3), cut_off(1)];
    let names = |members: &[Member]| -> Vec<String> {
        let watchers = store_watchers(members, None);
        watchers.iter().map(|member| member.instance.to_string()).collect()
    };
    assert!(names(&members).contains(&member(3).instance.to_string()), "{members:?}");
    assert!(!names(&members[1..]).is_empty());
    assert_eq!(names(&members[..1]), [cut_off(0).instance.to_string()]);
}

#[test]
fn handover_needs_member_that_reaches_endpoints() {
    let cut_off = |number| Member { cut_off: true, ..member(number) };
    let long = Duration::from_secs(20);
    assert!(should_hand_over(&[cut_off(0), member(3)], "leader", long, long));
    assert!(!should_hand_over(&[cut_off(0), cut_off(3)], "leader", long, long), "all are cut off");
    assert!(!should_hand_over(&[member(3)], "leader", Duration::ZERO, long), "may be short");
    assert!(!should_hand_over(&[member(3)], "leader", long, Duration::ZERO), "elected just now");
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

/// Returns the numbers of named members in the three data centres.
fn named_counts(members: &[Member]) -> [usize; 3] {
    let count = |data_centre: &str| {
        members.iter().filter(|m| m.named && &*m.data_centre == data_centre).count()
    };
    ["dc0", "dc1", "dc2"].map(count)
}

#[test]
fn named_small_fleet_whole() {
    let mut members: Vec<Member> = (0..9).map(member).collect();
    name_members(&mut members, &[], 0.0, LEADER, LONG);
    assert_eq!(named_counts(&members), [3, 3, 3]);
}

#[test]
fn named_large_fleet_follows_demand() {
    let mut members: Vec<Member> = (0..960).map(member).collect();
    name_members(&mut members, &[], 545.0, LEADER, LONG * 2);
    assert_eq!(named_counts(&members), [8, 8, 8], "capacity for four times the demand");
    let few: Vec<Member> = members.iter().filter(|member| member.named).cloned().collect();
    name_members(&mut members, &[], 14_000.0, LEADER, LONG * 2);
    assert_eq!(named_counts(&members), [187, 187, 187]);
    assert!(few.iter().all(|member| members.contains(member)), "no caller has to move");
}

#[test]
fn named_weak_members_only_if_needed() {
    let mut members: Vec<Member> = (0..90).map(member).collect();
    members.iter_mut().take(30).for_each(|member| member.strength = 200);
    name_members(&mut members, &[], 300.0, LEADER, LONG * 2);
    assert!(members.iter().filter(|member| member.named).all(|member| member.strength == 1_000));
    name_members(&mut members, &[], 30_000.0, LEADER, LONG * 2);
    assert!(members.iter().all(|member| member.named), "all are needed");
}

#[test]
fn named_leader_only_if_needed() {
    let mut members: Vec<Member> = (0..195).map(member).collect();
    name_members(&mut members, &[], 545.0, "i000", LONG * 2);
    assert!(!members[0].named, "others have the capacity");
    let mut members: Vec<Member> = (0..7).map(member).collect();
    name_members(&mut members, &[], 545.0, "i000", LONG * 2);
    assert!(members.iter().all(|member| member.named));
}

#[test]
fn named_new_leader_names_no_fewer() {
    let mut known: Vec<Member> = (0..195).map(member).collect();
    name_members(&mut known, &[], 2_000.0, LEADER, LONG * 2);
    let mut members = known.clone();
    name_members(&mut members, &known, 0.0, LEADER, SHORT);
    assert_eq!(named_counts(&members), named_counts(&known));
    name_members(&mut members, &known, 0.0, LEADER, LONG * 2);
    assert_eq!(named_counts(&members), [3, 3, 3]);
}

#[test]
fn lone_share_sum_at_most_one() {
    for (size, rate) in [(9, 0.0), (195, 545.0), (960, 14_000.0)] {
        let mut members: Vec<Member> = (0..size).map(member).collect();
        name_members(&mut members, &[], rate, LEADER, LONG * 2);
        let shares = members.iter().map(|m| lone_share(&m.instance, &members, members.len()));
        let sum: f64 = shares.sum();
        assert!((0.99..1.000_001).contains(&sum), "{sum} with {size} instances");
    }
}

#[test]
fn lone_share_follows_requests() {
    let mut members: Vec<Member> = (0..195).map(member).collect();
    name_members(&mut members, &[], 545.0, LEADER, LONG * 2);
    let share = |number: u16| lone_share(&member(number).instance, &members, 195);
    assert!(share(0) > 0.03, "a named member of 24 has {}", share(0));
    assert!(share(194) < 0.001, "another member has {}", share(194));
    assert_eq!(lone_share("i000", &[], 50), 0.02, "no member is known");
}
