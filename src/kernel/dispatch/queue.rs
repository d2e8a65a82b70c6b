//! Queue of the requests that wait for one endpoint.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Contenders, DispatchHistory, DispatchPolicy, Lane, Pick, Ticket};
use crate::{clock::Time, names::Team};

/// Largest number of requests of one team that wait for one endpoint.
pub const MAX_TEAM_QUEUE: usize = 256;

/// Identifies a request within its queue; the number grows with each push.
type RequestNumber = u64;

/// Requests that wait for one endpoint, indexed in every order that a policy may need.
///
/// A push takes time logarithmic in the number of waiting requests; a pop also visits each lane.
#[derive(Debug)]
pub struct Queue<T> {
    /// All requests, by number.
    entries: HashMap<RequestNumber, (Ticket, T)>,
    /// Indexes by team and by whether the requests are background work.
    lanes: BTreeMap<(Team, bool), LaneIndex>,
    /// All requests, by deadline.
    deadlines: BTreeSet<(Time, RequestNumber)>,
    /// Number of waiting requests of each team.
    lengths: HashMap<Team, usize>,
    /// Recent requests and work of the teams.
    history: DispatchHistory,
    /// Number of the next request.
    next_number: RequestNumber,
    /// Largest number of waiting requests of one team.
    max_length: usize,
}

/// The requests of one lane, sorted by several times.
#[derive(Debug, Default)]
struct LaneIndex {
    /// All requests of the lane, by arrival.
    arrived: BTreeSet<(Time, RequestNumber)>,
    /// Requests that can still meet their target, by the time at which they are due.
    due: BTreeSet<(Time, RequestNumber)>,
    /// Background work and requests that missed their target, by deadline.
    late: BTreeSet<(Time, RequestNumber)>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            lanes: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            lengths: HashMap::new(),
            history: DispatchHistory::default(),
            next_number: 0,
            max_length: MAX_TEAM_QUEUE,
        }
    }
}

impl<T> Queue<T> {
    /// Adds a request; fails and returns its item if too many requests of its team wait.
    pub fn push(&mut self, ticket: Ticket, item: T) -> Result<(), T> {
        let length = self.lengths.entry(ticket.team.clone()).or_default();
        if *length >= self.max_length {
            return Err(item);
        }
        *length += 1;
        let number = self.next_number;
        self.next_number += 1;
        let index = self.lanes.entry((ticket.team.clone(), ticket.background)).or_default();
        index.arrived.insert((ticket.arrived, number));
        if ticket.background {
            index.late.insert((ticket.deadline, number));
        } else {
            index.due.insert((ticket.due, number));
        }
        self.deadlines.insert((ticket.deadline, number));
        self.entries.insert(number, (ticket, item));
        Ok(())
    }

    /// Removes and returns the request that a policy picks, or `None` if no request waits.
    pub fn pop(&mut self, policy: &dyn DispatchPolicy, now: Time) -> Option<(Ticket, T)> {
        if self.is_empty() {
            return None;
        }
        self.move_late(now);
        let contenders = self.contenders(now);
        let number = self.picked_number(policy.pick(&contenders, now))?;
        let (ticket, item) = self.remove(number)?;
        self.history.record_dispatch(&ticket, now);
        Some((ticket, item))
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn take_expired(&mut self, now: Time) -> Vec<T> {
        let mut expired = Vec::new();
        while let Some((deadline, number)) = self.deadlines.first().copied()
            && deadline <= now
        {
            let Some((ticket, item)) = self.remove(number) else { break };
            self.history.record_expiry(&ticket, now);
            expired.push(item);
        }
        expired
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the recent work of the teams at this endpoint.
    pub fn history(&self) -> &DispatchHistory {
        &self.history
    }

    /// Moves the requests that can no longer meet their target to the index by deadline.
    fn move_late(&mut self, now: Time) {
        for index in self.lanes.values_mut() {
            while let Some((due, number)) = index.due.first().copied()
                && due < now
            {
                index.due.remove(&(due, number));
                let deadline = self.entries[&number].0.deadline;
                index.late.insert((deadline, number));
            }
        }
    }

    /// Returns the lanes that compete for the next slot.
    fn contenders(&self, now: Time) -> Contenders<'_> {
        let rates = self.waiting_rates();
        let lanes = self.lanes.iter().filter_map(|((team, background), index)| {
            Some(Lane {
                background: *background,
                oldest: self.first_ticket(&index.arrived)?,
                urgent: self.first_ticket(&index.due),
                late: self.first_ticket(&index.late),
                shortfall: self.history.shortfall(team, now),
                work_ratio: self.history.work_ratio(team, rates, now),
            })
        });
        Contenders {
            lanes: lanes.collect(),
            background_fraction: self.history.background_fraction(now),
            late_fraction: self.history.late_fraction(now),
        }
    }

    /// Returns the sum of the rates of the teams with waiting requests.
    fn waiting_rates(&self) -> u64 {
        let mut rates: BTreeMap<&Team, u64> = BTreeMap::new();
        for ((team, _), index) in &self.lanes {
            if let Some(ticket) = self.first_ticket(&index.arrived) {
                rates.insert(team, ticket.rate);
            }
        }
        rates.values().sum()
    }

    /// Returns the ticket of the first request in an index.
    fn first_ticket(&self, sorted: &BTreeSet<(Time, RequestNumber)>) -> Option<&Ticket> {
        let (_, number) = sorted.first()?;
        self.entries.get(number).map(|(ticket, _)| ticket)
    }

    /// Returns the number of the request that a policy picked.
    fn picked_number(&self, pick: Pick) -> Option<RequestNumber> {
        let lane = |position: usize| self.lanes.values().nth(position);
        let (_, number) = match pick {
            Pick::Oldest(position) => lane(position)?.arrived.first()?,
            Pick::Urgent(position) => lane(position)?.due.first()?,
            Pick::Late(position) => lane(position)?.late.first()?,
        };
        Some(*number)
    }

    /// Removes a request from all indexes and returns it.
    fn remove(&mut self, number: RequestNumber) -> Option<(Ticket, T)> {
        let (ticket, item) = self.entries.remove(&number)?;
        self.deadlines.remove(&(ticket.deadline, number));
        let key = (ticket.team.clone(), ticket.background);
        if let Some(index) = self.lanes.get_mut(&key) {
            index.arrived.remove(&(ticket.arrived, number));
            index.due.remove(&(ticket.due, number));
            index.late.remove(&(ticket.deadline, number));
            if index.arrived.is_empty() {
                self.lanes.remove(&key);
            }
        }
        if let Some(length) = self.lengths.get_mut(&ticket.team) {
            *length -= 1;
            if *length == 0 {
                self.lengths.remove(&ticket.team);
            }
        }
        Some((ticket, item))
    }
}
