//! The queue: whether a request may wait, and which requests are granted next.

use std::{collections::HashSet, sync::Arc, time::Duration};

use super::{RETRY_AFTER_RANGE, Scheduler, Selection, is_same_kind};
use crate::{
    clock::Time,
    kernel::grants::{
        Action, Endpoint, GrantRequest, Reason, Refusal, VersionNeed, crash_causes::CrashCheck,
        queue::QueuedRequest,
    },
};

/// Expected time until a newly started instance knows the endpoints.
const STARTUP_WAIT: Duration = Duration::from_millis(400);

/// Expected time until a new leader can send orders to engines.
const LEADER_WAIT: Duration = Duration::from_millis(1_500);

/// Time for which a request waits for an engine to load its adapter.
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(400);

/// Expected rate at which an endpoint without a limit takes queued requests, a second.
const MAX_GRANT_RATE: f64 = 1.0 / 0.06;

/// Fraction of the time until its deadline for which a request may be expected to wait.
const MAX_EXPECTED_WAIT_FRACTION: f64 = 0.5;

/// What two requests have in common if the same endpoints can serve both.
#[derive(PartialEq, Eq, Hash)]
struct RequestKind {
    service: Arc<str>,
    model: Option<Arc<str>>,
    adapter: Option<Arc<str>>,
    version: VersionNeed,
}

impl RequestKind {
    fn of(request: &GrantRequest) -> Self {
        let work = request.work.as_ref();
        Self {
            service: request.service.clone(),
            model: work.map(|work| work.model.clone()),
            adapter: work.and_then(|work| work.adapter.clone()),
            version: request.version.clone(),
        }
    }
}

impl Scheduler {
    /// Returns how long a request is expected to wait behind others of its kind.
    pub(super) fn expected_wait(&self, request: &GrantRequest, now: Time) -> Duration {
        let same_kind = |w: &&QueuedRequest| {
            is_same_kind(&w.request, request) && w.request.priority <= request.priority
        };
        let ahead = self.queue.iter().filter(same_kind).count();
        let candidates = self.index.candidates(request).iter();
        let candidates: Vec<&Endpoint> =
            candidates.filter_map(|id| self.endpoints.get(id)).collect();
        let rate = match candidates.is_empty() {
            true => MAX_GRANT_RATE,
            false => candidates.iter().map(|endpoint| self.grant_rate(endpoint)).sum(),
        };
        let behind_others = Duration::try_from_secs_f64(ahead as f64 / rate);
        let limit_waits = candidates.iter().map(|endpoint| self.limit_wait(endpoint, now));
        let limit_wait = limit_waits.min().unwrap_or_default();
        behind_others.unwrap_or(Duration::MAX).saturating_add(limit_wait)
    }

    /// Returns the time until an endpoint that names a limit takes the next request.
    fn limit_wait(&self, endpoint: &Endpoint, now: Time) -> Duration {
        endpoint.rate_limit.map_or(Duration::ZERO, |limit| limit.wait(self.rate_share(), now))
    }

    /// Returns the expected rate at which an endpoint takes queued requests, a second.
    fn grant_rate(&self, endpoint: &Endpoint) -> f64 {
        let limit = endpoint.rate_limit.map(|limit| limit.usable_rate(self.rate_share()));
        limit.unwrap_or(MAX_GRANT_RATE).min(MAX_GRANT_RATE)
    }

    /// Returns a refusal if the request would wait too long.
    pub(super) fn refuse_long_wait(
        &self,
        queued: &QueuedRequest,
        wait: Duration,
    ) -> Option<Refusal> {
        let time_left = queued.request.deadline.since(queued.since);
        let retry = wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        (wait > time_left.mul_f64(MAX_EXPECTED_WAIT_FRACTION))
            .then_some(Refusal { reason: Reason::NoRoom, retry })
    }

