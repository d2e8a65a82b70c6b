//! A request that crashes endpoints costs two of them, and others are not mistaken for it.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::suspect::{CrashId, RunMode, StartDecision, Suspects, decide_start, replica_index},
};

use crate::matrix::{Protocol, run_all};

/// A crash at which other requests ran too.
const COMPANY: CrashId = CrashId(2);

/// A crash at which a suspect ran alone.
const ALONE: CrashId = CrashId(5);

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

#[test]
fn judge_by_crashes() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.run_mode(7, at(1)), RunMode::Shared);
    assert!(suspects.record_crashes(7, [COMPANY], at(1)));
    assert_eq!(suspects.run_mode(7, at(1)), RunMode::Alone);
    assert!(!suspects.record_crashes(7, [COMPANY], at(2)), "one crash, reported twice");
    assert_eq!(suspects.run_mode(7, at(2)), RunMode::Alone);
    assert!(suspects.record_crashes(7, [ALONE], at(2)));
    assert_eq!(suspects.run_mode(7, at(2)), RunMode::Refuse);
    assert_eq!(suspects.run_mode(8, at(2)), RunMode::Shared);
}

#[test]
fn judge_crashes_in_company() {
    let mut suspects = Suspects::default();
    suspects.record_crashes(7, [COMPANY, CrashId(4)], at(1));
    assert_eq!(suspects.run_mode(7, at(1)), RunMode::Alone, "a rack failed, which proves nothing");
    suspects.record_crashes(7, [CrashId(6)], at(1));
    assert_eq!(suspects.run_mode(7, at(1)), RunMode::Refuse);
}

