//! What the scheduler observes for metrics: errors of its forecasts, use of prefix caches, and paces.

use super::Scheduler;
use crate::kernel::grants::{forecast::Forecast, pace::LoadReport};

/// Values of one kind that are kept until they are taken. More arrive only if nobody takes them.
const MAX_VALUES: usize = 8_192;

/// What was observed since the last call of [`Scheduler::take_observations`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Ratios of the measured to the expected time from the grant to the first event.
    pub first_event_ratios: Vec<f64>,
    /// Ratios of the measured to the expected time from the grant to the end of a complete response.
    pub end_ratios: Vec<f64>,
    /// Paces that endpoints have reported.
    pub paces: Vec<f64>,
    /// Prompt tokens of granted requests that were expected to be cached.
    pub cached_tokens: u64,
    /// Prompt tokens of granted requests that were expected to be prefilled.
    pub prefill_tokens: u64,
    /// Prompt tokens of granted requests that were expected to be fetched.
    pub fetched_tokens: u64,
    /// Number of grants that name a holder to fetch from.
    pub fetches: u64,
}

/// Adds a value unless there are too many already.
fn push(values: &mut Vec<f64>, value: f64) {
    if values.len() < MAX_VALUES {
        values.push(value);
    }
}

impl Observations {
    pub(super) fn record_first_event(&mut self, ratio: f64) {
        push(&mut self.first_event_ratios, ratio);
    }

    pub(super) fn record_end(&mut self, ratio: f64) {
        push(&mut self.end_ratios, ratio);
    }

    pub(super) fn record_load(&mut self, report: &LoadReport) {
        if let Some(pace) = report.pace {
            push(&mut self.paces, pace);
        }
    }

    pub(super) fn record_prompt(&mut self, prompt_tokens: u64, forecast: &Forecast) {
        let Forecast { fetched_tokens, prefill_tokens, .. } = *forecast;
        self.cached_tokens += prompt_tokens.saturating_sub(prefill_tokens + fetched_tokens);
        self.prefill_tokens += prefill_tokens;
        self.fetched_tokens += fetched_tokens;
    }

    pub(super) fn record_fetch(&mut self) {
        self.fetches += 1;
    }
}

impl Scheduler {
    /// Returns what was observed since the last call.
    pub fn take_observations(&mut self) -> Observations {
        std::mem::take(&mut self.observations)
    }
}
