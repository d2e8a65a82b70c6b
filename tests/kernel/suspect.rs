//! Tests that a request that crashes endpoints costs at most two of them, and that no other request
//! is refused in its place.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use cardamomshore::{
    clock::Time,
    kernel::suspect::{CrashId, RunMode, StartDecision, Suspects, decide_start, replica_index},
    names::EndpointId,
};

use crate::matrix::{Protocol, run_all};

/// A crash at which other requests were running as well.
const SHARED: CrashId = CrashId(2);

/// A crash at which a suspect was running alone.
const ALONE: CrashId = CrashId(5);

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

#[test]
fn run_mode_by_crashes() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.run_mode(7, at(1)), RunMode::Shared);
    assert!(suspects.record_crashes(7, [SHARED], at(1)));
    assert_eq!(suspects.run_mode(7, at(1)), RunMode::Alone);
    assert!(!suspects.record_crashes(7, [SHARED], at(2)), "one crash, reported twice");
    assert_eq!(suspects.run_mode(7, at(2)), RunMode::Alone);
    assert!(suspects.record_crashes(7, [ALONE], at(2)));
    assert_eq!(suspects.run_mode(7, at(2)), RunMode::Refuse);
    assert_eq!(suspects.run_mode(8, at(2)), RunMode::Shared);
}

#[test]
fn run_mode_shared_crashes() {
    let mut suspects = Suspects::default();
    suspects.record_crashes(7, [SHARED, CrashId(4)], at(1));
    assert_eq!(
        suspects.run_mode(7, at(1)),
        RunMode::Alone,
        "crashes of several endpoints together, as when a rack fails, prove nothing"
    );
    suspects.record_crashes(7, [CrashId(6)], at(1));
    assert_eq!(suspects.run_mode(7, at(1)), RunMode::Refuse);
}

#[test]
fn record_crashes_same_crash_alone_and_shared() {
    let mut suspects = Suspects::default();
    assert!(suspects.record_crashes(7, [ALONE], at(1)));
    assert!(
        !suspects.record_crashes(7, [CrashId(4)], at(1)),
        "the same crash, reported without the bit for alone"
    );
    assert_eq!(suspects.run_mode(7, at(1)), RunMode::Alone);
    assert!(suspects.record_crashes(8, [CrashId(4)], at(1)));
    assert!(
        suspects.record_crashes(8, [ALONE], at(1)),
        "the same crash, reported with the bit for alone"
    );
    assert_eq!(suspects.crashes(8, at(1)), [ALONE]);
}

#[test]
fn crash_id_of_endpoint_and_incarnation() {
    let of = |name: &str, incarnation| CrashId::of(&name.into(), incarnation, false);
    assert_eq!(of("a", 1), of("a", 1));
    assert_ne!(of("a", 1), of("a", 2));
    assert_ne!(of("a", 1), of("b", 1));
    assert_ne!(of("a", 1), CrashId::of(&"a".into(), 1, true));
}

#[test]
fn run_mode_expired() {
    let mut suspects = Suspects::default();
    suspects.record_crashes(7, [SHARED, ALONE], at(1));
    assert_eq!(suspects.run_mode(7, at(500)), RunMode::Refuse);
    assert_eq!(suspects.run_mode(7, at(700)), RunMode::Shared);
}

#[test]
fn clear_after_complete_response() {
    let mut suspects = Suspects::default();
    suspects.record_crashes(7, [SHARED], at(1));
    suspects.clear(7);
    assert_eq!(suspects.run_mode(7, at(1)), RunMode::Shared);
}

#[test]
fn record_crashes_bounded() {
    let mut suspects = Suspects::default();
    for fingerprint in 1..10_000 {
        suspects.record_crashes(
            fingerprint,
            [CrashId(fingerprint << 1)],
            at(1) + Duration::from_millis(fingerprint),
        );
    }
    let suspected =
        (1..10_000).filter(|fingerprint| suspects.run_mode(*fingerprint, at(2)) != RunMode::Shared);
    assert!(suspected.count() <= 1_024);
    assert_eq!(suspects.run_mode(9_999, at(11)), RunMode::Alone, "the latest is kept");
    assert!(suspects.recent(at(11)).len() <= 16);
}

