//! All requests that wait, in queues by what can serve them.
//!
//! Queues whose requests need the same model (or the same plain service) form a group. A group is
//! evaluated when one of its endpoints has changed, when the time has come at which an endpoint takes
//! requests again, or when an earlier evaluation was cut short; its other requests cost nothing. So the
//! cost of a decision does not depend on how many requests wait.

mod round;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque},
    sync::Arc,
};

use super::{
    GrantKey, GrantRequest,
    forecast::Ahead,
    queue::{Backlog, GroupKey, KindQueue, QueuedRequest, Rank, RequestKind},
};
use crate::clock::Time;

/// Identifies the queue of one kind; never reused.
type KindId = u64;

/// Where a request waits.
#[derive(Clone, Copy, Debug)]
enum Place {
    /// In the queue of its kind, with this rank.
    Queue(KindId, Rank),
    /// Beside the queues, until a trial has shown whether it causes crashes.
    Trial,
}

/// A request that waits.
#[derive(Debug)]
struct Waiting {
    queued: QueuedRequest,
    place: Place,
}

/// How much of a group must be evaluated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wake {
    /// All queues.
    Whole,
    /// The queues whose heads come after this rank. If `again` is set, something has changed since the
    /// evaluation began, and all queues must be evaluated after that.
    After { rank: Rank, again: bool },
}

/// Queues whose requests need the same model or plain service.
#[derive(Debug, Default)]
struct Group {
    /// First request of each queue.
    heads: BTreeMap<Rank, KindId>,
    /// Numbers of requests by class.
    backlog: Backlog,
    /// What must be evaluated; `None` if nothing has changed since it was last done.
    wake: Option<Wake>,
    /// When the group is woken next by time alone.
    wake_at: Option<Time>,
    /// Priority in the queue from which all endpoints are full for every request of the group, since the last change
    /// of one of them; `None` if that is not known.
    blocked_from: Option<u8>,
}

/// All requests that wait.
#[derive(Debug, Default)]
pub(super) struct Queues {
    last_number: u64,
    last_kind: KindId,
    requests: HashMap<u64, Waiting>,
    numbers: HashMap<GrantKey, u64>,
    kinds: HashMap<RequestKind, KindId>,
    queues: HashMap<KindId, KindQueue>,
    groups: BTreeMap<GroupKey, Group>,
    /// Groups that must be evaluated.
    due: BTreeSet<GroupKey>,
    /// Times at which groups are woken. Those that no longer count differ from the group's time.
    wake_times: BinaryHeap<Reverse<(Time, GroupKey)>>,
    /// Times at which requests expire, with their numbers. Some may have left.
    expiry: BinaryHeap<Reverse<(Time, u64)>>,
    /// Requests that wait for a trial. Some may have left.
    trials: VecDeque<u64>,
}

impl Queues {
    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request to the queue of its kind. Returns its rank.
    pub fn push(&mut self, queued: QueuedRequest, now: Time) -> Rank {
        self.remove(&queued.key);
        self.last_number += 1;
        let number = self.last_number;
        self.numbers.insert(queued.key.clone(), number);
        self.expiry.push(Reverse((queued.expires_at(), number)));
        let (id, rank) = self.insert(&queued, number, now);
        self.requests.insert(number, Waiting { queued, place: Place::Queue(id, rank) });
        rank
    }

    /// Adds the rank of a request to the queue of its kind.
    fn insert(&mut self, queued: &QueuedRequest, number: u64, now: Time) -> (KindId, Rank) {
        let rank = queued.rank(number, now);
        let kind = RequestKind::of(&queued.request);
        let group = kind.group();
        let id = match self.kinds.get(&kind) {
            Some(id) => *id,
            None => {
                self.last_kind += 1;
                self.kinds.insert(kind.clone(), self.last_kind);
                self.queues.insert(self.last_kind, KindQueue::new(kind));
                self.last_kind
            }
        };
        let queue = self.queues.get_mut(&id).expect("each kind has a queue");
        let group = self.groups.entry(group).or_default();
        group.backlog.add(&rank);
        change_order(queue, group, id, |order| {
            order.insert(rank);
        });
        (id, rank)
    }

    /// Removes the rank of a request from the queue of its kind.
    fn extract(&mut self, id: KindId, rank: Rank) {
        let queue = self.queues.get_mut(&id).expect("the queue of a request");
        let key = queue.kind.group();
        let group = self.groups.get_mut(&key).expect("the group of a queue");
        change_order(queue, group, id, |order| {
            order.remove(&rank);
        });
        group.backlog.subtract(&rank);
        let is_group_empty = group.heads.is_empty();
        if queue.order.is_empty() {
            self.kinds.remove(&queue.kind);
            self.queues.remove(&id);
        }
        if is_group_empty {
            self.groups.remove(&key);
            self.due.remove(&key);
        }
    }

