//! Load of an endpoint, in frames about a request that it has responded to.

use std::time::Duration;

use prost::Message;

use crate::{
    clock::Time,
    kernel::grants::{Incarnation, LoadFigures, SightedLoad},
};

/// Load that the response to a request states.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct LoadFrame {
    /// Requests that run at the endpoint.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Requests that wait at the endpoint.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Requests that can run at once.
    #[prost(uint32, optional, tag = "3")]
    pub slots: Option<u32>,
    /// Time that work takes, in percent of the usual time.
    #[prost(uint32, optional, tag = "4")]
    pub pace: Option<u32>,
    /// Time since the response arrived, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// Incarnation of the endpoint.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
}

impl LoadFrame {
    /// Creates the frame of figures that arrived at `seen_at`.
    pub fn new(figures: LoadFigures, incarnation: Incarnation, seen_at: Time, now: Time) -> Self {
        let LoadFigures { running, waiting, slots, pace } = figures;
        let age_ms = now.since(seen_at).as_millis() as u64;
        Self { running, waiting, slots, pace, age_ms, incarnation: incarnation.0 }
    }

    /// Returns the load, with its time on the receiver's clock; `None` if a figure is out of range.
    pub fn to_load(&self, now: Time) -> Option<SightedLoad> {
        let &Self { running, waiting, slots, pace, .. } = self;
        let report = LoadFigures { running, waiting, slots, pace }.try_into().ok()?;
        let seen_at = now - Duration::from_millis(self.age_ms);
        Some(SightedLoad { report, seen_at, incarnation: Incarnation(self.incarnation) })
    }
}