#[test]
fn recent_expires() {
    let mut suspects = Suspects::default();
    suspects.record_crashes(7, [SHARED], at(1));
    assert_eq!(suspects.recent(at(2)), vec![(7, vec![SHARED])]);
    assert!(suspects.recent(at(60)).is_empty());
}

#[test]
fn decide_start_alone() {
    assert_eq!(decide_start(RunMode::Shared, 5, false), StartDecision::Start);
    assert_eq!(decide_start(RunMode::Shared, 1, true), StartDecision::Wait);
    assert_eq!(decide_start(RunMode::Alone, 1, false), StartDecision::Wait);
    assert_eq!(decide_start(RunMode::Alone, 0, false), StartDecision::Start);
    assert_eq!(decide_start(RunMode::Refuse, 0, false), StartDecision::Refuse);
}

#[test]
fn replica_index_fraction_of_replicas() {
    let indices: std::collections::BTreeSet<usize> =
        (0..1_000).map(|fingerprint| replica_index(fingerprint, 20)).collect();
    assert_eq!(indices.len(), 5);
    assert_eq!(replica_index(123, 1), 0);
}

/// Fingerprint of the request that crashes every endpoint on which it runs.
const POISON: u64 = 1;

/// Number of endpoints, each with a steward of its own.
const ENDPOINTS: u64 = 4;

#[derive(Default)]
struct Endpoint {
    incarnation: u64,
    /// Fingerprints of the running requests.
    running: Vec<u64>,
    /// Whether a suspect is running alone.
    alone: bool,
}

/// A fleet to which the request that crashes endpoints is sent repeatedly, in each step to another
/// steward.
struct Fleet {
    clock: u64,
    endpoints: Vec<Endpoint>,
    /// The suspects that each steward knows.
    steward_suspects: Vec<Suspects>,
    /// Number of crashes that the request caused, by its fingerprint.
    poison_crashes: BTreeMap<u64, u32>,
    /// Fingerprint of the latest harmless request; the first one is 101.
    last_other: u64,
    /// Whether another request ran beside a suspect that must run alone.
    ran_shared: bool,
    /// Whether the heartbeats at the end of this step are lost.
    heartbeat_lost: bool,
    /// Crashes that the entry instance learnt from the last steward's response.
    attempt_crashes: Vec<CrashId>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// An endpoint crashes for another reason.
    OtherCrash,
    /// The heartbeats arrive twice.
    HeartbeatTwice,
    /// The heartbeats at the end of the step are lost, if the request has crashed no endpoint yet.
    HeartbeatLost,
    /// A harmless request starts at every endpoint.
    Busy,
    /// A steward is replaced by one that knows the suspects of another instance.
    StewardReplaced,
}

impl Fleet {
    fn now(&self) -> Time {
        at(100 + self.clock)
    }

    /// Starts a request at an endpoint as its steward does.
    fn start(&mut self, index: usize, fingerprint: u64) -> StartDecision {
        let now = self.now();
        let attempt_crashes = std::mem::take(&mut self.attempt_crashes);
        self.steward_suspects[index].record_crashes(fingerprint, attempt_crashes, now);
        let mode = self.steward_suspects[index].run_mode(fingerprint, now);
        let endpoint = &mut self.endpoints[index];
        let decision = decide_start(mode, endpoint.running.len() as u32, endpoint.alone);
        if decision == StartDecision::Start {
            endpoint.alone = mode == RunMode::Alone;
            endpoint.running.push(fingerprint);
            self.ran_shared |= endpoint.alone && endpoint.running.len() > 1;
        }
        decision
    }

    /// Crashes an endpoint; its steward records the running requests as suspects.
    fn crash(&mut self, index: usize) {
        let now = self.now();
        let endpoint = &mut self.endpoints[index];
        let name = format!("engine-{index}").as_str().into();
        let id = CrashId::of(&name, endpoint.incarnation, endpoint.alone);
        endpoint.incarnation += 1;
        endpoint.alone = false;
        for fingerprint in std::mem::take(&mut endpoint.running) {
            if fingerprint == POISON {
                *self.poison_crashes.entry(POISON).or_default() += 1;
            }
            self.steward_suspects[index].record_crashes(fingerprint, [id], now);
        }
    }

    /// Ends all running requests at an endpoint.
    fn finish(&mut self, index: usize) {
        self.endpoints[index].running.clear();
        self.endpoints[index].alone = false;
    }

