//! A key withdrawn, or a data centre taken out, while a request is on its way.

use std::{sync::Arc, time::Duration};

use cardamomshore::{
    clock::Time,
    config::{Config, hash_key},
    kernel::{
        admission::{Admission, AdmissionRecord, admit, is_still_admitted},
        configuration::Versions,
        freshness::{Contacts, MAX_CONTACT_AGE, freshness_of},
    },
    names::InstanceId,
};

use crate::matrix::{Protocol, run_all};

const COUNT: usize = 5;
const KEY: &str = "belt-key-0001";
const BEAT: Duration = Duration::from_millis(500);

/// Time after acceptance within which a withdrawal is in force everywhere.
const TARGET: Duration = Duration::from_millis(4_000);

const DOCUMENT: &str = "
classes: { chat: { first_ms: 1500, deadline_ms: 60000, percent: 95 } }
teams: { belts: { rate: 100, burst: 100, classes: [chat] } }
keys: { belt-1: { team: belts, hash: '{hash}' } }
data_centres: { dc-a: {}, dc-b: {} }
pools: { lots: { kind: service, cold_limit: 1, warm_limit: 1 } }
";

fn documents() -> [Arc<Config>; 2] {
    let text = DOCUMENT.replace("{hash}", &hash_key(KEY));
    let after = text
        .replace(&format!("{{ belt-1: {{ team: belts, hash: '{}' }} }}", hash_key(KEY)), "{}")
        .replace("dc-b: {}", "dc-b: { out: true }");
    let parse = |version, text: &str| Arc::new(Config::parse(version, text).expect("a document"));
    [parse(1, &text), parse(2, &after)]
}

/// Five instances; the first is the entry of a stream of requests, the second their steward.
struct World {
    now: Time,
    documents: [Arc<Config>; 2],
    ids: Vec<InstanceId>,
    contacts: Vec<Contacts>,
    versions: Vec<Versions>,
    runs: [bool; COUNT],
    reaches: [bool; COUNT],
    /// Instances whose links to all others are cut.
    cut: [bool; COUNT],
    down: bool,
    record: u64,
    accepted: Option<Time>,
    /// Requests that wait at the steward.
    queue: Vec<AdmissionRecord>,
    broken: Option<String>,
}

impl World {
    fn linked(&self, a: usize, b: usize) -> bool {
        self.runs[a] && self.runs[b] && !self.cut[a] && !self.cut[b]
    }

