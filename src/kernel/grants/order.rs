//! What the place of a request in its queue depends on: its times, its team's share of the service, and
//! whether its caller was refused before.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    GrantRequest,
    queue::{GroupKey, RequestKind},
};
use crate::clock::Time;

/// Time constant with which the tokens that a team has asked for are forgotten: about the time in which
/// a burst of one team is served.
const USE_TIME_CONSTANT: f64 = 4.0;

/// Exponent from which the sums of tokens are scaled down, long before they lose digits.
const MAX_EXPONENT: f64 = 60.0;

/// Interval at which a fair share is computed again.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the average by which a team may exceed it and still be within its fair share, so that equal
/// teams do not take turns in being late.
const SHARE_TOLERANCE: f64 = 0.25;

/// Part of the average use from which a team counts as one that competes.
const COMPETING_FRACTION: f64 = 0.1;

/// Longest time for which a refused caller is remembered.
const MAX_RETURN_TIME: Duration = Duration::from_secs(10);

/// Refused callers that are remembered. Beyond these the oldest are forgotten.
const MAX_REFUSED: usize = 50_000;

/// Unit of the times in the order. Of requests whose times differ less, the smaller one goes first, since it
/// delays the others least.
const TIME_UNIT: Duration = Duration::from_millis(100);

/// What the place of a request in its queue depends on, as of its arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Standing {
    /// Whether the team asks for more than its fair share.
    pub is_over_share: bool,
    /// Whether the caller was refused and has returned.
    pub is_returning: bool,
    /// When the first event is due.
    pub due: Time,
    /// Latest start for a first event within the target latency.
    pub serve_by: Time,
    /// Latest start for an end before the deadline.
    pub start_by: Time,
    /// Work of the request: tokens of its prompt and its response.
    pub size: u64,
    /// Priority in the queue: that of the request, or a more urgent one where its kind gets too little.
    ///
    /// Endpoints are evaluated with the priority of the request, by which engines order it.
    pub priority: u8,
}

impl Standing {
    /// Returns the times of a request whose first event is expected after `first_event` and its end
    /// after `run_time`, once it has a place.
    ///
    /// A request that is too large for its target latency even at an idle endpoint is not late for that:
    /// it would wait behind all others. Half of the time that it has left counts.
    pub fn new(
        request: &GrantRequest,
        first_event: Duration,
        run_time: Duration,
        now: Time,
    ) -> Self {
        let start_by = request.deadline - run_time;
        let in_time = request.due - first_event;
        let half = now + start_by.since(now) / 2;
        let serve_by = if in_time > now { in_time.min(start_by.max(now)) } else { half };
        let work = request.work.as_ref();
        let size = work.map_or(0, |work| work.prompt_tokens + work.output_tokens);
        let priority = request.priority;
        Self { due: request.due, serve_by, start_by, size, priority, ..Self::default() }
    }

    /// Returns the same at a more urgent priority in the queue.
    ///
    /// The request does not become late: engines have a place for it later than for urgent requests, which
    /// would go before a late one meanwhile.
    pub fn raised(self, priority: u8) -> Self {
        Self { priority, serve_by: self.start_by, ..self }
    }

    /// Returns the time by which requests of the same class are ordered.
    pub fn step(&self) -> u64 {
        self.due.0 / TIME_UNIT.as_micros() as u64
    }
}

/// Tokens that teams have asked of one service. Older tokens count less.
#[derive(Debug, Default)]
struct ServiceUse {
    /// Tokens of each team, scaled by the exponential of their time after `base`.
    teams: HashMap<Arc<str>, f64>,
    /// Time to which the scale refers.
    base: Time,
    /// Scaled tokens up to which a team is within its share, and when that was computed.
    share: f64,
    computed_at: Time,
}

impl ServiceUse {
    /// Returns the scale of tokens at `now`.
    fn scale(&mut self, now: Time) -> f64 {
        let exponent = now.since(self.base).as_secs_f64() / USE_TIME_CONSTANT;
        if exponent <= MAX_EXPONENT {
            return exponent.exp();
        }
        let factor = (-exponent).exp();
        self.teams.values_mut().for_each(|tokens| *tokens *= factor);
        self.teams.retain(|_, tokens| *tokens > 1.0);
        (self.base, self.computed_at) = (now, Time::default());
        1.0
    }

