//! The key that a request carries.

use http::{HeaderMap, HeaderValue};

use crate::codes::{Code, Refusal};

/// Longest key in bytes.
const KEY_LIMIT: usize = 512;

/// Scheme of the `Authorization` header before a key.
const SCHEME: &str = "bearer ";

/// A caller's key. It implements neither `Debug` nor `Display`, so that it cannot be logged.
pub struct Key(String);

impl Key {
    /// Returns the one key that the headers carry; every header for keys must agree.
    pub fn of(headers: &HeaderMap) -> Result<Key, Refusal> {
        let bearer = headers.get_all("authorization").iter().map(bearer);
        let plain = headers.get_all("x-api-key").iter().map(plain);
        let mut keys = bearer.chain(plain).collect::<Result<Vec<_>, _>>()?;
        keys.dedup();
        match keys.len() {
            0 => Err(Refusal::not_run(Code::KeyMissing)),
            1 => Ok(Key(keys.remove(0).to_owned())),
            _ => Err(Refusal::not_run(Code::KeyConflict)),
        }
    }

    /// Returns the key, to be hashed.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Returns whether the key appears in some bytes.
    pub fn is_in(&self, bytes: &[u8]) -> bool {
        bytes.windows(self.0.len()).any(|window| window == self.0.as_bytes())
    }
}

fn bearer(value: &HeaderValue) -> Result<&str, Refusal> {
    let text = plain(value)?;
    let scheme = text.get(..SCHEME.len()).filter(|s| s.eq_ignore_ascii_case(SCHEME));
    scheme.ok_or(Refusal::not_run(Code::KeyUnknown))?;
    non_empty(text[SCHEME.len()..].trim())
}

fn plain(value: &HeaderValue) -> Result<&str, Refusal> {
    non_empty(value.to_str().map_err(|_| Refusal::not_run(Code::KeyUnknown))?.trim())
}

fn non_empty(key: &str) -> Result<&str, Refusal> {
    if key.is_empty() || key.len() > KEY_LIMIT {
        return Err(Refusal::not_run(Code::KeyUnknown));
    }
    Ok(key)
}
