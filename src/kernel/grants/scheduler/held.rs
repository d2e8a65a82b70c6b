//! Streams that wait until it is known whether all streams of their service began at one version.
//!
//! A process that has just started learns that within seconds. A caller that is refused meanwhile spends
//! one of its few retries.

use std::{collections::BTreeMap, time::Duration};

use super::{Scheduler, origins::UNKNOWN_REFUSAL};
use crate::{
    clock::Time,
    kernel::grants::{Action, GrantKey, GrantRequest, Origin},
};

/// Fraction of the time until its deadline for which a stream may wait. The rest is for its events, or for
/// a retry by the caller.
const MAX_HOLD_FRACTION: f64 = 0.5;

/// Interval at which the streams that wait are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Most streams that wait. Those of more callers are refused, which costs less memory.
const MAX_HELD: usize = 8_192;

/// Streams that go on in one tick, so that frames of the peers are handled in between.
const MAX_RELEASED_PER_TICK: usize = 256;

/// A stream that waits.
#[derive(Debug)]
struct HeldStream {
    request: GrantRequest,
    /// When it is refused.
    until: Time,
}

/// What to do with a stream that need not wait any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeldStep {
    Release,
    Refuse,
}

/// Streams that wait.
#[derive(Debug, Default)]
pub(super) struct HeldStreams {
    streams: BTreeMap<GrantKey, HeldStream>,
    checked_at: Time,
}

impl HeldStreams {
    /// Adds a stream, which waits until `until` at most.
    pub fn push(&mut self, key: GrantKey, request: GrantRequest, until: Time) {
        self.streams.insert(key, HeldStream { request, until });
    }

    /// Removes a stream that is no longer of use.
    pub fn remove(&mut self, key: &GrantKey) {
        self.streams.remove(key);
    }

    /// Removes the streams of an instance.
    pub fn remove_instance(&mut self, instance: &str) {
        self.streams.retain(|key, _| &*key.instance != instance);
    }
}

impl Scheduler {
    /// Returns the number of streams that wait for their version to be known.
    pub fn held_streams(&self) -> usize {
        self.held.streams.len()
    }

    /// Returns until when a stream may wait whose version is not known now; `None` if waiting is of no
    /// use, or too many wait.
    pub(super) fn hold_until(&self, request: &GrantRequest, now: Time) -> Option<Time> {
        let has_room = self.held_streams() < MAX_HELD;
        let is_useful = self.origins.is_settling(&request.service, now);
        let wait = request.deadline.since(now).mul_f64(MAX_HOLD_FRACTION);
        (has_room && is_useful).then(|| now + wait)
    }

    /// Lets streams go on whose version is known now, and refuses those that have waited too long or
    /// whose version will not be known.
    pub(super) fn release_held(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.held.streams.is_empty() || now.since(self.held.checked_at) < CHECK_INTERVAL {
            return;
        }
        self.held.checked_at = now;
        let streams = self.held.streams.iter();
        let due = streams.filter_map(|(key, held)| Some((key.clone(), self.held_step(held, now)?)));
        let due: Vec<(GrantKey, HeldStep)> = due.take(MAX_RELEASED_PER_TICK).collect();
        for (key, step) in due {
            let Some(held) = self.held.streams.remove(&key) else { continue };
            match step {
                HeldStep::Release => self.decide_request(key, held.request, now, actions),
                HeldStep::Refuse => actions.push(Action::Refuse(key, UNKNOWN_REFUSAL)),
            }
        }
    }

    /// Returns what to do with a stream; `None` if it waits on.
    fn held_step(&self, held: &HeldStream, now: Time) -> Option<HeldStep> {
        let HeldStream { request, until } = held;
        match self.origins.find(request.stream, &request.service, self.decider(), now) {
            Origin::Version(_) | Origin::OnlyOne => Some(HeldStep::Release),
            Origin::Unknown if now >= *until => Some(HeldStep::Refuse),
            Origin::Unknown if self.origins.has_several_versions(&request.service, now) => {
                Some(HeldStep::Refuse)
            }
            Origin::Unknown => None,
        }
    }
}
