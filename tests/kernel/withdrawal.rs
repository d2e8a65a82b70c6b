//! Tests of the withdrawal of a key, or of a data centre from service, while requests are waiting.

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

const INSTANCE_COUNT: usize = 5;
const KEY: &str = "belt-key-0001";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time from the acceptance of a withdrawal until it is in force everywhere.
const MAX_WITHDRAWAL_TIME: Duration = Duration::from_millis(4_000);

const DOCUMENT: &str = "
classes: { chat: { first_ms: 1500, deadline_ms: 60000, percent: 95 } }
teams: { belts: { rate: 100, burst: 100, classes: [chat] } }
keys: { belt-1: { team: belts, hash: '{hash}' } }
data_centres: { dc-a: {}, dc-b: {} }
pools: { lots: { kind: service, cold_limit: 1, warm_limit: 1 } }
";

/// Returns the configuration before and after the withdrawal of the key and of data centre `dc-b`.
fn documents() -> [Arc<Config>; 2] {
    let text = DOCUMENT.replace("{hash}", &hash_key(KEY));
    let after = text
        .replace(&format!("{{ belt-1: {{ team: belts, hash: '{}' }} }}", hash_key(KEY)), "{}")
        .replace("dc-b: {}", "dc-b: { out: true }");
    let parse = |version, text: &str| Arc::new(Config::parse(version, text).expect("a document"));
    [parse(1, &text), parse(2, &after)]
}

/// Five instances, of which the first is the entry instance of all requests and the second is the
/// steward of their endpoint.
struct World {
    now: Time,
    /// Configuration before and after the withdrawal.
    documents: [Arc<Config>; 2],
    ids: Vec<InstanceId>,
    contacts: Vec<Contacts>,
    /// Versions that each instance knows.
    versions: Vec<Versions>,
    /// Whether each instance runs.
    running: [bool; INSTANCE_COUNT],
    /// Whether each instance reaches the platform's service.
    reaches_platform: [bool; INSTANCE_COUNT],
    /// Whether the links of each instance to all others are cut.
    links_cut: [bool; INSTANCE_COUNT],
    platform_down: bool,
    /// Version of the configuration in the platform's store.
    record: u64,
    /// When more than half of the instances had confirmed the withdrawal.
    accepted_at: Option<Time>,
    /// Requests that wait in the steward's queue.
    queue: Vec<AdmissionRecord>,
    /// Description of the latest request that was served after the withdrawal.
    violation: Option<String>,
}

impl World {
    /// Returns whether two instances can exchange messages.
    fn linked(&self, a: usize, b: usize) -> bool {
        self.running[a] && self.running[b] && !self.links_cut[a] && !self.links_cut[b]
    }

    /// Returns the configuration in force at an instance.
    fn config(&self, index: usize) -> Option<&Arc<Config>> {
        self.documents.iter().find(|config| config.version == self.versions[index].current)
    }