    /// Removes a request that is no longer of use. If it was the first of its queue, the next one may
    /// fit where it did not, so its group is woken.
    pub fn remove(&mut self, key: &GrantKey) -> Option<QueuedRequest> {
        let number = *self.numbers.get(key)?;
        let place = self.requests.get(&number)?.place;
        if let Place::Queue(id, rank) = place
            && let Some(queue) = self.queues.get(&id)
            && queue.order.first() == Some(&rank)
        {
            let group = queue.kind.group();
            self.wake(&group);
        }
        self.take_number(number)
    }

    /// Takes the request with a rank out of its queue, whose next request is evaluated by the caller.
    pub fn take(&mut self, rank: Rank) -> Option<QueuedRequest> {
        self.take_number(rank.number)
    }

    fn take_number(&mut self, number: u64) -> Option<QueuedRequest> {
        let Waiting { queued, place } = self.requests.remove(&number)?;
        self.numbers.remove(&queued.key);
        if let Place::Queue(id, rank) = place {
            self.extract(id, rank);
        }
        Some(queued)
    }

    /// Removes the requests of an instance.
    pub fn remove_instance(&mut self, instance: &str) {
        let own = self.numbers.keys().filter(|key| &*key.instance == instance);
        for key in own.cloned().collect::<Vec<_>>() {
            self.remove(&key);
        }
    }

    /// Removes a request that has waited too long.
    pub fn pop_expired(&mut self, now: Time) -> Option<QueuedRequest> {
        while let Some(Reverse((at, number))) = self.expiry.peek().copied() {
            if at > now {
                return None;
            }
            self.expiry.pop();
            if let Some(key) = self.requests.get(&number).map(|it| it.queued.key.clone()) {
                return self.remove(&key);
            }
        }
        None
    }

    /// Returns the first request of the same kind as `request` in the order of the ranks.
    pub fn first_of_kind(&mut self, request: &GrantRequest, now: Time) -> Option<Rank> {
        let id = *self.kinds.get(&RequestKind::of(request))?;
        loop {
            let rank = *self.queues.get(&id)?.order.first()?;
            if !rank.is_outdated(now) {
                return Some(rank);
            }
            self.mark_late(id, rank);
        }
    }

    /// Returns what waits before a request in its group.
    pub fn ahead_of(&self, key: &GroupKey, rank: &Rank) -> Ahead {
        self.groups.get(key).map_or_else(Ahead::default, |group| group.backlog.ahead_of(rank.class))
    }

    /// Returns the number of requests that wait in a group.
    pub fn group_len(&self, key: &GroupKey) -> usize {
        self.groups.get(key).map_or(0, |group| group.backlog.len())
    }

    /// Returns the number of requests that wait for each model.
    pub fn waiting_by_model(&self) -> BTreeMap<Arc<str>, usize> {
        let mut waiting: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for (key, group) in &self.groups {
            let Some(model) = &key.model else { continue };
            *waiting.entry(model.clone()).or_default() += group.backlog.len();
        }
        let trials = self.trials.iter().filter_map(|number| self.requests.get(number));
        let trials = trials.filter(|waiting| matches!(waiting.place, Place::Trial));
        for work in trials.filter_map(|waiting| waiting.queued.request.work.as_ref()) {
            *waiting.entry(work.model.clone()).or_default() += 1;
        }
        waiting
    }

    /// Returns the request with a rank.
    pub fn get(&self, rank: Rank) -> Option<&QueuedRequest> {
        self.requests.get(&rank.number).map(|waiting| &waiting.queued)
    }

    /// Returns the request with a rank.
    pub fn get_mut(&mut self, rank: Rank) -> Option<&mut QueuedRequest> {
        self.requests.get_mut(&rank.number).map(|waiting| &mut waiting.queued)
    }

    /// Returns the first request of each queue.
    pub fn heads(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.queues.values().filter_map(|queue| self.get(*queue.order.first()?))
    }

    /// Moves a request behind those of its kind that are not late.
    fn mark_late(&mut self, id: KindId, rank: Rank) {
        let late = rank.late();
        let queue = self.queues.get_mut(&id).expect("the queue of a request");
        let group = self.groups.get_mut(&queue.kind.group()).expect("the group of a queue");
        group.backlog.subtract(&rank);
        group.backlog.add(&late);
        change_order(queue, group, id, |order| {
            order.remove(&rank);
            order.insert(late);
        });
        if let Some(waiting) = self.requests.get_mut(&rank.number) {
            waiting.place = Place::Queue(id, late);
        }
    }