    fn config(&self, index: usize) -> Option<&Arc<Config>> {
        self.documents.iter().find(|config| config.version == self.versions[index].current)
    }

    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + BEAT;
            self.dispatch();
            self.enter();
            let runs = self.runs;
            (0..COUNT).filter(|index| runs[*index]).for_each(|index| self.beat(index));
            self.accept();
        }
    }

    /// A heartbeat: contact with the service, with the peers, and a pull of a newer version.
    fn beat(&mut self, index: usize) {
        if self.reaches[index] && !self.down {
            self.contacts[index].record_platform_contact(self.now);
            self.versions[index].offer(self.record, true);
        }
        let number = self.contacts[index].begin_round(self.now);
        let peers: Vec<usize> =
            (0..COUNT).filter(|p| *p != index && self.linked(index, *p)).collect();
        for peer in &peers {
            let age = self.contacts[*peer].age(self.now);
            let id = self.ids[*peer].clone();
            self.contacts[index].record_heartbeat_reply(&id, number, age);
        }
        let said: Vec<_> =
            peers.iter().map(|p| (self.ids[*p].clone(), self.versions[*p].current)).collect();
        if let Some(id) = self.versions[index].best_source(said.clone()) {
            let version = said.iter().find(|(peer, _)| *peer == id).map_or(0, |(_, v)| *v);
            self.versions[index].offer(version, true);
        }
    }

    fn accept(&mut self) {
        let confirmed = self.versions.iter().filter(|versions| versions.current == 2).count();
        if self.accepted.is_none() && confirmed * 2 > COUNT {
            self.accepted = Some(self.now);
        }
    }

    /// A request arrives at the entry and goes on to the steward's queue.
    fn enter(&mut self) {
        if !self.runs[0] {
            return;
        }
        let contact = self.contacts[0].contact(&self.ids[0], &self.ids, self.now);
        let Some(config) = self.config(0).cloned() else { return };
        if let Admission::Admit(handle, team) = admit(&config, freshness_of(contact), KEY) {
            self.note("admitted");
            if self.linked(0, 1) {
                let (handle, team) = (handle.to_string(), team.to_string());
                self.queue.push(AdmissionRecord { handle, team, version: config.version });
            }
        }
    }

    /// The steward starts one of the requests that waited.
    fn dispatch(&mut self) {
        if !self.runs[1] || self.queue.is_empty() {
            return;
        }
        let contact = self.contacts[1].contact(&self.ids[1], &self.ids, self.now);
        let Some(config) = self.config(1).cloned() else { return };
        let pass = self.queue.remove(0);
        let fresh = !matches!(admit(&config, freshness_of(contact), KEY), Admission::Refuse(code)
            if code == cardamomshore::codes::Code::CutOff);
        // The key alone and the data centre alone must each stop the request.
        if fresh && is_still_admitted(&config, &pass) {
            self.note("dispatched under its key");
        }
        if fresh && config.is_in_service(&"dc-b".into()) {
            self.note("dispatched into the data centre");
        }
    }

    fn note(&mut self, what: &str) {
        let late = self.accepted.is_some_and(|at| self.now.since(at) > TARGET);
        if late {
            self.broken = Some(format!("{what} after the withdrawal was in force"));
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    EntryPaused,
    EntryResumed,
    StewardPaused,
    StewardResumed,
    EntryCut,
    StewardCut,
    EntryLosesPlatform,
    OthersLosePlatform,
    PlatformDown,
    WatchersKilled,
}

impl Protocol for World {
    type Fault = Fault;

    const NAME: &'static str = "withdrawal";
    const STEPS: &'static [&'static str] =
        &["queued", "written", "pushed", "in force", "much later"];
    const FAULTS: &'static [Fault] = &[
        Fault::EntryPaused,
        Fault::EntryResumed,
        Fault::StewardPaused,
        Fault::StewardResumed,
        Fault::EntryCut,
        Fault::StewardCut,
        Fault::EntryLosesPlatform,
        Fault::OthersLosePlatform,
        Fault::PlatformDown,
        Fault::WatchersKilled,
    ];

    fn start() -> Self {
        let mut world = Self {
            now: Time::from_millis(60_000),
            documents: documents(),
            ids: (0..COUNT).map(|index| InstanceId::from(format!("i-{index}"))).collect(),
            contacts: vec![Contacts::default(); COUNT],
            versions: vec![Versions::default(); COUNT],
            runs: [true; COUNT],
            reaches: [true; COUNT],
            cut: [false; COUNT],
            down: false,
            record: 1,
            accepted: None,
            queue: Vec::new(),
            broken: None,
        };
        world.run(BEAT);
        world
    }

    fn begin(&mut self, step: usize) {
        match step {
            // More requests than the steward starts meanwhile.
            0 => (0..20).for_each(|_| self.enter()),
            1 if !self.down => {
                self.record = 2;
                self.versions[4].offer(2, true);
            }
            _ => {}
        }
        self.run(BEAT);
    }

    fn end(&mut self, step: usize) {
        let length = if step == 4 { MAX_CONTACT_AGE * 2 } else { Duration::from_millis(1_500) };
        self.run(length);
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::EntryPaused => self.runs[0] = false,
            Fault::EntryResumed => self.runs[0] = true,
            Fault::StewardPaused => self.runs[1] = false,
            Fault::StewardResumed => self.runs[1] = true,
            Fault::EntryCut => self.cut[0] = true,
            Fault::StewardCut => self.cut[1] = true,
            Fault::EntryLosesPlatform => self.reaches[0] = false,
            Fault::OthersLosePlatform => self.reaches[1..].fill(false),
            Fault::PlatformDown => self.down = true,
            Fault::WatchersKilled => self.runs[2..4].fill(false),
        }
        // What waited in the sockets of a resumed process is handled before its next heartbeat.
        self.enter();
        self.dispatch();
    }

    fn check(&self) -> Result<(), String> {
        self.broken.clone().map_or(Ok(()), Err)
    }

    fn settle(&mut self) {
        self.down = false;
        (self.runs, self.reaches, self.cut) = ([true; COUNT], [true; COUNT], [false; COUNT]);
        self.enter();
        self.dispatch();
        self.record = 2;
        (0..100).for_each(|_| self.dispatch());
        self.run(TARGET);
    }

    fn check_settled(&self) -> Result<(), String> {
        let all = self.versions.iter().all(|versions| versions.current == 2);
        if all && self.queue.is_empty() { Ok(()) } else { Err("not in force".to_owned()) }
    }
}

#[test]
fn matrix_withdrawal() {
    run_all::<World>();
}

#[test]
fn stands_newer_pass_at_older_steward() {
    let [before, after] = documents();
    let pass = |version| AdmissionRecord { handle: "belt-1".into(), team: "belts".into(), version };
    assert!(is_still_admitted(&before, &pass(1)));
    assert!(!is_still_admitted(&after, &pass(1)));
    assert!(is_still_admitted(&after, &pass(3)));
    let open = AdmissionRecord { handle: String::new(), team: String::new(), version: 1 };
    assert!(is_still_admitted(&after, &open));
    let moved = AdmissionRecord { team: "others".into(), ..pass(1) };
    assert!(!is_still_admitted(&before, &moved), "a handle that moved to another team");
}