    /// Lets requests arrive and heartbeats be sent for a `length` of time.
    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + HEARTBEAT_INTERVAL;
            self.dispatch();
            self.enter();
            let running = self.running;
            (0..INSTANCE_COUNT)
                .filter(|index| running[*index])
                .for_each(|index| self.heartbeat(index));
            self.accept();
        }
    }

    /// Runs one heartbeat of an instance: contact with the platform's service and with the peers,
    /// and a pull of a newer version.
    fn heartbeat(&mut self, index: usize) {
        if self.reaches_platform[index] && !self.platform_down {
            self.contacts[index].record_platform_contact(self.now);
            self.versions[index].offer(self.record, true);
        }
        let number = self.contacts[index].begin_round(self.now);
        let peers: Vec<usize> =
            (0..INSTANCE_COUNT).filter(|p| *p != index && self.linked(index, *p)).collect();
        for peer in &peers {
            let age = self.contacts[*peer].age(self.now);
            let id = self.ids[*peer].clone();
            self.contacts[index].record_heartbeat_reply(&id, number, age);
        }
        let peer_versions: Vec<_> =
            peers.iter().map(|p| (self.ids[*p].clone(), self.versions[*p].current)).collect();
        if let Some(id) = self.versions[index].best_source(peer_versions.clone()) {
            let version = peer_versions.iter().find(|(peer, _)| *peer == id).map_or(0, |(_, v)| *v);
            self.versions[index].offer(version, true);
        }
    }

    /// Records when more than half of the instances have confirmed the withdrawal.
    fn accept(&mut self) {
        let confirmed = self.versions.iter().filter(|versions| versions.current == 2).count();
        if self.accepted_at.is_none() && confirmed * 2 > INSTANCE_COUNT {
            self.accepted_at = Some(self.now);
        }
    }

    /// Lets a request arrive at the entry instance, which sends it to the steward's queue.
    fn enter(&mut self) {
        if !self.running[0] {
            return;
        }
        let contact = self.contacts[0].contact(&self.ids[0], &self.ids, self.now);
        let Some(config) = self.config(0).cloned() else { return };
        if let Admission::Admit(handle, team) = admit(&config, freshness_of(contact), KEY) {
            self.check_late("admitted");
            if self.linked(0, 1) {
                let (handle, team) = (handle.to_string(), team.to_string());
                self.queue.push(AdmissionRecord { handle, team, version: config.version });
            }
        }
    }

    /// Lets the steward dispatch one of the waiting requests.
    fn dispatch(&mut self) {
        if !self.running[1] || self.queue.is_empty() {
            return;
        }
        let contact = self.contacts[1].contact(&self.ids[1], &self.ids, self.now);
        let Some(config) = self.config(1).cloned() else { return };
        let record = self.queue.remove(0);
        let fresh = !matches!(admit(&config, freshness_of(contact), KEY), Admission::Refuse(code)
            if code == cardamomshore::codes::Code::CutOff);
        // The key alone and the data centre alone must each stop the request.
        if fresh && is_still_admitted(&config, &record) {
            self.check_late("dispatched under its key");
        }
        if fresh && config.is_in_service(&"dc-b".into()) {
            self.check_late("dispatched into the data centre");
        }
    }

    /// Records a violation if the withdrawal must be in force by now.
    fn check_late(&mut self, what: &str) {
        let late = self.accepted_at.is_some_and(|at| self.now.since(at) > MAX_WITHDRAWAL_TIME);
        if late {
            self.violation = Some(format!("{what} after the withdrawal was in force"));
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
            ids: (0..INSTANCE_COUNT).map(|index| InstanceId::from(format!("i-{index}"))).collect(),
            contacts: vec![Contacts::default(); INSTANCE_COUNT],
            versions: vec![Versions::default(); INSTANCE_COUNT],
            running: [true; INSTANCE_COUNT],
            reaches_platform: [true; INSTANCE_COUNT],
            links_cut: [false; INSTANCE_COUNT],
            platform_down: false,
            record: 1,
            accepted_at: None,
            queue: Vec::new(),
            violation: None,
        };
        world.run(HEARTBEAT_INTERVAL);
        world
    }

    fn begin(&mut self, step: usize) {
        match step {
            // These are more requests than the steward dispatches during the step.
            0 => (0..20).for_each(|_| self.enter()),
            1 if !self.platform_down => {
                self.record = 2;
                self.versions[4].offer(2, true);
            }
            _ => {}
        }
        self.run(HEARTBEAT_INTERVAL);
    }

    fn end(&mut self, step: usize) {
        let length = if step == 4 { MAX_CONTACT_AGE * 2 } else { Duration::from_millis(1_500) };
        self.run(length);
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::EntryPaused => self.running[0] = false,
            Fault::EntryResumed => self.running[0] = true,
            Fault::StewardPaused => self.running[1] = false,
            Fault::StewardResumed => self.running[1] = true,
            Fault::EntryCut => self.links_cut[0] = true,
            Fault::StewardCut => self.links_cut[1] = true,
            Fault::EntryLosesPlatform => self.reaches_platform[0] = false,
            Fault::OthersLosePlatform => self.reaches_platform[1..].fill(false),
            Fault::PlatformDown => self.platform_down = true,
            Fault::WatchersKilled => self.running[2..4].fill(false),
        }
        // A resumed process handles the messages that waited in its sockets before its next
        // heartbeat.
        self.enter();
        self.dispatch();
    }

    fn check(&self) -> Result<(), String> {
        self.violation.clone().map_or(Ok(()), Err)
    }

    fn settle(&mut self) {
        self.platform_down = false;
        (self.running, self.reaches_platform, self.links_cut) =
            ([true; INSTANCE_COUNT], [true; INSTANCE_COUNT], [false; INSTANCE_COUNT]);
        self.enter();
        self.dispatch();
        self.record = 2;
        (0..100).for_each(|_| self.dispatch());
        self.run(MAX_WITHDRAWAL_TIME);
    }

    fn check_settled(&self) -> Result<(), String> {
        let all_updated = self.versions.iter().all(|versions| versions.current == 2);
        if all_updated && self.queue.is_empty() {
            Ok(())
        } else {
            Err("the withdrawal is not in force, or requests wait".to_owned())
        }
    }
}

#[test]
fn matrix_withdrawal() {
    run_all::<World>();
}

#[test]
fn is_still_admitted_newer_configuration() {
    let [before, after] = documents();
    let record =
        |version| AdmissionRecord { handle: "belt-1".into(), team: "belts".into(), version };
    assert!(is_still_admitted(&before, &record(1)));
    assert!(!is_still_admitted(&after, &record(1)));
    assert!(is_still_admitted(&after, &record(3)));
    let open = AdmissionRecord { handle: String::new(), team: String::new(), version: 1 };
    assert!(is_still_admitted(&after, &open));
    let moved = AdmissionRecord { team: "others".into(), ..record(1) };
    assert!(
        !is_still_admitted(&before, &moved),
        "a handle that moved to another team must not admit the request"
    );
}
