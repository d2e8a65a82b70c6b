//! Whether all endpoints have written their entries since the entries were first read.
//!
//! A store that returns from a copy lacks the entries of endpoints that have started since the copy was
//! made. Each endpoint writes its entry with each of its heartbeats. Once the endpoints that are known
//! have all done so again and again for a whole interval, so have those that were missing.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::clock::Time;

/// Least time for which heartbeats are awaited. Entries are also written between heartbeats, so that
/// two writes may be closer together than a heartbeat's interval. An endpoint that the first read lacks and
/// that writes nothing for so long, since it is frozen or its interval is longer, is missed.
const MIN_ROUND: Duration = Duration::from_secs(2);

/// Heartbeats of an endpoint that were seen since its entry was first read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    /// None: the entry still has the number that was read, which the copy may have made old.
    Read(u64),
    /// The first one, with its number.
    First(u64),
}

/// The heartbeats that are awaited since the entries were first read in an era of the store.
#[derive(Clone, Debug)]
pub struct HeartbeatRound {
    era: u64,
    /// When the read began.
    began_at: Time,
    /// Endpoints that the read found and that have not shown a whole interval yet.
    awaited: HashMap<Arc<str>, Seen>,
    /// Whether an endpoint has shown a whole interval.
    has_interval: bool,
    /// When none was awaited any more; `None` before, and if all have left instead.
    done_at: Option<Time>,
}

/// The entry of an endpoint and the number of its heartbeat.
pub type Heartbeat = (Arc<str>, u64);

impl HeartbeatRound {
    /// Begins a round with the entries of a read in `era` that began at `began_at`.
    pub fn new(era: u64, entries: impl IntoIterator<Item = Heartbeat>, began_at: Time) -> Self {
        let entries = entries.into_iter().map(|(id, number)| (id, Seen::Read(number)));
        Self { era, began_at, awaited: entries.collect(), has_interval: false, done_at: None }
    }

    /// Returns the era of the store.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns when the entries were first read.
    pub fn began_at(&self) -> Time {
        self.began_at
    }

    /// Returns from when on all endpoints that run have written their entries; `None` if that is not
    /// known yet.
    pub fn complete_from(&self) -> Option<Time> {
        self.done_at.map(|at| at.max(self.began_at + MIN_ROUND))
    }

    /// Records an entry that was written, or read again. Endpoints that the first read did not find
    /// are not awaited.
    pub fn record(&mut self, id: &str, number: u64, now: Time) {
        let Some(seen) = self.awaited.get_mut(id) else { return };
        match *seen {
            Seen::Read(read) if number != read => *seen = Seen::First(number),
            // The endpoint has started again and counts from the beginning.
            Seen::First(first) if number < first => *seen = Seen::First(number),
            Seen::First(first) if number > first => {
                self.has_interval = true;
                self.remove(id, now);
            }
            Seen::Read(_) | Seen::First(_) => {}
        }
    }

    /// Records that an endpoint has no entry any more.
    pub fn remove(&mut self, id: &str, now: Time) {
        self.awaited.remove(id);
        if self.awaited.is_empty() && self.has_interval {
            self.done_at.get_or_insert(now);
        }
    }

    /// Records that all entries were read again.
    pub fn read_again(&mut self, entries: impl IntoIterator<Item = Heartbeat>, now: Time) {
        let entries: HashMap<Arc<str>, u64> = entries.into_iter().collect();
        for id in self.awaited.keys().cloned().collect::<Vec<_>>() {
            match entries.get(&id) {
                Some(number) => self.record(&id, *number, now),
                None => self.remove(&id, now),
            }
        }
    }
}
