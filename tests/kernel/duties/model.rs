//! Holders of the duty with a store and a platform that check nothing on their own.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::{
        duties::{
            counts::{StartId, TeamCounts, UsageTable, Window},
            ledger::Ledger,
            pace::CallPace,
            usage::{
                CallResult, GiveUpReason, Holding, JOIN_WAIT, Reporter, UsageLimits, UsageStep,
            },
        },
        revision::Revision,
    },
};

/// Length of a window in milliseconds.
pub const WINDOW_MS: u64 = 5_000;

/// First window of the tests.
pub const FIRST: Window = 353_445_120;

/// Time since the election of a holder that waits for nobody.
const LONG_LED: Duration = Duration::from_secs(60);

const LIMITS: UsageLimits =
    UsageLimits { window: Duration::from_millis(WINDOW_MS), due: Duration::from_secs(10) };

/// The store's record, with the faults of the store.
#[derive(Clone, Default)]
pub struct Store {
    pub record: Option<(Ledger, u64)>,
    pub era: u64,
    /// Number of the latest revision.
    pub number: u64,
    /// Whether writes take effect and get no response.
    pub loses_responses: bool,
    pub is_down: bool,
}

/// What the platform has accepted.
#[derive(Default)]
pub struct Platform {
    pub accepted: Vec<(Window, TeamCounts, u64)>,
    pub is_down: bool,
    /// Whether calls take effect and get no response.
    pub loses_responses: bool,
    /// Calls that get 429 before the next one is accepted.
    pub too_many: usize,
    /// When calls were sent.
    pub calls: Vec<Time>,
}

impl Platform {
    /// Returns the windows in the order of their acceptance.
    pub fn windows(&self) -> Vec<Window> {
        self.accepted.iter().map(|(window, _, _)| *window).collect()
    }

    /// Checks that no window has two contents.
    pub fn assert_consistent(&self) {
        let mut contents: BTreeMap<Window, &TeamCounts> = BTreeMap::new();
        for (window, counts, _) in &self.accepted {
            let known = contents.entry(*window).or_insert(counts);
            assert_eq!(*known, counts, "two reports of window {window}");
        }
    }

    pub fn count(&self, window: Window) -> Option<u64> {
        let report = self.accepted.iter().find(|(it, _, _)| *it == window);
        report.map(|(_, counts, _)| counts.values().sum())
    }
}

/// A process that may hold the duty.
pub struct Process {
    pub reporter: Reporter,
    pub table: UsageTable,
    pub pace: CallPace,
    pub term: u64,
    pub holds: bool,
    pub may_call: bool,
    /// When it was elected, in milliseconds after the begin of the first window; `None` if that is long
    /// ago.
    pub elected_ms: Option<u64>,
    pub given_up: Vec<(Window, GiveUpReason)>,
}

impl Process {
    /// Creates a process that leads in `term` and has counted since before the first window.
    pub fn new(term: u64) -> Self {
        let mut table = UsageTable::default();
        table.start(StartId(1), FIRST - 1);
        Self {
            reporter: Reporter::new(LIMITS),
            table,
            pace: CallPace::new(50.0),
            term,
            holds: true,
            may_call: true,
            elected_ms: None,
            given_up: Vec::new(),
        }
    }

    /// Counts runs of one start.
    pub fn count(&mut self, start: u64, window: Window, runs: u64) {
        let usage = self.table.start(StartId(start), FIRST - 1);
        (0..runs).for_each(|_| usage.count(window, "kites".into()));
    }

    /// Takes the step that is due at `ms` after the begin of the first window, and carries it out.
    pub fn step(&mut self, store: &mut Store, platform: &mut Platform, ms: u64) -> UsageStep {
        let (now, wall) = (Time::from_millis(1_000_000 + ms), FIRST * WINDOW_MS + ms);
        let led_for = self.elected_ms.map_or(LONG_LED, |at| Duration::from_millis(ms - at));
        let holding = Holding {
            term: self.term,
            led_for,
            may_record: self.holds,
            may_call: self.may_call && led_for > JOIN_WAIT,
        };
        for start in [1, 2] {
            if self.table.get(StartId(start)).is_some() {
                let usage = self.table.start(StartId(start), FIRST - 1);
                usage.open = usage.open.max(LIMITS.window_at(wall));
            }
        }
        let step = self.reporter.next_step(holding, &self.table, &self.pace, wall, now);
        match &step {
            UsageStep::Read if store.is_down => self.reporter.record_store_failure(now),
            UsageStep::Read => {
                let record = store.record.clone();
                let stored = record.map(|(it, number)| (it, Revision::new(store.era, number)));
                self.reporter.record_read(stored, store.era, LIMITS.window_at(wall));
            }
            UsageStep::Record(ledger, revision) => {
                let ledger = ledger.clone();
                self.write(store, ledger, *revision, now);
            }
            UsageStep::Send(report) => {
                self.reporter.record_call(report.window);
                self.pace.record_call(now);
                platform.calls.push(now);
                let is_refused = platform.too_many > 0;
                platform.too_many = platform.too_many.saturating_sub(1);
                let result = if platform.is_down || is_refused {
                    CallResult::Failed
                } else {
                    platform.accepted.push((report.window, report.counts.clone(), self.term));
                    let is_lost = platform.loses_responses;
                    if is_lost { CallResult::Failed } else { CallResult::Accepted }
                };
                self.pace.record_result(result == CallResult::Accepted, now);
                self.reporter.record_result(report.window, result);
            }
            UsageStep::GiveUp(window, reason) => self.given_up.push((*window, *reason)),
            UsageStep::Hold | UsageStep::Wait(_) => {}
        }
        step
    }

    fn write(&mut self, store: &mut Store, ledger: Ledger, revision: Revision, now: Time) {
        let current = store.record.as_ref().map_or(0, |(_, number)| *number);
        if store.is_down || current != revision.number() {
            return self.reporter.record_store_failure(now);
        }
        store.number += 1;
        store.record = Some((ledger.clone(), store.number));
        if store.loses_responses {
            return self.reporter.record_store_failure(now);
        }
        self.reporter.record_written(ledger, Revision::new(store.era, store.number));
    }

    /// Takes all steps from `from` to `to`, in milliseconds after the begin of the first window.
    pub fn run(&mut self, store: &mut Store, platform: &mut Platform, from: u64, to: u64) {
        for ms in (from..to).step_by(10) {
            self.step(store, platform, ms);
        }
    }

    /// Takes steps until one is of the wanted kind, which is carried out unless it is dropped; returns
    /// the time.
    pub fn run_until(
        &mut self,
        store: &mut Store,
        platform: &mut Platform,
        from: u64,
        is_wanted: impl Fn(&UsageStep) -> bool,
    ) -> u64 {
        let mut ms = from;
        while ms < from + 60_000 {
            if is_wanted(&self.step(store, platform, ms)) {
                return ms;
            }
            ms += 10;
        }
        panic!("expected the step within a minute");
    }
}

/// Returns a store in its first era.
pub fn store() -> Store {
    Store { era: 1, ..Store::default() }
}
