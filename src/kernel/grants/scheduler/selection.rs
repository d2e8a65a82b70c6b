//! Selection of an endpoint for a request, and the start of its run there.

use std::{sync::Arc, time::Duration};

use super::{Scheduler, runs, runs::RunStart};
use crate::{
    clock::Time,
    kernel::grants::{
        Action, Endpoint, Grant, GrantKey, GrantRequest, ModelWork, Reason, Refusal, VersionNeed,
        choice,
        choice::{Fit, FitContext},
        crash_causes::{CrashCheck, possible_causes},
        forecast::Decision,
        queue::{QueuedRequest, RequestKind},
    },
};

/// Time for which a request waits for an engine to load its adapter.
pub(super) const ADAPTER_TIMEOUT: Duration = Duration::from_millis(400);

/// What is known of the endpoints that a request may use.
#[derive(Clone, Debug)]
pub(super) enum Selection {
    /// The endpoint can run the request now.
    Ready(Arc<str>),
    /// The endpoint first has to load the adapter.
    NeedsAdapter {
        /// The endpoint.
        endpoint: Arc<str>,
        /// When the adapter is expected to be ready; `None` if its load was not ordered yet.
        ready_at: Option<Time>,
    },
    /// The request may cause a crash, and waits for the end of a run that shows whether it does.
    AwaitsTrial,
    /// Endpoints serve such requests but are full.
    Full {
        /// When one of them may take requests again without a further event, if one ever does.
        until: Option<Time>,
        /// Whether the same holds for all requests of the same model, or plain service, that are not
        /// more urgent.
        for_all: bool,
    },
    /// No endpoint has what the request needs.
    Unavailable {
        /// When this may change without a further event.
        until: Option<Time>,
    },
}

/// Returns the earlier of two times.
fn earlier(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    a.into_iter().chain(b).min()
}

impl Scheduler {
    /// Grants a request, queues it, or refuses it if waiting is of no use.
    pub(super) fn grant_or_queue(
        &mut self,
        key: GrantKey,
        request: GrantRequest,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let standing = self.standing(&request, now);
        let mut queued =
            QueuedRequest { key, request, standing, queued_at: now, adapter_load: None };
        let rank = queued.rank(u64::MAX, now);
        let first = self.queue.first_of_kind(&queued.request, now);
        let is_ahead = first.is_some_and(|first| {
            let loads = self.queue.get(first).is_some_and(|first| first.adapter_load.is_some());
            first < rank && !loads
        });
        // The queue has a time to be evaluated already if a request of the kind waits.
        let selection = match is_ahead || self.is_blocked(&queued, now) {
            true => Selection::Full { until: None, for_all: false },
            false => self.select_endpoint(&queued.request, now),
        };
        let refusal = match &selection {
            Selection::Ready(_) | Selection::Full { .. } => {
                match self.decide(&queued, &selection, &rank, now) {
                    Decision::Send(endpoint) => {
                        self.kind_shares.record_grant(&queued.request, now);
                        let grant = self.begin_run(&queued.key, &queued.request, &endpoint, now);
                        actions.extend(grant.map(|grant| Action::Grant(queued.key, grant)));
                        return;
                    }
                    Decision::Wait(_) => None,
                    Decision::Refuse(retry) => Some(Refusal { reason: Reason::NoRoom, retry }),
                }
            }
            Selection::NeedsAdapter { endpoint, .. } => {
                self.want_adapter(endpoint, &queued.request);
                self.collect_orders_of(endpoint, now, actions);
                queued.adapter_load = Some((endpoint.clone(), now));
                None
            }
            Selection::AwaitsTrial => None,
            Selection::Unavailable { .. } => self.refuse_unavailable(&queued, now),
        };
        match refusal {
            None => self.enqueue(queued, &selection, now),
            Some(refusal) => self.refuse(queued, refusal, now, actions),
        }
    }

