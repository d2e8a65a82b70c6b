//! What teams got lately, as counts that decay.

use std::{collections::BTreeMap, time::Duration};

use super::Ticket;
use crate::{clock::Time, names::Team};

/// Time in which the counts of attained requests fall to half.
const ATTAINED_HALF_LIFE: Duration = Duration::from_secs(60);

/// Time in which the counts of work fall to half.
const WORK_HALF_LIFE: Duration = Duration::from_secs(5);

/// Counts below which a team is forgotten.
const FORGOTTEN: f64 = 1e-3;

/// A count that falls to half in a fixed time.
#[derive(Clone, Copy, Debug, Default)]
struct Decayed {
    value: f64,
    at: Time,
}

impl Decayed {
    fn at(&self, now: Time, half_life: Duration) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        self.value * (-elapsed).exp2()
    }

    fn add(&mut self, amount: f64, now: Time, half_life: Duration) {
        self.value = self.at(now, half_life) + amount;
        self.at = self.at.max(now);
    }
}

/// What one team got.
#[derive(Clone, Debug, Default)]
struct TeamCount {
    wanted: Decayed,
    missed: Decayed,
    work: Decayed,
    rate: u64,
}

/// What all teams got at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    teams: BTreeMap<Team, TeamCount>,
    work: Decayed,
    background: Decayed,
    late: Decayed,
}

impl Standing {
    /// Counts a request that leaves the queue for its endpoint.
    pub fn dispatched(&mut self, ticket: &Ticket, now: Time) {
        let work = ticket.tokens.max(1) as f64;
        let late = !ticket.background && ticket.due < now;
        self.work.add(work, now, WORK_HALF_LIFE);
        if ticket.background {
            self.background.add(work, now, WORK_HALF_LIFE);
        }
        if late {
            self.late.add(work, now, WORK_HALF_LIFE);
        }
        self.count(ticket, late, now).work.add(work, now, WORK_HALF_LIFE);
    }

    /// Counts a request that waited until its deadline.
    pub fn expired(&mut self, ticket: &Ticket, now: Time) {
        self.count(ticket, true, now);
    }

    fn count(&mut self, ticket: &Ticket, missed: bool, now: Time) -> &mut TeamCount {
        let team = self.teams.entry(ticket.team.clone()).or_default();
        team.rate = ticket.rate;
        // A class that may miss its target more often counts a miss for less.
        team.wanted.add(1.0, now, ATTAINED_HALF_LIFE);
        if missed {
            team.missed.add(ticket.target_fraction, now, ATTAINED_HALF_LIFE);
        }
        team
    }

    /// Returns how far a team is below its target, from 0 to 1.
    pub fn shortfall(&self, team: &Team, now: Time) -> f64 {
        let Some(count) = self.teams.get(team) else { return 0.0 };
        let wanted = count.wanted.at(now, ATTAINED_HALF_LIFE);
        let missed = count.missed.at(now, ATTAINED_HALF_LIFE);
        if wanted > FORGOTTEN { (missed / wanted).clamp(0.0, 1.0) } else { 0.0 }
    }

    /// Returns a team's recent work divided by what its rate entitles it to among `rates`, the
    /// sum of the rates of all teams with waiting requests.
    pub fn used(&self, team: &Team, rates: u64, now: Time) -> f64 {
        let Some(count) = self.teams.get(team) else { return 0.0 };
        let all = self.work.at(now, WORK_HALF_LIFE);
        let entitled = all * count.rate.max(1) as f64 / rates.max(1) as f64;
        if entitled > FORGOTTEN { count.work.at(now, WORK_HALF_LIFE) / entitled } else { 0.0 }
    }

    /// Returns the part of the recent work that was background work.
    pub fn background_part(&self, now: Time) -> f64 {
        self.part(&self.background, now)
    }

    /// Returns the part of the recent work that had missed its target.
    pub fn late_part(&self, now: Time) -> f64 {
        self.part(&self.late, now)
    }

    fn part(&self, some: &Decayed, now: Time) -> f64 {
        let all = self.work.at(now, WORK_HALF_LIFE);
        if all > FORGOTTEN { some.at(now, WORK_HALF_LIFE) / all } else { 0.0 }
    }

    /// Forgets teams that asked for nothing for long.
    pub fn forget_idle(&mut self, now: Time) {
        self.teams.retain(|_, team| team.wanted.at(now, ATTAINED_HALF_LIFE) > FORGOTTEN);
    }
}
