//! Bounds the time for which an engine prefills without a break.
//!
//! An engine prefills prompts in chunks between the tokens of its running streams, and each chunk
//! delays the next token of every stream. Where prompts follow one another without a break, the few
//! tokens of one event take several chunks, and the pause between two events may exceed what the
//! route allows although the engine does nothing wrong. How large chunks are is not known, so the
//! bound follows the pauses that streams report.

use std::time::Duration;

use super::Endpoint;
use crate::clock::Time;

/// Time in which an engine that prefills nothing produces at least one event of each stream.
const PREFILL_BREAK: Duration = Duration::from_millis(60);

/// Range of the bound, as multiples of the allowed pause. At the upper end the bound has no effect, as
/// no more than that is queued at an engine.
const FACTOR_RANGE: (f64, f64) = (0.25, 4.0);

/// Relative change of the bound after a stream that was paused for too long.
const DECREASE: f64 = 0.03;

/// Relative change of the bound after a stream without such a pause. The bound is stable where about
/// one stream in thirty is paused for too long.
const INCREASE: f64 = 0.001;

/// Bound of the prefill without a break for the engines of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseControl {
    /// Bound as a multiple of the allowed pause.
    factor: f64,
}

impl Default for PauseControl {
    fn default() -> Self {
        Self { factor: FACTOR_RANGE.1 }
    }
}

impl PauseControl {
    /// Records the longest pause of a stream whose route allows pauses up to `max_pause`.
    pub fn record(&mut self, longest: Duration, max_pause: Duration) {
        let change = if longest > max_pause { 1.0 - DECREASE } else { 1.0 + INCREASE };
        self.factor = (self.factor * change).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
    }

    /// Returns the bound as a multiple of the allowed pause.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Returns the longest prefill without a break at an engine with streams that allow pauses up to
    /// `max_pause`.
    pub fn max_prefill(&self, max_pause: Duration) -> Duration {
        max_pause.mul_f64(self.factor)
    }
}

impl Endpoint {
    /// Returns whether the engine has had no break of its prefill that lets running streams go on.
    pub(super) fn prefills_without_break(&self, now: Time) -> bool {
        now < self.prefill_break_end()
    }

    /// Returns when the engine has had a break of its prefill, if it gets no further prompt.
    pub(super) fn prefill_break_end(&self) -> Time {
        self.prefill_end + PREFILL_BREAK
    }

    /// Returns whether the engine would prefill for longer than `max_prefill` without a break if it took
    /// a prompt that takes `prefill`. The first prompt after a break is always taken.
    pub(super) fn needs_prefill_break(
        &self,
        prefill: Duration,
        max_prefill: Duration,
        now: Time,
    ) -> bool {
        let end = self.prefill_end.max(now) + prefill;
        self.prefills_without_break(now) && end.since(self.prefill_start) > max_prefill
    }
}
