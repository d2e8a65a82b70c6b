//! The timeline: recent events of one instance, ordered so that several timelines can be merged.
//!
//! Each entry has a Lamport clock. Frames between instances carry the clock as well, so that an
//! effect on one instance always sorts after its cause on another.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicU64, Ordering},
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{clock, events::Event, names::InstanceId};

/// Maximum number of entries in each of a timeline's two lists: events about requests, and others.
const MAX_ENTRIES: usize = 4_096;

/// Maximum length of an entry's detail in bytes.
const MAX_DETAIL_BYTES: usize = 300;

/// First number of the events about single requests.
const FIRST_REQUEST_EVENT: u32 = 2_101;

/// First number after those of the events about single requests.
const REQUEST_EVENTS_END: u32 = 2_200;

/// One event of one instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Lamport clock of the event.
    pub clock: u64,
    /// Wall-clock time in milliseconds since the Unix epoch, for display only.
    pub wall_ms: u64,
    /// Instance that recorded the event.
    pub instance: InstanceId,
    /// Number of the event, see `docs/EVENTS.md`.
    pub event: u32,
    /// Name of the event.
    pub name: String,
    /// Id of the request, order or other subject of the event.
    pub subject: String,
    /// Further facts as `name=value` words.
    pub detail: String,
}

/// A bounded record of the events of one instance.
///
/// Events about requests are kept separately, so that many requests do not displace the rare events
/// that explain them.
#[derive(Debug)]
pub struct Timeline {
    instance: InstanceId,
    clock: AtomicU64,
    request_events: Mutex<VecDeque<Entry>>,
    other_events: Mutex<VecDeque<Entry>>,
}

impl Timeline {
    /// Creates an empty timeline.
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            clock: AtomicU64::new(0),
            request_events: Mutex::default(),
            other_events: Mutex::default(),
        }
    }

    /// Records an event in the timeline and the log.
    pub fn record(&self, event: Event, subject: impl Into<String>, detail: impl Into<String>) {
        let entry = Entry {
            clock: self.tick(),
            wall_ms: clock::wall_millis(),
            instance: self.instance.clone(),
            event: event.number(),
            name: event.name().to_owned(),
            subject: subject.into(),
            detail: sanitize_detail(detail.into()),
        };
        log::log!(
            target: "cardamomshore::event",
            event.level(),
            "E{} {} instance={} subject={} {}",
            entry.event, entry.name, entry.instance, entry.subject, entry.detail
        );
        metrics::counter!("cardamomshore_events_total", "event" => event.name()).increment(1);
        let is_request = (FIRST_REQUEST_EVENT..REQUEST_EVENTS_END).contains(&entry.event);
        let entries = if is_request { &self.request_events } else { &self.other_events };
        let mut entries = entries.lock();
        if entries.len() == MAX_ENTRIES {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// Advances the Lamport clock for an event or an outgoing frame and returns its new value.
    pub fn tick(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Sets the clock to that of an incoming frame if the frame's clock is higher.
    pub fn observe_clock(&self, clock: u64) {
        self.clock.fetch_max(clock, Ordering::Relaxed);
    }

    /// Returns the entries whose subject, detail or event name contains `filter`, ordered by clock.
    pub fn entries(&self, filter: &str) -> Vec<Entry> {
        let matches = |e: &&Entry| {
            e.subject.contains(filter) || e.detail.contains(filter) || e.name.contains(filter)
        };
        let matching = |entries: &Mutex<VecDeque<Entry>>| -> Vec<Entry> {
            entries.lock().iter().filter(matches).cloned().collect()
        };
        merge([matching(&self.request_events), matching(&self.other_events)])
    }
}

/// Merges the entries of several instances so that causes come before effects.
pub fn merge(lists: impl IntoIterator<Item = Vec<Entry>>) -> Vec<Entry> {
    let mut all: Vec<Entry> = lists.into_iter().flatten().collect();
    all.sort_by(|a, b| (a.clock, &a.instance).cmp(&(b.clock, &b.instance)));
    all
}

/// Returns a detail as a single line of at most [`MAX_DETAIL_BYTES`] bytes.
fn sanitize_detail(detail: String) -> String {
    let mut detail = detail.replace(char::is_control, " ");
    if detail.len() > MAX_DETAIL_BYTES {
        let end = (0..=MAX_DETAIL_BYTES).rev().find(|end| detail.is_char_boundary(*end));
        detail.truncate(end.unwrap_or_default());
    }
    detail
}

/// Returns entries as a JSON list of at most `limit` bytes, without the oldest ones if necessary.
pub fn newest_json(entries: &[Entry], limit: usize) -> String {
    let mut newest = entries;
    loop {
        let text = serde_json::to_string(newest).unwrap_or_default();
        if text.len() <= limit || newest.is_empty() {
            return text;
        }
        newest = &newest[newest.len().div_ceil(2)..];
    }
}

/// Returns an entry as one line of text.
///
/// The lines are ordered by the Lamport clock; the wall-clock time helps to compare them with logs.
pub fn format_line(entry: &Entry) -> String {
    let text = format!(
        "{:>8} {} {:<16} E{} {:<18} {} {}",
        entry.clock,
        time_of_day(entry.wall_ms),
        entry.instance,
        entry.event,
        entry.name,
        entry.subject,
        entry.detail
    );
    text.trim_end().to_owned()
}

/// Formats the time of day, in UTC, of a wall-clock time in milliseconds since the Unix epoch.
fn time_of_day(wall_ms: u64) -> String {
    let seconds = wall_ms / 1_000;
    let (hours, minutes) = (seconds / 3_600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{:03}", seconds % 60, wall_ms % 1_000)
}
