//! Whether a request that finds no place waits or is refused.

use std::{collections::HashMap, time::Duration};

use super::{RETRY_AFTER_RANGE, Scheduler, selection::Selection};
use crate::{
    clock::Time,
    kernel::grants::{
        Endpoint, GrantRequest, Reason, Refusal,
        forecast::{self, Decision, Supply},
        order::Standing,
        queue::{GroupKey, QueuedRequest, Rank, RequestKind},
    },
};

/// Age from which a supply is computed again. It walks over all endpoints of a model, which is too much
/// for each request of a crowd.
const SUPPLY_AGE: Duration = Duration::from_millis(50);

/// Part of the time that is left to a caller for which it waits before a retry.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;

/// Supplies that are kept. Most deployments have fewer models.
const MAX_SUPPLIES: usize = 1_024;

/// The supply of each group of queues, and when refused callers are asked to return.
#[derive(Debug, Default)]
pub(super) struct Supplies {
    known: HashMap<GroupKey, (Time, Supply)>,
    /// When the next refused caller of a group is asked to return.
    returns: HashMap<GroupKey, Time>,
}

impl Supplies {
    /// Returns after which time a refused caller is asked to return, which has `time_left`.
    ///
    /// Callers who are refused together return one after the other, as fast as places come free, and go
    /// before new ones then. They wait for a part of their time only; if places are promised to others
    /// for all of this part, the returns are spread over it once more.
    fn next_return(
        &mut self,
        key: &GroupKey,
        time_left: Duration,
        requests: f64,
        now: Time,
    ) -> Duration {
        let (shortest, longest) = RETRY_AFTER_RANGE;
        let latest = time_left.mul_f64(HONOURED_FRACTION).clamp(shortest, longest);
        let gap = Duration::try_from_secs_f64(1.0 / requests).unwrap_or(longest).min(longest);
        if self.returns.len() > MAX_SUPPLIES {
            self.returns.clear();
        }
        let next = self.returns.entry(key.clone()).or_default();
        if *next < now + shortest || *next > now + latest {
            *next = now + gap.clamp(shortest, latest);
        }
        let at = *next;
        *next = at + gap;
        at.since(now)
    }
}

impl Scheduler {
    /// Returns what the place of a request in its queue depends on.
    pub(super) fn standing(&mut self, request: &GrantRequest, now: Time) -> Standing {
        let (speed, service_time) =
            (self.model_speed(request), self.speeds.service(&request.service));
        let (first_event, run_time) =
            forecast::run_time(request.work.as_ref(), speed, service_time);
        let is_returning = self.refused.take(request, now) || request.is_retry;
        if !is_returning {
            self.shares.record(request, now);
        }
        let priority = self.kind_shares.record_arrival(request, now);
        let standing = Standing::new(request, first_event, run_time, now);
        let standing =
            if priority < request.priority { standing.raised(priority) } else { standing };
        let is_over_share = self.shares.is_over_share(request, now);
        Standing { is_returning, is_over_share, ..standing }
    }

    /// Decides about a request with this rank, after a look at the endpoints.
    pub(super) fn decide(
        &mut self,
        queued: &QueuedRequest,
        selection: &Selection,
        rank: &Rank,
        now: Time,
    ) -> Decision {
        if let Selection::Ready(endpoint) = selection {
            return Decision::Send(endpoint.clone());
        }
        let request = &queued.request;
        let key = RequestKind::of(request).group();
        let ahead = self.queue.ahead_of(&key, rank);
        let supply = self.supply(&key, request, now);
        let mut wait = supply.wait(ahead, self.model_speed(request));
        if let Selection::Full { until: Some(until), .. } = selection {
            wait = wait.max(until.since(now));
        }
        forecast::decide(wait, queued.standing.start_by, now, || self.next_return(request, now))
    }

    /// Returns after which time the caller of a refused request is asked to return.
    fn next_return(&mut self, request: &GrantRequest, now: Time) -> Duration {
        let key = RequestKind::of(request).group();
        let requests = self.supply(&key, request, now).requests;
        let time_left = request.deadline.since(now);
        self.supplies.next_return(&key, time_left, requests, now)
    }

    /// Returns a refusal if a request that can start after `wait` cannot end before its deadline.
    pub(super) fn refuse_late(
        &self,
        queued: &QueuedRequest,
        wait: Duration,
        now: Time,
    ) -> Option<Refusal> {
        let retry = || wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        match forecast::decide(wait, queued.standing.start_by, now, retry) {
            Decision::Refuse(retry) => Some(Refusal { reason: Reason::NoRoom, retry }),
            Decision::Send(_) | Decision::Wait(_) => None,
        }
    }