    /// Moves a request beside the queues, until a trial has shown whether it causes crashes.
    pub fn park(&mut self, rank: Rank) {
        let Some(waiting) = self.requests.get_mut(&rank.number) else { return };
        if let Place::Queue(id, rank) = std::mem::replace(&mut waiting.place, Place::Trial) {
            self.trials.push_back(rank.number);
            self.extract(id, rank);
        }
    }

    /// Puts up to `max` of the requests that wait for a trial back into their queues, which are woken.
    pub fn unpark(&mut self, max: usize, now: Time) {
        for _ in 0..max {
            let Some(number) = self.trials.pop_front() else { return };
            let Some(mut waiting) = self.requests.remove(&number) else { continue };
            let (id, rank) = self.insert(&waiting.queued, number, now);
            waiting.place = Place::Queue(id, rank);
            let key = RequestKind::of(&waiting.queued.request).group();
            self.requests.insert(number, waiting);
            self.wake(&key);
        }
    }

    /// Requires an evaluation of a group, after one of its endpoints has changed.
    pub fn wake(&mut self, key: &GroupKey) {
        let Some(group) = self.groups.get_mut(key) else { return };
        group.blocked_from = None;
        match &mut group.wake {
            Some(Wake::Whole) => {}
            Some(Wake::After { again, .. }) => *again = true,
            none => {
                *none = Some(Wake::Whole);
                self.due.insert(key.clone());
            }
        }
    }

    /// Requires an evaluation of all groups.
    pub fn wake_all(&mut self) {
        for (key, group) in &mut self.groups {
            group.wake = Some(Wake::Whole);
            group.blocked_from = None;
            self.due.insert(key.clone());
        }
    }

    /// Records that all endpoints are full for each request of the group of `rank` that is not more
    /// urgent than it.
    pub fn block(&mut self, rank: Rank) {
        let key = self.get(rank).map(|queued| RequestKind::of(&queued.request).group());
        if let Some(group) = key.and_then(|key| self.groups.get_mut(&key)) {
            let from = group
                .blocked_from
                .map_or(rank.class.priority, |from| from.min(rank.class.priority));
            group.blocked_from = Some(from);
        }
    }

    /// Returns whether all endpoints are known to be full for a request.
    pub fn is_blocked(&self, queued: &QueuedRequest) -> bool {
        let group = self.groups.get(&RequestKind::of(&queued.request).group());
        let from = group.and_then(|group| group.blocked_from);
        from.is_some_and(|from| queued.standing.priority >= from)
    }

    /// Requires an evaluation of the group of a request at a time.
    pub fn wake_at(&mut self, request: &GrantRequest, at: Time) {
        self.wake_group_at(RequestKind::of(request).group(), at);
    }

    fn wake_group_at(&mut self, key: GroupKey, at: Time) {
        let Some(group) = self.groups.get_mut(&key) else { return };
        if group.wake_at.is_none_or(|known| at < known) {
            group.wake_at = Some(at);
            self.wake_times.push(Reverse((at, key)));
        }
    }

    /// Requires an evaluation of the group of the request with a rank at a time.
    pub fn wake_at_rank(&mut self, rank: Rank, at: Time) {
        let key = self.get(rank).map(|queued| RequestKind::of(&queued.request).group());
        if let Some(key) = key {
            self.wake_group_at(key, at);
        }
    }

    /// Wakes the groups whose time has come.
    pub fn wake_timed(&mut self, now: Time) {
        while self.wake_times.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((at, key))) = self.wake_times.pop() else { return };
            let group = self.groups.get_mut(&key).filter(|group| group.wake_at == Some(at));
            if let Some(group) = group {
                group.wake_at = None;
                self.wake(&key);
            }
        }
    }
}

/// Changes the order of a queue, and its head in the group.
fn change_order(
    queue: &mut KindQueue,
    group: &mut Group,
    id: KindId,
    change: impl FnOnce(&mut BTreeSet<Rank>),
) {
    let before = queue.order.first().copied();
    change(&mut queue.order);
    let after = queue.order.first().copied();
    if before != after {
        if let Some(rank) = before {
            group.heads.remove(&rank);
        }
        if let Some(rank) = after {
            group.heads.insert(rank, id);
        }
    }
}
