//! Claims of non-repeatable requests.
//!
//! An id belongs to one of a few buckets, and each bucket to one owner. The owner commits claims in
//! groups, one compare-and-swap a group, before it dispatches. The compare-and-swap fences an owner
//! that was replaced, so a claim is dispatched by the one owner that committed it or by nobody.
//! As in an inbox table, the claim is the proof of processing; unlike there, the effect cannot join
//! its transaction, so a claim without a known answer is reported as unknown and never run again.

mod bucket;
mod record;

pub use self::{
    bucket::{
        Bucket, ClaimDecision, DispatchOutcome, GroupDecision, NextWrite, Write, WriteOutcome,
    },
    record::{
        ClaimId, ClaimRecord, HeadRecord, SegmentRecord, bucket_of, bucket_prefix, head_key,
        owner_hash, segment_key,
    },
};

/// Number of buckets over which the ids are spread; each owner spends one write a group on each.
pub const BUCKET_COUNT: u32 = 32;
