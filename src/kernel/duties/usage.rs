//! Decides which usage report is fixed or sent next.

use std::{collections::BTreeMap, time::Duration};

use super::{
    clock::WallMillis,
    counts::{TeamCounts, UsageTable, Window},
    ledger::{Ledger, MAX_REPORTS, Opened},
    pace::CallPace,
};
use crate::{clock::Time, kernel::revision::Revision};

/// Time after the end of a window before it is fixed. Instances send their last counts at the end of
/// the window, by clocks that differ by milliseconds.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Fraction of the time until a report is due for which missing counts are waited for. The rest is for
/// the record and for some attempts of the call.
const WAIT_FRACTION: f64 = 0.5;

/// Time after its election for which a holder waits for the instances to join. They know the counts
/// that the former holder had not fixed. The first call is made 150 ms later at the earliest, so the
/// wait delays no report.
pub const JOIN_WAIT: Duration = Duration::from_millis(3_000);

/// Times that the platform may refuse a report before it is given up, so that it does not hold up later
/// ones.
const MAX_REFUSALS: u32 = 5;

/// Wait after a call to the store that failed.
const STORE_BACKOFF: Duration = Duration::from_millis(300);

/// Longest wait until the next decision.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Times that bound the reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageLimits {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub due: Duration,
}

impl UsageLimits {
    /// Returns the window that is open at `wall`.
    pub fn window_at(&self, wall: WallMillis) -> Window {
        wall / (self.window.as_millis() as u64).max(1)
    }

    /// Returns when a window ends.
    pub fn end_of(&self, window: Window) -> WallMillis {
        (window + 1) * self.window.as_millis() as u64
    }
}

/// A report whose content is fixed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The window.
    pub window: Window,
    /// Runs of each team.
    pub counts: TeamCounts,
    /// Number of this attempt to send it by this process; 1 for the first.
    pub attempt: u32,
}

/// Why the report of a window is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The store has lost whether the window was fixed.
    StoreReturned,
    /// No process is known that counted during the whole window.
    NotCounted,
    /// The platform refuses the report.
    Refused,
}

/// What the holder does next about usage reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStep {
    /// Nothing, since this instance does not hold the duty.
    Hold,
    /// Read the record of fixed windows.
    Read,
    /// Write this record in place of the one with this revision; the number zero if there is none.
    Record(Ledger, Revision),
    /// Send this report.
    Send(Report),
    /// Decide again at this time.
    Wait(Time),
    /// Count this window as missed, and decide again.
    GiveUp(Window, GiveUpReason),
}

/// What this instance may do as the holder of the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Term in which this instance leads; zero if it does not.
    pub term: u64,
    /// Time since the election.
    pub led_for: Duration,
    /// Whether it certainly holds the lease, so that it may fix reports.
    pub may_record: bool,
    /// Whether it may call the platform.
    pub may_call: bool,
}

/// How the platform answered a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It has accepted the report.
    Accepted,
    /// It refuses the content.
    Refused,
    /// It has not accepted the report, or it is not known whether it has.
    Failed,
}

/// Fixes and sends usage reports.
#[derive(Clone, Debug)]
pub struct Reporter {
    limits: UsageLimits,
    /// Term for which `stored` holds.
    term: u64,
    /// The record as it is in the store, with its revision; `None` before it is read.
    stored: Option<(Ledger, Revision)>,
    /// The record as a new holder must write it first.
    opened: Option<Opened>,
    /// Latest state of the record that this process has known.
    known: Option<Ledger>,
    /// Windows that were accepted or given up since the record was read.
    done: BTreeMap<Window, ()>,
    attempts: BTreeMap<Window, u32>,
    refusals: u32,
    store_from: Time,
    given_up: Vec<(Window, GiveUpReason)>,
}

impl Reporter {
    /// Creates a reporter that holds nothing.
    pub fn new(limits: UsageLimits) -> Self {
        Self {
            limits,
            term: 0,
            stored: None,
            opened: None,
            known: None,
            done: BTreeMap::new(),
            attempts: BTreeMap::new(),
            refusals: 0,
            store_from: Time::default(),
            given_up: Vec::new(),
        }
    }

    /// Returns the latest state of the record that this process has known.
    pub fn known(&self) -> Option<&Ledger> {
        self.known.as_ref()
    }

    /// Takes over what another process has recorded.
    pub fn learn(&mut self, ledger: Ledger) {
        if self.known.as_ref().is_none_or(|known| ledger.is_later(known)) {
            self.known = Some(ledger);
        }
    }

