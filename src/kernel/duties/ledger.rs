//! The record in the store of which usage windows are fixed.

use std::collections::BTreeMap;

use super::counts::{TeamCounts, Window};

/// Reports that the record holds at most. Windows beyond them are fixed once earlier ones are
/// accepted, which bounds the size of the record in an outage of the platform API.
pub const MAX_REPORTS: usize = 24;

/// Which windows are fixed, and the content of those that may not have been accepted yet.
///
/// A window below `next` is fixed: it is among the reports, or it was accepted or given up. Since
/// `next` only grows and each write replaces the record that was read, no window is fixed twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    /// Era of the store in which the record was written.
    pub era: u64,
    /// First window of all.
    pub first: Window,
    /// First window that is not fixed.
    pub next: Window,
    /// Reports that may not have been accepted.
    pub reports: BTreeMap<Window, TeamCounts>,
}

/// What a new holder makes of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// The record as it must be now.
    pub ledger: Ledger,
    /// Whether the record must be written before anything is sent.
    pub is_changed: bool,
    /// Windows that may have been fixed in what the store has lost.
    pub lost: std::ops::Range<Window>,
}

impl Ledger {
    /// Creates the record of a fleet that begins to count in the window `current`.
    pub fn new(era: u64, current: Window) -> Self {
        Self { era, first: current, next: current, reports: BTreeMap::new() }
    }

    /// Returns whether this state is later than another one.
    pub fn is_later(&self, other: &Ledger) -> bool {
        (self.era, self.next) > (other.era, other.next)
    }

    /// Takes over the record that was read in `era` while the window `current` is open. `known` is the
    /// latest state that this process has known.
    ///
    /// A record of an earlier era may lack what was fixed after the copy was made. Each report that was
    /// fixed before the store returned is of a window that had ended then, so no window below
    /// `current` is fixed anew; only reports that are known exactly are taken over.
    pub fn open(
        stored: Option<Ledger>,
        known: Option<&Ledger>,
        era: u64,
        current: Window,
    ) -> Opened {
        let unchanged = |ledger: Ledger| {
            let next = ledger.next;
            Opened { ledger, is_changed: false, lost: next..next }
        };
        let mut ledger = match (stored, known) {
            (Some(stored), _) if stored.era == era => return unchanged(stored),
            (Some(stored), _) => stored,
            (None, Some(known)) => Ledger { reports: BTreeMap::new(), ..known.clone() },
            (None, None) => {
                let ledger = Ledger::new(era, current);
                return Opened { is_changed: true, ..unchanged(ledger) };
            }
        };
        if let Some(known) = known.filter(|known| known.next >= ledger.next) {
            ledger.next = known.next;
            ledger.reports = known.reports.clone();
        }
        let lost = ledger.next..current.max(ledger.next);
        ledger.next = lost.end;
        ledger.era = era;
        Opened { ledger, is_changed: true, lost }
    }
}
