//! Joins the parts of an answer that several attempts deliver.
//!
//! Events are numbered from one in the order in which the endpoint generates them. A part is passed
//! on when its number is the next one, so that a resumed attempt neither repeats nor skips.

use std::time::Duration;

/// What to do with a part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartAction {
    /// Pass it on.
    Deliver,
    /// Drop it; the caller has it already.
    Duplicate,
    /// Give the attempt up; an event before this one is missing.
    Gap,
}

/// What to do when an attempt ended without the endpoint's explicit end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterLoss {
    /// Nothing is missing: only the notice of the end was lost.
    Finish,
    /// Ask for the events after this many.
    Resume(u64),
    /// Cut the caller's body, since the rest cannot be had without repeating.
    Break,
}

/// What to do when an attempt says that the answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AtEnd {
    /// The answer is whole.
    Finish,
    /// The attempt ended before the endpoint's explicit end; treat it as lost.
    Lost,
}

/// How much of one answer the caller has.
#[derive(Clone, Debug, Default)]
pub struct Joiner {
    delivered: u64,
    complete: bool,
    raw: bool,
}

impl Joiner {
    /// Judges a part that ends with event `events`; zero stands for bytes without events.
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

    /// Judges bytes of an answer that is no stream of events, which cannot be resumed.
    fn accept_raw(&mut self) -> PartAction {
        if self.delivered > 0 {
            return PartAction::Gap;
        }
        self.raw = true;
        PartAction::Deliver
    }

    /// Judges an attempt's statement that the answer ended.
    pub fn at_end(&self) -> AtEnd {
        if self.complete || self.raw { AtEnd::Finish } else { AtEnd::Lost }
    }

    /// Decides how to go on after an attempt was lost.
    pub fn after_loss(&self) -> AfterLoss {
        if self.complete {
            AfterLoss::Finish
        } else if self.raw {
            AfterLoss::Break
        } else {
            AfterLoss::Resume(self.delivered)
        }
    }

    /// Returns the number of events that the caller has.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }
}

/// Shortest bound on the silence between two events of a stream.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Bound on that silence for background work, which engines set aside for more urgent work.
const BACKGROUND_EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Shortest bound on the time to the first byte of an answer that its length does not explain.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time that one token of a whole answer explains.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(150);

/// Factor over the class's target for the first token after which an endpoint counts as silent.
const TARGET_FACTOR: u32 = 2;

/// Returns how long an endpoint may stay silent before the first byte of its answer.
///
/// An answer that is not streamed shows nothing until its last token is generated. A class whose
/// target is long runs at a low priority, so that its first token may take long too.
pub fn first_byte_timeout(stream: bool, tokens: u64, target: Duration) -> Duration {
    let first = MIN_FIRST_BYTE_TIMEOUT.max(target.saturating_mul(TARGET_FACTOR));
    if stream {
        return first;
    }
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    first.saturating_add(TOKEN_TIMEOUT.saturating_mul(tokens))
}

/// Returns how long an endpoint may stay silent between two events of a stream.
pub fn event_timeout(background: bool) -> Duration {
    if background { BACKGROUND_EVENT_TIMEOUT } else { EVENT_TIMEOUT }
}
