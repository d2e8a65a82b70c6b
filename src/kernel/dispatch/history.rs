//! Recent work and missed targets of the teams at one endpoint, as counts that decay.
//!
//! The queue records every dispatch here, and the policies use the counts to treat teams fairly.

use std::{collections::BTreeMap, time::Duration};

use super::Ticket;
use crate::{clock::Time, names::Team};

/// Half-life of the counts of requests and missed targets.
const ATTAINMENT_HALF_LIFE: Duration = Duration::from_secs(60);

/// Half-life of the counts of work.
const WORK_HALF_LIFE: Duration = Duration::from_secs(5);

/// Decayed counts up to this one are treated as zero.
const MIN_COUNT: f64 = 1e-3;

/// A count that decays exponentially with a fixed half-life.
#[derive(Clone, Copy, Debug, Default)]
struct Decayed {
    /// Value at the time of the last change.
    value: f64,
    /// When the count was last changed.
    changed_at: Time,
}

impl Decayed {
    /// Returns the decayed value.
    fn value_at(&self, now: Time, half_life: Duration) -> f64 {
        let half_lives = now.since(self.changed_at).as_secs_f64() / half_life.as_secs_f64();
        self.value * (-half_lives).exp2()
    }

    /// Adds an amount to the decayed value.
    fn add(&mut self, amount: f64, now: Time, half_life: Duration) {
        self.value = self.value_at(now, half_life) + amount;
        self.changed_at = self.changed_at.max(now);
    }
}

/// Recent requests and work of one team.
#[derive(Clone, Debug, Default)]
struct TeamHistory {
    /// Requests that were dispatched or expired.
    requests: Decayed,
    /// Requests that missed their target, each weighted by the target fraction of its class.
    missed: Decayed,
    /// Tokens of the dispatched requests.
    work: Decayed,
    /// Tokens a second to which the team is entitled.
    rate: u64,
}

/// Recent requests and work of all teams at one endpoint, by which a policy treats them fairly.
#[derive(Clone, Debug, Default)]
pub struct DispatchHistory {
    /// History of each team.
    teams: BTreeMap<Team, TeamHistory>,
    /// Tokens of all dispatched requests.
    work: Decayed,
    /// Tokens of the dispatched background work.
    background: Decayed,
    /// Tokens of the requests that were dispatched after their target had passed.
    late: Decayed,
}

impl DispatchHistory {
    /// Records a request that leaves the queue for its endpoint.
    pub fn record_dispatch(&mut self, ticket: &Ticket, now: Time) {
        let work = ticket.tokens.max(1) as f64;
        let late = !ticket.background && ticket.due < now;
        self.work.add(work, now, WORK_HALF_LIFE);
        if ticket.background {
            self.background.add(work, now, WORK_HALF_LIFE);
        }
        if late {
            self.late.add(work, now, WORK_HALF_LIFE);
        }
        self.record_request(ticket, late, now).work.add(work, now, WORK_HALF_LIFE);
    }

    /// Records a request that waited until its deadline.
    pub fn record_expiry(&mut self, ticket: &Ticket, now: Time) {
        self.record_request(ticket, true, now);
    }

    /// Counts a request of a team and returns the history of that team.
    fn record_request(&mut self, ticket: &Ticket, missed: bool, now: Time) -> &mut TeamHistory {
        let team = self.teams.entry(ticket.team.clone()).or_default();
        team.rate = ticket.rate;
        // A miss counts less in a class that may miss its target more often.
        team.requests.add(1.0, now, ATTAINMENT_HALF_LIFE);
        if missed {
            team.missed.add(ticket.target_fraction, now, ATTAINMENT_HALF_LIFE);
        }
        team
    }

    /// Returns how far a team is below its targets, from 0 (none missed) to 1.
    pub fn shortfall(&self, team: &Team, now: Time) -> f64 {
        let Some(team_history) = self.teams.get(team) else { return 0.0 };
        let requests = team_history.requests.value_at(now, ATTAINMENT_HALF_LIFE);
        let missed = team_history.missed.value_at(now, ATTAINMENT_HALF_LIFE);
        if requests > MIN_COUNT { (missed / requests).clamp(0.0, 1.0) } else { 0.0 }
    }

    /// Returns a team's recent work divided by the work to which its rate entitles it.
    ///
    /// `rates` is the sum of the rates of all teams with waiting requests.
    pub fn work_ratio(&self, team: &Team, rates: u64, now: Time) -> f64 {
        let Some(team_history) = self.teams.get(team) else { return 0.0 };
        let all = self.work.value_at(now, WORK_HALF_LIFE);
        let entitled = all * team_history.rate.max(1) as f64 / rates.max(1) as f64;
        if entitled > MIN_COUNT {
            team_history.work.value_at(now, WORK_HALF_LIFE) / entitled
        } else {
            0.0
        }
    }

    /// Returns the fraction of the recent work that was background work, from 0 to 1.
    pub fn background_fraction(&self, now: Time) -> f64 {
        self.fraction(&self.background, now)
    }

    /// Returns the fraction, from 0 to 1, of the recent work whose target had passed at its
    /// dispatch.
    pub fn late_fraction(&self, now: Time) -> f64 {
        self.fraction(&self.late, now)
    }

    /// Returns the recent work in `part` as a fraction of all recent work, from 0 to 1.
    fn fraction(&self, part: &Decayed, now: Time) -> f64 {
        let all = self.work.value_at(now, WORK_HALF_LIFE);
        if all > MIN_COUNT { part.value_at(now, WORK_HALF_LIFE) / all } else { 0.0 }
    }

    /// Removes the teams that have sent no request for a long time.
    pub fn forget_idle(&mut self, now: Time) {
        self.teams.retain(|_, team| team.requests.value_at(now, ATTAINMENT_HALF_LIFE) > MIN_COUNT);
    }
}