    /// Returns what the endpoints can take of a group of requests.
    fn supply(&mut self, key: &GroupKey, request: &GrantRequest, now: Time) -> Supply {
        if let Some((computed_at, supply)) = self.supplies.known.get(key)
            && now.since(*computed_at) < SUPPLY_AGE
        {
            return *supply;
        }
        let supply = self.compute_supply(key, request, now);
        if self.supplies.known.len() >= MAX_SUPPLIES {
            self.supplies.known.clear();
        }
        self.supplies.known.insert(key.clone(), (now, supply));
        supply
    }

    fn compute_supply(&self, key: &GroupKey, request: &GrantRequest, now: Time) -> Supply {
        let (speed, service_time) =
            (self.model_speed(request), self.speeds.service(&request.service));
        let (_, run_time) = forecast::run_time(request.work.as_ref(), speed, service_time);
        let run_time = run_time.as_secs_f64().max(1e-3);
        let mut supply = Supply { place: Duration::MAX, prefill: 0.0, requests: 0.0 };
        let fill_fraction = self.fill_fraction(&key.service);
        let candidates = self.index.candidates(request).iter();
        for endpoint in candidates.filter_map(|id| self.endpoints.get(id)) {
            let is_usable = endpoint.info.service == key.service
                && !endpoint.is_leaving()
                && !self.evacuated.contains(&endpoint.info.data_centre)
                && key.model.as_ref().is_none_or(|model| endpoint.can_serve(model));
            if !is_usable {
                continue;
            }
            let ratio = endpoint.pace.start.ratio(now) * endpoint.pace.pace(now);
            let share = self.share_of(key, endpoint);
            let slots = match &request.work {
                Some(_) => self.engine_spec(&key.service).map_or(1, |spec| spec.slots),
                None => endpoint.pace.slots(endpoint.info.slots),
            };
            let limit = endpoint.rate_limit.map(|limit| limit.usable_rate(self.rate_share()));
            let requests = f64::from(slots) * fill_fraction / (run_time * ratio);
            let cold = endpoint.is_cold(now).then(|| self.cold_rate(&key.service)).flatten();
            let limit = limit.into_iter().chain(cold).reduce(f64::min);
            supply.prefill += share * fill_fraction / ratio;
            supply.requests += (requests * share).min(limit.unwrap_or(f64::INFINITY));
            supply.place = supply.place.min(self.next_place(endpoint, request, slots, now));
        }
        match supply.place {
            // No endpoint takes such requests now, so nothing shows how many one will take.
            Duration::MAX => {
                Supply { place: Duration::ZERO, prefill: f64::INFINITY, requests: f64::INFINITY }
            }
            _ => supply,
        }
    }

    /// Returns the requests a second that a cold endpoint of a service may get; `None` without a limit.
    fn cold_rate(&self, service: &str) -> Option<f64> {
        let rate = self.catalog.services.get(service)?.cold_rate;
        (rate > 0.0).then_some(rate)
    }

    /// Returns the part of an engine that a group gets, among the groups that wait for it.
    fn share_of(&self, key: &GroupKey, endpoint: &Endpoint) -> f64 {
        let others = endpoint.replicas.keys().filter(|model| Some(*model) != key.model.as_ref());
        let waiting: usize = others
            .map(|model| {
                let key = GroupKey { service: key.service.clone(), model: Some(model.clone()) };
                self.queue.group_len(&key)
            })
            .sum();
        let own = self.queue.group_len(key) + 1;
        own as f64 / (own + waiting) as f64
    }

    /// Returns the time until an endpoint has a place.
    fn next_place(
        &self,
        endpoint: &Endpoint,
        request: &GrantRequest,
        slots: u32,
        now: Time,
    ) -> Duration {
        let limit_wait =
            endpoint.rate_limit.map_or(Duration::ZERO, |limit| limit.wait(self.rate_share(), now));
        let closed = endpoint.paused_until.since(now).max(limit_wait);
        let needed =
            request.work.as_ref().map_or(0, |work| work.prompt_tokens + work.output_tokens);
        let kv_tokens = self.engine_spec(&request.service).map_or(u64::MAX, |spec| spec.kv_tokens);
        let has_memory = endpoint.reserved_tokens() + needed <= kv_tokens;
        if endpoint.expected_requests(now) < f64::from(slots) && has_memory {
            return closed;
        }
        let service_time = self.speeds.service(&request.service);
        let first_end = endpoint.running.first_end(|run| {
            let speed = self.model_speed(&run.request);
            forecast::remaining_time(endpoint, run, speed, service_time, now)
        });
        closed.max(first_end)
    }
}
