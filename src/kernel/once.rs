//! Claims of non-repeatable requests.

use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets over which the ids are spread.
pub const BUCKET_COUNT: u64 = 256;

/// Returns the bucket of an idempotency key.
pub fn bucket_of(team: &str, id: &str) -> u64 {
    xxh3_64(format!("{team}\n{id}").as_bytes()) % BUCKET_COUNT
}
