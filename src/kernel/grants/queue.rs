//! Requests that wait in the scheduler, and the order in which they are granted.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{GrantKey, GrantRequest, VersionNeed};
use crate::clock::Time;

/// Fraction of the time until its deadline for which a request may wait before it is refused.
const MAX_WAIT_FRACTION: f64 = 0.6;

/// A request that waits for an endpoint.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub key: GrantKey,
    pub request: GrantRequest,
    /// When it was queued.
    pub since: Time,
    /// Engine that is loading the request's adapter, and since when the request waits for this.
    pub adapter_load: Option<(Arc<str>, Time)>,
}

impl QueuedRequest {
    /// Returns the rank in the queue; `number` grows with each request that is queued.
    pub fn rank(&self, number: u64, now: Time) -> Rank {
        let GrantRequest { priority, due, .. } = self.request;
        Rank { late: now > due, priority, due, number }
    }

    /// Returns when the request has waited so long that it must be refused.
    pub fn expires_at(&self) -> Time {
        self.since + self.max_wait()
    }

    /// Returns how long the request may wait in total.
    pub fn max_wait(&self) -> Duration {
        self.request.deadline.since(self.since).mul_f64(MAX_WAIT_FRACTION)
    }
}

/// Place of a request in the order of its queue; the lowest is granted first.
///
/// Requests that can still meet their due time come before those that are late, so that a burst makes
/// only a few requests late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Whether the request was late when it was last looked at.
    pub late: bool,
    /// Priority of the request.
    pub priority: u8,
    /// When the first byte of its response is due.
    pub due: Time,
    /// Number of the queued request, which no other one has.
    pub number: u64,
}

impl Rank {
    /// Returns whether the request has become late since the rank was determined.
    pub fn is_outdated(&self, now: Time) -> bool {
        !self.late && now > self.due
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
    /// Number of requests of each priority; never zero.
    pub counts: BTreeMap<u8, usize>,
}

impl KindQueue {
    /// Creates an empty queue.
    pub fn new(kind: RequestKind) -> Self {
        Self { kind, order: BTreeSet::new(), counts: BTreeMap::new() }
    }
}
