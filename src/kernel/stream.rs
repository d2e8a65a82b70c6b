//! Joins the parts of a response that several attempts deliver, and sets the timeouts of a
//! response.
//!
//! The entry instance passes each part on to the caller. Events are numbered from one in the order
//! in which the endpoint generates them, and a part is passed on only if its number is the next
//! one, so that a resumed attempt neither duplicates nor skips events.

use std::time::Duration;

/// What to do with a part of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartAction {
    /// Pass the part on to the caller.
    Deliver,
    /// Drop the part, since the caller already has it.
    Duplicate,
    /// Treat the attempt as lost, since an event before this part is missing.
    Gap,
}

/// What to do after an attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterLoss {
    /// End the response; no event is missing, only the message that it ended was lost.
    Finish,
    /// Make an attempt that resumes after this many events.
    Resume(u64),
    /// Cut off the caller's response body, since the response cannot be resumed.
    Break,
}

/// What to do when an attempt reports the end of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AtEnd {
    /// End the caller's response, which is complete.
    Finish,
    /// Treat the attempt as lost, since the endpoint's last event has not arrived.
    Lost,
}

/// Progress of one response: the parts that the caller has received.
#[derive(Clone, Debug, Default)]
pub struct Joiner {
    /// Number of events that the caller has received.
    delivered: u64,
    /// Whether the last event was delivered.
    complete: bool,
    /// Whether bytes without events were delivered.
    raw: bool,
}

impl Joiner {
    /// Records a part and returns what to do with it.
    ///
    /// `events` is the number of the part's event, or zero for bytes that are not events; `last`
    /// says whether the event is the last one of the response.
    pub fn accept_part(&mut self, events: u64, last: bool) -> PartAction {
        if events == 0 {
            return self.accept_raw();
        }
        if self.complete || events <= self.delivered {
            return PartAction::Duplicate;
        }
        if self.raw || events != self.delivered + 1 {
            return PartAction::Gap;
        }
        self.delivered = events;
        self.complete = last;
        PartAction::Deliver
    }

    /// Records bytes of a response that is not a stream of events and cannot be resumed.
    fn accept_raw(&mut self) -> PartAction {
        if self.delivered > 0 {
            return PartAction::Gap;
        }
        self.raw = true;
        PartAction::Deliver
    }

    /// Returns what to do when an attempt reports the end of the response.
    pub fn at_end(&self) -> AtEnd {
        if self.complete || self.raw { AtEnd::Finish } else { AtEnd::Lost }
    }

    /// Returns what to do after an attempt was lost.
    pub fn after_loss(&self) -> AfterLoss {
        if self.complete {
            AfterLoss::Finish
        } else if self.raw {
            AfterLoss::Break
        } else {
            AfterLoss::Resume(self.delivered)
        }
    }

    /// Returns the number of events that the caller has received.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }
}

/// Longest wait between two events of a stream.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait between two events of background work, which engines pause for more urgent work.
const BACKGROUND_EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Smallest timeout for the first byte, to which the time for the length of the response is added.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that each token adds to the timeout of a response that is not streamed.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(150);

/// Smallest timeout for the first byte as a multiple of the class's target latency.
const TARGET_FACTOR: u32 = 2;

/// Returns the longest wait for the first byte of an endpoint's response.
///
/// `target` is the target latency of the class. A response that is not streamed sends no byte until
/// its last token is generated, so its timeout grows with `tokens`. A class with a long target runs
/// at a low priority, so its first token may take long too.
pub fn first_byte_timeout(stream: bool, tokens: u64, target: Duration) -> Duration {
    let first = MIN_FIRST_BYTE_TIMEOUT.max(target.saturating_mul(TARGET_FACTOR));
    if stream {
        return first;
    }
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    first.saturating_add(TOKEN_TIMEOUT.saturating_mul(tokens))
}

/// Returns the longest wait between two events of a stream.
pub fn event_timeout(background: bool) -> Duration {
    if background { BACKGROUND_EVENT_TIMEOUT } else { EVENT_TIMEOUT }
}
