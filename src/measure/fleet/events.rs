//! The queue of events of the simulation, in the order of virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::{clock::Time, names::Model};

/// An event of the simulation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A request arrives.
    Arrive(usize),
    /// A request retries its admission.
    Admit(usize),
    /// A request is routed to a replica.
    Route(usize),
    /// A request ends at its endpoint.
    Finish {
        /// Position of the endpoint.
        endpoint: usize,
        /// Position of the request.
        request: usize,
        /// Incarnation of the engine that started the request.
        incarnation: u64,
    },
    /// The load of a model ends.
    Loaded {
        /// Position of the endpoint.
        endpoint: usize,
        /// Model that was loaded.
        model: Model,
        /// Incarnation of the engine that started the load.
        incarnation: u64,
    },
    /// All instances run a round of their regular work, such as digests, loans and planning.
    Round,
}

/// The events to come. Events of the same time happen in the order in which they were added.
#[derive(Debug, Default)]
pub struct Events {
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    /// Number of the event that was added last.
    number: u64,
}

impl Events {
    /// Adds an event that happens at `at`.
    pub fn add(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.heap.push(Reverse((at, self.number, event)));
    }

    /// Removes the next event and returns it with its time.
    pub fn next(&mut self) -> Option<(Time, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
