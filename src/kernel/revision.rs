//! Positions in the history of a store that may return from an older copy of itself.
//!
//! Such a store loses what was written since the copy was made, and gives out revisions and the numbers
//! of leases again. Its era grows with each return, so only the era and the number together say which of
//! two positions is the later one.

use std::fmt;

/// Bits of an ordinal that hold the number. The era has the rest of the 53 bits that JSON numbers can
/// hold exactly.
const NUMBER_BITS: u32 = 40;

/// Largest number of a revision.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// A revision of the store. Revisions are ordered by time, over all eras.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    era: u64,
    number: u64,
}

impl Revision {
    /// Creates the revision that the store calls `number` in `era`.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the era.
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the number by which the store knows the revision in its era. Zero stands for no
    /// revision.
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Returns a number with the same order as the revisions, for frames and for terms of leaders.
    pub fn ordinal(self) -> u64 {
        self.era << NUMBER_BITS | self.number.min(MAX_NUMBER)
    }

    /// Returns the revision of an ordinal.
    pub const fn from_ordinal(ordinal: u64) -> Self {
        Self { era: ordinal >> NUMBER_BITS, number: ordinal & MAX_NUMBER }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// Identifies a lease. A number alone may name another lease in another era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId {
    /// Era in which the lease was granted.
    pub era: u64,
    /// Number of the lease in its era.
    pub number: u64,
}