    /// Decides what to do next; `wall` is true time.
    pub fn next_step(
        &mut self,
        holding: Holding,
        table: &UsageTable,
        pace: &CallPace,
        wall: WallMillis,
        now: Time,
    ) -> UsageStep {
        if holding.term == 0 || !holding.may_record {
            return UsageStep::Hold;
        }
        if holding.term != self.term {
            // What was read in an earlier term may have changed since.
            self.term = holding.term;
            self.stored = None;
            self.opened = None;
        }
        if let Some((window, reason)) = self.given_up.pop() {
            return UsageStep::GiveUp(window, reason);
        }
        let can_use_store = now >= self.store_from;
        if let Some(opened) = &self.opened
            && can_use_store
        {
            let revision = self.stored.as_ref().map(|(_, revision)| *revision);
            return UsageStep::Record(opened.ledger.clone(), revision.unwrap_or_default());
        }
        let Some((ledger, revision)) = self.stored.clone().filter(|_| self.opened.is_none()) else {
            return if can_use_store { UsageStep::Read } else { UsageStep::Wait(self.store_from) };
        };
        if can_use_store && let Some(fixed) = self.fix(&ledger, table, holding.led_for, wall) {
            return UsageStep::Record(fixed, revision);
        }
        let unsent = ledger.reports.iter().find(|(window, _)| !self.done.contains_key(window));
        if let Some((window, counts)) = unsent
            && holding.may_call
            && now >= pace.next_at()
        {
            let attempt = self.attempts.get(window).copied().unwrap_or(0) + 1;
            let report = Report { window: *window, counts: counts.clone(), attempt };
            return UsageStep::Send(report);
        }
        UsageStep::Wait(now + MAX_WAIT)
    }

    /// Returns the record with all windows that can be fixed now; `None` if there are none.
    fn fix(
        &mut self,
        ledger: &Ledger,
        table: &UsageTable,
        led_for: Duration,
        wall: WallMillis,
    ) -> Option<Ledger> {
        let mut fixed = ledger.clone();
        fixed.reports.retain(|window, _| !self.done.contains_key(window));
        while fixed.reports.len() < MAX_REPORTS && self.is_ready(fixed.next, table, led_for, wall) {
            let window = fixed.next;
            // Nobody counted before the first window of all, so what was counted in it is the whole.
            let is_covered =
                table.covers(window) || (window == fixed.first && table.covers(window + 1));
            if is_covered {
                fixed.reports.insert(window, table.sum(window));
            }
            fixed.next += 1;
        }
        (fixed.next > ledger.next).then_some(fixed)
    }

    /// Returns whether the counts of a window are complete, or can be waited for no longer.
    fn is_ready(
        &self,
        window: Window,
        table: &UsageTable,
        led_for: Duration,
        wall: WallMillis,
    ) -> bool {
        let age = wall.saturating_sub(self.limits.end_of(window));
        let longest_wait = self.limits.due.mul_f64(WAIT_FRACTION).as_millis() as u64;
        let settle_ms = SETTLE_TIME.as_millis() as u64;
        let is_overdue = age >= longest_wait && led_for >= JOIN_WAIT;
        is_overdue || (age >= settle_ms && table.is_complete(window))
    }

    /// Records what was read from the store in `era` while the window `current` is open.
    pub fn record_read(&mut self, stored: Option<(Ledger, Revision)>, era: u64, current: Window) {
        let (ledger, revision) = stored.unzip();
        let opened = Ledger::open(ledger.clone(), self.known.as_ref(), era, current);
        self.given_up.extend(opened.lost.clone().map(|w| (w, GiveUpReason::StoreReturned)));
        self.stored = Some((opened.ledger.clone(), revision.unwrap_or_default()));
        if opened.is_changed {
            self.opened = Some(opened);
        } else {
            self.learn(opened.ledger);
        }
    }

    /// Records that a call to the store failed; the record must be read again.
    pub fn record_store_failure(&mut self, now: Time) {
        self.stored = None;
        self.opened = None;
        self.store_from = now + STORE_BACKOFF;
    }

    /// Records that the record was written with this revision. Returns the reports that are fixed now.
    pub fn record_written(&mut self, ledger: Ledger, revision: Revision) -> Vec<Report> {
        let before = self.stored.take().map_or(ledger.next, |(before, _)| before.next);
        let was_opened = self.opened.take().is_some();
        if revision.era() != ledger.era {
            // The store has returned meanwhile; what was written counts as read in the new era.
            return Vec::new();
        }
        if !was_opened {
            let skipped =
                (before..ledger.next).filter(|window| !ledger.reports.contains_key(window));
            self.given_up.extend(skipped.map(|w| (w, GiveUpReason::NotCounted)));
        }
        self.done.retain(|window, ()| ledger.reports.contains_key(window));
        self.attempts.retain(|window, _| ledger.reports.contains_key(window));
        let fixed = ledger.reports.range(before..);
        let reports = fixed.map(|(window, counts)| Report {
            window: *window,
            counts: counts.clone(),
            attempt: 0,
        });
        let reports = reports.collect();
        self.stored = Some((ledger.clone(), revision));
        self.known = Some(ledger);
        reports
    }

    /// Records that a report is sent.
    pub fn record_call(&mut self, window: Window) {
        *self.attempts.entry(window).or_default() += 1;
    }

    /// Records how the platform answered a report.
    pub fn record_result(&mut self, window: Window, result: CallResult) {
        match result {
            CallResult::Accepted => drop(self.done.insert(window, ())),
            CallResult::Refused if self.refusals + 1 >= MAX_REFUSALS => {
                self.done.insert(window, ());
                self.given_up.push((window, GiveUpReason::Refused));
            }
            CallResult::Refused => return self.refusals += 1,
            CallResult::Failed => return,
        }
        self.refusals = 0;
    }

    /// Returns the number of fixed reports that are not accepted yet.
    pub fn backlog(&self) -> usize {
        let reports = self.stored.as_ref().map(|(ledger, _)| &ledger.reports);
        let unsent = |reports: &BTreeMap<Window, TeamCounts>| {
            reports.keys().filter(|window| !self.done.contains_key(window)).count()
        };
        reports.map_or(0, unsent)
    }
}
