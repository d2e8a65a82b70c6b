//! The time line: recent events of one instance, ordered so that several can be merged.
//!
//! Each entry carries a Lamport clock. Frames between instances carry it too, so an effect on one
//! instance always sorts after its cause on another.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicU64, Ordering},
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{clock, events::Event, names::InstanceId};

const CAPACITY: usize = 8_192;

/// One event of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Lamport clock of the event.
    pub clock: u64,
    /// Wall-clock time in milliseconds since the Unix epoch, for display only.
    pub wall_ms: u64,
    /// The instance that recorded the event.
    pub instance: InstanceId,
    /// Number of the event, see `docs/EVENTS.md`.
    pub event: u32,
    /// Name of the event.
    pub name: String,
    /// Request, order or other id that the event is about.
    pub subject: String,
    /// Further facts as `name=value` words.
    pub detail: String,
}

/// A bounded record of the events of one instance.
#[derive(Debug)]
pub struct Timeline {
    instance: InstanceId,
    clock: AtomicU64,
    entries: Mutex<VecDeque<Entry>>,
}

impl Timeline {
    /// Creates an empty time line.
    pub fn new(instance: InstanceId) -> Self {
        Self { instance, clock: AtomicU64::new(0), entries: Mutex::default() }
    }

    /// Records an event in the time line and the log.
    pub fn record(&self, event: Event, subject: impl Into<String>, detail: impl Into<String>) {
        let entry = Entry {
            clock: self.tick(),
            wall_ms: clock::wall_millis(),
            instance: self.instance.clone(),
            event: event.number(),
            name: event.name().to_owned(),
            subject: subject.into(),
            detail: detail.into(),
        };
        log::log!(
            target: "cardamomshore::event",
            event.level(),
            "E{} {} instance={} subject={} {}",
            entry.event, entry.name, entry.instance, entry.subject, entry.detail
        );
        let mut entries = self.entries.lock();
        if entries.len() == CAPACITY {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// Advances the clock for an event or an outgoing frame and returns it.
    pub fn tick(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Takes over the clock of an incoming frame if it is ahead.
    pub fn witness(&self, clock: u64) {
        self.clock.fetch_max(clock, Ordering::Relaxed);
    }

    /// Returns the entries whose subject or detail contains `filter`.
    pub fn entries(&self, filter: &str) -> Vec<Entry> {
        let matches = |e: &&Entry| e.subject.contains(filter) || e.detail.contains(filter);
        self.entries.lock().iter().filter(matches).cloned().collect()
    }
}

/// Merges the entries of several instances so that causes come before effects.
pub fn merge(lists: impl IntoIterator<Item = Vec<Entry>>) -> Vec<Entry> {
    let mut all: Vec<Entry> = lists.into_iter().flatten().collect();
    all.sort_by(|a, b| (a.clock, &a.instance).cmp(&(b.clock, &b.instance)));
    all
}
