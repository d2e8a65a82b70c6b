//! Start and end of runs, and what the scheduler records about their endpoints.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::Scheduler;
use crate::{
    catalog::Service,
    clock::Time,
    kernel::grants::{
        Action, ActiveGrant, Endpoint, GrantKey, GrantRequest, Outcome, choice, endpoint::ActiveRun,
    },
};

/// Expected time from the grant to the first event, without the prefill.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(25);

/// Backoff after an endpoint rejected a request because it was full.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

/// Backoff after an endpoint rejected a request that fails if it must reject many in a second.
const BRITTLE_BACKOFF: Duration = Duration::from_millis(1_000);

impl Scheduler {
    /// Adopts a run that another scheduler granted.
    pub fn adopt(&mut self, key: GrantKey, granted: ActiveGrant, now: Time) {
        let ActiveGrant { request, endpoint: id } = granted;
        let Some(service) = self.catalog.services.get(&request.service).cloned() else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        start_run(endpoint, &key, &request, &service, 1.0, now);
        self.count_request(&id, now);
        self.endpoint_of.insert(key, id);
    }

    /// Records that the first event of a response has arrived.
    pub fn record_first_event(&mut self, key: &GrantKey, now: Time) {
        let Some(id) = self.endpoint_of.get(key).cloned() else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let Some(run) = endpoint.running.record_first_event(key) else { return };
        let request = run.request.clone();
        let work = request.work.clone();
        let (granted, queued_prefill, prefill_tokens) =
            (run.granted_at, run.queued_prefill, run.prefill_tokens);
        endpoint.record_reachable();
        if let Some(work) = work {
            endpoint.confirm_adapter(&work, granted);
            let model_slowdown = self.slowdowns.entry(work.model.clone()).or_insert(1.0);
            let own_prefill = Duration::from_secs_f64(
                prefill_tokens as f64 / 4e4 * *model_slowdown * endpoint.slowdown,
            );
            let ratio = now.since(granted).as_secs_f64()
                / (queued_prefill + own_prefill + FIRST_EVENT_OVERHEAD).as_secs_f64();
            let ratio = ratio.clamp(0.25, 4.0);
            *model_slowdown = (*model_slowdown * ratio.powf(0.06)).clamp(0.2, 3.0);
            endpoint.slowdown = (endpoint.slowdown * ratio.powf(0.1)).clamp(0.6, 6.0);
        }
        correct_prefill(endpoint, &self.slowdowns, now);
        self.record_origin(&id, &request, now);
        self.record_response(&id, granted);
        self.wake_endpoint(&id);
    }

    /// Records after how many refusals in a second the endpoint that runs a request fails; `None` if its
    /// response has not said so. What an earlier response said holds until a whole one says nothing.
    pub fn record_max_refusals(
        &mut self,
        key: &GrantKey,
        max_refusals: Option<u32>,
        outcome: Outcome,
    ) {
        let endpoint = self.endpoint_of.get(key).and_then(|id| self.endpoints.get_mut(id));
        if let Some(endpoint) = endpoint
            && (max_refusals.is_some() || outcome == Outcome::Whole)
        {
            endpoint.max_refusals = max_refusals;
        }
    }

    /// Records the longest pause between two events of a whole stream.
    pub fn record_pause(&mut self, key: &GrantKey, longest: Duration) {
        let endpoint = self.endpoint_of.get(key).and_then(|id| self.endpoints.get(id));
        let Some(run) = endpoint.and_then(|endpoint| endpoint.running.get(key)) else { return };
        let Some(max_pause) = run.request.max_pause else { return };
        let service = run.request.service.clone();
        self.pauses.entry(service).or_default().record(longest, max_pause);
    }

    /// Returns the longest prefill without a break at engines with running streams, for a request that
    /// can wait for the break. The most urgent ones need not.
    pub(super) fn max_prefill(&self, request: &GrantRequest) -> Option<Duration> {
        let max_pause = request.max_pause.filter(|_| request.priority > 0)?;
        Some(self.pauses.get(&request.service)?.max_prefill(max_pause))
    }

