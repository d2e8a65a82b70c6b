//! Counts of runs by window and team.
//!
//! Counts only grow, and each start of each instance has counts of its own. So states can be merged in
//! any order and any number of times, by the highest count of each start, window and team.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::roster::Roster;

/// Number of a usage window since the start of 1970.
pub type Window = u64;

/// Runs of each team.
pub type TeamCounts = BTreeMap<Arc<str>, u64>;

/// Counts of one window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WindowCounts {
    /// Runs that were begun, as far as is known when they are counted.
    pub begun: TeamCounts,
    /// Those of them that turned out not to have been run. They are counted apart, since counts that
    /// only grow can be merged.
    pub not_run: TeamCounts,
}

impl WindowCounts {
    fn merge(&mut self, other: WindowCounts) {
        merge_counts(&mut self.begun, other.begun);
        merge_counts(&mut self.not_run, other.not_run);
    }

    /// Returns the runs of each team.
    fn runs(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.begun.iter().map(|(team, begun)| {
            let not_run = self.not_run.get(team).copied().unwrap_or(0);
            (team, begun.saturating_sub(not_run))
        })
    }
}

/// Takes over the counts that are higher.
fn merge_counts(own: &mut TeamCounts, other: TeamCounts) {
    for (team, count) in other {
        let known = own.entry(team).or_default();
        *known = count.max(*known);
    }
}

/// One start of one process, as a random number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartId(pub u64);

/// Windows whose counts are kept: ten minutes of windows of 5 s. This bounds the memory in a long
/// outage of the store.
const MAX_WINDOWS: u64 = 120;

/// Windows after its last sign in which a start that is not heard of is still waited for.
pub const AWAITED_WINDOWS: u64 = 1;

/// Windows after its last sign for which a start is remembered.
const REMEMBERED_WINDOWS: u64 = 24;

/// Counts of one start of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartUsage {
    /// The start.
    pub start: StartId,
    /// Window in which the start began to count.
    pub since: Window,
    /// Window in which the start counts now; the counts of earlier ones are complete.
    pub open: Window,
    /// Runs by window and team.
    pub windows: BTreeMap<Window, WindowCounts>,
}

impl StartUsage {
    /// Creates the counts of a start that begins to count in the window `since`.
    pub fn new(start: StartId, since: Window) -> Self {
        Self { start, since, open: since, windows: BTreeMap::new() }
    }

    /// Counts one run.
    pub fn count(&mut self, window: Window, team: Arc<str>) {
        self.open = self.open.max(window);
        *self.windows.entry(window).or_default().begun.entry(team).or_default() += 1;
    }

    /// Counts that a run of this window, which was counted, has not been run.
    pub fn count_not_run(&mut self, window: Window, team: Arc<str>) {
        *self.windows.entry(window).or_default().not_run.entry(team).or_default() += 1;
    }

    /// Takes over what another state of the same start has counted.
    fn merge(&mut self, other: StartUsage) {
        self.since = self.since.min(other.since);
        self.open = self.open.max(other.open);
        for (window, counts) in other.windows {
            self.windows.entry(window).or_default().merge(counts);
        }
    }
}

/// Counts of all starts that are known.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    starts: HashMap<StartId, StartUsage>,
    /// Windows below this one are settled, so their counts are no longer needed.
    settled: Window,
    /// Instances whose starts are not known yet.
    roster: Roster,
}

impl UsageTable {
    /// Sets the instances whose counts a new holder lacks.
    pub fn set_roster(&mut self, roster: Roster) {
        self.roster = roster;
    }

    /// Returns the instances whose counts a new holder lacks.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Records that an instance has sent all that it has counted.
    pub fn record_joined(&mut self, instance: &Arc<str>) {
        self.roster.record_joined(instance);
    }

    /// Merges a state of a start.
    pub fn merge(&mut self, mut usage: StartUsage) {
        usage.windows = usage.windows.split_off(&self.settled);
        match self.starts.get_mut(&usage.start) {
            Some(known) => known.merge(usage),
            None => drop(self.starts.insert(usage.start, usage)),
        }
    }

    /// Returns the counts of a start, which begins to count in `window` if it is not known.
    pub fn start(&mut self, start: StartId, window: Window) -> &mut StartUsage {
        self.starts.entry(start).or_insert_with(|| StartUsage::new(start, window))
    }

    /// Returns the counts of a start; `None` if it is not known.
    pub fn get(&self, start: StartId) -> Option<&StartUsage> {
        self.starts.get(&start)
    }

    /// Returns the counts of all starts.
    pub fn all(&self) -> impl Iterator<Item = &StartUsage> {
        self.starts.values()
    }

    /// Returns the runs of each team in a window.
    pub fn sum(&self, window: Window) -> TeamCounts {
        let mut sum = TeamCounts::new();
        for counts in self.starts.values().filter_map(|start| start.windows.get(&window)) {
            for (team, count) in counts.runs().filter(|(_, count)| *count > 0) {
                *sum.entry(team.clone()).or_default() += count;
            }
        }
        sum
    }

    /// Returns whether all starts have completed a window, except those that have fallen silent before
    /// it, and no instance is missing whose start is not known.
    pub fn is_complete(&self, window: Window) -> bool {
        let mut all = self.starts.values();
        all.all(|start| start.open > window || start.open + AWAITED_WINDOWS < window)
            && self.roster.missing_in(window) == 0
    }

    /// Returns whether a start that is known began to count before a window, so that no run of the
    /// window went uncounted for want of a process.
    pub fn covers(&self, window: Window) -> bool {
        self.starts.values().any(|start| start.since < window)
    }

    /// Forgets the counts below the window `next`, and those too old to be kept at all. Forgets starts
    /// that have been silent for long.
    pub fn settle(&mut self, next: Window) {
        let newest = self.starts.values().map(|start| start.open).max().unwrap_or(0);
        self.settled = next.max(newest.saturating_sub(MAX_WINDOWS)).max(self.settled);
        for start in self.starts.values_mut() {
            start.windows = start.windows.split_off(&self.settled);
        }
        let is_needed = |start: &StartUsage| {
            !start.windows.is_empty() || start.open + REMEMBERED_WINDOWS >= newest
        };
        self.starts.retain(|_, start| is_needed(start));
    }

    /// Returns the first window whose counts are kept.
    pub fn settled(&self) -> Window {
        self.settled
    }
}
