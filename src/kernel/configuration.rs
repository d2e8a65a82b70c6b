//! Distribution of the configuration: which version an instance applies, from which peer it fetches
//! one, and which instances watch the record in the platform's store.
//!
//! A few watchers in each data centre read the record. All other instances learn of new versions
//! from their peers' heartbeats, so that the load on the store does not grow with the fleet.

use crate::{
    names::{DataCentre, InstanceId},
    platform::{InstanceList, ListedState},
};

use super::stewardship::weight;

/// Number of instances in each data centre that watch the record.
pub const WATCHER_COUNT: usize = 3;

/// Returns whether an instance watches the configuration's record.
///
/// Rendezvous hashing over the live instances of the data centre selects the watchers.
pub fn is_watcher(own: &InstanceId, data_centre: &DataCentre, list: &InstanceList) -> bool {
    let live = list.instances.iter().filter(|i| i.state == ListedState::Live);
    let peers = live.filter(|i| i.data_centre == *data_centre && i.id != *own);
    let rank = |id: &InstanceId| (weight("configuration", id), id.clone());
    let own_rank = rank(own);
    peers.filter(|i| rank(&i.id) > own_rank).count() < WATCHER_COUNT
}

/// What an instance does with a version that it read or received from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The offered version comes into force.
    Applied,
    /// The offered version is not newer than the one in force, which stays.
    NotNewer,
    /// The offered version cannot be read, so the one in force stays.
    Unreadable,
}

/// The versions of the configuration that one instance knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// Version in force; zero for none.
    pub current: u64,
    /// The last version that could not be read and is not read again; zero for none.
    pub unreadable: u64,
}

impl Versions {
    /// Returns whether a version is newer than the one in force and not known to be unreadable.
    pub fn should_read(&self, version: u64) -> bool {
        version > self.current && version != self.unreadable
    }

    /// Applies an offered version if it is newer and readable, and returns the outcome.
    ///
    /// `readable` says whether the version's document passed all checks.
    pub fn offer(&mut self, version: u64, readable: bool) -> OfferResult {
        if version <= self.current {
            return OfferResult::NotNewer;
        }
        if !readable {
            self.unreadable = version;
            return OfferResult::Unreadable;
        }
        self.current = version;
        OfferResult::Applied
    }

    /// Returns the peer with the highest version among those that should be read.
    pub fn best_source(
        &self,
        peers: impl IntoIterator<Item = (InstanceId, u64)>,
    ) -> Option<InstanceId> {
        let newer = peers.into_iter().filter(|(_, version)| self.should_read(*version));
        newer.max_by_key(|(_, version)| *version).map(|(id, _)| id)
    }
}
