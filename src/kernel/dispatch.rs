//! The queue of one endpoint and the order in which it is served.

mod fifo;
mod queue;
mod slack;
mod standing;

use crate::{
    clock::Time,
    names::{Class, Team},
};

pub use self::{
    fifo::Fifo,
    queue::{QUEUE_LIMIT, Queue},
    slack::{BACKGROUND_LEAD, BACKGROUND_PART, LATE_PART, Slack},
    standing::Standing,
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
    /// Part of the class's requests that must meet the target, from 0 to 1.
    pub target_fraction: f64,
    /// Tokens a second to which the team is entitled.
    pub rate: u64,
}

/// One team's requests that compete for the next free place.
#[derive(Debug)]
pub struct Lane<'a> {
    /// Whether these requests may wait while others are served.
    pub background: bool,
    /// The request that arrived first.
    pub oldest: &'a Ticket,
    /// The request with the earliest target that can still be met.
    pub urgent: Option<&'a Ticket>,
    /// The request with the earliest deadline among background work or those that missed their
    /// target.
    pub late: Option<&'a Ticket>,
    /// How far the team is below the target of its classes, from 0 to 1.
    pub shortfall: f64,
    /// The team's recent work divided by what its rate entitles it to.
    pub used: f64,
}

/// Everything that competes for the next free place.
#[derive(Debug)]
pub struct Contest<'a> {
    /// Each team's requests; never empty.
    pub lanes: Vec<Lane<'a>>,
    /// Part of the recent work that was background work, from 0 to 1.
    pub background: f64,
    /// Part of the recent work that had already missed its target, from 0 to 1.
    pub late: f64,
}

/// Which request of a lane goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// The one that arrived first.
    Oldest(usize),
    /// The one with the earliest target that can still be met.
    Urgent(usize),
    /// The one with the earliest deadline among background work or those that missed their target.
    Late(usize),
}

/// Order in which waiting requests are served.
pub trait DispatchPolicy: Send + Sync {
    /// Returns which request goes next, with the position of its lane.
    fn pick(&self, contest: &Contest<'_>, now: Time) -> Pick;
}
