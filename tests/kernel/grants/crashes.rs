//! Requests that crash the engines which run them.

use std::{sync::Arc, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::grants::{
        Action, EndpointEntry, GrantRequest, Incarnation, Mode, ModelWork, Outcome, Reason,
        Scheduler,
    },
};

use super::fleet::{
    LEADING, START, deliver_reports, engine, granted, key, model_request, refused, scheduler,
};

/// Part of a prompt that crashes each engine.
const FATAL_PART: u64 = 0xfa;

/// First part of all prompts.
const FIRST_PART: u64 = 0x01;

/// A part that crashes nothing.
const SOUND_PART: u64 = 0x20;

/// Engines of the fleet.
const ENGINES: u32 = 12;

/// Requests with the part that may still reach engines once it has crashed five of them.
const MAX_RUNS: u32 = 5 + 3;

fn entries() -> Vec<EndpointEntry> {
    (0..ENGINES).map(|n| engine(&format!("e{n:02}"), &["m0"])).collect()
}

/// Returns a request whose prompt has these parts and a last one of its own.
fn request(number: u64, parts: &[u64], now: Time) -> GrantRequest {
    let request = model_request("m0", 300, now);
    let parts = parts.iter().copied().chain([0x1000 + number]);
    let work = ModelWork {
        parts: parts.map(|part| (part, 100)).collect(),
        ..request.work.clone().expect("a model request")
    };
    GrantRequest { fingerprint: 0x9000 + number, work: Some(work), ..request }
}

/// A fleet whose engines crash, and come back at once as new incarnations.
struct Fleet {
    scheduler: Scheduler,
    entries: Vec<EndpointEntry>,
    now: Time,
    number: u64,
}

/// A request that was granted.
struct Run {
    number: u64,
    endpoint: Arc<str>,
}

impl Fleet {
    fn new() -> Self {
        Self::with_engines(entries())
    }

    fn with_engines(entries: Vec<EndpointEntry>) -> Self {
        Self { scheduler: scheduler(LEADING, entries.clone()), entries, now: START, number: 0 }
    }

    /// Submits a request; returns its run, unless it waits or is refused.
    fn submit(&mut self, parts: &[u64]) -> Option<Run> {
        self.now = self.now + Duration::from_millis(100);
        self.number += 1;
        let request = request(self.number, parts, self.now);
        let actions = self.scheduler.handle_request(key(self.number), request, self.now);
        let endpoint = granted(&actions)?.endpoint.clone();
        Some(Run { number: self.number, endpoint })
    }

    /// Submits a request that must be granted.
    fn run(&mut self, parts: &[u64]) -> Run {
        self.submit(parts).expect("the request is granted")
    }

    fn end(&mut self, run: &Run, outcome: Outcome) -> Vec<Action> {
        self.scheduler.handle_outcome(&key(run.number), outcome, self.now)
    }

    /// Ends runs by a crash of their endpoint, which restarts.
    fn crash(&mut self, runs: &[Run]) {
        for run in runs {
            self.end(run, Outcome::Broke);
        }
        let crashed = &runs[0].endpoint;
        for entry in self.entries.iter_mut().filter(|entry| entry.id == *crashed) {
            entry.incarnation = Incarnation(entry.incarnation.0 + 1);
        }
        self.scheduler.set_endpoints(self.entries.clone(), self.now);
    }

    /// Lets requests with these parts crash as many engines as they can; returns how many reached an
    /// engine.
    fn crash_repeatedly(&mut self, parts: &[u64]) -> u32 {
        let mut runs = 0;
        for _ in 0..40 {
            if let Some(run) = self.submit(parts) {
                runs += 1;
                self.crash(&[run]);
            }
        }
        runs
    }

    /// Returns why the next request with these parts is refused, if it is.
    fn refusal(&mut self, parts: &[u64]) -> Option<Reason> {
        self.number += 1;
        let request = request(self.number, parts, self.now);
        let actions = self.scheduler.handle_request(key(self.number), request, self.now);
        refused(&actions).map(|refusal| refusal.reason)
    }
}

#[test]
fn prompt_part_crashing_engines_refused() {
    let mut fleet = Fleet::new();
    let mut runs = 0;
    for round in 0..40 {
        if let Some(run) = fleet.submit(&[FIRST_PART, FATAL_PART]) {
            runs += 1;
            fleet.crash(&[run]);
        }
        let sound = fleet.run(&[FIRST_PART, 0x20 + round % 3]);
        fleet.end(&sound, Outcome::Whole);
    }
    assert!(runs <= MAX_RUNS, "{runs} requests with the part reached engines");
}

