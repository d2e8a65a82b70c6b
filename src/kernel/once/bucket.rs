//! One bucket of claims, as the instance that owns the bucket sees it.
//!
//! The owner asks the bucket what to do with each request, writes the bucket's record when the
//! bucket says so, and reports the outcomes of writes and requests back to the bucket.

mod writes;

use std::collections::HashMap;

use super::{
    decision::{ClaimDecision, DispatchOutcome, Write},
    record::{ClaimId, ClaimRecord, HeadRecord, SegmentRecord, owner_hash},
};
use crate::clock::Time;

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