    fn record(&mut self, team: &Arc<str>, tokens: u64, now: Time) {
        let scale = self.scale(now);
        *self.teams.entry(team.clone()).or_default() += tokens as f64 * scale;
    }

    fn is_over_share(&mut self, team: &str, now: Time) -> bool {
        if now.since(self.computed_at) >= SHARE_INTERVAL {
            self.computed_at = now;
            let average = self.teams.values().sum::<f64>() / self.teams.len().max(1) as f64;
            let competes = |tokens: &&f64| **tokens >= average * COMPETING_FRACTION;
            let competing = self.teams.values().filter(competes);
            let (count, sum) = competing.fold((0, 0.0), |(n, sum), tokens| (n + 1, sum + tokens));
            self.share = match count {
                0 | 1 => f64::INFINITY,
                count => sum / f64::from(count) * (1.0 + SHARE_TOLERANCE),
            };
        }
        self.teams.get(team).is_some_and(|tokens| *tokens > self.share)
    }
}

/// What each team has asked of each service, to tell who asks for more than a fair share.
///
/// The fair share is the average of the teams that compete. A team below it is served as if it were alone;
/// those above it get what is left.
#[derive(Debug, Default)]
pub(super) struct FairShares {
    services: HashMap<Arc<str>, ServiceUse>,
}

impl FairShares {
    /// Records what a request asks for.
    pub fn record(&mut self, request: &GrantRequest, now: Time) {
        let Some(team) = &request.team else { return };
        let service = self.services.entry(request.service.clone()).or_default();
        service.record(team, request.charge, now);
    }

    /// Returns whether the team of a request asks for more than its fair share.
    pub fn is_over_share(&mut self, request: &GrantRequest, now: Time) -> bool {
        let service = self.services.get_mut(&request.service);
        let (Some(service), Some(team)) = (service, &request.team) else { return false };
        service.is_over_share(team, now)
    }
}

/// Requests that were refused and may return, by their fingerprint.
#[derive(Debug, Default)]
pub(super) struct Refused {
    until: HashMap<u64, Time>,
    /// Fingerprints in the order of their refusals. Some may have returned.
    order: VecDeque<u64>,
}

impl Refused {
    /// Records that a request was refused. Its caller may return until the deadline.
    pub fn record(&mut self, request: &GrantRequest, now: Time) {
        if request.fingerprint == 0 {
            return;
        }
        let until = request.deadline.min(now + MAX_RETURN_TIME);
        if self.until.insert(request.fingerprint, until).is_none() {
            self.order.push_back(request.fingerprint);
        }
        while self.order.len() > MAX_REFUSED {
            let oldest = self.order.pop_front();
            oldest.and_then(|oldest| self.until.remove(&oldest));
        }
    }

    /// Returns whether a request was refused before. It counts as returned from now on.
    pub fn take(&mut self, request: &GrantRequest, now: Time) -> bool {
        self.forget_old(now);
        self.until.remove(&request.fingerprint).is_some_and(|until| now <= until)
    }

    fn forget_old(&mut self, now: Time) {
        while let Some(oldest) = self.order.front() {
            match self.until.get(oldest) {
                Some(until) if *until >= now => return,
                _ => {}
            }
            let oldest = self.order.pop_front();
            oldest.and_then(|oldest| self.until.remove(&oldest));
        }
    }
}

/// Time constant with which what a kind has asked for and got is forgotten: a few times the wait of a
/// request.
const KIND_TIME_CONSTANT: f64 = 5.0;

/// Least part of the requests of a kind that is served, relative to that of all kinds. Callers are
/// promised a quarter.
const MIN_KIND_PART: f64 = 0.3;

/// Requests of a kind from which the part that is served says something.
const MIN_KIND_REQUESTS: f64 = 2.0;

