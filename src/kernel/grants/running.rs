//! The runs of one endpoint, with sums that each evaluation of the endpoint needs.
//!
//! An evaluation must not walk over all runs: an engine has tens of them, and is evaluated for each
//! request that it may serve.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{GrantKey, ModelWork, run::ActiveRun};
use crate::clock::Time;

/// Priorities that are told apart in the sums.
const PRIORITIES: usize = 4;

/// Returns the position of a run's priority in the sums.
fn priority(run: &ActiveRun) -> usize {
    usize::from(run.request.priority).min(PRIORITIES - 1)
}

/// Sums over the runs of one model.
#[derive(Clone, Debug, Default)]
struct ModelRuns {
    /// Number of runs.
    count: usize,
    /// Number of runs with each adapter; never zero.
    adapters: HashMap<Arc<str>, usize>,
    /// Tokens to prefill of the runs without a first event.
    queued_tokens: u64,
}

/// The runs of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTable {
    runs: HashMap<GrantKey, ActiveRun>,
    /// Prompt and response tokens of all runs.
    reserved_tokens: u64,
    /// Tokens to prefill of the runs without a first event, by priority. The last stands for all that
    /// are less urgent.
    queued: [u64; PRIORITIES],
    /// Number of streams without a first event, and their tokens to prefill. Of other responses no first
    /// event is reported.
    queued_streams: (usize, u64),
    /// Sums of each model that has runs.
    models: HashMap<Arc<str>, ModelRuns>,
}

impl RunTable {
    /// Returns the number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether there is no run.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns a run.
    pub fn get(&self, key: &GrantKey) -> Option<&ActiveRun> {
        self.runs.get(key)
    }

    /// Returns whether a granted request runs.
    pub fn contains(&self, key: &GrantKey) -> bool {
        self.runs.contains_key(key)
    }

    /// Returns the upper bound of tokens that the runs use.
    pub fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    /// Returns the number of runs of a model.
    pub fn model_count(&self, model: &str) -> usize {
        self.models.get(model).map_or(0, |runs| runs.count)
    }

    /// Returns the priority of the most urgent run that uses an adapter of a model. It walks over all runs.
    pub fn most_urgent(&self, model: &str, adapter: &str) -> Option<u8> {
        let uses_adapter =
            |work: &ModelWork| &*work.model == model && work.adapter.as_deref() == Some(adapter);
        let runs = self.runs.values().map(|run| &run.request);
        let users = runs.filter(|request| request.work.as_ref().is_some_and(uses_adapter));
        users.map(|request| request.priority).min()
    }

    /// Returns whether a run uses an adapter of a model.
    pub fn uses_adapter(&self, model: &str, adapter: &str) -> bool {
        self.models.get(model).is_some_and(|runs| runs.adapters.contains_key(adapter))
    }

    /// Returns the tokens to prefill of the runs without a first event, by model.
    pub fn queued_tokens(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.models.iter().map(|(model, runs)| (model, runs.queued_tokens))
    }

    /// Returns the number of streams without a first event, and their tokens to prefill.
    pub fn queued_streams(&self) -> (usize, u64) {
        self.queued_streams
    }

    fn count_stream(&mut self, run: &ActiveRun, is_added: bool) {
        let (count, tokens) = &mut self.queued_streams;
        match (run.request.is_stream(), is_added) {
            (false, _) => {}
            (true, true) => (*count, *tokens) = (*count + 1, *tokens + run.forecast.prefill_tokens),
            (true, false) => {
                (*count, *tokens) = (*count - 1, *tokens - run.forecast.prefill_tokens);
            }
        }
    }

    /// Returns the part of the queued prefill that an engine does before that of a new request, since it
    /// is as urgent or more, or has begun.
    pub fn queued_fraction(&self, priority: u8) -> f64 {
        let all: u64 = self.queued.iter().sum();
        let before: u64 = self.queued.iter().take(usize::from(priority) + 1).sum();
        let begun = 1.0 / self.queued_streams.0.max(1) as f64;
        if all == 0 { 1.0 } else { begun.max(before as f64 / all as f64) }
    }

    /// Returns the expected ends of the runs, as `end` gives them.
    pub fn first_end(&self, end: impl Fn(&ActiveRun) -> Duration) -> Duration {
        self.runs.values().map(end).min().unwrap_or_default()
    }

    /// Adds a run, which replaces an earlier one with the same key.
    pub fn insert(&mut self, key: GrantKey, run: ActiveRun) {
        self.remove(&key);
        if let Some(work) = &run.request.work {
            self.reserved_tokens += work.prompt_tokens + work.output_tokens;
            let model = self.models.entry(work.model.clone()).or_default();
            model.count += 1;
            if let Some(adapter) = &work.adapter {
                *model.adapters.entry(adapter.clone()).or_default() += 1;
            }
            if !run.started {
                model.queued_tokens += run.forecast.prefill_tokens;
                self.queued[priority(&run)] += run.forecast.prefill_tokens;
                self.count_stream(&run, true);
            }
        }
        self.runs.insert(key, run);
    }

    /// Removes a run.
    pub fn remove(&mut self, key: &GrantKey) -> Option<ActiveRun> {
        let run = self.runs.remove(key)?;
        if let Some(work) = &run.request.work {
            self.reserved_tokens -= work.prompt_tokens + work.output_tokens;
            if !run.started {
                self.queued[priority(&run)] -= run.forecast.prefill_tokens;
                self.count_stream(&run, false);
            }
            self.remove_work(work, if run.started { 0 } else { run.forecast.prefill_tokens });
        }
        Some(run)
    }

    /// Subtracts the work of a run that has ended from the sums of its model.
    fn remove_work(&mut self, work: &ModelWork, queued_tokens: u64) {
        let Some(model) = self.models.get_mut(&work.model) else { return };
        model.count -= 1;
        model.queued_tokens -= queued_tokens;
        if let Some(adapter) = &work.adapter
            && let Some(count) = model.adapters.get_mut(adapter)
        {
            *count -= 1;
            if *count == 0 {
                model.adapters.remove(adapter);
            }
        }
        if model.count == 0 {
            self.models.remove(&work.model);
        }
    }

    /// Records the first event of a run. Returns the run, or `None` if it is not known or its first
    /// event was recorded before.
    pub fn record_first_event(&mut self, key: &GrantKey, now: Time) -> Option<&ActiveRun> {
        let run = self.runs.get_mut(key).filter(|run| !run.started)?;
        (run.started, run.started_at) = (true, now);
        if let Some(work) = &run.request.work
            && let Some(model) = self.models.get_mut(&work.model)
        {
            model.queued_tokens -= run.forecast.prefill_tokens;
            self.queued[priority(run)] -= run.forecast.prefill_tokens;
            let is_stream = run.request.is_stream();
            let tokens = run.forecast.prefill_tokens;
            if is_stream {
                self.queued_streams.0 -= 1;
                self.queued_streams.1 -= tokens;
            }
        }
        Some(run)
    }
}
