//! One bucket of claims, as the instance that owns the bucket sees it.
//!
//! The owner asks the bucket what to do with each request, writes the bucket's record when the
//! bucket says so, and reports the outcomes of writes and requests back to the bucket.

use std::{collections::HashMap, time::Duration};

use super::record::{ClaimId, ClaimRecord, HeadRecord, SegmentAge, SegmentRecord, owner_hash};
use crate::clock::Time;

/// Number of claims at which the open segment is sealed, so that each write stays small.
pub const MAX_SEGMENT_CLAIMS: usize = 256;

/// Time for which claims are kept. A caller must not retry a request after this time.
pub const CLAIM_TTL: Duration = Duration::from_secs(24 * 3_600);

/// The state of one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The claim waits for the next group.
    Queued,
    /// The claim is in the group that is being written.
    Writing,
    /// The claim is committed, and this owner dispatched the request.
    Running,
    /// The request completed, and this instance may still hold the response.
    Completed,
    /// The request may have run and must not run a second time.
    Unresolved,
    /// The claim may be in the record, but the request was certainly not sent. The id may be
    /// claimed again.
    Unsent,
}

/// What the owner knows of one claim.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Hash of the request, which tells a retry from another request under the same id.
    fingerprint: u64,
    state: State,
    /// Whether the claim is in the bucket's record.
    recorded: bool,
    /// Whether the request may have run in an earlier attempt.
    may_have_run: bool,
    /// Hash of the owner that committed the claim.
    owner: u32,
}

impl Entry {
    /// Returns the state of the claim after an attempt that did not send the request.
    fn unsent_state(&self) -> State {
        if self.may_have_run { State::Unresolved } else { State::Unsent }
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Wait: the claim is queued for the next group.
    Queued,
    /// Wait for the same request, which is queued or runs already. Its response serves both.
    Join,
    /// Return the response of the earlier attempt, which completed.
    Replay,
    /// Report the outcome as unknown: the request may have run, and its response is lost.
    Unknown,
    /// Refuse the request: its id was used for another request.
    Reused,
}

/// Whether the bucket's record must be written.
#[derive(Clone, Debug, PartialEq)]
pub enum NextWrite {
    /// There is nothing to write, or a write is in progress.
    Idle,
    /// Write the record now.
    Write(Write),
}

/// A write of the bucket's record.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Revision that the head must have for the write to take effect.
    pub expected: i64,
    /// New head of the bucket.
    pub head: HeadRecord,
    /// Segment to seal, with its number, or `None` if the open segment stays open.
    pub sealed: Option<(u64, SegmentRecord)>,
    /// Numbers of the segments to delete.
    pub pruned: Vec<u64>,
    /// Claims that the new head no longer contains because their requests were not sent.
    pub released: Vec<ClaimId>,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect, and the head now has this revision.
    Done(i64),
    /// The write had no effect, because the head had another revision than expected.
    Conflict {
        /// Random number of the write that produced the current head, which tells who wrote it.
        nonce: u64,
        /// Revision of the current head.
        revision: i64,
    },
    /// The write had no effect.
    NotSent,
    /// The write may have taken effect or may still do so.
    Unknown,
}

/// What to do with the claims of a group after its write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupDecision {
    /// Dispatch the requests of these claims.
    Dispatch(Vec<ClaimId>),
    /// Write the group again, because an earlier write of this owner, whose response was lost, took
    /// effect.
    Retry,
    /// Refuse the requests of these claims. None of them was sent.
    Refuse(Vec<ClaimId>),
    /// Refuse the requests of these claims and drop the bucket, because another owner took it.
    Dropped(Vec<ClaimId>),
}

/// The outcome of a dispatched request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The whole response arrived.
    Completed,
    /// The request was certainly not sent.
    NotSent,
    /// The request may have run.
    Unknown,
}

/// A bucket of claims, kept by its owner.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Instance whose view of the bucket this is.
    owner: String,
    /// Incarnation of that instance's process.
    incarnation: u64,
    /// Revision of the head.
    revision: i64,
    /// Head as last read or written.
    head: HeadRecord,
    /// All claims that are recorded or waiting.
    claims: HashMap<ClaimId, Entry>,
    /// Claims for the next group.
    queue: Vec<ClaimId>,
    /// Group that is being written, or `None` if no write is in progress.
    writing: Option<Vec<ClaimId>>,
    /// Time up to which the ages of the sealed segments are counted.
    aged_at: Time,
    /// Claims of the sealed segments, by number.
    segments: HashMap<u64, Vec<ClaimId>>,
    /// Recorded claims whose requests were not sent, to be removed with the next write.
    releases: Vec<ClaimId>,
    /// Writes since the last known head that may have taken effect.
    uncertain_writes: Vec<Write>,
    /// Whether the next write removes this owner from the head, so that another instance may take
    /// the bucket.
    closing: bool,
    /// Whether a write has confirmed this owner since the bucket was loaded and since the last call
    /// of [`Bucket::doubt_ownership`].
    confirmed: bool,
}