#[test]
fn prompt_part_beside_first_part_alone_is_tried() {
    let mut fleet = Fleet::new();
    let runs = fleet.crash_repeatedly(&[FIRST_PART, FATAL_PART]);
    assert!(runs <= MAX_RUNS, "{runs} requests with both parts reached engines");
    let trial = fleet.run(&[FIRST_PART, SOUND_PART]);
    assert!(fleet.submit(&[FIRST_PART, SOUND_PART]).is_none(), "one trial at a time");
    fleet.end(&trial, Outcome::Whole);
    for _ in 0..5 {
        let sound = fleet.run(&[FIRST_PART, SOUND_PART]);
        fleet.end(&sound, Outcome::Whole);
    }
    assert_eq!(fleet.refusal(&[0x77, FATAL_PART]), Some(Reason::Crashes));
}

#[test]
fn prompt_part_waits_for_trial_then_granted() {
    let mut fleet = Fleet::new();
    fleet.crash_repeatedly(&[FIRST_PART, FATAL_PART]);
    let trial = fleet.run(&[FIRST_PART, SOUND_PART]);
    assert!(fleet.submit(&[FIRST_PART, SOUND_PART]).is_none());
    let actions = fleet.end(&trial, Outcome::Whole);
    assert!(granted(&actions).is_some(), "the trial has cleared the part");
}

#[test]
fn prompt_part_tried_again_after_a_while() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        let run = fleet.run(&[FATAL_PART]);
        fleet.crash(&[run]);
    }
    assert_eq!(fleet.refusal(&[FATAL_PART]), Some(Reason::Crashes));
    fleet.now = fleet.now + Duration::from_secs(2);
    let trial = fleet.run(&[FATAL_PART]);
    fleet.crash(&[trial]);
    fleet.now = fleet.now + Duration::from_secs(2);
    assert_eq!(fleet.refusal(&[FATAL_PART]), Some(Reason::Crashes), "the backoff has grown");
    fleet.now = fleet.now + Duration::from_secs(8);
    let trial = fleet.run(&[FATAL_PART]);
    fleet.end(&trial, Outcome::Whole);
    fleet.run(&[FATAL_PART]);
    fleet.run(&[FATAL_PART]);
}

#[test]
fn prompt_part_within_minutes_crashes_few_engines() {
    let mut fleet = Fleet::new();
    let mut times = Vec::new();
    for _ in 0..6_000 {
        if let Some(run) = fleet.submit(&[FIRST_PART, FATAL_PART]) {
            times.push(fleet.now);
            fleet.crash(&[run]);
        }
        let sound = fleet.run(&[FIRST_PART, SOUND_PART]);
        fleet.end(&sound, Outcome::Whole);
    }
    let late = times.iter().filter(|at| at.since(times[4]) > Duration::from_secs(3)).count();
    assert!(late <= 3, "{late} of {} runs later than the fifth crash", times.len());
}

#[test]
fn first_part_of_all_prompts_not_refused_in_storm() {
    let mut fleet = Fleet::new();
    let sound = fleet.run(&[FIRST_PART, SOUND_PART]);
    fleet.end(&sound, Outcome::Whole);
    // A crash that something else caused, and five that the fatal part causes within a moment.
    let run = fleet.run(&[FIRST_PART, SOUND_PART]);
    fleet.crash(&[run]);
    for _ in 0..5 {
        if let Some(run) = fleet.submit(&[FIRST_PART, FATAL_PART]) {
            fleet.crash(&[run]);
        }
    }
    assert_eq!(fleet.refusal(&[FIRST_PART, FATAL_PART]), Some(Reason::Crashes));
    assert_eq!(fleet.refusal(&[FIRST_PART, SOUND_PART]), None);
}

#[test]
fn first_part_refused_by_mistake_soon_cleared() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        // Engines crash for other reasons before any run is complete.
        let run = fleet.run(&[FIRST_PART, SOUND_PART]);
        fleet.crash(&[run]);
    }
    assert_eq!(fleet.refusal(&[FIRST_PART, SOUND_PART]), Some(Reason::Crashes));
    fleet.now = fleet.now + Duration::from_secs(2);
    let trial = fleet.run(&[FIRST_PART, SOUND_PART]);
    fleet.end(&trial, Outcome::Whole);
    assert_eq!(fleet.refusal(&[FIRST_PART, SOUND_PART]), None);
}