/// Requests of a kind up to which it counts as forgotten. One request falls below it in 23 s.
const MIN_REMEMBERED: f64 = 0.01;

/// Groups whose requests are counted. Callers may name any model, so that the number is not bounded by the
/// catalog.
const MAX_KIND_GROUPS: usize = 1_024;

/// Interval at which groups without recent requests are removed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// Requests of one priority, older ones counting less.
#[derive(Clone, Copy, Debug, Default)]
struct KindUse {
    asked: f64,
    served: f64,
}

/// Requests of all priorities for the same model or plain service.
#[derive(Debug, Default)]
struct GroupUse {
    kinds: BTreeMap<u8, KindUse>,
    updated_at: Time,
}

impl GroupUse {
    fn decay(&mut self, now: Time) {
        let left = (-now.since(self.updated_at).as_secs_f64() / KIND_TIME_CONSTANT).exp();
        self.updated_at = now;
        for kind in self.kinds.values_mut() {
            kind.asked *= left;
            kind.served *= left;
        }
    }

    /// Returns the number of requests of all kinds.
    fn asked(&self) -> f64 {
        self.kinds.values().map(|kind| kind.asked).sum()
    }

    /// Returns whether all requests are long past.
    fn is_forgotten(&self) -> bool {
        self.kinds.values().all(|kind| kind.asked < MIN_REMEMBERED)
    }

    /// Returns the priority at which a request of a kind is queued.
    fn priority(&self, own: u8) -> u8 {
        let Some(kind) = self.kinds.get(&own) else { return own };
        let all = self.kinds.values().fold(KindUse::default(), |sum, kind| KindUse {
            asked: sum.asked + kind.asked,
            served: sum.served + kind.served,
        });
        let due = MIN_KIND_PART * kind.asked * all.served / all.asked;
        let first = self.kinds.iter().find(|(_, kind)| kind.asked >= 1.0).map(|(first, _)| *first);
        let gets_too_little = kind.asked >= MIN_KIND_REQUESTS && kind.served < due;
        if gets_too_little { first.unwrap_or(own).min(own) } else { own }
    }
}

/// What each priority has asked for and got, so that strict priorities leave none without anything.
#[derive(Debug, Default)]
pub(super) struct KindShares {
    groups: HashMap<GroupKey, GroupUse>,
    pruned_at: Time,
}

impl KindShares {
    /// Records that a request has arrived, and returns the priority at which it is queued.
    pub fn record_arrival(&mut self, request: &GrantRequest, now: Time) -> u8 {
        let key = RequestKind::of(request).group();
        let is_full = self.groups.len() >= MAX_KIND_GROUPS && !self.groups.contains_key(&key);
        if is_full || now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.prune(now);
        }
        if is_full && self.groups.len() >= MAX_KIND_GROUPS {
            self.remove_smallest();
        }
        let group = self.groups.entry(key).or_default();
        group.decay(now);
        group.kinds.entry(request.priority).or_default().asked += 1.0;
        group.priority(request.priority)
    }

    /// Removes the groups whose requests are long past.
    fn prune(&mut self, now: Time) {
        self.pruned_at = now;
        self.groups.retain(|_, group| {
            group.decay(now);
            !group.is_forgotten()
        });
    }

    /// Removes the group with the fewest requests. Names that callers invent are used once, so that the
    /// models in use stay.
    fn remove_smallest(&mut self) {
        let by_requests = |(_, a): &(&GroupKey, &GroupUse), (_, b): &(&GroupKey, &GroupUse)| {
            a.asked().total_cmp(&b.asked())
        };
        let smallest = self.groups.iter().min_by(by_requests).map(|(key, _)| key.clone());
        smallest.and_then(|key| self.groups.remove(&key));
    }

    /// Records that a request was granted.
    pub fn record_grant(&mut self, request: &GrantRequest, now: Time) {
        if let Some(group) = self.groups.get_mut(&RequestKind::of(request).group()) {
            group.decay(now);
            group.kinds.entry(request.priority).or_default().served += 1.0;
        }
    }
}
