//! The records of a bucket at the platform's service.
//!
//! A bucket has one head with its owner and the claims of the open segment, and a record for each
//! sealed segment. Only the head changes with each write, which keeps the writes small.

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use super::BUCKET_COUNT;

/// Length of a claim's id in bytes, long enough that two ids are never equal by chance.
const ID_LENGTH: usize = 16;

/// The id of a claim, a hash of a team, a service and an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId([u8; ID_LENGTH]);

impl ClaimId {
    /// Returns the id for an idempotency key, whose scope is one team and one service.
    pub fn new(team: &str, service: &str, key: &str) -> Self {
        let hash = blake3::hash(format!("{team}\n{service}\n{key}").as_bytes());
        let mut id = [0; ID_LENGTH];
        id.copy_from_slice(&hash.as_bytes()[..ID_LENGTH]);
        Self(id)
    }

    /// Returns the id as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Decodes an id, or returns `None` if the number of bytes is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

/// Returns the bucket of a claim.
pub fn bucket_of(id: &ClaimId) -> u32 {
    (xxh3_64(id.as_bytes()) % u64::from(BUCKET_COUNT)) as u32
}

/// Returns the prefix of the keys of all records of a bucket.
pub fn bucket_prefix(bucket: u32) -> String {
    format!("cardamomshore/once/{bucket:03}/")
}

/// Returns the key of a bucket's head.
pub fn head_key(bucket: u32) -> String {
    format!("{}head", bucket_prefix(bucket))
}

/// Returns the key of a sealed segment of a bucket.
pub fn segment_key(bucket: u32, segment: u64) -> String {
    format!("{}segment-{segment:012}", bucket_prefix(bucket))
}

/// The record of one claim.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ClaimRecord {
    /// Id of the claim.
    #[prost(bytes = "vec", tag = "1")]
    pub id: Vec<u8>,
    /// Hash of the request, which tells a retry from another request under the same id.
    #[prost(fixed64, tag = "2")]
    pub fingerprint: u64,
    /// Hash of the owner that committed the claim and may still hold the response.
    #[prost(fixed32, tag = "3")]
    pub owner: u32,
}

/// Returns the hash that names an owner in the records of claims.
pub fn owner_hash(owner: &str) -> u32 {
    xxh3_64(owner.as_bytes()) as u32
}

impl ClaimRecord {
    /// Creates the record of a claim that `owner` commits.
    pub fn new(id: ClaimId, fingerprint: u64, owner: &str) -> Self {
        Self { id: id.as_bytes().to_vec(), fingerprint, owner: owner_hash(owner) }
    }

    /// Returns the id of the claim, or `None` if the record is damaged.
    pub fn claim_id(&self) -> Option<ClaimId> {
        ClaimId::from_bytes(&self.id)
    }
}

/// The age of a sealed segment.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SegmentAge {
    /// Number of the segment.
    #[prost(uint64, tag = "1")]
    pub segment: u64,
    /// Seconds for which owners have kept the segment, each measured by its owner's clock.
    #[prost(uint64, tag = "2")]
    pub seconds: u64,
}

/// The head of a bucket: its owner and the latest claims.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct HeadRecord {
    /// Instance that owns the bucket, or empty after a handover.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// Incarnation of the owner's process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the open segment.
    #[prost(uint64, tag = "3")]
    pub segment: u64,
    /// Claims of the open segment.
    #[prost(message, repeated, tag = "4")]
    pub claims: Vec<ClaimRecord>,
    /// Ages of the sealed segments.
    #[prost(message, repeated, tag = "5")]
    pub ages: Vec<SegmentAge>,
    /// Random number of the last write, by which the writer recognizes its own write.
    #[prost(fixed64, tag = "6")]
    pub nonce: u64,
}

impl HeadRecord {
    /// Decodes a head. A damaged head is an error and never counts as an empty bucket.
    pub fn parse(value: &[u8]) -> Result<Self, prost::DecodeError> {
        Self::decode(value)
    }
}

/// The record of a sealed segment.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SegmentRecord {
    /// Claims of the segment.
    #[prost(message, repeated, tag = "1")]
    pub claims: Vec<ClaimRecord>,
}