#[test]
fn part_that_turns_fatal_refused() {
    let mut fleet = Fleet::new();
    let sound = fleet.run(&[FIRST_PART, FATAL_PART]);
    fleet.end(&sound, Outcome::Whole);
    let mut runs = 0;
    for _ in 0..40 {
        if let Some(run) = fleet.submit(&[FIRST_PART, FATAL_PART]) {
            runs += 1;
            fleet.crash(&[run]);
        }
        let sound = fleet.run(&[FIRST_PART, SOUND_PART]);
        fleet.end(&sound, Outcome::Whole);
    }
    assert!(runs <= 10, "{runs} requests with the part reached engines");
}

#[test]
fn last_part_of_prompt_not_blamed() {
    let mut fleet = Fleet::new();
    assert!(fleet.crash_repeatedly(&[]) >= 30, "each request has only a part of its own");
}

#[test]
fn stream_resumed_beside_fatal_request_not_blamed() {
    let mut fleet = Fleet::with_engines(vec![engine("e1", &["m0"])]);
    for _ in 0..3 {
        // Both requests are sent to the same engine, time after time.
        let runs = [fleet.run(&[FIRST_PART, FATAL_PART]), fleet.run(&[FIRST_PART, SOUND_PART])];
        fleet.crash(&runs);
        let sound = fleet.run(&[FIRST_PART, 0x21]);
        fleet.end(&sound, Outcome::Whole);
    }
    let fatal = fleet.submit(&[0x77, FATAL_PART]);
    let run = fatal.expect("the other part may be the cause as well");
    fleet.crash(&[run]);
    assert_eq!(fleet.refusal(&[FATAL_PART]), Some(Reason::Crashes));
    assert!(fleet.submit(&[FIRST_PART, SOUND_PART]).is_some(), "the crashes are explained");
}

#[test]
fn connections_reset_everywhere_nothing_refused() {
    let mut fleet = Fleet::new();
    for _ in 0..4 {
        let runs: Vec<Run> = (0..30).map(|_| fleet.run(&[FIRST_PART, SOUND_PART])).collect();
        for run in &runs {
            fleet.end(run, Outcome::Broke);
        }
        // The engines are sound, so they send their reports.
        deliver_reports(&mut fleet.scheduler, fleet.now + Duration::from_millis(200));
    }
    assert_eq!(fleet.refusal(&[FIRST_PART, SOUND_PART]), None);
}

#[test]
fn fatal_request_refused_while_queued() {
    let mut fleet = Fleet::new();
    fleet.crash_repeatedly(&[FIRST_PART, FATAL_PART]);
    let trial = fleet.run(&[0x77, FATAL_PART]);
    assert!(fleet.submit(&[0x78, FATAL_PART]).is_none());
    assert_eq!(fleet.scheduler.queue_len(), 1, "the request waits for the trial");
    fleet.crash(&[trial]);
    let actions = fleet.scheduler.tick(fleet.now);
    assert_eq!(refused(&actions).map(|refusal| refusal.reason), Some(Reason::Crashes));
}

#[test]
fn unreachable_engine_counts_as_crash() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        let run = fleet.run(&[FATAL_PART]);
        fleet.end(&run, Outcome::Broke);
        fleet.scheduler.handle_unreachable(&run.endpoint, fleet.now);
    }
    assert_eq!(fleet.refusal(&[FATAL_PART]), Some(Reason::Crashes));
}

#[test]
fn fatal_part_known_to_next_leader() {
    let mut fleet = Fleet::new();
    for _ in 0..2 {
        let run = fleet.run(&[FATAL_PART]);
        fleet.crash(&[run]);
    }
    let mut next = Fleet::with_engines(fleet.entries.clone());
    next.scheduler.merge_crashes(fleet.scheduler.crash_handover(fleet.now), fleet.now);
    next.now = fleet.now;
    let run = next.run(&[FATAL_PART]);
    next.crash(&[run]);
    assert_eq!(next.refusal(&[FATAL_PART]), Some(Reason::Crashes), "two crashes and one");
}

#[test]
fn fatal_part_refused_without_leader() {
    let mut fleet = Fleet::new();
    fleet.crash_repeatedly(&[FATAL_PART]);
    let mut alone = Fleet::new();
    alone.scheduler.replace_refused_causes(fleet.scheduler.refused_causes(), fleet.now);
    alone.now = fleet.now + Duration::from_secs(3_700);
    alone.scheduler.set_mode(Mode::Alone { share: 0.5 }, alone.now);
    assert_eq!(alone.refusal(&[FATAL_PART]), Some(Reason::Crashes), "also after any backoff");
}

#[test]
fn fatal_part_cleared_by_leader_is_cleared() {
    let mut fleet = Fleet::new();
    fleet.crash_repeatedly(&[FATAL_PART]);
    fleet.scheduler.replace_refused_causes(Vec::new(), fleet.now);
    assert_eq!(fleet.refusal(&[FATAL_PART]), None);
}
