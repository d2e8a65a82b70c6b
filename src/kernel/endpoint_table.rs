//! The entries of all endpoints, as an instance knows them from the store or from the leader.
//!
//! A store that returns from an older copy lists endpoints that have left, calls those ready that
//! drain, and lacks those that have started since, until the endpoints write their entries again. What
//! was known before therefore holds until then, or for a while.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::grants::{EndpointEntry, Incarnation};
use crate::clock::Time;

/// Time for which an entry stays in use that a new era of the store lacks.
const MISSING_GRACE: Duration = Duration::from_secs(2);

/// Time after which the entries of a new era hold as they are. An endpoint that has left loses its
/// entry by then.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Time for which a removed endpoint is remembered.
const REMOVED_TTL: Duration = Duration::from_secs(120);

/// A removed endpoint.
#[derive(Clone, Copy, Debug)]
struct Removed {
    incarnation: Incarnation,
    at: Time,
}

/// What holds for an endpoint after a return of the store, until its entry is written again.
#[derive(Clone, Debug)]
struct Doubt {
    /// The entry that the new era had when it was read; `None` if it had none.
    read: Option<EndpointEntry>,
    /// When the entry that was read holds.
    until: Time,
}

/// An endpoint that an instance knows to drain or to be gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingEndpoint {
    /// Name of the endpoint.
    pub id: Arc<str>,
    /// Latest incarnation that leaves.
    pub incarnation: Incarnation,
    /// Whether the endpoint is gone.
    pub gone: bool,
}

/// What an instance knows of an incarnation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Nothing speaks against requests to it.
    Usable,
    /// It drains, which no incarnation takes back.
    Draining,
    /// Its entry was removed. The endpoint may have written it again since.
    Gone,
}

/// What another instance knew of a leaving endpoint.
#[derive(Clone, Debug)]
struct Told {
    /// Era of the store in which the instance knew it.
    era: u64,
    endpoint: LeavingEndpoint,
    /// When this instance was told.
    at: Time,
}

/// The entries of all endpoints.
#[derive(Debug, Default)]
pub struct EndpointTable {
    /// Era of the store that the entries come from; `None` before the first ones.
    era: Option<u64>,
    entries: HashMap<Arc<str>, EndpointEntry>,
    removed: HashMap<Arc<str>, Removed>,
    doubts: HashMap<Arc<str>, Doubt>,
    told: Vec<Told>,
}

impl EndpointTable {
    /// Returns the entries.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.values()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry of an endpoint; `None` if it has none.
    pub fn get(&self, id: &str) -> Option<&EndpointEntry> {
        self.entries.get(id)
    }

    /// Replaces all entries by those that were read from the store in `era`.
    pub fn load(&mut self, era: u64, entries: impl IntoIterator<Item = EndpointEntry>, now: Time) {
        let read = entries.into_iter().map(|entry| (entry.id.clone(), entry));
        let mut read: HashMap<Arc<str>, EndpointEntry> = read.collect();
        let has_returned = self.era.is_some_and(|known| era > known);
        self.era = Some(era).max(self.era);
        self.forget_removed(now);
        let known: Vec<EndpointEntry> = self.entries.values().cloned().collect();
        for entry in known {
            match read.remove(&entry.id) {
                None if has_returned => self.doubt(&entry.id, None, now + MISSING_GRACE),
                None if self.is_missing(&entry.id) => {}
                None => {
                    self.remove(&entry.id, now);
                }
                Some(newer) if has_returned => self.apply_returned(entry, newer, now),
                Some(newer) => self.apply_read(newer),
            }
        }
        for entry in read.into_values() {
            let is_removed = |removed: &Removed| entry.incarnation.0 <= removed.incarnation.0;
            if has_returned && self.removed.get(&entry.id).is_some_and(is_removed) {
                let id = entry.id.clone();
                self.doubt(&id, Some(entry), now + SETTLE_TIME);
            } else {
                self.apply_read(entry);
            }
        }
        self.apply_told(now);
    }

    /// Applies an entry that was read again. One that is in doubt and has not changed stays so.
    fn apply_read(&mut self, entry: EndpointEntry) {
        match self.doubts.get(&entry.id) {
            Some(doubt) if doubt.read.as_ref() == Some(&entry) => {}
            Some(_) => {
                self.put(entry);
            }
            None => {
                self.removed.remove(&entry.id);
                self.entries.insert(entry.id.clone(), entry);
            }
        }
    }

    /// Returns whether the new era lacked an entry when it was read, and may get it yet.
    fn is_missing(&self, id: &str) -> bool {
        self.doubts.get(id).is_some_and(|doubt| doubt.read.is_none())
    }

    /// Applies an entry of a new era to one that was known before. An endpoint does not go back from
    /// draining to ready, nor to an earlier start.
    fn apply_returned(&mut self, known: EndpointEntry, read: EndpointEntry, now: Time) {
        if read.incarnation.0 > known.incarnation.0 {
            self.entries.insert(read.id.clone(), read);
            return;
        }
        let is_same_start = read.incarnation == known.incarnation;
        let draining = known.draining || (is_same_start && read.draining);
        self.doubt(&known.id, Some(read), now + SETTLE_TIME);
        self.entries.insert(known.id.clone(), EndpointEntry { draining, ..known });
    }

