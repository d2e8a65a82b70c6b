//! What the platform's service keeps of a bucket.

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use super::BUCKET_COUNT;

/// Length of a claim's id in bytes; long enough that two ids never meet by chance.
const ID_LENGTH: usize = 16;

/// Hash of a team, a service and an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId([u8; ID_LENGTH]);

impl ClaimId {
    /// Hashes an idempotency key, which counts within one team and service.
    pub fn new(team: &str, service: &str, key: &str) -> Self {
        let hash = blake3::hash(format!("{team}\n{service}\n{key}").as_bytes());
        let mut id = [0; ID_LENGTH];
        id.copy_from_slice(&hash.as_bytes()[..ID_LENGTH]);
        Self(id)
    }

    /// Returns the bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads an id from its bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

/// Returns the bucket of a claim.
pub fn bucket_of(id: &ClaimId) -> u32 {
    (xxh3_64(id.as_bytes()) % u64::from(BUCKET_COUNT)) as u32
}

/// Returns the prefix of all records of a bucket.
pub fn bucket_prefix(bucket: u32) -> String {
    format!("cardamomshore/once/{bucket:03}/")
}

/// Returns the key of a bucket's head.
pub fn head_key(bucket: u32) -> String {
    format!("{}head", bucket_prefix(bucket))
}

/// Returns the key of a sealed segment.
pub fn segment_key(bucket: u32, segment: u64) -> String {
    format!("{}segment-{segment:012}", bucket_prefix(bucket))
}

/// One claim.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ClaimRecord {
    /// Id.
    #[prost(bytes = "vec", tag = "1")]
    pub id: Vec<u8>,
    /// Hash of the request, by which a reused id is told from a repeat.
    #[prost(fixed64, tag = "2")]
    pub fingerprint: u64,
    /// Hash of the owner that committed it, which may still hold the answer.
    #[prost(fixed32, tag = "3")]
    pub owner: u32,
}

/// Returns the short hash by which a claim names its owner.
pub fn owner_hash(owner: &str) -> u32 {
    xxh3_64(owner.as_bytes()) as u32
}

impl ClaimRecord {
    /// Creates the record of a claim.
    pub fn new(id: ClaimId, print: u64, owner: &str) -> Self {
        Self { id: id.as_bytes().to_vec(), fingerprint: print, owner: owner_hash(owner) }
    }

    /// Returns the id, or `None` for a damaged record.
    pub fn claim_id(&self) -> Option<ClaimId> {
        ClaimId::from_bytes(&self.id)
    }
}

/// A sealed segment and how long it has been kept.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SegmentAge {
    /// Number of the segment.
    #[prost(uint64, tag = "1")]
    pub segment: u64,
    /// Seconds for which owners kept it, each counted on its owner's clock.
    #[prost(uint64, tag = "2")]
    pub seconds: u64,
}

/// The head of a bucket: its owner and the youngest claims.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct HeadRecord {
    /// Owner, or empty after a handover.
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
    /// Sealed segments.
    #[prost(message, repeated, tag = "5")]
    pub ages: Vec<SegmentAge>,
    /// Random number of the write, by which its writer recognizes it.
    #[prost(fixed64, tag = "6")]
    pub nonce: u64,
}

impl HeadRecord {
    /// Reads a head from its value; a damaged one is an error, never an empty bucket.
    pub fn parse(value: &[u8]) -> Result<Self, prost::DecodeError> {
        Self::decode(value)
    }
}

/// A sealed segment.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SegmentRecord {
    /// Claims.
    #[prost(message, repeated, tag = "1")]
    pub claims: Vec<ClaimRecord>,
}
