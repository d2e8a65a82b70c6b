//! Requests that wait in the scheduler, and the order in which they are granted.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{GrantKey, GrantRequest, VersionNeed, forecast::Ahead, order::Standing};
use crate::clock::Time;

/// A request that waits for an endpoint.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub key: GrantKey,
    pub request: GrantRequest,
    /// What its place in the queue depends on.
    pub standing: Standing,
    /// When it was queued here.
    pub queued_at: Time,
    /// Engine that is loading the request's adapter, and since when the request waits for this.
    pub adapter_load: Option<(Arc<str>, Time)>,
}

impl QueuedRequest {
    /// Returns the rank in the queue; `number` grows with each request that is queued.
    pub fn rank(&self, number: u64, now: Time) -> Rank {
        let Standing { priority, is_over_share, is_returning, serve_by, size, .. } = self.standing;
        let class =
            Class { priority, is_over_share, is_late: now > serve_by, is_new: !is_returning };
        let step = self.standing.step();
        let prompt_tokens = self.request.work.as_ref().map_or(0, |work| work.prompt_tokens);
        Rank { class, step, size, serve_by, number, prompt_tokens }
    }

    /// Returns when the request can no longer end before its deadline.
    pub fn expires_at(&self) -> Time {
        self.standing.start_by
    }
}

/// Requests that come before or after all those of another class.
///
/// The most urgent come first, so that a less urgent kind never takes a place that a more urgent one can
/// use. Of these come the teams within their fair share first, then what can still be served within its
/// target latency, so that a burst makes only a few requests late, and callers that were refused before new
/// ones, so that they are not refused again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Class {
    /// Priority in the queue: that of the request, or a more urgent one where its kind gets too little.
    pub priority: u8,
    /// Whether its team asks for more than its fair share.
    pub is_over_share: bool,
    /// Whether the request was late when it was last looked at.
    pub is_late: bool,
    /// Whether its caller was not refused before.
    pub is_new: bool,
}

/// Place of a request in the order of its queue; the lowest is granted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Class of the request.
    pub class: Class,
    /// When its first event is due, in coarse steps.
    pub step: u64,
    /// Tokens of its prompt and its response.
    pub size: u64,
    /// When it must start to be in time.
    pub serve_by: Time,
    /// Number of the queued request, which no other one has.
    pub number: u64,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
}

impl Rank {
    /// Returns whether the request has become late since the rank was determined.
    pub fn is_outdated(&self, now: Time) -> bool {
        !self.class.is_late && now > self.serve_by
    }

    /// Returns the rank of the same request once it is late.
    pub fn late(self) -> Self {
        Self { class: Class { is_late: true, ..self.class }, ..self }
    }
}

/// Numbers of requests that wait, by their class.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    /// Sums of each class; never without a request.
    classes: BTreeMap<Class, Ahead>,
}

impl Backlog {
    /// Adds a request.
    pub fn add(&mut self, rank: &Rank) {
        let sums = self.classes.entry(rank.class).or_default();
        sums.count += 1;
        sums.prompt_tokens += rank.prompt_tokens;
    }

    /// Subtracts a request.
    pub fn subtract(&mut self, rank: &Rank) {
        let Some(sums) = self.classes.get_mut(&rank.class) else { return };
        sums.count -= 1;
        sums.prompt_tokens -= rank.prompt_tokens;
        if sums.count == 0 {
            self.classes.remove(&rank.class);
        }
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.classes.values().map(|sums| sums.count).sum()
    }

    /// Returns whether a request is more urgent than `priority`.
    pub fn has_more_urgent(&self, priority: u8) -> bool {
        self.classes.keys().next().is_some_and(|first| first.priority < priority)
    }

    /// Returns the sums of the classes up to that of a request.
    pub fn ahead_of(&self, class: Class) -> Ahead {
        self.classes.range(..=class).fold(Ahead::default(), |sum, (_, sums)| Ahead {
            count: sum.count + sums.count,
            prompt_tokens: sum.prompt_tokens + sums.prompt_tokens,
        })
    }
}

/// What two requests have in common if the same endpoints can serve both.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RequestKind {
    /// Service of the requests.
    pub service: Arc<str>,
    /// Model that they need; `None` for a plain service.
    pub model: Option<Arc<str>>,
    /// Adapter that they need.
    pub adapter: Option<Arc<str>>,
    /// Software version that they need.
    pub version: VersionNeed,
}

impl RequestKind {
    /// Returns the kind of a request.
    pub fn of(request: &GrantRequest) -> Self {
        let work = request.work.as_ref();
        Self {
            service: request.service.clone(),
            model: work.map(|work| work.model.clone()),
            adapter: work.and_then(|work| work.adapter.clone()),
            version: request.version.clone(),
        }
    }

    /// Returns the group of queues that this kind belongs to.
    pub fn group(&self) -> GroupKey {
        GroupKey { service: self.service.clone(), model: self.model.clone() }
    }
}

/// Names the queues whose requests need the same model, or the same plain service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct GroupKey {
    /// Service of the requests.
    pub service: Arc<str>,
    /// Model that they need; `None` for a plain service.
    pub model: Option<Arc<str>>,
}

/// The requests of one kind that wait, in the order of their ranks.
#[derive(Debug)]
pub(super) struct KindQueue {
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Ranks of the requests.
    pub order: BTreeSet<Rank>,
}

impl KindQueue {
    /// Creates an empty queue.
    pub fn new(kind: RequestKind) -> Self {
        Self { kind, order: BTreeSet::new() }
    }
}
