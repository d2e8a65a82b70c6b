//! The queue of requests that wait for one endpoint, and the policies that choose the next one.
//!
//! The steward of an endpoint keeps the queue. Whenever the endpoint can run another request, the
//! steward takes the one that the configured policy picks.

mod fifo;
mod history;
mod queue;
mod slack;

use crate::{
    clock::Time,
    names::{Class, Team},
};

pub use self::{
    fifo::Fifo,
    history::DispatchHistory,
    queue::{MAX_TEAM_QUEUE, Queue},
    slack::{BACKGROUND_FRACTION, BACKGROUND_LEAD, LATE_FRACTION, Slack},
};

/// Attributes of a waiting request by which a dispatch policy chooses.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Team that sent the request.
    pub team: Team,
    /// Class of the request.
    pub class: Class,
    /// When the caller's request arrived, on this instance's clock.
    pub arrived: Time,
    /// When the first token of its response is due.
    pub due: Time,
    /// When its response must be complete.
    pub deadline: Time,
    /// Whether the request may wait while others are served.
    pub background: bool,
    /// Number of tokens of its prompt and output together.
    pub tokens: u64,
    /// Fraction of the class's requests that must meet their target, from 0 to 1.
    pub target_fraction: f64,
    /// Tokens a second to which the team is entitled.
    pub rate: u64,
}

/// The waiting requests of one team: either its background work or all its other requests.
#[derive(Debug)]
pub struct Lane<'a> {
    /// Whether these requests may wait while others are served.
    pub background: bool,
    /// The request of the lane that arrived first.
    pub oldest: &'a Ticket,
    /// The request that is due first among those that can still meet their target.
    pub urgent: Option<&'a Ticket>,
    /// The request with the earliest deadline among background work or those that missed their
    /// target.
    pub late: Option<&'a Ticket>,
    /// How far the team is below the targets of its classes, from 0 (none missed) to 1.
    pub shortfall: f64,
    /// The team's recent work divided by the work to which its rate entitles it.
    pub work_ratio: f64,
}

/// All lanes that compete for the next free slot of an endpoint.
#[derive(Debug)]
pub struct Contenders<'a> {
    /// The lanes with waiting requests; never empty.
    pub lanes: Vec<Lane<'a>>,
    /// Fraction of the recent work that was background work, from 0 to 1.
    pub background_fraction: f64,
    /// Fraction of the recent work whose target had passed at its dispatch, from 0 to 1.
    pub late_fraction: f64,
}

/// The request that a policy dispatches next, by the position of its lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// The lane's `oldest` request.
    Oldest(usize),
    /// The lane's `urgent` request.
    Urgent(usize),
    /// The lane's `late` request.
    Late(usize),
}

/// A policy that decides which waiting request is dispatched next.
pub trait DispatchPolicy: Send + Sync {
    /// Returns the request to dispatch next.
    fn pick(&self, contenders: &Contenders<'_>, now: Time) -> Pick;
}
