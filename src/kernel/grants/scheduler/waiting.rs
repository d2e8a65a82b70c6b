//! Requests that wait: whether to wait at all, and who is served next.

use std::{collections::HashSet, sync::Arc, time::Duration};

use super::{Placed, RETRY_RANGE, Scheduler, same_kind};
use crate::{
    clock::Time,
    kernel::grants::{Action, Endpoint, GrantRequest, Reason, Refusal, queue::Waiting},
};

/// Time in which an instance that has just started learns of the endpoints.
const START_WAIT: Duration = Duration::from_millis(400);

/// Time after which engines can be given orders again while there is no leader.
const LEADER_WAIT: Duration = Duration::from_millis(1_500);

/// Time for which a request waits for an adapter at one engine.
const ADAPTER_PATIENCE: Duration = Duration::from_millis(400);

/// Prefill for which the next model request in the queue is expected to wait.
const QUEUE_STEP: Duration = Duration::from_millis(60);

/// Part of a request's time that it may be expected to wait.
const WAIT_PART: f64 = 0.5;

/// What distinguishes requests that any endpoint serves alike.
#[derive(PartialEq, Eq, Hash)]
struct Kind {
    service: Arc<str>,
    model: Option<Arc<str>>,
    adapter: Option<Arc<str>>,
}

impl Kind {
    fn of(ask: &GrantRequest) -> Self {
        let work = ask.work.as_ref();
        Self {
            service: ask.service.clone(),
            model: work.map(|work| work.model.clone()),
            adapter: work.and_then(|work| work.adapter.clone()),
        }
    }
}

impl Scheduler {
    /// Estimates how long a request waits behind those like it.
    pub(super) fn queue_wait(&self, ask: &GrantRequest) -> Duration {
        let like = |w: &&Waiting| same_kind(&w.ask, ask) && w.ask.priority <= ask.priority;
        let ahead = self.queue.iter().filter(like).count() as u32;
        let copies = self.index.candidates(ask).len().max(1) as u32;
        QUEUE_STEP * ahead / copies
    }

    /// Refuses a request that would wait for too long.
    pub(super) fn judge_wait(&self, waiting: &Waiting, wait: Duration) -> Option<Refusal> {
        let left = waiting.ask.deadline.since(waiting.since);
        let retry = wait.clamp(RETRY_RANGE.0, RETRY_RANGE.1);
        (wait > left.mul_f64(WAIT_PART)).then_some(Refusal { reason: Reason::NoRoom, retry })
    }

    /// Lets a request wait for a model that can be loaded in time.
    pub(super) fn judge_nowhere(&self, waiting: &Waiting) -> Option<Refusal> {
        let ask = &waiting.ask;
        if self.endpoints.is_empty() {
            return self.judge_wait(waiting, START_WAIT);
        }
        let open = |e: &&Endpoint| e.info.service == ask.service && !e.is_leaving();
        if !self.endpoints.values().any(|e| open(&e)) {
            return Some(Refusal { reason: Reason::NoEndpoint, retry: Duration::from_millis(500) });
        }
        let time = self.shortest_load(ask);
        let retry = time.unwrap_or(RETRY_RANGE.1).clamp(RETRY_RANGE.0, RETRY_RANGE.1);
        let refusal = Refusal { reason: Reason::NoModel, retry };
        let pause = if self.may_order() { Duration::ZERO } else { LEADER_WAIT };
        match time {
            Some(time) => self.judge_wait(waiting, time + pause).map(|_| refusal),
            None => Some(refusal),
        }
    }

    /// Returns the shortest time in which an engine could load the model of a request.
    fn shortest_load(&self, ask: &GrantRequest) -> Option<Duration> {
        let work = ask.work.as_ref()?;
        let spec = self.spec(&ask.service)?;
        spec.models.get(&work.model)?;
        let engines = self.endpoints.values().filter(|e| e.info.service == ask.service);
        engines.map(|engine| engine.load_time(spec, &work.model)).min()
    }

    /// Grants as many waiting requests as fit.
    pub(super) fn pump(&mut self, now: Time, actions: &mut Vec<Action>) {
        let queue = std::mem::take(&mut self.queue);
        self.serve(queue, now, actions);
    }

    /// Grants waiting requests that an endpoint, which has room again, could run.
    pub(super) fn pump_at(&mut self, id: &str, now: Time, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        let picked = self.queue.extract_if(.., |waiting| {
            waiting.ask.service == endpoint.info.service
                && waiting.ask.work.as_ref().is_none_or(|work| endpoint.holds(&work.model))
        });
        let picked = picked.collect();
        self.serve(picked, now, actions);
    }

    /// Grants what fits of some requests, in their order, and queues the others again.
    fn serve(&mut self, mut picked: Vec<Waiting>, now: Time, actions: &mut Vec<Action>) {
        picked.sort_by_cached_key(|waiting| waiting.rank(now));
        let mut full: HashSet<Kind> = HashSet::new();
        for mut waiting in picked {
            let kind = Kind::of(&waiting.ask);
            if let Some((_, since)) = &waiting.prepared {
                if now.since(*since) > ADAPTER_PATIENCE {
                    waiting.prepared = None;
                }
            } else if full.contains(&kind) {
                self.keep_or_refuse(waiting, now, actions);
                continue;
            }
            match self.place(&waiting.key, &waiting.ask, now) {
                Placed::Granted(grant) => {
                    actions.push(Action::Grant(waiting.key, grant));
                    continue;
                }
                Placed::Preparing(endpoint) => {
                    self.order_at(&endpoint, now, actions);
                    let since = waiting.prepared.map_or(now, |(_, since)| since);
                    waiting.prepared = Some((endpoint, since));
                }
                Placed::Full | Placed::Nowhere => {
                    waiting.prepared = None;
                    full.insert(kind);
                }
            }
            self.keep_or_refuse(waiting, now, actions);
        }
    }

    fn keep_or_refuse(&mut self, waiting: Waiting, now: Time, actions: &mut Vec<Action>) {
        if !waiting.is_overdue(now) {
            return self.queue.push(waiting);
        }
        self.give_back(&waiting.ask);
        let refusal = Refusal { reason: Reason::NoRoom, retry: RETRY_RANGE.0 * 4 };
        actions.push(Action::Refuse(waiting.key, refusal));
    }
}
