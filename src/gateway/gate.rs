//! Holds requests back from endpoints that this instance itself must not use.
//!
//! Endpoints say in their responses that they leave, or want nothing for a while. A leader that lacks
//! the store may know less than this instance and grant an endpoint that leaves.

use std::sync::Arc;

use super::Gateway;
use crate::{
    clock::Time,
    kernel::{
        endpoint_table::Presence,
        grants::{Grant, Outcome},
        send_gate::GateState,
    },
    platform::caller::ResponseHead,
};

impl Gateway {
    /// Records what the head of a response says of the endpoint.
    pub(super) fn record_signs(&self, grant: &Grant, head: &ResponseHead) {
        let (now, mut gate) = (Time::now(), self.gate.lock());
        if head.leaving {
            gate.record_leaving(&grant.endpoint, grant.incarnation, now);
        }
        if let Some(pause) = head.pause {
            gate.record_pause(&grant.endpoint, grant.incarnation, pause, now);
        }
    }

    /// Returns the endpoints to which this instance sends nothing, as they have told it.
    pub(super) fn closed_endpoints(&self) -> Vec<Arc<str>> {
        let current = |id: &str| self.known_incarnation(id);
        self.gate.lock().closed(current, Time::now()).cloned().collect()
    }

    /// Returns the outcome of a grant that this instance must not use; `None` if it may send the
    /// request.
    pub(super) fn held_back(&self, grant: &Grant) -> Option<Outcome> {
        match self.gate.lock().state(&grant.endpoint, grant.incarnation, Time::now()) {
            GateState::Leaving => return Some(Outcome::Leaving),
            GateState::Paused => return Some(Outcome::Full),
            GateState::Open => {}
        }
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
