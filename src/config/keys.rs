//! Hashes of callers' keys, so that the document never contains a key.

/// Returns the hexadecimal BLAKE3 hash of a key.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
