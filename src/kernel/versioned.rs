//! A table whose changes are sent to many receivers.
//!
//! A receiver gets the whole table once, and after that only the entries that have changed. One that
//! falls behind gets the newest state of each changed entry instead of all changes in turn, so its
//! backlog is never larger than the table.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// Removals that are remembered. A receiver that has missed an older one gets the whole table.
const MAX_REMOVALS: usize = 4_096;

/// Version of a table; it grows with each update that changes the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(u64);

/// A value with the version in which it was last changed.
#[derive(Clone, Debug)]
struct Entry<V> {
    value: V,
    changed: Version,
}

/// A table that knows in which version each of its entries was last changed.
#[derive(Clone, Debug)]
pub struct VersionedTable<V> {
    version: Version,
    entries: HashMap<Arc<str>, Entry<V>>,
    /// Names of removed entries with the version of their removal, the oldest first.
    removals: VecDeque<(Version, Arc<str>)>,
    /// Version after which all removals are remembered.
    complete_after: Version,
}

/// What a receiver needs to reach the newest version of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes<V> {
    /// Whether `changed` is the whole table, so that the receiver removes all other entries.
    pub full: bool,
    /// Entries that are new or have changed.
    pub changed: Vec<V>,
    /// Names of the entries that were removed.
    pub removed: Vec<Arc<str>>,
}

impl<V> Default for VersionedTable<V> {
    fn default() -> Self {
        Self {
            version: Version::default(),
            entries: HashMap::new(),
            removals: VecDeque::new(),
            complete_after: Version::default(),
        }
    }
}

impl<V: Clone> VersionedTable<V> {
    /// Returns the newest version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the value of an entry.
    pub fn get(&self, name: &str) -> Option<&V> {
        self.entries.get(name).map(|entry| &entry.value)
    }

    /// Returns the values of all entries.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.entries.values().map(|entry| &entry.value)
    }

    /// Replaces the content of the table. An entry for which `differs` returns `false` keeps its old
    /// value. Returns whether the table has changed.
    pub fn replace(
        &mut self,
        current: impl IntoIterator<Item = (Arc<str>, V)>,
        differs: impl Fn(&V, &V) -> bool,
    ) -> bool {
        let next = Version(self.version.0 + 1);
        let mut old = std::mem::take(&mut self.entries);
        let mut changed = false;
        for (name, value) in current {
            let entry = match old.remove(&name) {
                Some(known) if !differs(&known.value, &value) => known,
                _ => {
                    changed = true;
                    Entry { value, changed: next }
                }
            };
            self.entries.insert(name, entry);
        }
        changed |= !old.is_empty();
        self.removals.extend(old.into_keys().map(|name| (next, name)));
        while self.removals.len() > MAX_REMOVALS {
            if let Some((version, _)) = self.removals.pop_front() {
                self.complete_after = version;
            }
        }
        if changed {
            self.version = next;
        }
        changed
    }

    /// Returns the changes after `version`, or the whole table if the receiver has none yet or is
    /// too far behind. Returns `None` if the receiver has the newest version.
    pub fn changes_after(&self, version: Option<Version>) -> Option<Changes<V>> {
        let known = version.filter(|version| *version >= self.complete_after);
        if known == Some(self.version) {
            return None;
        }
        let is_newer = |changed: Version| known.is_none_or(|known| changed > known);
        let changed = self.entries.values().filter(|entry| is_newer(entry.changed));
        let removed = self.removals.iter().rev().take_while(|(version, _)| is_newer(*version));
        let removed = removed.filter(|(_, name)| !self.entries.contains_key(name));
        Some(Changes {
            full: known.is_none(),
            changed: changed.map(|entry| entry.value.clone()).collect(),
            removed: match known {
                Some(_) => removed.map(|(_, name)| name.clone()).collect(),
                None => Vec::new(),
            },
        })
    }
}
