//! Reads the key that a request carries.

use http::{HeaderMap, HeaderValue};

use crate::codes::{Code, Refusal};

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// Scheme of the `Authorization` header before a key.
const SCHEME: &str = "bearer ";

/// A caller's key. It implements neither `Debug` nor `Display`, so that it cannot be logged.
pub struct Key(String);

impl Key {
    /// Returns the key that the headers carry; fails without a key or if the headers differ.
    pub fn from_headers(headers: &HeaderMap) -> Result<Key, Refusal> {
        let bearer = headers.get_all("authorization").iter().map(parse_bearer);
        let plain = headers.get_all("x-api-key").iter().map(parse_plain);
        let mut keys = bearer.chain(plain).collect::<Result<Vec<_>, _>>()?;
        keys.dedup();
        match keys.len() {
            0 => Err(Refusal::not_run(Code::KeyMissing)),
            1 => Ok(Key(keys.remove(0).to_owned())),
            _ => Err(Refusal::not_run(Code::KeyConflict)),
        }
    }

    /// Returns the key, for hashing only.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the key occurs in `bytes`.
    pub fn is_in(&self, bytes: &[u8]) -> bool {
        bytes.windows(self.0.len()).any(|window| window == self.0.as_bytes())
    }
}

/// Returns the key of an `Authorization` header.
fn parse_bearer(value: &HeaderValue) -> Result<&str, Refusal> {
    let text = parse_plain(value)?;
    let scheme = text.get(..SCHEME.len()).filter(|s| s.eq_ignore_ascii_case(SCHEME));
    scheme.ok_or(Refusal::not_run(Code::KeyUnknown))?;
    check_length(text[SCHEME.len()..].trim())
}

/// Returns the key of a header that holds nothing else.
fn parse_plain(value: &HeaderValue) -> Result<&str, Refusal> {
    check_length(value.to_str().map_err(|_| Refusal::not_run(Code::KeyUnknown))?.trim())
}

/// Returns the key if its length is valid.
fn check_length(key: &str) -> Result<&str, Refusal> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Refusal::not_run(Code::KeyUnknown));
    }
    Ok(key)
}
