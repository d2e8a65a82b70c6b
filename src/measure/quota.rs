//! The teams' shares at the entry instances, to which admission charges requests, and the loans
//! between them.

use std::{collections::BTreeMap, time::Duration};

use super::{Sharing, trace::ENTRY_COUNT};
use crate::{
    clock::Time,
    config::Config,
    kernel::shares::{ChargeOutcome, TOTAL_PARTS, TeamLimits, TeamShare},
    names::{InstanceId, Team},
    wire::LoanRequest,
};

/// The share of every team at every entry instance.
pub struct Quota {
    /// Shares by team, for each entry instance.
    entries: Vec<BTreeMap<Team, TeamShare>>,
    /// Ids of the entry instances.
    instances: Vec<InstanceId>,
    sharing: Sharing,
    /// When the last round of loans took place.
    round_at: Time,
}

/// Shortest time between two rounds of loans while requests wait for tokens.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// The parts that an entry instance needs to borrow for a team.
struct LoanNeed {
    /// Position of the entry instance.
    entry: usize,
    team: Team,
    parts: u32,
}

impl Quota {
    /// Creates the shares of instances that just started and own the same number of parts.
    pub fn new(config: &Config, sharing: Sharing) -> Self {
        let share = |rate: u64, burst: u64| {
            let mut share = TeamShare::empty(Time(0));
            let limits = TeamLimits { rate: rate as f64, burst: burst as f64 };
            share.configure(limits, TOTAL_PARTS / ENTRY_COUNT as u32, Time(0));
            share
        };
        let teams = config.teams.iter().map(|(team, s)| (team.clone(), share(s.rate, s.burst)));
        let teams: BTreeMap<Team, TeamShare> = teams.collect();
        let instances = (0..ENTRY_COUNT).map(|i| format!("i-{i}").into()).collect();
        Self { entries: vec![teams; ENTRY_COUNT], instances, sharing, round_at: Time(0) }
    }

    /// Adds a request to the demand at its entry instance.
    pub fn record_demand(&mut self, entry: usize, team: &Team, tokens: u64, now: Time) {
        if let Some(share) = self.entries[entry].get_mut(team) {
            share.record_demand(tokens as f64, now);
        }
    }

    /// Takes a request's tokens, after a round of loans if the share holds too few.
    pub fn charge(&mut self, entry: usize, team: &Team, tokens: u64, now: Time) -> ChargeOutcome {
        let Some(share) = self.entries[entry].get_mut(team) else { return ChargeOutcome::TooLarge };
        let outcome = share.charge(tokens as f64, now);
        let is_insufficient = matches!(outcome, ChargeOutcome::Insufficient(_));
        if !is_insufficient || now.since(self.round_at) < MIN_ROUND_INTERVAL {
            return outcome;
        }
        self.run_round(now);
        let share = self.entries[entry].get_mut(team);
        share.map_or(outcome, |share| share.charge(tokens as f64, now))
    }

    /// Runs one round of loan requests between the instances, if they lend to each other.
    pub fn run_round(&mut self, now: Time) {
        self.round_at = now;
        if self.sharing == Sharing::Equal {
            return;
        }
        for need in self.loan_needs(now) {
            // As a real instance does, request the same number of parts from every peer.
            let each = need.parts.div_ceil(ENTRY_COUNT as u32 - 1);
            for lender in (0..ENTRY_COUNT).filter(|lender| *lender != need.entry) {
                self.borrow(&need, lender, each, now);
            }
        }
    }

    /// Returns the parts that each instance needs to borrow for each team.
    fn loan_needs(&mut self, now: Time) -> Vec<LoanNeed> {
        let mut needs = Vec::new();
        for (entry, teams) in self.entries.iter_mut().enumerate() {
            for (team, share) in teams {
                let parts = share.begin_round(now);
                needs.extend(parts.map(|parts| LoanNeed { entry, team: team.clone(), parts }));
            }
        }
        needs
    }

    /// Requests a loan from a lender and applies the grant, or returns `None` if the team is
    /// unknown.
    fn borrow(&mut self, need: &LoanNeed, lender: usize, parts: u32, now: Time) -> Option<()> {
        let (borrower, from) = (self.instances[need.entry].clone(), self.instances[lender].clone());
        let request =
            self.entries[need.entry].get_mut(&need.team)?.next_loan_request(&from, parts, now);
        let request = LoanRequest { incarnation: 1, ..request };
        let grant = self.entries[lender].get_mut(&need.team)?.grant_loan(&borrower, &request, now);
        self.entries[need.entry].get_mut(&need.team)?.apply_grant(&from, &grant, now);
        Some(())
    }
}