    /// Returns whether an earlier evaluation has shown that the endpoints which could run the request
    /// are full, so that it need not be evaluated itself.
    fn is_blocked(&self, queued: &QueuedRequest, now: Time) -> bool {
        let request = &queued.request;
        let is_usual = request.tried.is_empty() && request.version == VersionNeed::Any;
        let max_tokens = self.engine_spec(&request.service).map_or(u64::MAX, |spec| spec.kv_tokens);
        let tokens =
            request.work.as_ref().map_or(0, |work| work.prompt_tokens + work.output_tokens);
        is_usual
            && tokens <= max_tokens
            && self.queue.is_blocked(queued)
            && self.check_crashes(request, now) == CrashCheck::Run
    }

    /// Returns a refusal unless an endpoint is expected to have what the request needs in time.
    fn refuse_unavailable(&mut self, queued: &QueuedRequest, now: Time) -> Option<Refusal> {
        let missing = self.refuse_missing_version(&queued.request);
        missing.or_else(|| match self.loaded_at(&queued.request) {
            Some(ready) => self.refuse_late(queued, ready.since(now), now),
            None => self.refuse_unloadable(queued, now),
        })
    }

    /// Queues a request after an evaluation with this result.
    fn enqueue(&mut self, queued: QueuedRequest, selection: &Selection, now: Time) {
        let request = queued.request.clone();
        let rank = self.queue.push(queued, now);
        match selection {
            Selection::AwaitsTrial => self.queue.park(rank),
            Selection::Full { for_all: true, .. } => {
                self.queue.block(rank);
                self.set_wake_time(&request, selection, now);
            }
            selection => self.set_wake_time(&request, selection, now),
        }
    }

    /// Sets the time at which the queue of a request is evaluated again by time alone.
    pub(super) fn set_wake_time(
        &mut self,
        request: &GrantRequest,
        selection: &Selection,
        now: Time,
    ) {
        let at = match selection {
            Selection::Full { until, .. } | Selection::Unavailable { until } => *until,
            Selection::NeedsAdapter { ready_at, .. } => {
                Some(ready_at.unwrap_or(now + ADAPTER_TIMEOUT))
            }
            Selection::Ready(_) | Selection::AwaitsTrial => None,
        };
        if let Some(at) = at {
            self.queue.wake_at(request, at);
        }
    }

    /// Refuses a request that was charged to its team.
    pub(super) fn refuse(
        &mut self,
        queued: QueuedRequest,
        refusal: Refusal,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.refund(&queued.request);
        self.refused.record(&queued.request, now);
        actions.push(Action::Refuse(queued.key, refusal));
    }

    /// Calls `evaluate` with what the evaluation of endpoints for a request depends on; `None` if its
    /// service does not exist.
    pub(super) fn with_context<T>(
        &self,
        request: &GrantRequest,
        now: Time,
        evaluate: impl FnOnce(&FitContext<'_>) -> T,
    ) -> Option<T> {
        let service = self.catalog.services.get(&request.service)?;
        let context = FitContext {
            service,
            may_order: self.may_order(),
            fill_fraction: self.fill_fraction(&request.service),
            rate_share: self.rate_share(),
            max_prefill: self.max_prefill(request),
            speed: self.model_speed(request),
            service_time: self.speeds.service(&request.service),
            holders: self.holder_search(request, now),
            now,
        };
        Some(evaluate(&context))
    }

    /// Selects the endpoint with the lowest cost.
    pub(super) fn select_endpoint(&self, request: &GrantRequest, now: Time) -> Selection {
        if self.check_crashes(request, now) == CrashCheck::Wait {
            return Selection::AwaitsTrial;
        }
        let selection =
            self.with_context(request, now, |context| self.select_among(request, context));
        selection.unwrap_or(Selection::Unavailable { until: None })
    }

    fn select_among(&self, request: &GrantRequest, context: &FitContext<'_>) -> Selection {
        let now = context.now;
        let mut best: Option<(Duration, bool, &Endpoint)> = None;
        let (mut full, mut until) = (false, None);
        let mut all_full = !matches!(request.version, VersionNeed::Exactly(_));
        for id in self.index.candidates(request) {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            if self.evacuated.contains(&endpoint.info.data_centre) {
                continue;
            }
            let (cost, ready) = match choice::evaluate(endpoint, request, context) {
                Fit::Ready(cost) => (cost, true),
                Fit::NeedsAdapter(cost) => (cost, false),
                Fit::Full { until: time, for_all } => {
                    full = true;
                    until = earlier(until, time);
                    all_full &= for_all;
                    continue;
                }
                Fit::Unsuitable => {
                    if endpoint.is_cold(now) && !context.may_order {
                        until = earlier(until, Some(endpoint.cold_until));
                    }
                    all_full &= endpoint.is_leaving();
                    continue;
                }
            };
            if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
                best = Some((cost, ready, endpoint));
            }
        }
        match best {
            Some((_, ready, endpoint)) => {
                // An adapter that was ordered a moment ago is not ready yet.
                let adapter = request.work.as_ref().and_then(|work| endpoint.adapter_state(work));
                let ready_at = adapter.map(|state| state.ready_at).filter(|at| *at > now);
                let endpoint = endpoint.info.id.clone();
                match ready && ready_at.is_none() {
                    true => Selection::Ready(endpoint),
                    false => Selection::NeedsAdapter { endpoint, ready_at },
                }
            }
            None if full => Selection::Full { until, for_all: all_full },
            None => Selection::Unavailable { until },
        }
    }

