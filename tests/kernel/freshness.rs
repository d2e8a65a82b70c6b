//! Tests of whether an instance is cut off or the platform's service is down for everybody, with
//! partitions, pauses and outages.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::freshness::{
        Contact, Contacts, Freshness, MAX_CONTACT_AGE, MAX_HEARTBEAT_PEERS, freshness_of,
        heartbeat_peers,
    },
    names::InstanceId,
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

fn ids(count: usize) -> Vec<InstanceId> {
    (0..count).map(|index| InstanceId::from(format!("i-{index}"))).collect()
}

/// Instances that exchange heartbeats over links that may be cut.
struct Fleet {
    now: Time,
    ids: Vec<InstanceId>,
    contacts: Vec<Contacts>,
    /// Whether each instance reaches the platform's service.
    platform: Vec<bool>,
    /// Whether each instance runs.
    running: Vec<bool>,
    /// Whether the link between two instances works.
    linked: Box<dyn Fn(usize, usize) -> bool>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut fleet = Self {
            now: Time::from_millis(100_000),
            ids: ids(count),
            contacts: vec![Contacts::default(); count],
            platform: vec![true; count],
            running: vec![true; count],
            linked: Box::new(|_, _| true),
        };
        fleet.run(Duration::from_secs(1));
        fleet
    }

    /// Lets every instance send heartbeats for a `length` of time.
    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + HEARTBEAT_INTERVAL;
            for index in 0..self.ids.len() {
                self.heartbeat(index);
            }
        }
    }

    fn heartbeat(&mut self, index: usize) {
        if !self.running[index] {
            return;
        }
        if self.platform[index] {
            self.contacts[index].record_platform_contact(self.now);
        }
        let number = self.contacts[index].begin_round(self.now);
        for peer in 0..self.ids.len() {
            if peer == index || !self.running[peer] || !(self.linked)(index, peer) {
                continue;
            }
            let age = self.contacts[peer].age(self.now);
            let id = self.ids[peer].clone();
            self.contacts[index].record_heartbeat_reply(&id, number, age);
        }
    }

    fn freshness(&self, index: usize) -> Freshness {
        freshness_of(self.contacts[index].contact(&self.ids[index], &self.ids, self.now))
    }
}

#[test]
fn freshness_every_small_fleet() {
    let young = Duration::from_millis(10);
    let old = MAX_CONTACT_AGE + Duration::from_millis(1);
    for listed in 1..=9 {
        for heard in 1..=listed {
            assert_eq!(freshness_of(Contact { age: young, listed, heard }), Freshness::Fresh);
            let majority = heard * 2 > listed;
            let expected = if majority { Freshness::ServiceDown } else { Freshness::CutOff };
            assert_eq!(freshness_of(Contact { age: old, listed, heard }), expected);
        }
    }
}

#[test]
fn freshness_every_partition_of_five() {
    // Bit i of `side` is the side of the partition on which instance i is. Bit i of `reached` says
    // whether instance i reaches the platform's service.
    for side in 0_u32..32 {
        for reached in 0_u32..32 {
            let mut fleet = Fleet::new(5);
            fleet.platform = (0..5).map(|i| reached & (1 << i) != 0).collect();
            fleet.linked = Box::new(move |a, b| (side >> a) & 1 == (side >> b) & 1);
            fleet.run(MAX_CONTACT_AGE * 2);
            for index in 0..5 {
                let same = |other: &usize| (side >> other) & 1 == (side >> index) & 1;
                let members: Vec<usize> = (0..5).filter(same).collect();
                let expected = if members.iter().any(|member| fleet.platform[*member]) {
                    Freshness::Fresh
                } else if members.len() >= 3 {
                    Freshness::ServiceDown
                } else {
                    Freshness::CutOff
                };
                assert_eq!(
                    fleet.freshness(index),
                    expected,
                    "instance {index}, side {side:05b}, reached {reached:05b}"
                );
            }
        }
    }
}

#[test]
fn freshness_two_cut_off_instances_not_fresh() {
    let mut fleet = Fleet::new(5);
    fleet.linked = Box::new(|a, b| (a < 2) == (b < 2));
    fleet.platform[0] = false;
    fleet.platform[1] = false;
    fleet.run(MAX_CONTACT_AGE + HEARTBEAT_INTERVAL * 2);
    assert_eq!([fleet.freshness(0), fleet.freshness(1)], [Freshness::CutOff; 2]);
    assert_eq!(fleet.freshness(2), Freshness::Fresh);
}

#[test]
fn freshness_resumed_instance_cut_off_until_contact() {
    let mut fleet = Fleet::new(5);
    let before = fleet.contacts[0].begin_round(fleet.now);
    fleet.running[0] = false;
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.freshness(0), Freshness::CutOff);
    fleet.contacts[0].begin_round(fleet.now);
    // Replies from before the pause waited in the socket and do not count as recent contact.
    for peer in 1..5 {
        let id = fleet.ids[peer].clone();
        fleet.contacts[0].record_heartbeat_reply(&id, before, Duration::ZERO);
    }
    assert_eq!(fleet.freshness(0), Freshness::CutOff);
    fleet.running[0] = true;
    fleet.run(HEARTBEAT_INTERVAL);
    assert_eq!(fleet.freshness(0), Freshness::Fresh);
}

#[test]
fn freshness_refusing_hosts_not_listed() {
    let mut fleet = Fleet::new(5);
    fleet.platform = vec![false; 5];
    fleet.running = vec![true, true, false, false, false];
    fleet.run(MAX_CONTACT_AGE * 2);
    assert_eq!(fleet.freshness(0), Freshness::CutOff);
    for stopped in 2..5 {
        let id = fleet.ids[stopped].clone();
        fleet.contacts[0].record_refused_connection(&id, fleet.now);
    }
    assert_eq!(fleet.freshness(0), Freshness::ServiceDown);
    fleet.run(MAX_CONTACT_AGE * 2);
    assert_eq!(fleet.freshness(0), Freshness::CutOff);
}

#[test]
fn freshness_new_process_cut_off_until_contact() {
    let contacts = Contacts::default();
    let now = Time::from_millis(50_000);
    let live = ids(3);
    assert_eq!(freshness_of(contacts.contact(&live[0], &live, now)), Freshness::CutOff);
}

#[test]
fn heartbeat_peers_bounded_and_stable() {
    let live = ids(960);
    let before = heartbeat_peers(&live[0], &live);
    assert_eq!(before.len(), MAX_HEARTBEAT_PEERS);
    assert!(!before.contains(&live[0]));
    let without: Vec<InstanceId> = live.iter().filter(|id| **id != before[3]).cloned().collect();
    let after = heartbeat_peers(&live[0], &without);
    assert_eq!(before.iter().filter(|id| after.contains(id)).count(), MAX_HEARTBEAT_PEERS - 1);
    let small = ids(9);
    assert_eq!(heartbeat_peers(&small[4], &small).len(), 8);
}
