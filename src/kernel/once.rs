//! Claims of non-repeatable requests, each of which must run at most once.
//!
//! A request with an idempotency key is claimed under the hash of that key before it is dispatched.
//! The ids of claims are spread over a fixed number of buckets, and each bucket has one owner, an
//! instance. The owner commits claims to the platform's service in groups, with one
//! compare-and-swap per group, and dispatches a request only after its claim is committed. The
//! compare-and-swap fails for an owner that was replaced, so a claim is dispatched by the owner
//! that committed it or by no instance.
//!
//! A claim serves the purpose of a row in an inbox table: it proves that the request was processed.
//! Unlike such a row, it cannot be committed in one transaction with the effect of the request. If
//! the response to a claimed request is lost, the outcome is therefore reported as unknown, and the
//! request does not run a second time.

mod bucket;
mod decision;
mod record;

pub use self::{
    bucket::Bucket,
    decision::{ClaimDecision, DispatchOutcome, GroupDecision, NextWrite, Write, WriteOutcome},
    record::{
        ClaimId, ClaimRecord, HeadRecord, SegmentRecord, bucket_of, bucket_prefix, head_key,
        owner_hash, segment_key,
    },
};

/// Number of buckets over which the ids of claims are spread. Each bucket needs one write per group
/// of claims.
pub const BUCKET_COUNT: u32 = 32;
