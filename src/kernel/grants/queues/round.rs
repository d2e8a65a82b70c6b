//! Evaluation of groups of queues, in the order of the ranks of their heads.

use std::{cmp::Reverse, collections::BinaryHeap, ops::Bound};

use super::{Queues, Wake};
use crate::{
    clock::Time,
    kernel::grants::queue::{GroupKey, Rank},
};

/// An evaluation of some groups in the order of the ranks of their heads.
#[derive(Debug, Default)]
pub(in crate::kernel::grants) struct Round {
    groups: Vec<GroupKey>,
    /// From which priority each group was blocked before.
    blocked_from: Vec<Option<u8>>,
    /// Next head of each group that is not done.
    heads: BinaryHeap<Reverse<(Rank, usize)>>,
}

/// The next head of a round.
#[derive(Clone, Copy, Debug)]
pub(in crate::kernel::grants) struct Head {
    /// Rank of the request.
    pub rank: Rank,
    /// Position of its group in the round.
    group: usize,
}

impl Queues {
    /// Begins an evaluation of all groups that require one.
    pub fn due_round(&mut self, now: Time) -> Round {
        let mut round = Round::default();
        for key in std::mem::take(&mut self.due) {
            let Some(group) = self.groups.get_mut(&key) else { continue };
            let after = match group.wake.take() {
                Some(Wake::After { rank, again }) => {
                    if again {
                        self.due.insert(key.clone());
                        group.wake = Some(Wake::Whole);
                    }
                    Some(rank)
                }
                Some(Wake::Whole) | None => None,
            };
            self.add_group(&mut round, key, after, now);
        }
        round
    }

    /// Begins an evaluation of these groups, whether they require one or not, after an endpoint that
    /// they have in common has changed.
    pub fn round_of(&mut self, keys: impl Iterator<Item = GroupKey>, now: Time) -> Round {
        let mut round = Round::default();
        for key in keys {
            self.add_group(&mut round, key, None, now);
        }
        round
    }

    fn add_group(&mut self, round: &mut Round, key: GroupKey, after: Option<Rank>, now: Time) {
        if let Some(rank) = self.next_head(&key, after, now) {
            round.heads.push(Reverse((rank, round.groups.len())));
            let group = self.groups.get_mut(&key);
            round.blocked_from.push(group.and_then(|group| group.blocked_from.take()));
            round.groups.push(key);
        }
    }

    /// Returns the first head of a group that comes after a rank.
    fn next_head(&mut self, key: &GroupKey, after: Option<Rank>, now: Time) -> Option<Rank> {
        loop {
            let group = self.groups.get(key)?;
            let lower = after.map_or(Bound::Unbounded, Bound::Excluded);
            let (rank, id) = group.heads.range((lower, Bound::Unbounded)).next()?;
            if !rank.is_outdated(now) {
                return Some(*rank);
            }
            let (id, rank) = (*id, *rank);
            self.mark_late(id, rank);
        }
    }

    /// Takes the next head of a round. It must be passed to [`Queues::go_on`] after its evaluation,
    /// unless its group is done.
    pub fn take_head(&self, round: &mut Round) -> Option<Head> {
        let Reverse((rank, group)) = round.heads.pop()?;
        Some(Head { rank, group })
    }

    /// Adds the head that comes after `head` in its group to the round.
    pub fn go_on(&mut self, round: &mut Round, head: Head, now: Time) {
        if let Some(rank) = self.next_head(&round.groups[head.group], Some(head.rank), now) {
            round.heads.push(Reverse((rank, head.group)));
        }
    }

    /// Returns whether the group of a head has a request that is more urgent than it.
    pub fn has_more_urgent(&self, round: &Round, head: Head) -> bool {
        self.is_any_before(&round.groups[head.group], head.rank.class.priority)
    }

    /// Ends the evaluation of the groups of a round in which no request is more urgent than `head`,
    /// since the endpoint that they have in common takes none that is as urgent or less. Groups whose
    /// other endpoints were full are blocked again.
    pub fn skip_less_urgent(&mut self, round: &mut Round, head: Head) {
        let Round { groups, blocked_from, heads } = round;
        for (key, blocked_from) in groups.iter().zip(blocked_from) {
            if let Some(group) = self.groups.get_mut(key) {
                group.blocked_from = blocked_from.map(|from| from.max(head.rank.class.priority));
            }
        }
        heads.retain(|Reverse((_, index))| {
            self.is_any_before(&groups[*index], head.rank.class.priority)
        });
    }

    /// Returns whether a group has a request that is more urgent than `priority`.
    fn is_any_before(&self, key: &GroupKey, priority: u8) -> bool {
        let group = self.groups.get(key);
        group.is_some_and(|group| group.backlog.has_more_urgent(priority))
    }

    /// Leaves the rest of a round that was cut short to the next evaluation.
    pub fn defer(&mut self, round: Round) {
        let Round { groups, heads, .. } = round;
        for Reverse((rank, index)) in heads {
            let key = &groups[index];
            let Some(group) = self.groups.get_mut(key) else { continue };
            // The rank before the next head, so that the evaluation goes on with this one.
            let rank = Rank { number: rank.number - 1, ..rank };
            group.wake = Some(match group.wake {
                None => Wake::After { rank, again: false },
                Some(Wake::Whole) => Wake::After { rank, again: true },
                Some(Wake::After { rank, .. }) => Wake::After { rank, again: true },
            });
            self.due.insert(key.clone());
        }
    }
}