    /// Returns a refusal unless the model of the request can be loaded in time.
    pub(super) fn refuse_unloadable(&self, queued: &QueuedRequest) -> Option<Refusal> {
        let request = &queued.request;
        if self.endpoints.is_empty() {
            return self.refuse_long_wait(queued, STARTUP_WAIT);
        }
        let usable = |e: &&Endpoint| e.info.service == request.service && !e.is_leaving();
        if !self.endpoints.values().any(|e| usable(&e)) {
            return Some(Refusal { reason: Reason::NoEndpoint, retry: Duration::from_millis(500) });
        }
        let load_time = self.min_load_time(request);
        let retry = load_time
            .unwrap_or(RETRY_AFTER_RANGE.1)
            .clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        let refusal = Refusal { reason: Reason::NoModel, retry };
        let leader_wait = if self.may_order() { Duration::ZERO } else { LEADER_WAIT };
        match load_time {
            Some(time) => self.refuse_long_wait(queued, time + leader_wait).map(|_| refusal),
            None => Some(refusal),
        }
    }

    /// Returns the shortest time in which an engine could load the model of a request.
    fn min_load_time(&self, request: &GrantRequest) -> Option<Duration> {
        let work = request.work.as_ref()?;
        let spec = self.engine_spec(&request.service)?;
        spec.models.get(&work.model)?;
        let engines = self.endpoints.values().filter(|e| e.info.service == request.service);
        engines.map(|engine| engine.load_time(spec, &work.model)).min()
    }

    /// Grants as many queued requests as the endpoints can take.
    pub(super) fn grant_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        let queue = std::mem::take(&mut self.queue);
        self.grant_or_requeue(queue, now, actions);
    }

    /// Grants queued requests that an endpoint could run, after the endpoint has gained capacity.
    pub(super) fn grant_queued_at(&mut self, id: &str, now: Time, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        let selected = self.queue.extract_if(.., |queued| {
            queued.request.service == endpoint.info.service
                && queued.request.work.as_ref().is_none_or(|work| endpoint.can_serve(&work.model))
        });
        let selected = selected.collect();
        self.grant_or_requeue(selected, now, actions);
    }

    /// Grants the selected requests in the order of their ranks while endpoints have capacity, and
    /// requeues or refuses the others.
    fn grant_or_requeue(
        &mut self,
        mut selected: Vec<QueuedRequest>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        selected.sort_by_cached_key(|queued| queued.rank(now));
        let mut full_kinds: HashSet<RequestKind> = HashSet::new();
        for mut queued in selected {
            let kind = RequestKind::of(&queued.request);
            if let Some((_, since)) = &queued.adapter_load {
                if now.since(*since) > ADAPTER_TIMEOUT {
                    queued.adapter_load = None;
                }
            } else if full_kinds.contains(&kind) {
                self.requeue_or_refuse(queued, now, actions);
                continue;
            }
            if self.check_crashes(&queued.request, now) == CrashCheck::Refuse {
                self.refund(&queued.request);
                actions.push(Action::Refuse(queued.key, Refusal::CRASHES));
                continue;
            }
            match self.select_endpoint(&queued.key, &queued.request, now) {
                Selection::Granted(grant) => {
                    actions.push(Action::Grant(queued.key, grant));
                    continue;
                }
                Selection::LoadingAdapter(endpoint) => {
                    self.collect_orders_of(&endpoint, now, actions);
                    let since = queued.adapter_load.map_or(now, |(_, since)| since);
                    queued.adapter_load = Some((endpoint, since));
                }
                Selection::AwaitsTrial => queued.adapter_load = None,
                Selection::Unavailable
                    if let Some(refusal) = self.refuse_missing_version(&queued.request) =>
                {
                    self.refund(&queued.request);
                    actions.push(Action::Refuse(queued.key, refusal));
                    continue;
                }
                Selection::Full | Selection::Unavailable => {
                    queued.adapter_load = None;
                    full_kinds.insert(kind);
                }
            }
            self.requeue_or_refuse(queued, now, actions);
        }
    }

    /// Puts a request back into the queue, or refuses it if it has waited too long.
    fn requeue_or_refuse(&mut self, queued: QueuedRequest, now: Time, actions: &mut Vec<Action>) {
        if !queued.is_overdue(now) {
            return self.queue.push(queued);
        }
        self.refund(&queued.request);
        let refusal = Refusal { reason: Reason::NoRoom, retry: RETRY_AFTER_RANGE.0 * 4 };
        actions.push(Action::Refuse(queued.key, refusal));
    }
}
