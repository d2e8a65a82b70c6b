//! Records of the store, as this system uses them and as they are encoded.

use base64::{DecodeError, Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::kernel::revision::{LeaseId, Revision};

/// A record of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: Bytes,
    /// Revision of the last write to the record. A record that has survived a return of the store has
    /// the era in which it was read.
    pub revision: Revision,
}

/// Records that were read together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Records in the order of their keys.
    pub items: Vec<Item>,
    /// Revision of the store at the time of the read.
    pub revision: Revision,
}

/// A change of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The record was created or overwritten.
    Put(Item),
    /// The record with this key was deleted, or its lease ended.
    Removed(String),
}

/// The result of a watch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// The changes, perhaps none, up to this revision.
    Events(Vec<Event>, Revision),
    /// Changes may have been missed, so the caller must read all records again.
    Missed,
}

/// The result of [`Store::put_if`], a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutResult {
    /// The records were written, at this revision.
    Done(Revision),
    /// The condition was not met, so nothing was written.
    Conflict,
    /// The lease of a record has ended, so nothing was written.
    NoLease,
}

/// A record to write.
#[derive(Clone, Copy, Debug)]
pub struct Put<'a> {
    /// Key of the record.
    pub key: &'a str,
    /// Value of the record.
    pub value: &'a [u8],
    /// Lease with which the record ends; `None` if it has none.
    pub lease: Option<LeaseId>,
}

#[derive(Deserialize)]
pub(super) struct RawItem {
    pub key: String,
    #[serde(default)]
    pub value: Option<String>,
    #[serde(default)]
    pub revision: u64,
    #[serde(default)]
    pub removed: bool,
}

#[derive(Deserialize)]
pub(super) struct RawPage {
    #[serde(default)]
    pub items: Vec<RawItem>,
    #[serde(default)]
    pub truncated: bool,
    pub as_of: u64,
}

#[derive(Deserialize)]
pub(super) struct RawEvents {
    #[serde(default)]
    pub events: Vec<RawItem>,
    pub as_of: u64,
}

#[derive(Serialize)]
pub(super) struct RawCondition<'a> {
    pub key: &'a str,
    pub revision: u64,
}

#[derive(Serialize)]
pub(super) struct RawPut<'a> {
    pub key: &'a str,
    pub value: String,
    pub lease: u64,
}

#[derive(Serialize)]
pub(super) struct RawTxn<'a> {
    pub precondition: Vec<RawCondition<'a>>,
    pub puts: Vec<RawPut<'a>>,
    pub delete: Vec<&'a str>,
}

#[derive(Deserialize)]
pub(super) struct RawRevision {
    pub revision: u64,
}

#[derive(Serialize)]
pub(super) struct RawTtl {
    pub ttl_ms: u64,
}

#[derive(Deserialize)]
pub(super) struct RawLease {
    pub lease: u64,
}

impl RawItem {
    /// Returns the record, which was read in `era`.
    pub fn into_item(self, era: u64) -> Result<Item, DecodeError> {
        let value = STANDARD.decode(self.value.unwrap_or_default())?;
        let revision = Revision::new(era, self.revision);
        Ok(Item { key: self.key, value: value.into(), revision })
    }

    /// Returns the change of a record, which was read in `era`.
    pub fn into_event(self, era: u64) -> Result<Event, DecodeError> {
        match self.removed {
            true => Ok(Event::Removed(self.key)),
            false => self.into_item(era).map(Event::Put),
        }
    }
}
