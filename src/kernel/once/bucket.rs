//! One bucket as its owner sees it.

use std::{collections::HashMap, time::Duration};

use super::record::{ClaimId, ClaimRecord, HeadRecord, SegmentAge, SegmentRecord, owner_hash};
use crate::clock::Time;

/// Claims of an open segment above which it is sealed, so that each write stays small.
pub const MAX_SEGMENT_CLAIMS: usize = 256;

/// Time for which claims are kept; a caller must not repeat a request later than this.
pub const CLAIM_TTL: Duration = Duration::from_secs(24 * 3_600);

/// What is known of one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waits for the next group.
    Queued,
    /// In the group that is being written.
    Writing,
    /// Committed and dispatched by this owner.
    Running,
    /// Answered; the node may still hold the answer.
    Completed,
    /// May have run; never runs again.
    Unresolved,
    /// Stands in the record and was certainly not sent; may be claimed anew.
    Unsent,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    fingerprint: u64,
    state: State,
    recorded: bool,
    may_have_run: bool,
    owner: u32,
}

impl Entry {
    /// Returns the state of a claim that this attempt did not send.
    fn unsent_state(&self) -> State {
        if self.may_have_run { State::Unresolved } else { State::Unsent }
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// It waits for the next group.
    Queued,
    /// The same request runs or waits already; its answer serves both.
    Join,
    /// It was answered before.
    Replay,
    /// It may have run before and its answer is lost.
    Unknown,
    /// The id was used for another request.
    Reused,
}

/// What to do about the bucket's record.
#[derive(Clone, Debug, PartialEq)]
pub enum NextWrite {
    /// Nothing waits, or a write is under way.
    Idle,
    /// Write this.
    Write(Write),
}

/// A write of the bucket's record.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Revision that the head must have.
    pub expected: i64,
    /// New head.
    pub head: HeadRecord,
    /// Segment to seal with its number.
    pub sealed: Option<(u64, SegmentRecord)>,
    /// Numbers of segments to delete.
    pub pruned: Vec<u64>,
    /// Claims that are taken out of the record because they were not sent.
    pub released: Vec<ClaimId>,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and the head has this revision.
    Done(i64),
    /// The head had another revision; its nonce tells who wrote it, and its revision is given.
    Conflict {
        /// Random number of the write that is in force.
        nonce: u64,
        /// Revision of the head.
        revision: i64,
    },
    /// It took no effect.
    NotSent,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// What to do with the claims of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupDecision {
    /// Dispatch them.
    Dispatch(Vec<ClaimId>),
    /// Write again: an earlier write of this owner had taken effect without an answer.
    Retry,
    /// Refuse them: nothing was sent.
    Refuse(Vec<ClaimId>),
    /// Refuse them and drop the bucket: it belongs to another owner.
    Dropped(Vec<ClaimId>),
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// With a whole answer.
    Completed,
    /// Certainly without being sent.
    NotSent,
    /// It may have run.
    Unknown,
}

/// A bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    owner: String,
    incarnation: u64,
    revision: i64,
    head: HeadRecord,
    claims: HashMap<ClaimId, Entry>,
    queue: Vec<ClaimId>,
    writing: Option<Vec<ClaimId>>,
    aged_at: Time,
    segments: HashMap<u64, Vec<ClaimId>>,
    releases: Vec<ClaimId>,
    uncertain_writes: Vec<Write>,
    closing: bool,
    confirmed: bool,
}

impl Bucket {
    /// Creates the bucket from its records as read at one revision of the service.
    ///
    /// Every recorded claim may have run under an earlier owner. The new owner takes the bucket with
    /// its first write.
    pub fn from_records(
        owner: &str,
        incarnation: u64,
        head: Option<(HeadRecord, i64)>,
        sealed: impl IntoIterator<Item = (u64, SegmentRecord)>,
        now: Time,
    ) -> Self {
        let (head, revision) = head.unwrap_or_default();
        let mut bucket = Self {
            owner: owner.to_owned(),
            incarnation,
            revision,
            head,
            claims: HashMap::new(),
            queue: Vec::new(),
            writing: None,
            aged_at: now,
            segments: HashMap::new(),
            releases: Vec::new(),
            uncertain_writes: Vec::new(),
            closing: false,
            confirmed: false,
        };
        let open = bucket.head.claims.clone();
        bucket.add_recorded(None, &open);
        for (number, segment) in sealed {
            bucket.add_recorded(Some(number), &segment.claims);
        }
        bucket
    }

