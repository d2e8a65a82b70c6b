//! Writes of a bucket's record: builds them and handles their outcomes.

use std::time::Duration;

use super::{
    super::{
        decision::{GroupDecision, NextWrite, Write, WriteOutcome},
        record::{ClaimId, ClaimRecord, HeadRecord, SegmentAge, SegmentRecord},
    },
    Bucket, State,
};
use crate::clock::Time;

/// Number of claims at which the open segment is sealed, so that each write stays small.
pub const MAX_SEGMENT_CLAIMS: usize = 256;

/// Time for which claims are kept. A caller must not retry a request after this time.
pub const CLAIM_TTL: Duration = Duration::from_secs(24 * 3_600);

impl Bucket {
    /// Returns the next write, which gets the random number `nonce`.
    pub fn next_write(&mut self, now: Time, nonce: u64) -> NextWrite {
        let has_changes = !self.queue.is_empty() || !self.releases.is_empty();
        let is_needed = has_changes || !self.is_owned() || !self.confirmed || self.closing;
        if self.writing.is_some() || !is_needed {
            return NextWrite::Idle;
        }
        let group = std::mem::take(&mut self.queue);
        group.iter().for_each(|id| self.set_state(id, State::Writing));
        let write = self.build_write(&group, now, nonce);
        self.writing = Some(group);
        NextWrite::Write(write)
    }

    /// Builds the write that commits a group of claims.
    fn build_write(&self, group: &[ClaimId], now: Time, nonce: u64) -> Write {
        let mut head = self.head.clone();
        let released = self.releasable_claims();
        head.claims.retain(|claim| claim.claim_id().is_none_or(|id| !released.contains(&id)));
        let pruned = prune(&mut head, now.since(self.aged_at).as_secs());
        let sealed = (head.claims.len() >= MAX_SEGMENT_CLAIMS).then(|| seal(&mut head));
        let unrecorded = group.iter().filter(|id| !self.claims[id].recorded);
        head.claims.extend(
            unrecorded.map(|id| ClaimRecord::new(*id, self.claims[id].fingerprint, &self.owner)),
        );
        let owner = if self.closing { "" } else { self.owner.as_str() };
        head.owner = owner.to_owned();
        head.incarnation = self.incarnation;
        head.nonce = nonce;
        Write { expected: self.revision, head, sealed, pruned, released }
    }

    /// Returns the claims to release, except those whose ids were claimed once more since then.
    fn releasable_claims(&self) -> Vec<ClaimId> {
        let is_unsent =
            |id: &&ClaimId| self.claims.get(id).is_some_and(|e| e.state == State::Unsent);
        self.releases.iter().filter(is_unsent).copied().collect()
    }

    /// Handles the outcome of a write and returns what to do with its group.
    pub fn handle_write_outcome(
        &mut self,
        write: &Write,
        outcome: WriteOutcome,
        now: Time,
    ) -> GroupDecision {
        let group = self.writing.take().unwrap_or_default();
        match outcome {
            WriteOutcome::Done(revision) => {
                self.apply_write(write, revision, now);
                group.iter().for_each(|id| self.set_recorded(id, State::Running));
                GroupDecision::Dispatch(group)
            }
            WriteOutcome::Conflict { nonce, revision } => {
                self.handle_conflict(group, nonce, revision, now)
            }
            WriteOutcome::NotSent => self.refuse(group),
            WriteOutcome::Unknown => {
                self.uncertain_writes.push(write.clone());
                self.refuse(group)
            }
        }
    }

    /// Handles a write that failed because the head had another revision.
    ///
    /// The nonce of the head shows whether an earlier write of this owner, whose response was lost,
    /// took effect, or whether another owner took the bucket.
    fn handle_conflict(
        &mut self,
        mut group: Vec<ClaimId>,
        nonce: u64,
        revision: i64,
        now: Time,
    ) -> GroupDecision {
        let write = self.uncertain_writes.iter().find(|write| write.head.nonce == nonce).cloned();
        let Some(write) = write else {
            group.append(&mut self.queue);
            return GroupDecision::Dropped(group);
        };
        self.apply_write(&write, revision, now);
        for id in write.head.claims.iter().filter_map(ClaimRecord::claim_id) {
            self.mark_recorded(&id);
        }
        group.iter().for_each(|id| self.set_state(id, State::Queued));
        group.append(&mut self.queue);
        self.queue = group;
        GroupDecision::Retry
    }

    /// Marks a claim as recorded. If its request was not sent, the claim is released later.
    fn mark_recorded(&mut self, id: &ClaimId) {
        if let Some(entry) = self.claims.get_mut(id) {
            let was_unrecorded = !entry.recorded;
            entry.recorded = true;
            if was_unrecorded && entry.state == State::Unsent {
                self.releases.push(*id);
            }
        }
    }

    /// Refuses a group whose write did not take effect as far as is known.
    fn refuse(&mut self, group: Vec<ClaimId>) -> GroupDecision {
        for id in &group {
            if let Some(entry) = self.claims.get_mut(id) {
                entry.state = entry.unsent_state();
            }
        }
        GroupDecision::Refuse(group)
    }

    /// Applies a write that took effect.
    fn apply_write(&mut self, write: &Write, revision: i64, now: Time) {
        self.revision = revision;
        self.confirmed = true;
        self.head = write.head.clone();
        self.uncertain_writes.clear();
        self.aged_at = self.aged_at + Duration::from_secs(now.since(self.aged_at).as_secs());
        self.releases.retain(|id| !write.released.contains(id));
        for id in &write.released {
            if let Some(entry) = self.claims.get_mut(id) {
                entry.recorded = false;
            }
        }
        if let Some((number, segment)) = &write.sealed {
            let ids = segment.claims.iter().filter_map(ClaimRecord::claim_id);
            self.segments.insert(*number, ids.collect());
        }
        for number in &write.pruned {
            for id in self.segments.remove(number).unwrap_or_default() {
                self.claims.remove(&id);
            }
        }
    }
}

/// Adds `elapsed` seconds to the ages of the sealed segments and removes those older than the TTL
/// of claims, and returns the numbers of the removed ones.
fn prune(head: &mut HeadRecord, elapsed: u64) -> Vec<u64> {
    for age in &mut head.ages {
        age.seconds += elapsed;
    }
    let is_expired = |age: &SegmentAge| age.seconds > CLAIM_TTL.as_secs();
    let pruned = head.ages.iter().filter(|age| is_expired(age)).map(|age| age.segment).collect();
    head.ages.retain(|age| !is_expired(age));
    pruned
}

/// Moves the claims of the open segment into a new sealed one and returns it with its number.
fn seal(head: &mut HeadRecord) -> (u64, SegmentRecord) {
    let number = head.segment;
    head.segment += 1;
    head.ages.push(SegmentAge { segment: number, seconds: 0 });
    (number, SegmentRecord { claims: std::mem::take(&mut head.claims) })
}
