//! Compares two copies of a table by the digests of its parts.
//!
//! Instances keep their tables while the leader changes. A new leader that sent its whole table to each of
//! them would fill its link for as long as that takes, although nearly all entries are the same. By the
//! digests it sends only the parts that differ.

use xxhash_rust::xxh3::xxh3_64;

/// Parts of a table. With 3,000 entries a part has about 12, so that a single changed entry costs little
/// more than itself.
pub const PART_COUNT: usize = 256;

/// Entries of a table from which its digest is smaller than what it saves.
pub const MIN_ENTRIES: usize = 256;

/// Returns the part of a table to which an entry belongs.
pub fn part_of(name: &str) -> usize {
    (xxh3_64(name.as_bytes()) % PART_COUNT as u64) as usize
}

/// A set of parts of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Parts([u64; PART_COUNT / 64]);

impl Parts {
    /// Adds a part; a number beyond the last part is ignored.
    fn insert(&mut self, part: usize) {
        if let Some(word) = self.0.get_mut(part / 64) {
            *word |= 1 << (part % 64);
        }
    }

    /// Returns whether a part is in the set.
    fn contains(&self, part: usize) -> bool {
        self.0.get(part / 64).is_some_and(|word| word >> (part % 64) & 1 == 1)
    }

    /// Returns whether the part of an entry is in the set.
    pub fn contains_entry(&self, name: &str) -> bool {
        self.contains(part_of(name))
    }

    /// Returns the numbers of the parts in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        (0..PART_COUNT).filter(|part| self.contains(*part))
    }
}

impl FromIterator<usize> for Parts {
    fn from_iter<I: IntoIterator<Item = usize>>(numbers: I) -> Self {
        let mut parts = Self::default();
        numbers.into_iter().for_each(|part| parts.insert(part));
        parts
    }
}

/// The digests of all parts of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableDigest(Vec<u64>);

impl TableDigest {
    /// Creates the digest of a table from its entries: the name of each, and an encoding that contains
    /// the name. The order of the entries does not matter.
    pub fn new(entries: impl IntoIterator<Item = (impl AsRef<str>, Vec<u8>)>) -> Self {
        let mut digests = vec![0; PART_COUNT];
        for (name, encoding) in entries {
            digests[part_of(name.as_ref())] ^= xxh3_64(&encoding);
        }
        Self(digests)
    }

    /// Creates the digest from what another instance has sent; `None` if it has another number of parts.
    pub fn from_parts(digests: Vec<u64>) -> Option<Self> {
        (digests.len() == PART_COUNT).then_some(Self(digests))
    }

    /// Returns the digests of the parts.
    pub fn as_slice(&self) -> &[u64] {
        &self.0
    }

    /// Returns the parts in which the tables differ.
    pub fn differing(&self, other: &Self) -> Parts {
        let pairs = self.0.iter().zip(&other.0).enumerate();
        pairs.filter(|(_, (own, other))| own != other).map(|(part, _)| part).collect()
    }
}
