//! Tests of the configuration's distribution with lost, late, repeated and unreadable messages.

use std::collections::BTreeSet;

use cardamomshore::{
    kernel::configuration::{OfferResult, Versions, WATCHER_COUNT, is_watcher},
    names::InstanceId,
    platform::{InstanceList, ListedInstance, ListedState},
};

use crate::matrix::{Protocol, run_all};

const INSTANCE_COUNT: usize = 5;

/// Instances of which the first two watch the record; the others learn of versions from peers.
struct Rollout {
    /// Version in the record, and whether it is readable.
    record: (u64, bool),
    /// Content of the record before the last write.
    stale: (u64, bool),
    instances: Vec<Versions>,
    /// Highest version that was in force in each process.
    highest_seen: Vec<u64>,
    /// Versions of the instances before the last round of pulls.
    previous: Vec<Versions>,
    /// Whether each instance runs.
    alive: Vec<bool>,
    /// Whether messages between instances are lost.
    push_lost: bool,
    /// Whether instances receive the versions of the previous round.
    push_late: bool,
    platform_down: bool,
    links_up: bool,
    /// Highest version that the platform's store accepted.
    accepted_version: u64,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The platform's store does not respond.
    PlatformDown,
    /// All instances read the content before the last write.
    StaleRead,
    /// One watcher reads the content before the last write.
    WatchGap,
    /// Versions from peers no longer arrive.
    PushLost,
    /// Versions from peers arrive one round late.
    PushLate,
    /// The first watcher stops.
    WatcherKilled,
    /// An instance restarts.
    NodeRestarted,
    /// All links between instances are cut.
    LinksCut,
    /// The watchers read a version that is unreadable.
    Unreadable,
    /// A further version is written.
    SecondApply,
}

impl Rollout {
    /// Lets one instance read the record; if `stale`, it reads the content before the last write.
    fn read(&mut self, index: usize, stale: bool) {
        if self.platform_down || !self.alive[index] {
            return;
        }
        let (version, readable) = if stale { self.stale } else { self.record };
        self.offer(index, version, readable);
    }

    /// Offers a version to an instance and checks the outcome.
    fn offer(&mut self, index: usize, version: u64, readable: bool) {
        if version == 0 || !self.instances[index].should_read(version) {
            return;
        }
        let before = self.instances[index].current;
        self.highest_seen[index] = self.highest_seen[index].max(before);
        let result = self.instances[index].offer(version, readable);
        assert_eq!(result == OfferResult::Applied, self.instances[index].current > before);
    }

    /// Lets every instance pull the highest version that its peers have.
    fn pull(&mut self) {
        if self.push_lost || !self.links_up {
            return;
        }
        let known = if self.push_late { self.previous.clone() } else { self.instances.clone() };
        let alive = self.alive.clone();
        for index in (0..INSTANCE_COUNT).filter(|index| alive[*index]) {
            let peers = (0..INSTANCE_COUNT).filter(|peer| *peer != index && alive[*peer]);
            let offers = peers.map(|peer| (name(peer), known[peer].current));
            if let Some(peer) = self.instances[index].best_source(offers.collect::<Vec<_>>()) {
                let version = known[position(&peer)].current;
                self.offer(index, version, true);
            }
        }
        self.previous = self.instances.clone();
    }

    /// Restarts an instance, which then knows no version.
    fn restart(&mut self, index: usize) {
        self.instances[index] = Versions::default();
        self.previous[index] = Versions::default();
        self.highest_seen[index] = 0;
    }

    /// Writes a newer version into the record.
    fn apply(&mut self) {
        self.stale = self.record;
        self.record = (self.record.0 + 1, true);
        self.accepted_version = self.record.0;
    }
}

fn name(index: usize) -> InstanceId {
    InstanceId::from(format!("i-{index}"))
}

fn position(id: &InstanceId) -> usize {
    (0..INSTANCE_COUNT).find(|index| name(*index) == *id).expect("an instance of the fleet")
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
            // Reads are linearizable: a response is no older than its request.
            stale: (3, true),
            instances: vec![old; INSTANCE_COUNT],
            highest_seen: vec![3; INSTANCE_COUNT],
            previous: vec![old; INSTANCE_COUNT],
            alive: vec![true; INSTANCE_COUNT],
            push_lost: false,
            push_late: false,
            platform_down: false,
            links_up: true,
            accepted_version: 3,
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
            1 if !self.platform_down => self.apply(),
            3 | 5 => self.pull(),
            _ => {}
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::PlatformDown => self.platform_down = true,
            Fault::StaleRead => (0..INSTANCE_COUNT).for_each(|index| self.read(index, true)),
            Fault::WatchGap => self.read(1, true),
            Fault::PushLost => self.push_lost = true,
            Fault::PushLate => self.push_late = true,
            Fault::WatcherKilled => self.alive[0] = false,
            Fault::NodeRestarted => self.restart(2),
            Fault::LinksCut => self.links_up = false,
            Fault::Unreadable => (0..2).for_each(|index| self.offer(index, 900, false)),
            Fault::SecondApply if !self.platform_down => self.apply(),
            Fault::SecondApply => {}
        }
    }

    fn check(&self) -> Result<(), String> {
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.current < self.highest_seen[index] {
                return Err(format!("instance {index} went back to version {}", instance.current));
            }
            if instance.current > self.accepted_version {
                return Err(format!(
                    "instance {index} applied version {}, which the store never accepted",
                    instance.current
                ));
            }
        }
        Ok(())
    }

    fn settle(&mut self) {
        (self.push_lost, self.push_late, self.links_up) = (false, false, true);
        self.alive = vec![true; INSTANCE_COUNT];
        // Without the platform, the peers alone bring every instance to the highest known version.
        self.pull();
        let highest = self.instances.iter().map(|instance| instance.current).max();
        assert!(self.instances.iter().all(|instance| Some(instance.current) == highest));
        self.platform_down = false;
        (0..INSTANCE_COUNT).for_each(|index| self.read(index, true));
        self.read(0, false);
        self.read(1, false);
        self.pull();
    }

    fn check_settled(&self) -> Result<(), String> {
        let versions: BTreeSet<u64> =
            self.instances.iter().map(|instance| instance.current).collect();
        let all_equal = versions == BTreeSet::from([self.accepted_version]);
        if all_equal { Ok(()) } else { Err(format!("versions in force: {versions:?}")) }
    }
}

#[test]
fn matrix_configuration() {
    run_all::<Rollout>();
}

#[test]
fn offer_lower_and_unreadable_keep_the_version() {
    let mut versions = Versions { current: 7, unreadable: 0 };
    assert_eq!(versions.offer(6, true), OfferResult::NotNewer);
    assert_eq!(versions.offer(7, true), OfferResult::NotNewer);
    assert_eq!(versions.offer(8, false), OfferResult::Unreadable);
    assert_eq!((versions.current, versions.should_read(8)), (7, false));
    assert_eq!(versions.offer(9, true), OfferResult::Applied);
}

#[test]
fn is_watcher_few_per_data_centre() {
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
