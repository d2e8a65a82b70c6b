//! Shares of the teams' rates at the entry instances.

use std::{collections::BTreeMap, time::Duration};

use super::{Sharing, trace::ENTRY_COUNT};
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
    instances: Vec<InstanceId>,
    sharing: Sharing,
    round_at: Time,
}

/// Shortest time between two rounds of loans where requests wait for one.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// A part that an instance wants to borrow.
struct LoanNeed {
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
            share.configure(limits, TOTAL_PARTS / ENTRY_COUNT as u32, Time(0));
            share
        };
        let teams = config.teams.iter().map(|(team, s)| (team.clone(), share(s.rate, s.burst)));
        let teams: BTreeMap<Team, TeamShare> = teams.collect();
        let names = (0..ENTRY_COUNT).map(|i| format!("i-{i}").into()).collect();
        Self { entries: vec![teams; ENTRY_COUNT], instances: names, sharing, round_at: Time(0) }
    }

    /// Counts a request into the demand at its entry.
    pub fn record_demand(&mut self, entry: usize, team: &Team, tokens: u64, now: Time) {
        if let Some(share) = self.entries[entry].get_mut(team) {
            share.record_demand(tokens as f64, now);
        }
    }

    /// Takes a request's tokens.
    pub fn charge(&mut self, entry: usize, team: &Team, tokens: u64, now: Time) -> ChargeOutcome {
        let Some(share) = self.entries[entry].get_mut(team) else { return ChargeOutcome::TooLarge };
        let decision = share.charge(tokens as f64, now);
        let short = matches!(decision, ChargeOutcome::Insufficient(_));
        if !short || now.since(self.round_at) < MIN_ROUND_INTERVAL {
            return decision;
        }
        self.run_round(now);
        let share = self.entries[entry].get_mut(team);
        share.map_or(decision, |share| share.charge(tokens as f64, now))
    }

    /// Lends between the instances, as they ask each other in one round.
    pub fn run_round(&mut self, now: Time) {
        self.round_at = now;
        if self.sharing == Sharing::Equal {
            return;
        }
        for want in self.loan_needs(now) {
            // As in a node, every peer is asked for an even part of what is wanted.
            let each = want.parts.div_ceil(ENTRY_COUNT as u32 - 1);
            for lender in (0..ENTRY_COUNT).filter(|lender| *lender != want.entry) {
                self.borrow(&want, lender, each, now);
            }
        }
    }

    fn loan_needs(&mut self, now: Time) -> Vec<LoanNeed> {
        let mut wants = Vec::new();
        for (entry, teams) in self.entries.iter_mut().enumerate() {
            for (team, share) in teams {
                let parts = share.begin_round(now);
                wants.extend(parts.map(|parts| LoanNeed { entry, team: team.clone(), parts }));
            }
        }
        wants
    }

    fn borrow(&mut self, want: &LoanNeed, lender: usize, parts: u32, now: Time) -> Option<()> {
        let (borrower, from) = (self.instances[want.entry].clone(), self.instances[lender].clone());
        let ask =
            self.entries[want.entry].get_mut(&want.team)?.next_loan_request(&from, parts, now);
        let ask = LoanRequest { incarnation: 1, ..ask };
        let grant = self.entries[lender].get_mut(&want.team)?.grant_loan(&borrower, &ask, now);
        self.entries[want.entry].get_mut(&want.team)?.apply_grant(&from, &grant, now);
        Some(())
    }
}
