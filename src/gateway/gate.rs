//! Holds requests back from endpoints that this instance itself must not use.
//!
//! A leader that lacks the store may know less than this instance and grant an endpoint that leaves.

use super::Gateway;
use crate::kernel::{
    endpoint_table::Presence,
    grants::{Grant, Outcome},
};

impl Gateway {
    /// Returns the outcome of a grant that this instance must not use; `None` if it may send the
    /// request.
    pub(super) fn held_back(&self, grant: &Grant) -> Option<Outcome> {
        match self.presence(&grant.endpoint, grant.incarnation) {
            Presence::Draining => Some(Outcome::Leaving),
            // The entry may be back, and the leader may know that first.
            Presence::Gone => Some(Outcome::Full),
            Presence::Usable => {
                self.scheduler.lock().is_evacuated(&grant.endpoint).then_some(Outcome::Full)
            }
        }
    }
}
