//! Events in the order of virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::{clock::Time, names::Model};

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A request arrives.
    Arrive(usize),
    /// A request asks again for its tokens.
    Admit(usize),
    /// A request looks for a copy.
    Route(usize),
    /// A request ends at its endpoint.
    Finish {
        /// Position of the endpoint.
        endpoint: usize,
        /// Position of the request.
        request: usize,
        /// Incarnation of the endpoint that started it.
        incarnation: u64,
    },
    /// A load ends.
    Loaded {
        /// Position of the endpoint.
        endpoint: usize,
        /// Model.
        model: Model,
        /// Incarnation of the endpoint that started it.
        incarnation: u64,
    },
    /// Digests are sent and the planner decides.
    Round,
}

/// Events to come; those of the same time happen in the order in which they were added.
#[derive(Debug, Default)]
pub struct Events {
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    number: u64,
}

impl Events {
    /// Adds an event.
    pub fn add(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.heap.push(Reverse((at, self.number, event)));
    }

    /// Takes the next event.
    pub fn next(&mut self) -> Option<(Time, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
