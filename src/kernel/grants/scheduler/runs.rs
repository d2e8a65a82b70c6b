//! Start and end of runs, and what the scheduler records about their endpoints.

use std::{sync::Arc, time::Duration};

use super::Scheduler;
use crate::{
    catalog::Service,
    clock::Time,
    kernel::grants::{
        Action, ActiveGrant, Endpoint, GrantKey, GrantRequest, Outcome, SightedLoad, fetch::Fetch,
        forecast, forecast::Forecast, pace::Speeds, run::ActiveRun,
    },
};

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
        let start = RunStart { key: &key, request: &request, fetch: None };
        start_run(endpoint, &start, &service, &self.speeds, now);
        self.update_holders(&id);
        self.count_request(&id, now);
        self.endpoint_of.insert(key, id);
    }

    /// Records the load that the response to a request states.
    pub fn record_load(&mut self, key: &GrantKey, load: Option<SightedLoad>, now: Time) {
        let endpoint = self.endpoint_of.get(key).and_then(|id| self.endpoints.get_mut(id));
        let (Some(endpoint), Some(load)) = (endpoint, load) else { return };
        if endpoint.record_load(&load, now) {
            self.observations.record_load(&load.report);
        }
    }

    /// Records that the first event of a response has arrived.
    pub fn record_first_event(&mut self, key: &GrantKey, now: Time) {
        let Some(id) = self.endpoint_of.get(key).cloned() else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let Some(run) = endpoint.running.record_first_event(key, now) else { return };
        let request = run.request.clone();
        let work = request.work.clone();
        let (granted, forecast, pace) = (run.granted_at, run.forecast, run.pace);
        endpoint.record_reachable();
        if let Some(work) = &work {
            endpoint.confirm_adapter(work, granted);
            endpoint.kv_cache.finish_prefill(work);
            let ratio = now.since(granted).as_secs_f64() / forecast.first_event.as_secs_f64();
            self.observations.record_first_event(ratio);
        }
        // A fetch that failed would count as a slow prefill, so only runs without one show the speed.
        if let Some(work) = work.filter(|_| forecast.fetched_tokens == 0) {
            let whole = now.since(granted).as_secs_f64();
            let expected = (forecast.place + forecast.prefill).as_secs_f64();
            self.speeds.record_overhead(&work.model, whole, expected);
            // An engine prefills one prompt after the other, so this one took the time since the last
            // first event, or since its arrival. The pace may have changed since the grant.
            let speed = self.speeds.model(&work.model);
            let arrived = granted + Duration::from_secs_f64(speed.overhead);
            let begun = arrived.max(endpoint.pace.last_first_event);
            let pace = (pace + endpoint.pace.pace(now)) / 2.0;
            let measured = now.since(begun).as_secs_f64() / pace;
            let usual = forecast.prefill_tokens as f64 / forecast::PREFILL_TOKENS_PER_S;
            let ratio = endpoint.pace.start.ratio(now);
            endpoint.pace.start.record(measured, usual * speed.prefill, now);
            self.speeds.record_prefill(&work.model, measured / ratio, usual);
        }
        if request.work.is_some() {
            endpoint.pace.last_first_event = now;
        }
        correct_prefill(endpoint, &self.speeds, now);
        self.update_holders(&id);
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

    /// Returns the bound of the prefill without a break of each service, as a multiple of the pause that
    /// its routes allow.
    pub fn prefill_bounds(&self) -> Vec<(Arc<str>, f64)> {
        self.pauses.iter().map(|(service, pauses)| (service.clone(), pauses.factor())).collect()
    }

    /// Returns the longest prefill without a break at engines with running streams, for a request that
    /// can wait for the break. The most urgent ones need not.
    pub(super) fn max_prefill(&self, request: &GrantRequest) -> Option<Duration> {
        let max_pause = request.max_pause.filter(|_| request.priority > 0)?;
        Some(self.pauses.get(&request.service)?.max_prefill(max_pause))
    }

    /// Removes a queued request and refunds its tokens.
    pub fn cancel_waiting(&mut self, key: &GrantKey) {
        self.held.remove(key);
        if let Some(request) = self.delayed.remove(key) {
            self.refund(&request);
        }
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
        if let Some(work) = &run.request.work {
            match outcome {
                _ if run.started => {}
                Outcome::Whole => endpoint.kv_cache.finish_prefill(work),
                _ => endpoint.kv_cache.drop_prefill(work),
            }
            endpoint.kv_cache.end_run(work);
        }
        match outcome {
            Outcome::Whole => {
                endpoint.record_reachable();
                endpoint.failures.record(&data_centre, false, now);
                record_end(endpoint, &run, &mut self.speeds, now);
                let measured = now.since(run.granted_at).as_secs_f64();
                self.observations.record_end(measured / run.forecast.last_event.as_secs_f64());
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
        correct_prefill(endpoint, &self.speeds, now);
        self.update_holders(&id);
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
        self.held.remove_instance(instance);
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

/// A request that begins to run at an endpoint.
pub(super) struct RunStart<'a> {
    pub key: &'a GrantKey,
    pub request: &'a GrantRequest,
    /// Transfer of the beginning of its prompt, if there is one.
    pub fetch: Option<&'a Fetch>,
}

/// Records at an endpoint that a request was granted, and returns the times that are expected.
pub(super) fn start_run(
    endpoint: &mut Endpoint,
    start: &RunStart<'_>,
    service: &Service,
    speeds: &Speeds,
    now: Time,
) -> Forecast {
    let RunStart { key, request, fetch } = *start;
    let alone = match &request.work {
        Some(work) => {
            forecast::at_engine(endpoint, work, request.priority, speeds.model(&work.model), now)
        }
        None => forecast::at_plain(endpoint, speeds.service(&request.service), now),
    };
    let forecast = fetch.map_or(alone, |fetch| fetch.apply(&alone));
    if request.work.is_some() && service.engine.is_some() {
        endpoint.add_prefill(forecast.prefill, now);
    }
    let run = ActiveRun {
        request: request.clone(),
        granted_at: now,
        forecast,
        started: false,
        started_at: now,
        pace: endpoint.pace.pace(now),
        load: (endpoint.expected_requests(now) + 1.0)
            / f64::from(endpoint.pace.slots(endpoint.info.slots)),
    };
    endpoint.record_grant(key.clone(), run, now);
    if let Some(spec) = &service.engine {
        endpoint.kv_cache.limit(spec.kv_tokens);
    }
    forecast
}

/// Learns from a complete run how fast the endpoint decodes, or serves a plain service.
///
/// Only the time that the endpoint's own speed explains is passed to the average of all endpoints, so
/// that the two don't learn the same difference twice.
fn record_end(endpoint: &mut Endpoint, run: &ActiveRun, speeds: &mut Speeds, now: Time) {
    let pace = (run.pace + endpoint.pace.pace(now)) / 2.0;
    let measured = now.since(run.started_at).as_secs_f64() / pace;
    match &run.request.work {
        Some(work) if run.started && work.output_tokens > 1 => {
            // The expected time grows with the use of the engine in the same way.
            let measured = measured / (1.0 + endpoint.usage(now));
            let tokens = work.output_tokens as f64;
            let ratio = endpoint.pace.decode.ratio(now);
            endpoint.pace.decode.record(measured, speeds.model(&work.model).token * tokens, now);
            speeds.record_token(&work.model, measured / tokens / ratio);
        }
        Some(_) => {}
        None => {
            // Requests beyond the slots wait at the endpoint.
            let measured = measured / run.load.max(1.0);
            let ratio = endpoint.pace.start.ratio(now);
            endpoint.pace.start.record(measured, speeds.service(&run.request.service), now);
            speeds.record_service(&run.request.service, measured / ratio);
        }
    }
}

/// Limits the expected queued prefill of an endpoint to that of the runs without a first event.
fn correct_prefill(endpoint: &mut Endpoint, speeds: &Speeds, now: Time) {
    let queued = endpoint.running.queued_tokens();
    let remaining: Duration = queued
        .map(|(model, tokens)| forecast::prefill_time(endpoint, tokens, speeds.model(model), now))
        .sum();
    endpoint.prefill_end = endpoint.prefill_end.min(now + remaining);
}
