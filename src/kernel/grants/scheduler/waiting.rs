//! The queue: whether a request may wait, and which requests are granted next.

use std::time::Duration;

use super::{
    RETRY_AFTER_RANGE, Scheduler,
    selection::{ADAPTER_TIMEOUT, Selection},
};
use crate::{
    clock::Time,
    kernel::grants::{
        Action, Endpoint, GrantRequest, Reason, Refusal, choice,
        choice::Fit,
        crash_causes::CrashCheck,
        queue::{GroupKey, QueuedRequest, Rank},
    },
};

/// Expected time until a newly started instance knows the endpoints.
const STARTUP_WAIT: Duration = Duration::from_millis(400);

/// Expected time until a new leader can send orders to engines.
const LEADER_WAIT: Duration = Duration::from_millis(1_500);

/// Queued requests that one tick may find blocked. It bounds the tick after a change that concerns many
/// queues; the next tick goes on with the others.
const MAX_BLOCKED_PER_TICK: usize = 128;

/// Queued requests that one tick may grant, so that frames of the peers are handled in between.
const MAX_SERVED_PER_TICK: usize = 512;

/// Queued requests that the end of a run may find blocked. Where more queues compete for the endpoint,
/// the next tick looks at the others.
const MAX_BLOCKED_PER_EVENT: usize = 4;

/// Requests waiting for a trial that one tick looks at. Each costs a search of the causes of crashes.
const MAX_TRIALS_PER_TICK: usize = 32;

/// Requests waiting for a trial that the end of a run looks at.
const MAX_TRIALS_PER_EVENT: usize = 4;

/// Result of an evaluation of the first request of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadStep {
    /// The request is granted or refused.
    Served,
    /// The request waits on.
    Blocked,
    /// The request waits on, as do all requests of its group that are not more urgent.
    GroupBlocked,
}