#[test]
fn note_one_crash_as_alone_and_not() {
    let mut suspects = Suspects::default();
    assert!(suspects.record_crashes(7, [ALONE], at(1)));
    assert!(!suspects.record_crashes(7, [CrashId(4)], at(1)), "the same crash, told with less");
    assert_eq!(suspects.run_mode(7, at(1)), RunMode::Alone);
    assert!(suspects.record_crashes(8, [CrashId(4)], at(1)));
    assert!(suspects.record_crashes(8, [ALONE], at(1)), "the same crash, told with more");
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
fn judge_expired() {
    let mut suspects = Suspects::default();
    suspects.record_crashes(7, [COMPANY, ALONE], at(1));
    assert_eq!(suspects.run_mode(7, at(500)), RunMode::Refuse);
    assert_eq!(suspects.run_mode(7, at(700)), RunMode::Shared);
}

#[test]
fn acquit_after_whole_answer() {
    let mut suspects = Suspects::default();
    suspects.record_crashes(7, [COMPANY], at(1));
    suspects.clear(7);
    assert_eq!(suspects.run_mode(7, at(1)), RunMode::Shared);
}

#[test]
fn note_bounded() {
    let mut suspects = Suspects::default();
    for print in 1..10_000 {
        suspects.record_crashes(print, [CrashId(print << 1)], at(1) + Duration::from_millis(print));
    }
    let known = (1..10_000).filter(|print| suspects.run_mode(*print, at(2)) != RunMode::Shared);
    assert!(known.count() <= 1_024);
    assert_eq!(suspects.run_mode(9_999, at(11)), RunMode::Alone, "the latest is kept");
    assert!(suspects.recent(at(11)).len() <= 16);
}

#[test]
fn news_ends() {
    let mut suspects = Suspects::default();
    suspects.record_crashes(7, [COMPANY], at(1));
    assert_eq!(suspects.recent(at(2)), vec![(7, vec![COMPANY])]);
    assert!(suspects.recent(at(60)).is_empty());
}

#[test]
fn gate_alone() {
    assert_eq!(decide_start(RunMode::Shared, 5, false), StartDecision::Start);
    assert_eq!(decide_start(RunMode::Shared, 1, true), StartDecision::Wait);
    assert_eq!(decide_start(RunMode::Alone, 1, false), StartDecision::Wait);
    assert_eq!(decide_start(RunMode::Alone, 0, false), StartDecision::Start);
    assert_eq!(decide_start(RunMode::Refuse, 0, false), StartDecision::Refuse);
}

#[test]
fn place_part_of_the_copies() {
    let used: std::collections::BTreeSet<usize> =
        (0..1_000).map(|p| replica_index(p, 20)).collect();
    assert_eq!(used.len(), 5);
    assert_eq!(replica_index(123, 1), 0);
}

/// The request that crashes what runs it.
const POISON: u64 = 1;

/// Endpoints, each with its steward.
const ENDPOINTS: u64 = 4;

#[derive(Default)]
struct Endpoint {
    incarnation: u64,
    flights: Vec<u64>,
    alone: bool,
}

/// A fleet to which the poison is sent again and again, each step at another instance.
struct Fleet {
    now: u64,
    endpoints: Vec<Endpoint>,
    known: Vec<Suspects>,
    by_poison: BTreeMap<u64, u32>,
    others: u64,
    mixed: bool,
    news_lost: bool,
    /// What the entry instance learnt from the last steward's answer.
    carried: Vec<CrashId>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    OtherCrash,
    NewsTwice,
    NewsLost,
    Busy,
    StewardReplaced,
}

impl Fleet {
    fn now(&self) -> Time {
        at(100 + self.now)
    }

    /// Starts a request at an endpoint like its steward does.
    fn start(&mut self, at: usize, print: u64) -> StartDecision {
        let now = self.now();
        let carried = std::mem::take(&mut self.carried);
        self.known[at].record_crashes(print, carried, now);
        let verdict = self.known[at].run_mode(print, now);
        let endpoint = &mut self.endpoints[at];
        let gate = decide_start(verdict, endpoint.flights.len() as u32, endpoint.alone);
        if gate == StartDecision::Start {
            endpoint.alone = verdict == RunMode::Alone;
            endpoint.flights.push(print);
            self.mixed |= endpoint.alone && endpoint.flights.len() > 1;
        }
        gate
    }

    fn crash(&mut self, at: usize) {
        let now = self.now();
        let endpoint = &mut self.endpoints[at];
        let name = format!("engine-{at}").as_str().into();
        let id = CrashId::of(&name, endpoint.incarnation, endpoint.alone);
        endpoint.incarnation += 1;
        endpoint.alone = false;
        for print in std::mem::take(&mut endpoint.flights) {
            if print == POISON {
                *self.by_poison.entry(POISON).or_default() += 1;
            }
            self.known[at].record_crashes(print, [id], now);
        }
    }

    /// Lets all that runs end, and what waited alone start.
    fn finish(&mut self, at: usize) {
        self.endpoints[at].flights.clear();
        self.endpoints[at].alone = false;
    }

    fn spread(&mut self) {
        let now = self.now();
        let news: Vec<_> = self.known.iter().flat_map(|known| known.recent(now)).collect();
        for (print, crashes) in news {
            for known in &mut self.known {
                known.record_crashes(print, crashes.iter().copied(), now);
            }
        }
    }

    fn resend(&mut self, at: usize) {
        if self.start(at, POISON) == StartDecision::Wait {
            self.finish(at);
            self.start(at, POISON);
        }
        if self.endpoints[at].flights.contains(&POISON) {
            self.crash(at);
        }
        self.carried = self.known[at].crashes(POISON, self.now()).to_vec();
    }
}

impl Protocol for Fleet {
    type Fault = Fault;

    const NAME: &'static str = "suspect";
    const STEPS: &'static [&'static str] =
        &["sent", "retried", "resent", "resent elsewhere", "resent again", "resent once more"];
    const FAULTS: &'static [Fault] = &[
        Fault::OtherCrash,
        Fault::NewsTwice,
        Fault::NewsLost,
        Fault::Busy,
        Fault::StewardReplaced,
    ];

    fn start() -> Self {
        Self {
            now: 0,
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            known: (0..ENDPOINTS).map(|_| Suspects::default()).collect(),
            by_poison: BTreeMap::new(),
            others: 100,
            mixed: false,
            news_lost: false,
            carried: Vec::new(),
        }
    }

    fn begin(&mut self, _: usize) {
        self.now += 1;
    }

    fn end(&mut self, step: usize) {
        self.resend(step % ENDPOINTS as usize);
        if !std::mem::take(&mut self.news_lost) {
            self.spread();
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::OtherCrash => self.crash(3),
            Fault::NewsTwice => {
                self.spread();
                self.spread();
            }
            // The retry of the same caller's request carries the news by itself.
            Fault::NewsLost => self.news_lost = self.by_poison.is_empty(),
            Fault::Busy => {
                self.others += 1;
                let other = self.others;
                let carried = std::mem::take(&mut self.carried);
                for at in 0..self.endpoints.len() {
                    self.start(at, other);
                }
                self.carried = carried;
            }
            Fault::StewardReplaced => self.known[0] = self.known[1].clone(),
        }
    }

    fn check(&self) -> Result<(), String> {
        let lost = self.by_poison.get(&POISON).copied().unwrap_or(0);
        if lost > 2 {
            return Err(format!("{lost} endpoints lost to one request"));
        }
        if self.mixed { Err("a suspect did not run alone".to_owned()) } else { Ok(()) }
    }

    fn settle(&mut self) {
        for at in 0..self.endpoints.len() {
            self.finish(at);
        }
        self.spread();
    }

    fn check_settled(&self) -> Result<(), String> {
        let now = self.now();
        let refused = self.known.iter().all(|known| known.run_mode(POISON, now) == RunMode::Refuse);
        if !refused {
            return Err("the poison would run again".to_owned());
        }
        let innocent = (101..=self.others).all(|print| {
            self.known.iter().all(|known| known.run_mode(print, now) != RunMode::Refuse)
        });
        if innocent { Ok(()) } else { Err("another request is refused".to_owned()) }
    }
}

#[test]
fn matrix_suspect() {
    run_all::<Fleet>();
}
