//! Decides whether a request with a key may run.
//!
//! The entry instance decides when the request arrives. The steward of the endpoint checks once
//! more before it dispatches a request from its queue, since the key may have been withdrawn.

use super::freshness::Freshness;
use crate::{
    codes::Code,
    config::Config,
    names::{KeyId, Team},
};

/// Decision on a request at its entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run for this team; the key has this handle.
    Admit(KeyId, Team),
    /// The request is refused with this code.
    Refuse(Code),
}

/// Decides on a request by its key and the configuration in force; an instance that is cut off
/// admits nothing, since its configuration may be outdated.
pub fn admit(config: &Config, freshness: Freshness, key: &str) -> Admission {
    if freshness == Freshness::CutOff {
        return Admission::Refuse(Code::CutOff);
    }
    match config.team_of(key) {
        Some((handle, team)) => Admission::Admit(handle.clone(), team.clone()),
        None => Admission::Refuse(Code::KeyUnknown),
    }
}

/// Key, team and configuration under which the entry instance admitted a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRecord {
    /// Handle of the key; empty on a route that needs no key.
    pub handle: String,
    /// Team of the key.
    pub team: String,
    /// Version of the configuration that was in force at the entry instance.
    pub version: u64,
}

/// Returns whether a request that waited in a queue may still be dispatched.
///
/// A steward whose configuration is older than the one at the entry instance may not know a new key
/// yet, so it accepts the decision of the entry instance.
pub fn is_still_admitted(config: &Config, record: &AdmissionRecord) -> bool {
    let known = |(handle, team): &(KeyId, Team)| {
        handle.as_str() == record.handle && team.as_str() == record.team
    };
    let newer = record.version > config.version;
    record.handle.is_empty() || newer || config.keys.values().any(known)
}