impl Scheduler {
    /// Returns a refusal unless the model of the request can be loaded in time.
    pub(super) fn refuse_unloadable(&self, queued: &QueuedRequest, now: Time) -> Option<Refusal> {
        let request = &queued.request;
        if self.endpoints.is_empty() {
            return self.refuse_late(queued, STARTUP_WAIT, now);
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
            Some(time) => self.refuse_late(queued, time + leader_wait, now).map(|_| refusal),
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

    /// Grants queued requests of the groups that must be evaluated, and refuses those that have waited
    /// too long.
    pub(super) fn grant_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.queue.wake_timed(now);
        self.queue.unpark(MAX_TRIALS_PER_TICK, now);
        let mut round = self.queue.due_round(now);
        let (mut blocked, mut served) = (0, 0);
        while blocked < MAX_BLOCKED_PER_TICK
            && served < MAX_SERVED_PER_TICK
            && let Some(head) = self.queue.take_head(&mut round)
        {
            match self.serve_head(head.rank, now, actions) {
                HeadStep::Served => served += 1,
                HeadStep::Blocked => blocked += 1,
                HeadStep::GroupBlocked => {
                    blocked += 1;
                    self.queue.block(head.rank);
                    if !self.queue.has_more_urgent(&round, head) {
                        continue;
                    }
                }
            }
            self.queue.go_on(&mut round, head, now);
        }
        self.queue.defer(round);
        while let Some(queued) = self.queue.pop_expired(now) {
            let refusal = Refusal { reason: Reason::NoRoom, retry: RETRY_AFTER_RANGE.0 * 4 };
            self.refuse(queued, refusal, now, actions);
        }
    }

    /// Grants queued requests that an endpoint could run, after the endpoint has gained capacity.
    pub(super) fn grant_queued_at(&mut self, id: &str, now: Time, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        // The run may have been the trial that requests wait for.
        self.queue.unpark(MAX_TRIALS_PER_EVENT, now);
        let Some(endpoint) = self.endpoints.get(id) else { return };
        if self.evacuated.contains(&endpoint.info.data_centre) {
            return;
        }
        let mut round = self.queue.round_of(groups_of(endpoint), now);
        let mut blocked = 0;
        while blocked < MAX_BLOCKED_PER_EVENT
            && let Some(head) = self.queue.take_head(&mut round)
        {
            if self.awaits_adapter(head.rank, id, now) {
                blocked += 1;
                self.queue.go_on(&mut round, head, now);
                continue;
            }
            // The other endpoints have not changed since the last evaluation, so that only this one
            // can make a difference.
            match self.evaluate_head(head.rank, id, now) {
                Some(Fit::Ready(_) | Fit::NeedsAdapter(_)) => {
                    let step = self.serve_head(head.rank, now, actions);
                    blocked += usize::from(step != HeadStep::Served);
                }
                Some(Fit::Full { for_all: true, .. }) => {
                    blocked += 1;
                    self.queue.skip_less_urgent(&mut round, head);
                    if !self.queue.has_more_urgent(&round, head) {
                        continue;
                    }
                }
                Some(Fit::Full { .. } | Fit::Unsuitable) | None => blocked += 1,
            }
            self.queue.go_on(&mut round, head, now);
        }
        self.queue.defer(round);
    }

    /// Returns whether the request with a rank waits for an adapter that this endpoint does not have
    /// ready either, so that its room makes no difference.
    fn awaits_adapter(&self, rank: Rank, id: &str, now: Time) -> bool {
        let Some(queued) = self.queue.get(rank) else { return false };
        let (Some((engine, since)), Some(work), Some(endpoint)) =
            (&queued.adapter_load, &queued.request.work, self.endpoints.get(id))
        else {
            return false;
        };
        let is_recent = now.since(*since) <= ADAPTER_TIMEOUT;
        is_recent
            && match endpoint.adapter_state(work) {
                Some(state) => state.ready_at > now,
                None => **engine != *id || endpoint.wants_adapter(work),
            }
    }

    /// Returns how an endpoint fits the request with a rank.
    fn evaluate_head(&mut self, rank: Rank, id: &str, now: Time) -> Option<Fit> {
        let request = &self.queue.get(rank)?.request;
        let endpoint = self.endpoints.get(id)?;
        let fit =
            self.with_context(request, now, |context| choice::evaluate(endpoint, request, context));
        if let Some(Fit::Full { until: Some(until), .. }) = fit {
            self.queue.wake_at_rank(rank, until);
        }
        fit
    }

    /// Grants the request with a rank, which is the first of its queue, or refuses it if it must not
    /// wait any longer.
    fn serve_head(&mut self, rank: Rank, now: Time, actions: &mut Vec<Action>) -> HeadStep {
        let Some(queued) = self.queue.get(rank) else { return HeadStep::Served };
        let request = &queued.request;
        if self.check_crashes(request, now) == CrashCheck::Refuse {
            return self.refuse_head(rank, Refusal::CRASHES, now, actions);
        }
        let selection = self.select_endpoint(request, now);
        match &selection {
            Selection::Ready(endpoint) => {
                let Some(queued) = self.queue.take(rank) else { return HeadStep::Served };
                self.kind_shares.record_grant(&queued.request, now);
                if let Some(grant) = self.begin_run(&queued.key, &queued.request, endpoint, now) {
                    actions.push(Action::Grant(queued.key, grant));
                }
                return HeadStep::Served;
            }
            Selection::AwaitsTrial => {
                self.queue.park(rank);
                return HeadStep::Blocked;
            }
            Selection::Unavailable { .. }
                if let Some(refusal) = self.refuse_missing_version(request) =>
            {
                return self.refuse_head(rank, refusal, now, actions);
            }
            _ => {}
        }
        let request = request.clone();
        self.set_wake_time(&request, &selection, now);
        let loading = match &selection {
            Selection::NeedsAdapter { endpoint, .. } => {
                self.want_adapter(endpoint, &request);
                self.collect_orders_of(endpoint, now, actions);
                Some(endpoint.clone())
            }
            _ => None,
        };
        if let Some(queued) = self.queue.get_mut(rank) {
            let since = queued.adapter_load.take().map_or(now, |(_, since)| since);
            queued.adapter_load = loading.map(|endpoint| (endpoint, since));
        }
        match selection {
            Selection::Full { for_all: true, .. } => HeadStep::GroupBlocked,
            _ => HeadStep::Blocked,
        }
    }

    /// Refuses the request with a rank.
    fn refuse_head(
        &mut self,
        rank: Rank,
        refusal: Refusal,
        now: Time,
        actions: &mut Vec<Action>,
    ) -> HeadStep {
        if let Some(queued) = self.queue.take(rank) {
            self.refuse(queued, refusal, now, actions);
        }
        HeadStep::Served
    }

    /// Requires an evaluation of the queues that an endpoint can serve, after it has changed.
    pub(super) fn wake_endpoint(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get(id).filter(|_| !self.queue.is_empty()) {
            groups_of(endpoint).for_each(|key| self.queue.wake(&key));
        }
    }

    /// Grants the queued requests that an endpoint can serve and returns its next order, after the
    /// result of an order or a report.
    pub fn poll_endpoint(&mut self, id: &str, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.grant_queued_at(id, now, &mut actions);
        self.collect_orders_of(id, now, &mut actions);
        actions
    }
}

/// Returns the groups of queues whose requests an endpoint can serve.
pub(super) fn groups_of(endpoint: &Endpoint) -> impl Iterator<Item = GroupKey> {
    let models = endpoint.replicas.keys().map(Some);
    models
        .chain([None])
        .map(|model| GroupKey { service: endpoint.info.service.clone(), model: model.cloned() })
}