    fn add_recorded(&mut self, segment: Option<u64>, records: &[ClaimRecord]) {
        for record in records {
            let Some(id) = record.claim_id() else { continue };
            let entry = Entry {
                fingerprint: record.fingerprint,
                state: State::Unresolved,
                recorded: true,
                may_have_run: true,
                owner: record.owner,
            };
            self.claims.insert(id, entry);
            if let Some(number) = segment {
                self.segments.entry(number).or_default().push(id);
            }
        }
    }

    /// Returns whether the last committed head names this owner.
    pub fn is_owned(&self) -> bool {
        self.head.owner == self.owner && self.head.incarnation == self.incarnation
    }

    /// Returns whether nothing waits, is written or runs.
    pub fn is_idle(&self) -> bool {
        let busy = |e: &Entry| matches!(e.state, State::Queued | State::Writing | State::Running);
        !self.claims.values().any(busy)
    }

    /// Takes in a request; `dedupes` says that the service itself recognizes a repeated id.
    pub fn claim(&mut self, id: ClaimId, print: u64, dedupes: bool) -> ClaimDecision {
        let Some(entry) = self.claims.get(&id).copied() else {
            let owner = owner_hash(&self.owner);
            let entry = Entry {
                fingerprint: print,
                state: State::Queued,
                recorded: false,
                may_have_run: false,
                owner,
            };
            return self.enqueue(id, entry);
        };
        if entry.fingerprint != print {
            return ClaimDecision::Reused;
        }
        match entry.state {
            State::Queued | State::Writing | State::Running => ClaimDecision::Join,
            State::Completed => ClaimDecision::Replay,
            State::Unresolved if dedupes => self.enqueue(id, Entry { may_have_run: true, ..entry }),
            State::Unresolved => ClaimDecision::Unknown,
            State::Unsent => self.enqueue(id, entry),
        }
    }

    fn enqueue(&mut self, id: ClaimId, entry: Entry) -> ClaimDecision {
        self.claims.insert(id, Entry { state: State::Queued, ..entry });
        self.queue.push(id);
        ClaimDecision::Queued
    }

    /// Takes a claim back out of the queue; nothing was sent.
    pub fn withdraw(&mut self, id: &ClaimId) {
        self.queue.retain(|queued| queued != id);
        if let Some(entry) = self.claims.get_mut(id) {
            entry.state = entry.unsent_state();
        }
    }

    /// Gives the bucket up with the next write if nothing waits or runs, and returns whether it will.
    pub fn close(&mut self) -> bool {
        self.closing = self.is_idle();
        self.closing
    }

    /// Returns whether the bucket is being given up and takes no requests.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Returns whether a claim may have run in an earlier attempt, here or at an owner unknown here.
    pub fn may_have_run(&self, id: &ClaimId) -> bool {
        !self.confirmed || self.claims.get(id).is_some_and(|entry| entry.may_have_run)
    }

    /// Returns the short hash of the owner that committed a claim and may hold its answer.
    pub fn committed_by(&self, id: &ClaimId) -> Option<u32> {
        self.claims.get(id).map(|entry| entry.owner)
    }

    /// Notes that another owner may have taken the bucket, as after a pause of the process.
    pub fn doubt_ownership(&mut self) {
        self.confirmed = false;
    }

    /// Returns the next write; `nonce` is a random number of its own.
    pub fn next_write(&mut self, now: Time, nonce: u64) -> NextWrite {
        let waiting = !self.queue.is_empty() || !self.releases.is_empty();
        let wanted = waiting || !self.is_owned() || !self.confirmed || self.closing;
        if self.writing.is_some() || !wanted {
            return NextWrite::Idle;
        }
        let group = std::mem::take(&mut self.queue);
        group.iter().for_each(|id| self.set_state(id, State::Writing));
        let write = self.build_write(&group, now, nonce);
        self.writing = Some(group);
        NextWrite::Write(write)
    }