    /// Sends every steward's recent suspects to all stewards, as heartbeats do.
    fn exchange_suspects(&mut self) {
        let now = self.now();
        let recent: Vec<_> =
            self.steward_suspects.iter().flat_map(|suspects| suspects.recent(now)).collect();
        for (fingerprint, crashes) in recent {
            for suspects in &mut self.steward_suspects {
                suspects.record_crashes(fingerprint, crashes.iter().copied(), now);
            }
        }
    }

    /// Sends the request to a steward; it crashes the endpoint if the steward starts it.
    fn send_poison(&mut self, index: usize) {
        if self.start(index, POISON) == StartDecision::Wait {
            self.finish(index);
            self.start(index, POISON);
        }
        if self.endpoints[index].running.contains(&POISON) {
            self.crash(index);
        }
        self.attempt_crashes = self.steward_suspects[index].crashes(POISON, self.now()).to_vec();
    }
}

impl Protocol for Fleet {
    type Fault = Fault;

    const NAME: &'static str = "suspect";
    const STEPS: &'static [&'static str] =
        &["sent", "retried", "resent", "resent elsewhere", "resent again", "resent once more"];
    const FAULTS: &'static [Fault] = &[
        Fault::OtherCrash,
        Fault::HeartbeatTwice,
        Fault::HeartbeatLost,
        Fault::Busy,
        Fault::StewardReplaced,
    ];

    fn start() -> Self {
        Self {
            clock: 0,
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            steward_suspects: (0..ENDPOINTS).map(|_| Suspects::default()).collect(),
            poison_crashes: BTreeMap::new(),
            last_other: 100,
            ran_shared: false,
            heartbeat_lost: false,
            attempt_crashes: Vec::new(),
        }
    }

    fn begin(&mut self, _: usize) {
        self.clock += 1;
    }

    fn end(&mut self, step: usize) {
        self.send_poison(step % ENDPOINTS as usize);
        if !std::mem::take(&mut self.heartbeat_lost) {
            self.exchange_suspects();
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::OtherCrash => self.crash(3),
            Fault::HeartbeatTwice => {
                self.exchange_suspects();
                self.exchange_suspects();
            }
            // A retry of the caller's request carries the known crashes itself, so the loss of
            // heartbeats matters only until the first crash.
            Fault::HeartbeatLost => self.heartbeat_lost = self.poison_crashes.is_empty(),
            Fault::Busy => {
                self.last_other += 1;
                let other = self.last_other;
                let attempt_crashes = std::mem::take(&mut self.attempt_crashes);
                for index in 0..self.endpoints.len() {
                    self.start(index, other);
                }
                self.attempt_crashes = attempt_crashes;
            }
            Fault::StewardReplaced => self.steward_suspects[0] = self.steward_suspects[1].clone(),
        }
    }

    fn check(&self) -> Result<(), String> {
        let lost = self.poison_crashes.get(&POISON).copied().unwrap_or(0);
        if lost > 2 {
            return Err(format!("{lost} endpoints crashed under one request"));
        }
        if self.ran_shared {
            Err("a suspect ran beside another request".to_owned())
        } else {
            Ok(())
        }
    }

    fn settle(&mut self) {
        for index in 0..self.endpoints.len() {
            self.finish(index);
        }
        self.exchange_suspects();
    }

    fn check_settled(&self) -> Result<(), String> {
        let now = self.now();
        let refused = self
            .steward_suspects
            .iter()
            .all(|suspects| suspects.run_mode(POISON, now) == RunMode::Refuse);
        if !refused {
            return Err("the request that crashes endpoints would run again".to_owned());
        }
        let others_allowed = (101..=self.last_other).all(|fingerprint| {
            self.steward_suspects
                .iter()
                .all(|suspects| suspects.run_mode(fingerprint, now) != RunMode::Refuse)
        });
        if others_allowed { Ok(()) } else { Err("another request is refused".to_owned()) }
    }
}

#[test]
fn matrix_suspect() {
    run_all::<Fleet>();
}

#[test]
fn crash_id_short_names_differ() {
    let mut ids = HashSet::new();
    for (name, incarnation) in (0..40).flat_map(|name| (1..40).map(move |number| (name, number))) {
        let endpoint = EndpointId::from(&*format!("e{name:02}"));
        assert!(ids.insert(CrashId::of(&endpoint, incarnation, false)), "e{name:02} {incarnation}");
    }
}
