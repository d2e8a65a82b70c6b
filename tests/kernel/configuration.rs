//! Versions of the configuration under lost, late, repeated and unreadable messages.

use std::collections::BTreeSet;

use cardamomshore::{
    kernel::configuration::{Offer, Versions, WATCHER_COUNT, is_watcher},
    names::InstanceId,
    platform::{InstanceList, ListedInstance, ListedState},
};

use crate::matrix::{Protocol, run_all};

const COUNT: usize = 5;

/// Instances of which the first two watch the record; the others hear from peers.
struct Rollout {
    record: (u64, bool),
    stale: (u64, bool),
    nodes: Vec<Versions>,
    /// Highest version of each process.
    floor: Vec<u64>,
    past: Vec<Versions>,
    alive: Vec<bool>,
    lost: bool,
    late: bool,
    down: bool,
    linked: bool,
    accepted: u64,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    PlatformDown,
    StaleRead,
    WatchGap,
    PushLost,
    PushLate,
    WatcherKilled,
    NodeRestarted,
    LinksCut,
    Unreadable,
    SecondApply,
}

impl Rollout {
    /// One instance reads the record; `stale` gives it an answer from before the last write.
    fn read(&mut self, index: usize, stale: bool) {
        if self.down || !self.alive[index] {
            return;
        }
        let (version, readable) = if stale { self.stale } else { self.record };
        self.offer(index, version, readable);
    }

    fn offer(&mut self, index: usize, version: u64, readable: bool) {
        if version == 0 || !self.nodes[index].should_read(version) {
            return;
        }
        let before = self.nodes[index].current;
        self.floor[index] = self.floor[index].max(before);
        let offer = self.nodes[index].offer(version, readable);
        assert_eq!(offer == Offer::Take, self.nodes[index].current > before);
    }

    /// Every instance pulls the highest version that it hears of.
    fn pull(&mut self) {
        if self.lost || !self.linked {
            return;
        }
        let known = if self.late { self.past.clone() } else { self.nodes.clone() };
        let alive = self.alive.clone();
        for index in (0..COUNT).filter(|index| alive[*index]) {
            let peers = (0..COUNT).filter(|peer| *peer != index && alive[*peer]);
            let said = peers.map(|peer| (name(peer), known[peer].current));
            if let Some(peer) = self.nodes[index].best_source(said.collect::<Vec<_>>()) {
                let held = known[position(&peer)].current;
                self.offer(index, held, true);
            }
        }
        self.past = self.nodes.clone();
    }

    fn restart(&mut self, index: usize) {
        self.nodes[index] = Versions::default();
        self.past[index] = Versions::default();
        self.floor[index] = 0;
    }

    fn apply(&mut self) {
        self.stale = self.record;
        self.record = (self.record.0 + 1, true);
        self.accepted = self.record.0;
    }
}

fn name(index: usize) -> InstanceId {
    InstanceId::from(format!("i-{index}"))
}

fn position(id: &InstanceId) -> usize {
    (0..COUNT).find(|index| name(*index) == *id).expect("a node")
}

impl Protocol for Rollout {
    type Fault = Fault;

    const NAME: &'static str = "configuration";
    const STEPS: &'static [&'static str] =
        &["apply", "written", "first watcher", "push", "in force on all", "read on start"];
    const FAULTS: &'static [Fault] = &[
        Fault::PlatformDown,
        Fault::StaleRead,
        Fault::WatchGap,
        Fault::PushLost,
        Fault::PushLate,
        Fault::WatcherKilled,
        Fault::NodeRestarted,
        Fault::LinksCut,
        Fault::Unreadable,
        Fault::SecondApply,
    ];

    fn start() -> Self {
        let old = Versions { current: 3, unreadable: 0 };
        Self {
            record: (3, true),
            // Reads are linearizable: an answer is no older than its ask.
            stale: (3, true),
            nodes: vec![old; COUNT],
            floor: vec![3; COUNT],
            past: vec![old; COUNT],
            alive: vec![true; COUNT],
            lost: false,
            late: false,
            down: false,
            linked: true,
            accepted: 3,
        }
    }

    fn begin(&mut self, step: usize) {
        match step {
            0 | 1 => {}
            2 => self.read(0, false),
            3 => self.pull(),
            4 => (0..2).for_each(|index| self.read(index, false)),
            _ => self.restart(4),
        }
    }

    fn end(&mut self, step: usize) {
        match step {
            1 if !self.down => self.apply(),
            3 | 5 => self.pull(),
            _ => {}
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::PlatformDown => self.down = true,
            Fault::StaleRead => (0..COUNT).for_each(|index| self.read(index, true)),
            Fault::WatchGap => self.read(1, true),
            Fault::PushLost => self.lost = true,
            Fault::PushLate => self.late = true,
            Fault::WatcherKilled => self.alive[0] = false,
            Fault::NodeRestarted => self.restart(2),
            Fault::LinksCut => self.linked = false,
            Fault::Unreadable => (0..2).for_each(|index| self.offer(index, 900, false)),
            Fault::SecondApply if !self.down => self.apply(),
            Fault::SecondApply => {}
        }
    }

    fn check(&self) -> Result<(), String> {
        for (index, node) in self.nodes.iter().enumerate() {
            if node.current < self.floor[index] {
                return Err(format!("instance {index} went back to {}", node.current));
            }
            if node.current > self.accepted {
                return Err(format!("instance {index} took {}", node.current));
            }
        }
        Ok(())
    }

    fn settle(&mut self) {
        (self.lost, self.late, self.linked) = (false, false, true);
        self.alive = vec![true; COUNT];
        // Peers alone bring every instance to the highest version that any of them has.
        self.pull();
        let highest = self.nodes.iter().map(|node| node.current).max();
        assert!(self.nodes.iter().all(|node| Some(node.current) == highest));
        self.down = false;
        (0..COUNT).for_each(|index| self.read(index, true));
        self.read(0, false);
        self.read(1, false);
        self.pull();
    }

    fn check_settled(&self) -> Result<(), String> {
        let versions: BTreeSet<u64> = self.nodes.iter().map(|node| node.current).collect();
        let ok = versions == BTreeSet::from([self.accepted]);
        if ok { Ok(()) } else { Err(format!("in force: {versions:?}")) }
    }
}

#[test]
fn matrix_configuration() {
    run_all::<Rollout>();
}

#[test]
fn offer_lower_and_unreadable_keep_the_version() {
    let mut versions = Versions { current: 7, unreadable: 0 };
    assert_eq!(versions.offer(6, true), Offer::Old);
    assert_eq!(versions.offer(7, true), Offer::Old);
    assert_eq!(versions.offer(8, false), Offer::Unreadable);
    assert_eq!((versions.current, versions.should_read(8)), (7, false));
    assert_eq!(versions.offer(9, true), Offer::Take);
}

#[test]
fn watches_few_per_data_centre() {
    let instances = (0..40).map(|index| ListedInstance {
        id: name(index),
        data_centre: if index < 30 { "dc-a".into() } else { "dc-b".into() },
        listen: "127.0.0.1:1".parse().expect("an address"),
        peer: "127.0.0.1:2".parse().expect("an address"),
        state: ListedState::Live,
    });
    let list = InstanceList { instances: instances.collect(), endpoints: Vec::new() };
    for data_centre in ["dc-a", "dc-b"] {
        let own = list.instances.iter().filter(|i| i.data_centre.as_str() == data_centre);
        let watchers = own.filter(|i| is_watcher(&i.id, &i.data_centre, &list)).count();
        assert_eq!(watchers, WATCHER_COUNT);
    }
}
