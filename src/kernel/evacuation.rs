//! Which data centres are out of service.
//!
//! A store that returns from an older copy may have lost that a data centre was taken out, until the
//! operators write it again. What was known before therefore holds for a while longer.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::revision::Revision;
use crate::clock::Time;

/// Time for which a data centre stays out of service that a new era of the store does not list.
const RETURN_GRACE: Duration = Duration::from_secs(5);

/// The data centres that are out of service.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Revision at which the list was read; zero before the first time.
    revision: Revision,
    /// The list of the store.
    listed: BTreeSet<String>,
    /// Data centres that were out of service in an earlier era and are not listed in this one, and
    /// until when they stay out of service.
    held: BTreeMap<String, Time>,
}

impl Evacuations {
    /// Returns the revision at which the list was read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the list of the store, in the order of the names.
    pub fn listed(&self) -> impl Iterator<Item = &str> {
        self.listed.iter().map(|name| &**name)
    }

    /// Applies a list of the store that was read at `revision`. Returns whether it has changed; an
    /// older list changes nothing, but that of an earlier era holds for a while.
    pub fn apply(&mut self, revision: Revision, listed: BTreeSet<String>, now: Time) -> bool {
        if revision <= self.revision {
            if revision.era() < self.revision.era() {
                let lost = listed.into_iter().filter(|name| !self.listed.contains(name));
                let lost: Vec<String> = lost.collect();
                self.hold(lost, now);
            }
            return false;
        }
        if revision.era() > self.revision.era() {
            let known = self.in_force(now);
            self.hold(known, now);
        }
        // Once a data centre is listed again, its next removal from the list is the operators'.
        self.held.retain(|name, _| !listed.contains(name));
        let changed = listed != self.listed;
        self.revision = revision;
        self.listed = listed;
        changed
    }

    fn hold(&mut self, names: impl IntoIterator<Item = String>, now: Time) {
        for name in names {
            self.held.entry(name).or_insert(now + RETURN_GRACE);
        }
    }

    /// Returns whether data centres are out of service at `now` that the store does not list.
    pub fn holds_any(&self, now: Time) -> bool {
        self.held.values().any(|until| now < *until)
    }

    /// Returns the data centres that are out of service at `now`.
    pub fn in_force(&self, now: Time) -> BTreeSet<String> {
        let held = self.held.iter().filter(|(_, until)| now < **until).map(|(name, _)| name);
        self.listed.iter().chain(held).cloned().collect()
    }
}
