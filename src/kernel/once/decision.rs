//! What the owner of a bucket of claims does next, and what it reports back.

use super::record::{ClaimId, HeadRecord, SegmentRecord};

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
