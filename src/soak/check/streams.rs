//! Promises about streams that break off and go on.

use std::collections::{BTreeMap, BTreeSet};

use super::{Evidence, Violation};
use crate::soak::callers::{Attempt, Ending, Kind};

/// Take-ups from which the fraction of them that goes on is checked.
const MIN_TAKE_UPS: usize = 12;

/// Fraction of the served new streams of which at least as many take-ups must go on.
const MIN_TAKE_UP_RATIO: f64 = 0.5;

impl Evidence<'_> {
    /// Returns the software version whose events reached the caller, if any did.
    fn version_of(&self, attempt: &Attempt) -> Option<&str> {
        let has_events = match &attempt.ending {
            Ending::Whole { status: 200, .. } => true,
            Ending::Partial { status: 200, body } => !body.is_empty(),
            _ => false,
        };
        // The first run of an attempt brings its first event, unless it fails before.
        let mut runs = self.runs.iter().filter(|run| run.request == attempt.request);
        let first = runs.by_ref().next()?;
        let is_sure = runs.all(|run| run.version == first.version);
        (has_events && is_sure).then_some(&first.version)
    }

    /// A stream has events of one software version, in one answer and over a caller's tries.
    pub(super) fn check_versions(&self, all: &mut Vec<Violation>) {
        let mut versions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for attempt in self.attempts.iter().filter(|attempt| attempt.kind == Kind::Chat) {
            let stream = attempt.take_up.as_ref().map_or(&attempt.request, |it| &it.request);
            if let Some(version) = self.version_of(attempt) {
                versions.entry(stream).or_default().insert(version);
            }
        }
        let mut resumed: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for run in self.runs.iter().filter(|run| run.after > 0) {
            resumed.entry(&run.request).or_default().insert(&run.version);
        }
        let joined = versions.iter().chain(&resumed).filter(|(_, versions)| versions.len() > 1);
        for (stream, versions) in joined {
            let seen = format!("stream {stream} has events of {versions:?}");
            all.push(Violation { promise: "a stream has events of one version", seen });
        }
    }

    /// Streams that are taken up go on at least half as often as new ones begin, while engines of
    /// their version serve.
    pub(super) fn check_take_ups(&self, all: &mut Vec<Violation>) {
        let chats: Vec<&Attempt> = self
            .attempts
            .iter()
            .filter(|attempt| attempt.kind == Kind::Chat && !attempt.has_withdrawn_key)
            .filter(|attempt| self.is_in_contact(attempt.gateway, attempt.sent_at))
            .collect();
        let (taken_up, new): (Vec<&Attempt>, Vec<&Attempt>) =
            chats.into_iter().partition(|attempt| attempt.take_up.is_some());
        let owed: Vec<&Attempt> =
            taken_up.into_iter().filter(|attempt| self.has_version(attempt)).collect();
        if owed.len() < MIN_TAKE_UPS || new.is_empty() {
            return;
        }
        let served = |list: &[&Attempt]| {
            list.iter().filter(|attempt| attempt.status() == Some(200)).count() as f64
                / list.len() as f64
        };
        if served(&owed) < served(&new) * MIN_TAKE_UP_RATIO {
            let seen = format!("{:.2} of {} take-ups go on", served(&owed), owed.len());
            all.push(Violation { promise: "streams that are taken up go on", seen });
        }
    }

    /// Returns whether new streams began at the version of a stream around its take-up, at two
    /// engines at least.
    fn has_version(&self, attempt: &Attempt) -> bool {
        let Some(stream) = &attempt.take_up else { return false };
        let Some(begun) = self.runs.iter().find(|run| run.request == stream.request) else {
            return false;
        };
        let is_near = |at: crate::clock::Time| {
            at.since(attempt.sent_at) < super::READ_TIME * 5
                && attempt.sent_at.since(at) < super::READ_TIME * 5
        };
        let near = self.runs.iter().filter(|run| run.version == begun.version && is_near(run.at));
        let engines: BTreeSet<&str> =
            near.filter(|run| run.after == 0 && run.is_stream).map(|run| &*run.endpoint).collect();
        engines.len() >= 2
    }
}