impl Bucket {
    /// Creates the bucket from its records, which were all read at one revision of the service.
    ///
    /// The request of every recorded claim may have run under an earlier owner. The new owner takes
    /// the bucket with its first write.
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

    /// Adds the claims of a sealed segment, or with `None` those of the open segment.
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

    /// Returns whether the head names this owner.
    pub fn is_owned(&self) -> bool {
        self.head.owner == self.owner && self.head.incarnation == self.incarnation
    }

    /// Returns whether no claim is waiting or being written and no request is running.
    pub fn is_idle(&self) -> bool {
        let is_busy =
            |e: &Entry| matches!(e.state, State::Queued | State::Writing | State::Running);
        !self.claims.values().any(is_busy)
    }

    /// Claims the id of a request and returns what to do with the request.
    ///
    /// `dedupes` says that the service which runs the request recognizes a retry by its id. Such a
    /// request may be sent again although it may have run.
    pub fn claim(&mut self, id: ClaimId, fingerprint: u64, dedupes: bool) -> ClaimDecision {
        let Some(entry) = self.claims.get(&id).copied() else {
            let owner = owner_hash(&self.owner);
            let entry = Entry {
                fingerprint,
                state: State::Queued,
                recorded: false,
                may_have_run: false,
                owner,
            };
            return self.enqueue(id, entry);
        };
        if entry.fingerprint != fingerprint {
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

    /// Queues a claim for the next group.
    fn enqueue(&mut self, id: ClaimId, entry: Entry) -> ClaimDecision {
        self.claims.insert(id, Entry { state: State::Queued, ..entry });
        self.queue.push(id);
        ClaimDecision::Queued
    }

    /// Removes a claim whose request was not sent from the queue.
    pub fn withdraw(&mut self, id: &ClaimId) {
        self.queue.retain(|queued| queued != id);
        if let Some(entry) = self.claims.get_mut(id) {
            entry.state = entry.unsent_state();
        }
    }

    /// Gives the bucket up with the next write if the bucket is idle, and returns whether it is.
    pub fn close(&mut self) -> bool {
        self.closing = self.is_idle();
        self.closing
    }

    /// Returns whether the bucket is being given up and accepts no requests.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Returns whether the request of a claim may have run in an earlier attempt.
    ///
    /// While another instance may own the bucket, every request may have run there.
    pub fn may_have_run(&self, id: &ClaimId) -> bool {
        !self.confirmed || self.claims.get(id).is_some_and(|entry| entry.may_have_run)
    }

    /// Returns the hash of the owner that committed a claim and may hold its response.
    pub fn committed_by(&self, id: &ClaimId) -> Option<u32> {
        self.claims.get(id).map(|entry| entry.owner)
    }

    /// Records that another owner may have taken the bucket, for example during a pause of the
    /// process. The outcome of the next write shows whether that happened.
    pub fn doubt_ownership(&mut self) {
        self.confirmed = false;
    }

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

    /// Records the outcome of a dispatched request.
    pub fn record_dispatch_outcome(&mut self, id: &ClaimId, outcome: DispatchOutcome) {
        let Some(entry) = self.claims.get_mut(id) else { return };
        entry.state = match outcome {
            DispatchOutcome::Completed => State::Completed,
            DispatchOutcome::NotSent => entry.unsent_state(),
            DispatchOutcome::Unknown => State::Unresolved,
        };
        if entry.state == State::Unsent {
            self.releases.push(*id);
        }
    }

    /// Records that this instance no longer holds the response of a claim.
    pub fn forget_response(&mut self, id: &ClaimId) {
        if self.claims.get(id).is_some_and(|entry| entry.state == State::Completed) {
            self.set_state(id, State::Unresolved);
        }
    }

    /// Sets the state of a claim.
    fn set_state(&mut self, id: &ClaimId, state: State) {
        if let Some(entry) = self.claims.get_mut(id) {
            entry.state = state;
        }
    }

    /// Sets the state of a claim that is now in the record.
    fn set_recorded(&mut self, id: &ClaimId, state: State) {
        if let Some(entry) = self.claims.get_mut(id) {
            *entry = Entry { state, recorded: true, ..*entry };
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