    fn build_write(&self, group: &[ClaimId], now: Time, nonce: u64) -> Write {
        let mut head = self.head.clone();
        let released = self.releasable_claims();
        head.claims.retain(|claim| claim.claim_id().is_none_or(|id| !released.contains(&id)));
        let pruned = prune(&mut head, now.since(self.aged_at).as_secs());
        let sealed = (head.claims.len() >= MAX_SEGMENT_CLAIMS).then(|| seal(&mut head));
        let fresh = group.iter().filter(|id| !self.claims[id].recorded);
        head.claims.extend(
            fresh.map(|id| ClaimRecord::new(*id, self.claims[id].fingerprint, &self.owner)),
        );
        let owner = if self.closing { "" } else { self.owner.as_str() };
        head.owner = owner.to_owned();
        head.incarnation = self.incarnation;
        head.nonce = nonce;
        Write { expected: self.revision, head, sealed, pruned, released }
    }

    /// Returns the claims to release that were not asked for again.
    fn releasable_claims(&self) -> Vec<ClaimId> {
        let unsent = |id: &&ClaimId| self.claims.get(id).is_some_and(|e| e.state == State::Unsent);
        self.releases.iter().filter(unsent).copied().collect()
    }

    /// Takes in how the write ended.
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

    /// Tells an own write whose answer was lost from a write of another owner.
    fn handle_conflict(
        &mut self,
        mut group: Vec<ClaimId>,
        nonce: u64,
        revision: i64,
        now: Time,
    ) -> GroupDecision {
        let doubt = self.uncertain_writes.iter().find(|doubt| doubt.head.nonce == nonce).cloned();
        let Some(doubt) = doubt else {
            group.append(&mut self.queue);
            return GroupDecision::Dropped(group);
        };
        self.apply_write(&doubt, revision, now);
        for id in doubt.head.claims.iter().filter_map(ClaimRecord::claim_id) {
            self.mark_recorded(&id);
        }
        group.iter().for_each(|id| self.set_state(id, State::Queued));
        group.append(&mut self.queue);
        self.queue = group;
        GroupDecision::Retry
    }

    /// Marks a claim as recorded, and one that was never sent as to be released.
    fn mark_recorded(&mut self, id: &ClaimId) {
        if let Some(entry) = self.claims.get_mut(id) {
            let newly = !entry.recorded;
            entry.recorded = true;
            if newly && entry.state == State::Unsent {
                self.releases.push(*id);
            }
        }
    }

    fn refuse(&mut self, group: Vec<ClaimId>) -> GroupDecision {
        for id in &group {
            if let Some(entry) = self.claims.get_mut(id) {
                entry.state = entry.unsent_state();
            }
        }
        GroupDecision::Refuse(group)
    }

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

    /// Takes in how a dispatched request ended.
    pub fn record_dispatch_outcome(&mut self, id: &ClaimId, finished: DispatchOutcome) {
        let Some(entry) = self.claims.get_mut(id) else { return };
        entry.state = match finished {
            DispatchOutcome::Completed => State::Completed,
            DispatchOutcome::NotSent => entry.unsent_state(),
            DispatchOutcome::Unknown => State::Unresolved,
        };
        if entry.state == State::Unsent {
            self.releases.push(*id);
        }
    }

    /// Notes that the node no longer holds the answer of a claim.
    pub fn forget_response(&mut self, id: &ClaimId) {
        if self.claims.get(id).is_some_and(|entry| entry.state == State::Completed) {
            self.set_state(id, State::Unresolved);
        }
    }

    fn set_state(&mut self, id: &ClaimId, state: State) {
        if let Some(entry) = self.claims.get_mut(id) {
            entry.state = state;
        }
    }

    fn set_recorded(&mut self, id: &ClaimId, state: State) {
        if let Some(entry) = self.claims.get_mut(id) {
            *entry = Entry { state, recorded: true, ..*entry };
        }
    }
}

/// Adds to the ages of the sealed segments and takes out those past the retention.
fn prune(head: &mut HeadRecord, elapsed: u64) -> Vec<u64> {
    for age in &mut head.ages {
        age.seconds += elapsed;
    }
    let old = |age: &SegmentAge| age.seconds > CLAIM_TTL.as_secs();
    let pruned = head.ages.iter().filter(|age| old(age)).map(|age| age.segment).collect();
    head.ages.retain(|age| !old(age));
    pruned
}

/// Moves the open segment's claims into a sealed one.
fn seal(head: &mut HeadRecord) -> (u64, SegmentRecord) {
    let number = head.segment;
    head.segment += 1;
    head.ages.push(SegmentAge { segment: number, seconds: 0 });
    (number, SegmentRecord { claims: std::mem::take(&mut head.claims) })
}