    fn doubt(&mut self, id: &Arc<str>, read: Option<EndpointEntry>, until: Time) {
        self.doubts.insert(id.clone(), Doubt { read, until });
    }

    /// Applies an entry that an endpoint has written, or that the leader has sent. Returns whether it
    /// differs from the one in use: endpoints write their entries each second, most of them unchanged.
    pub fn put(&mut self, entry: EndpointEntry) -> bool {
        self.doubts.remove(&entry.id);
        self.removed.remove(&entry.id);
        self.told.retain(|told| told.endpoint.id != entry.id);
        if self.entries.get(&entry.id) == Some(&entry) {
            return false;
        }
        self.entries.insert(entry.id.clone(), entry);
        true
    }

    /// Removes an endpoint. Returns whether it was in use.
    pub fn remove(&mut self, id: &str, now: Time) -> bool {
        self.doubts.remove(id);
        let Some(entry) = self.entries.remove(id) else { return false };
        let removed = Removed { incarnation: entry.incarnation, at: now };
        self.removed.insert(entry.id, removed);
        true
    }

    /// Returns what is known of an incarnation of an endpoint that another instance takes for ready.
    pub fn presence(&self, id: &str, incarnation: Incarnation) -> Presence {
        let is_gone = |removed: &Removed| incarnation.0 <= removed.incarnation.0;
        match self.entries.get(id) {
            Some(entry) if entry.draining && entry.incarnation == incarnation => Presence::Draining,
            None if self.removed.get(id).is_some_and(is_gone) => Presence::Gone,
            _ => Presence::Usable,
        }
    }

    /// Returns the era of the store that the entries come from; `None` before the first ones.
    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// Returns the endpoints that are known to leave, for a leader that knows only the store's new era.
    pub fn leaving(&self) -> Vec<LeavingEndpoint> {
        let draining = self.entries.values().filter(|entry| entry.draining);
        let draining = draining.map(|entry| (&entry.id, entry.incarnation, false));
        let gone = self.removed.iter().map(|(id, removed)| (id, removed.incarnation, true));
        let all = draining.chain(gone);
        all.map(|(id, incarnation, gone)| LeavingEndpoint { id: id.clone(), incarnation, gone })
            .collect()
    }

    /// Applies what another instance knew in `era` of leaving endpoints. It counts once the entries come
    /// from a later era, until the endpoints write their entries.
    pub fn apply_leaving(&mut self, era: u64, leaving: Vec<LeavingEndpoint>, now: Time) {
        let told = leaving.into_iter().map(|endpoint| Told { era, endpoint, at: now });
        self.told.extend(told);
        self.apply_told(now);
    }

    fn apply_told(&mut self, now: Time) {
        self.told.retain(|told| now.since(told.at) < SETTLE_TIME);
        for Told { era, endpoint, .. } in self.told.clone() {
            if self.era.is_none_or(|known| era >= known) || self.doubts.contains_key(&endpoint.id) {
                continue;
            }
            let Some(entry) = self.entries.get_mut(&endpoint.id) else { continue };
            if entry.incarnation.0 > endpoint.incarnation.0 {
                continue;
            }
            let read = Some(entry.clone());
            entry.draining = true;
            if endpoint.gone {
                self.entries.remove(&endpoint.id);
            }
            self.doubt(&endpoint.id, read, now + SETTLE_TIME);
        }
    }

    /// Replaces all entries by those that a leader has sent, whose table is of `era`.
    pub fn replace(&mut self, era: u64, entries: Vec<EndpointEntry>, now: Time) {
        self.replace_where(era, |_| true, entries, now);
    }

    /// Replaces the entries whose names `is_sent` by those that a leader has sent, whose table is of
    /// `era`. All others are the same in its table. Returns the names of the entries that have changed.
    pub fn replace_where(
        &mut self,
        era: u64,
        is_sent: impl Fn(&str) -> bool,
        entries: Vec<EndpointEntry>,
        now: Time,
    ) -> Vec<Arc<str>> {
        self.era = Some(era).max(self.era);
        let kept: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        let is_lost = |id: &&Arc<str>| is_sent(id) && !kept.contains(*id);
        let mut changed: Vec<Arc<str>> = self.entries.keys().filter(is_lost).cloned().collect();
        for id in &changed {
            self.remove(id, now);
        }
        self.doubts.clear();
        for entry in entries {
            let id = entry.id.clone();
            if self.put(entry) {
                changed.push(id);
            }
        }
        changed
    }

    /// Lets the entries hold as they were read where their endpoints have not written them in time.
    /// Returns whether entries have changed.
    pub fn settle(&mut self, now: Time) -> bool {
        let due = self.doubts.extract_if(|_, doubt| now >= doubt.until);
        let due: Vec<(Arc<str>, Doubt)> = due.collect();
        for (id, doubt) in &due {
            match &doubt.read {
                Some(entry) => self.put(entry.clone()),
                None => self.remove(id, now),
            };
        }
        !due.is_empty()
    }

    fn forget_removed(&mut self, now: Time) {
        self.removed.retain(|_, removed| now.since(removed.at) < REMOVED_TTL);
    }
}
