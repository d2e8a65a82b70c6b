//! Decides to which endpoints an instance sends no requests, by what they have told this instance.
//!
//! An endpoint says in its responses that it leaves, or for how long it wants no requests of this
//! instance. That holds whatever the leader grants.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::grants::Incarnation;
use crate::clock::Time;

/// Time for which it is remembered that an endpoint leaves.
const LEAVING_TTL: Duration = Duration::from_secs(120);

/// Whether requests may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateState {
    /// They may be sent.
    Open,
    /// The endpoint wants none for a while.
    Paused,
    /// The endpoint leaves.
    Leaving,
}

/// What one endpoint has told.
#[derive(Clone, Copy, Debug)]
struct Told {
    incarnation: Incarnation,
    state: GateState,
    until: Time,
}

/// What endpoints have told this instance.
#[derive(Debug, Default)]
pub struct SendGate {
    told: HashMap<Arc<str>, Told>,
}

impl SendGate {
    /// Records that an incarnation of an endpoint leaves.
    pub fn record_leaving(&mut self, endpoint: &Arc<str>, incarnation: Incarnation, now: Time) {
        let told = Told { incarnation, state: GateState::Leaving, until: now + LEAVING_TTL };
        self.record(endpoint, told, now);
    }

    /// Records that an incarnation of an endpoint wants no requests for `time`.
    pub fn record_pause(
        &mut self,
        endpoint: &Arc<str>,
        incarnation: Incarnation,
        time: Duration,
        now: Time,
    ) {
        if self.state(endpoint, incarnation, now) != GateState::Leaving {
            let told = Told { incarnation, state: GateState::Paused, until: now + time };
            self.record(endpoint, told, now);
        }
    }

    fn record(&mut self, endpoint: &Arc<str>, told: Told, now: Time) {
        self.told.retain(|_, told| now < told.until);
        let known = self.told.get(endpoint);
        // A response may arrive after one that was sent later.
        let is_longer = known.is_some_and(|known| {
            known.incarnation == told.incarnation
                && known.state == told.state
                && known.until > told.until
        });
        if !is_longer {
            self.told.insert(endpoint.clone(), told);
        }
    }

    /// Returns whether requests may be sent to an incarnation of an endpoint.
    pub fn state(&self, endpoint: &str, incarnation: Incarnation, now: Time) -> GateState {
        let told = self.told.get(endpoint);
        let told = told.filter(|told| told.incarnation == incarnation && now < told.until);
        told.map_or(GateState::Open, |told| told.state)
    }

    /// Returns the endpoints to which no requests may be sent. `current` returns the incarnation of an
    /// endpoint that is known to serve; what an earlier one has told does not hold for it.
    pub fn closed(
        &self,
        current: impl Fn(&str) -> Option<Incarnation>,
        now: Time,
    ) -> impl Iterator<Item = &Arc<str>> {
        let is_replaced = move |endpoint: &str, told: &Told| {
            current(endpoint).is_some_and(|current| current.0 > told.incarnation.0)
        };
        let closed = self
            .told
            .iter()
            .filter(move |(endpoint, told)| now < told.until && !is_replaced(endpoint, told));
        closed.map(|(endpoint, _)| endpoint)
    }
}