    /// Removes a queued request and refunds its tokens.
    pub fn cancel_waiting(&mut self, key: &GrantKey) {
        if let Some(queued) = self.queue.remove(key) {
            self.refund(&queued.request);
        }
    }

    /// Records how a granted request ended, or that the caller of a queued one disconnected.
    pub fn handle_outcome(&mut self, key: &GrantKey, outcome: Outcome, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.cancel_waiting(key);
        if let Some(endpoint) = self.end_run(key, outcome, now) {
            self.grant_queued_at(&endpoint, now, &mut actions);
        }
        actions
    }

    /// Ends a run and returns its endpoint, which has capacity again.
    fn end_run(&mut self, key: &GrantKey, outcome: Outcome, now: Time) -> Option<Arc<str>> {
        let id = self.endpoint_of.remove(key)?;
        let endpoint = self.endpoints.get_mut(&id)?;
        let run = endpoint.running.remove(key)?;
        let data_centre = run.request.data_centre.clone();
        match outcome {
            Outcome::Whole => {
                endpoint.record_reachable();
                endpoint.failures.record(&data_centre, false, now);
            }
            Outcome::Failed | Outcome::Silent | Outcome::Broke => {
                endpoint.failures.record(&data_centre, true, now);
            }
            Outcome::Unreached => endpoint.record_unreachable(now),
            Outcome::Full => {
                let backoff = if endpoint.is_brittle() { BRITTLE_BACKOFF } else { FULL_BACKOFF };
                endpoint.paused_until = endpoint.paused_until.max(now + backoff);
            }
            Outcome::Misplaced => endpoint.record_misplaced(now),
            Outcome::Leaving => endpoint.said_leaving = true,
            Outcome::CutOff | Outcome::Left => {}
        }
        correct_prefill(endpoint, &self.slowdowns, now);
        self.end_origin(run.request.stream, outcome, now);
        self.record_crash_evidence(&id, &run, outcome, now);
        if outcome.is_not_run() {
            self.refund(&run.request);
        }
        Some(id)
    }

    /// Removes the queued and the granted requests of an instance that has left.
    pub fn remove_instance(&mut self, instance: &str, now: Time) -> Vec<Action> {
        self.queue.remove_instance(instance);
        let keys: Vec<GrantKey> =
            self.endpoint_of.keys().filter(|key| &*key.instance == instance).cloned().collect();
        for key in keys {
            if let Some(endpoint) = self.end_run(&key, Outcome::Left, now) {
                self.wake_endpoint(&endpoint);
            }
        }
        self.tick(now)
    }
}

/// Records at an endpoint that a request was granted, with its expected prefill.
pub(super) fn start_run(
    endpoint: &mut Endpoint,
    key: &GrantKey,
    request: &GrantRequest,
    service: &Service,
    model_slowdown: f64,
    now: Time,
) {
    let (mut prefill_tokens, mut cache_capacity) = (0, 0);
    let queued_prefill = endpoint.prefill_end.since(now);
    if let (Some(work), Some(spec)) = (&request.work, &service.engine) {
        let (tokens, prefill) = choice::estimate_prefill(endpoint, work, model_slowdown);
        prefill_tokens = tokens;
        endpoint.add_prefill(prefill, now);
        cache_capacity = spec.kv_tokens.saturating_sub(endpoint.reserved_tokens());
    }
    let run = ActiveRun {
        request: request.clone(),
        granted_at: now,
        prefill_tokens,
        queued_prefill,
        started: false,
    };
    endpoint.record_grant(key.clone(), run, cache_capacity, now);
}

/// Limits the expected queued prefill of an endpoint to that of the runs without a first event.
fn correct_prefill(endpoint: &mut Endpoint, slowdowns: &HashMap<Arc<str>, f64>, now: Time) {
    let seconds = endpoint
        .running
        .queued_tokens()
        .map(|(model, tokens)| tokens as f64 / 4e4 * slowdowns.get(model).copied().unwrap_or(1.0));
    let seconds: f64 = seconds.sum();
    let remaining = Duration::from_secs_f64(seconds * endpoint.slowdown);
    endpoint.prefill_end = endpoint.prefill_end.min(now + remaining);
}
