//! Instances from which a new holder has not heard yet.

use std::{collections::BTreeSet, sync::Arc};

use super::counts::{AWAITED_WINDOWS, Window};

/// Instances whose counts a new holder lacks.
///
/// A holder learns the start of an instance, and what it has counted, only when the instance joins.
/// Without the roster a window would seem complete before, since each start that is known has
/// completed it. A holder that has just started knows the number of instances only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// Window in which the holder was elected.
    since: Window,
    /// Members that are known by name and have not joined.
    missing: BTreeSet<Arc<str>>,
    joined: BTreeSet<Arc<str>>,
    /// Number of the other instances.
    others: usize,
}

impl Roster {
    /// Creates the roster of a holder that is elected in the window `since`, and knows these members
    /// and the number of instances besides itself.
    pub fn new(members: impl IntoIterator<Item = Arc<str>>, others: usize, since: Window) -> Self {
        let missing = members.into_iter().collect();
        Self { since, missing, joined: BTreeSet::new(), others }
    }

    /// Records that an instance has sent all that it has counted.
    pub fn record_joined(&mut self, instance: &Arc<str>) {
        self.missing.remove(instance);
        self.joined.insert(instance.clone());
    }

    /// Returns the number of instances whose counts of a window are missing. The last sign of an
    /// instance that has not joined is taken to be the election, so it is waited for as long as a
    /// known start.
    pub fn missing_in(&self, window: Window) -> usize {
        if window > self.since + AWAITED_WINDOWS {
            return 0;
        }
        self.missing.len().max(self.others.saturating_sub(self.joined.len()))
    }
}
