//! The share table, which says how many parts each instance owns.
//!
//! Every team's rate and burst are divided into [`TOTAL_PARTS`] parts. Admission at an instance uses
//! only parts that the view allows. A part gets a new owner in only two ways:
//!
//! - Its owner stops using it and then writes a smaller row.
//! - Its owner is missing from the platform's list. Another instance marks the row as revoked, and
//!   removes it after [`super::REUSE_DELAY`]. This delay is longer than the time for which an owner uses
//!   its row without having seen that it is not revoked.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::lending::TOTAL_PARTS;
use crate::names::InstanceId;

/// Key of the table's record.
pub const TABLE_KEY: &str = "cardamomshore/shares";

/// The share table as the platform's service stores it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShareTable {
    /// Rows by instance.
    pub rows: BTreeMap<InstanceId, ShareRow>,
    /// Random number of the last write, by which the writer recognizes its own write.
    pub nonce: u64,
}

/// The row of one instance in the share table.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShareRow {
    /// Incarnation of the process that owns the row.
    pub incarnation: u64,
    /// Address of the process for other instances, which only one process can bind at a time.
    pub address: SocketAddr,
    /// Number of parts that the instance owns.
    pub parts: u32,
    /// Whether the owner must stop using the parts.
    pub revoked: bool,
}

impl ShareTable {
    /// Returns the number of parts that no instance owns.
    pub fn free_parts(&self) -> u32 {
        TOTAL_PARTS.saturating_sub(self.rows.values().map(|row| row.parts).sum())
    }

    /// Returns the table with a step of `owner` applied.
    pub fn with_step(&self, owner: &Owner, step: &Step) -> ShareTable {
        let mut table = self.clone();
        let row = |parts| ShareRow {
            incarnation: owner.incarnation,
            address: owner.address,
            parts,
            revoked: false,
        };
        match step {
            Step::Keep => {}
            Step::Hold(parts) | Step::GiveUp(parts) => {
                table.rows.insert(owner.instance.clone(), row(*parts));
            }
            Step::Leave => {
                table.rows.remove(&owner.instance);
            }
            Step::Revoke(id) => {
                if let Some(row) = table.rows.get_mut(id) {
                    row.revoked = true;
                }
            }
            Step::Free(id) => {
                table.rows.remove(id);
            }
        }
        table
    }
}

/// The next change that an instance makes to the table.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Change nothing.
    Keep,
    /// Own this many parts. They come from the free parts or from the row of an earlier
    /// incarnation.
    Hold(u32),
    /// Own only this many parts. The instance stops using the others before the write.
    GiveUp(u32),
    /// Remove the own row, because the instance shuts down.
    Leave,
    /// Revoke the row of an instance that is missing from the list.
    Revoke(InstanceId),
    /// Remove the row of an instance that was revoked long enough ago.
    Free(InstanceId),
}

/// A process that may own a row of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Owner {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Address of the process for other instances.
    pub address: SocketAddr,
}
