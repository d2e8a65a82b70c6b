//! Whether a keyed request may run now: at the entry, and again where it waited.

use super::freshness::Freshness;
use crate::{
    codes::Code,
    config::Config,
    names::{KeyId, Team},
};

/// What to do with a request at the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs for this team, by the key with this handle.
    Admit(KeyId, Team),
    /// It is refused.
    Refuse(Code),
}

/// Decides by the configuration in force and the contact with the others.
pub fn admit(config: &Config, freshness: Freshness, key: &str) -> Admission {
    if freshness == Freshness::CutOff {
        return Admission::Refuse(Code::CutOff);
    }
    match config.team_of(key) {
        Some((handle, team)) => Admission::Admit(handle.clone(), team.clone()),
        None => Admission::Refuse(Code::KeyUnknown),
    }
}

/// Under what a request was admitted at its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRecord {
    /// Handle of the key; empty on an open route.
    pub handle: String,
    /// Team.
    pub team: String,
    /// Version of the configuration.
    pub version: u64,
}

/// Returns whether a request that waited may still be dispatched.
///
/// A steward whose configuration is older than the entry's may not know a new key yet, so it
/// leaves the decision to the entry.
pub fn is_still_admitted(config: &Config, pass: &AdmissionRecord) -> bool {
    let known = |(handle, team): &(KeyId, Team)| {
        handle.as_str() == pass.handle && team.as_str() == pass.team
    };
    let newer = pass.version > config.version;
    pass.handle.is_empty() || newer || config.keys.values().any(known)
}
