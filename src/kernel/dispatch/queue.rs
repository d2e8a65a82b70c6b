//! Requests that wait for one endpoint.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Contest, DispatchPolicy, Lane, Pick, Standing, Ticket};
use crate::{clock::Time, names::Team};

/// Longest queue of one team at one endpoint.
pub const QUEUE_LIMIT: usize = 256;

/// Number of a request within its queue, in the order of pushes.
type Number = u64;

/// Requests that wait for one endpoint, sorted in each order that a policy may ask for.
///
/// A push or pop costs a logarithm of the length and one step for each team that waits.
#[derive(Debug)]
pub struct Queue<T> {
    entries: HashMap<Number, (Ticket, T)>,
    lanes: BTreeMap<(Team, bool), Orders>,
    deadlines: BTreeSet<(Time, Number)>,
    lengths: HashMap<Team, usize>,
    standing: Standing,
    next: Number,
    limit: usize,
}

/// Orders of one lane's requests.
#[derive(Debug, Default)]
struct Orders {
    arrived: BTreeSet<(Time, Number)>,
    /// Requests that can still meet their target, by its time.
    due: BTreeSet<(Time, Number)>,
    /// Background work and requests that missed their target, by deadline.
    late: BTreeSet<(Time, Number)>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            lanes: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            lengths: HashMap::new(),
            standing: Standing::default(),
            next: 0,
            limit: QUEUE_LIMIT,
        }
    }
}

impl<T> Queue<T> {
    /// Adds a request, or returns it when its team's part of the queue is full.
    pub fn push(&mut self, ticket: Ticket, item: T) -> Result<(), T> {
        let length = self.lengths.entry(ticket.team.clone()).or_default();
        if *length >= self.limit {
            return Err(item);
        }
        *length += 1;
        let number = self.next;
        self.next += 1;
        let orders = self.lanes.entry((ticket.team.clone(), ticket.background)).or_default();
        orders.arrived.insert((ticket.arrived, number));
        if ticket.background {
            orders.late.insert((ticket.deadline, number));
        } else {
            orders.due.insert((ticket.due, number));
        }
        self.deadlines.insert((ticket.deadline, number));
        self.entries.insert(number, (ticket, item));
        Ok(())
    }

    /// Takes the request that a policy puts first.
    pub fn pop(&mut self, policy: &dyn DispatchPolicy, now: Time) -> Option<(Ticket, T)> {
        if self.is_empty() {
            return None;
        }
        self.sort_late(now);
        let contest = self.contest(now);
        let number = self.number(policy.pick(&contest, now))?;
        let (ticket, item) = self.remove(number)?;
        self.standing.dispatched(&ticket, now);
        Some((ticket, item))
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn take_expired(&mut self, now: Time) -> Vec<T> {
        let mut expired = Vec::new();
        while let Some((deadline, number)) = self.deadlines.first().copied()
            && deadline <= now
        {
            let Some((ticket, item)) = self.remove(number) else { break };
            self.standing.expired(&ticket, now);
            expired.push(item);
        }
        expired
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what teams got lately.
    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    fn sort_late(&mut self, now: Time) {
        for orders in self.lanes.values_mut() {
            while let Some((due, number)) = orders.due.first().copied()
                && due < now
            {
                orders.due.remove(&(due, number));
                let deadline = self.entries[&number].0.deadline;
                orders.late.insert((deadline, number));
            }
        }
    }

    fn contest(&self, now: Time) -> Contest<'_> {
        let rates = self.waiting_rates();
        let lanes = self.lanes.iter().filter_map(|((team, background), orders)| {
            Some(Lane {
                background: *background,
                oldest: self.first(&orders.arrived)?,
                urgent: self.first(&orders.due),
                late: self.first(&orders.late),
                shortfall: self.standing.shortfall(team, now),
                used: self.standing.used(team, rates, now),
            })
        });
        Contest {
            lanes: lanes.collect(),
            background: self.standing.background_part(now),
            late: self.standing.late_part(now),
        }
    }

    /// Returns the sum of the rates of the teams with waiting requests.
    fn waiting_rates(&self) -> u64 {
        let mut rates: BTreeMap<&Team, u64> = BTreeMap::new();
        for ((team, _), orders) in &self.lanes {
            if let Some(ticket) = self.first(&orders.arrived) {
                rates.insert(team, ticket.rate);
            }
        }
        rates.values().sum()
    }

    fn first(&self, order: &BTreeSet<(Time, Number)>) -> Option<&Ticket> {
        let (_, number) = order.first()?;
        self.entries.get(number).map(|(ticket, _)| ticket)
    }

    fn number(&self, pick: Pick) -> Option<Number> {
        let lane = |position: usize| self.lanes.values().nth(position);
        let (_, number) = match pick {
            Pick::Oldest(position) => lane(position)?.arrived.first()?,
            Pick::Urgent(position) => lane(position)?.due.first()?,
            Pick::Late(position) => lane(position)?.late.first()?,
        };
        Some(*number)
    }

    fn remove(&mut self, number: Number) -> Option<(Ticket, T)> {
        let (ticket, item) = self.entries.remove(&number)?;
        self.deadlines.remove(&(ticket.deadline, number));
        let key = (ticket.team.clone(), ticket.background);
        if let Some(orders) = self.lanes.get_mut(&key) {
            orders.arrived.remove(&(ticket.arrived, number));
            orders.due.remove(&(ticket.due, number));
            orders.late.remove(&(ticket.deadline, number));
            if orders.arrived.is_empty() {
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
