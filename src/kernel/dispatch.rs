//! The queue of one endpoint and the order in which it is served.

use std::time::Duration;

use crate::{
    clock::Time,
    names::{Class, Team},
};

/// What the order of dispatch depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Team.
    pub team: Team,
    /// Class.
    pub class: Class,
    /// When the caller's request arrived, on this machine's clock.
    pub arrived: Time,
    /// When its first token is due.
    pub due: Time,
    /// When its answer must be complete.
    pub deadline: Time,
    /// Whether it may wait while others are served.
    pub background: bool,
    /// Tokens of prompt and answer.
    pub tokens: u64,
}

/// Requests that wait for one endpoint.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: Vec<(Ticket, T)>,
    limit: usize,
}

/// Longest queue of one team at one endpoint.
pub const QUEUE_LIMIT: usize = 256;

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { waiting: Vec::new(), limit: QUEUE_LIMIT }
    }
}

impl<T> Queue<T> {
    /// Adds a request, or returns it when its team's part of the queue is full.
    pub fn push(&mut self, ticket: Ticket, item: T) -> Result<(), T> {
        let same = self.waiting.iter().filter(|(other, _)| other.team == ticket.team).count();
        if same >= self.limit {
            return Err(item);
        }
        self.waiting.push((ticket, item));
        Ok(())
    }

    /// Takes the request that a policy puts first.
    pub fn pop(&mut self, policy: &dyn DispatchPolicy, now: Time) -> Option<(Ticket, T)> {
        let best = (0..self.waiting.len()).min_by_key(|i| policy.rank(&self.waiting[*i].0, now))?;
        Some(self.waiting.remove(best))
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expired(&mut self, now: Time) -> Vec<T> {
        let late = |(ticket, _): &mut (Ticket, T)| ticket.deadline <= now;
        self.waiting.extract_if(.., late).map(|(_, item)| item).collect()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Order in which waiting requests are served; the lowest rank goes first.
pub trait DispatchPolicy: Send + Sync {
    /// Returns the rank of a waiting request in microseconds.
    fn rank(&self, ticket: &Ticket, now: Time) -> i64;
}

/// Serves by slack to the first token's target, background work by slack to its deadline.
#[derive(Debug)]
pub struct Slack;

impl DispatchPolicy for Slack {
    fn rank(&self, ticket: &Ticket, _: Time) -> i64 {
        let due = if ticket.background { ticket.deadline - BACKGROUND_LEAD } else { ticket.due };
        due.0 as i64
    }
}

/// Time before its deadline at which background work competes with all other work.
const BACKGROUND_LEAD: Duration = Duration::from_secs(30);

/// Serves in the order of arrival.
#[derive(Debug)]
pub struct Fifo;

impl DispatchPolicy for Fifo {
    fn rank(&self, ticket: &Ticket, _: Time) -> i64 {
        ticket.arrived.0 as i64
    }
}

inventory::submit! { super::registry::DispatchPlugin { name: "slack", policy: &Slack } }
inventory::submit! { super::registry::DispatchPlugin { name: "fifo", policy: &Fifo } }
