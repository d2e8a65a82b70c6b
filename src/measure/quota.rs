//! Shares of the teams' rates at the entry instances.

use std::{collections::BTreeMap, time::Duration};

use super::{Sharing, trace::ENTRIES};
use crate::{
    clock::Time,
    config::Config,
    kernel::shares::{ChargeOutcome, TOTAL_PARTS, TeamLimits, TeamShare},
    names::{InstanceId, Team},
    wire::LoanRequest,
};

/// The shares of every team at every entry instance.
pub struct Quota {
    entries: Vec<BTreeMap<Team, TeamShare>>,
    names: Vec<InstanceId>,
    sharing: Sharing,
    lent: Time,
}

/// Shortest time between two rounds of loans where requests wait for one.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// A part that an instance wants to borrow.
struct Want {
    entry: usize,
    team: Team,
    parts: u32,
}

impl Quota {
    /// Creates the shares of instances that just started and hold equal parts.
    pub fn new(config: &Config, sharing: Sharing) -> Self {
        let share = |rate: u64, burst: u64| {
            let mut share = TeamShare::empty(Time(0));
            let limits = TeamLimits { rate: rate as f64, burst: burst as f64 };
            share.configure(limits, TOTAL_PARTS / ENTRIES as u32, Time(0));
            share
        };
        let teams = config.teams.iter().map(|(team, s)| (team.clone(), share(s.rate, s.burst)));
        let teams: BTreeMap<Team, TeamShare> = teams.collect();
        let names = (0..ENTRIES).map(|i| format!("i-{i}").into()).collect();
        Self { entries: vec![teams; ENTRIES], names, sharing, lent: Time(0) }
    }

    /// Counts a request into the demand at its entry.
    pub fn expect(&mut self, entry: usize, team: &Team, tokens: u64, now: Time) {
        if let Some(share) = self.entries[entry].get_mut(team) {
            share.record_demand(tokens as f64, now);
        }
    }

    /// Takes a request's tokens.
    pub fn charge(&mut self, entry: usize, team: &Team, tokens: u64, now: Time) -> ChargeOutcome {
        let Some(share) = self.entries[entry].get_mut(team) else { return ChargeOutcome::TooLarge };
        let decision = share.charge(tokens as f64, now);
        let short = matches!(decision, ChargeOutcome::Insufficient(_));
        if !short || now.since(self.lent) < ROUND_PAUSE {
            return decision;
        }
        self.round(now);
        let share = self.entries[entry].get_mut(team);
        share.map_or(decision, |share| share.charge(tokens as f64, now))
    }

    /// Lends between the instances, as they ask each other in one round.
    pub fn round(&mut self, now: Time) {
        self.lent = now;
        if self.sharing == Sharing::Equal {
            return;
        }
        for want in self.wants(now) {
            // As in a node, every peer is asked for an even part of what is wanted.
            let each = want.parts.div_ceil(ENTRIES as u32 - 1);
            for lender in (0..ENTRIES).filter(|lender| *lender != want.entry) {
                self.borrow(&want, lender, each, now);
            }
        }
    }

    fn wants(&mut self, now: Time) -> Vec<Want> {
        let mut wants = Vec::new();
        for (entry, teams) in self.entries.iter_mut().enumerate() {
            for (team, share) in teams {
                let parts = share.begin_round(now);
                wants.extend(parts.map(|parts| Want { entry, team: team.clone(), parts }));
            }
        }
        wants
    }

    fn borrow(&mut self, want: &Want, lender: usize, parts: u32, now: Time) -> Option<()> {
        let (borrower, from) = (self.names[want.entry].clone(), self.names[lender].clone());
        let ask =
            self.entries[want.entry].get_mut(&want.team)?.next_loan_request(&from, parts, now);
        let ask = LoanRequest { incarnation: 1, ..ask };
        let grant = self.entries[lender].get_mut(&want.team)?.grant_loan(&borrower, &ask, now);
        self.entries[want.entry].get_mut(&want.team)?.apply_grant(&from, &grant, now);
        Some(())
    }
}