    /// Returns when the model of a request will be loaded, if an engine is loading it or will load
    /// it next.
    fn loaded_at(&self, request: &GrantRequest) -> Option<Time> {
        let work = request.work.as_ref()?;
        let spec = self.engine_spec(&request.service)?;
        let engines = self.endpoints.values().filter(|e| e.info.service == request.service);
        let times = engines.filter_map(|engine| {
            let loading = engine.loading.as_ref().filter(|(model, _)| *model == work.model);
            let swap = engine.swap.as_ref().filter(|swap| swap.load == work.model);
            let later = swap.map(|swap| swap.since + engine.load_time(spec, &work.model));
            loading.map(|(_, ready)| *ready).or(later)
        });
        times.min()
    }

    /// Records at an endpoint that a queued request needs an adapter, unless it is loading already.
    pub(super) fn want_adapter(&mut self, id: &str, request: &GrantRequest) {
        let Some(work) = &request.work else { return };
        let ModelWork { model, adapter: Some(adapter), .. } = work else { return };
        if let Some(endpoint) = self.endpoints.get_mut(id)
            && endpoint.adapter_state(work).is_none()
        {
            endpoint.want_adapter(model, adapter);
        }
    }

    /// Starts the run of a request at an endpoint.
    pub(super) fn begin_run(
        &mut self,
        key: &GrantKey,
        request: &GrantRequest,
        id: &Arc<str>,
        now: Time,
    ) -> Option<Grant> {
        let service = self.catalog.services.get(&request.service)?.clone();
        let fetch = self.choose_fetch(request, id, now);
        let endpoint = self.endpoints.get_mut(id)?;
        let grant = Grant {
            endpoint: id.clone(),
            address: endpoint.info.address,
            incarnation: endpoint.info.incarnation,
            version: endpoint.info.version.clone(),
            holder: fetch.as_ref().map(|fetch| fetch.address),
        };
        let start = RunStart { key, request, fetch: fetch.as_ref() };
        let forecast = runs::start_run(endpoint, &start, &service, &self.speeds, now);
        self.update_holders(id);
        if let Some(fetch) = &fetch {
            self.record_fetch(id, fetch, now);
        }
        if let Some(work) = &request.work {
            self.observations.record_prompt(work.prompt_tokens, &forecast);
            let part = forecast.prefill_tokens as f64 / work.prompt_tokens.max(1) as f64;
            self.speeds.record_uncached(&work.model, part.min(1.0));
            // Requests with the same prompt may queue longer at this engine from now on.
            if !work.parts.is_empty() && !self.queue.is_empty() {
                self.queue.wake(&RequestKind::of(request).group());
            }
        }
        self.count_request(id, now);
        self.endpoint_of.insert(key.clone(), id.clone());
        self.crash_causes.record_grant(&possible_causes(request), now);
        Some(grant)
    }
}
