//! Which version of the configuration an instance takes, from whom, and who watches the record.

use crate::{
    names::{DataCentre, InstanceId},
    platform::{InstanceList, ListedState},
};

use super::stewardship::weight;

/// Instances of a data centre that watch the record.
pub const WATCHER_COUNT: usize = 3;

/// Returns whether an instance watches the record; the others hear of versions from peers.
pub fn is_watcher(own: &InstanceId, data_centre: &DataCentre, list: &InstanceList) -> bool {
    let live = list.instances.iter().filter(|i| i.state == ListedState::Live);
    let same = live.filter(|i| i.data_centre == *data_centre && i.id != *own);
    let rank = |id: &InstanceId| (weight("configuration", id), id.clone());
    let mine = rank(own);
    same.filter(|i| rank(&i.id) > mine).count() < WATCHER_COUNT
}

/// What to do with a version that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Bring it into force.
    Take,
    /// Keep the version in force, which is no older.
    Old,
    /// Keep the version in force, since the offered one cannot be read.
    Unreadable,
}

/// The versions that one instance knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// Version in force; zero for none.
    pub current: u64,
    /// Version that could not be read lately, so that it is not read again and again.
    pub unreadable: u64,
}

impl Versions {
    /// Returns whether a version is worth reading.
    pub fn should_read(&self, version: u64) -> bool {
        version > self.current && version != self.unreadable
    }

    /// Takes in a version; `readable` says whether its document passed all checks.
    pub fn offer(&mut self, version: u64, readable: bool) -> Offer {
        if version <= self.current {
            return Offer::Old;
        }
        if !readable {
            self.unreadable = version;
            return Offer::Unreadable;
        }
        self.current = version;
        Offer::Take
    }

    /// Returns the peer with the highest version that is worth reading.
    pub fn best_source(
        &self,
        peers: impl IntoIterator<Item = (InstanceId, u64)>,
    ) -> Option<InstanceId> {
        let ahead = peers.into_iter().filter(|(_, version)| self.should_read(*version));
        ahead.max_by_key(|(_, version)| *version).map(|(id, _)| id)
    }
}
