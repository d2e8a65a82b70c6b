//! What teams ask for and get, for the operators: whether a refused team was at its rate.

use std::{collections::BTreeMap, sync::Arc};

use super::Scheduler;
use crate::kernel::grants::GrantRequest;

/// Tokens of one team's requests since the last report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamUse {
    /// Tokens a second that the team may use.
    pub rate: f64,
    /// Tokens that its requests asked for.
    pub asked: u64,
    /// Tokens of the requests that were admitted.
    pub admitted: u64,
    /// Tokens of admitted requests that were refused later or did not run.
    pub refunded: u64,
    /// Requests that were refused because the team exceeds its rate.
    pub refused: u64,
}

/// What teams have asked for and got since the last report.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamUses {
    teams: BTreeMap<Arc<str>, TeamUse>,
}

impl TeamUses {
    /// Records whether a request was admitted by its team's rate.
    pub fn record(&mut self, request: &GrantRequest, is_admitted: bool) {
        let Some(team) = &request.team else { return };
        let used = self.of(team);
        used.asked += request.charge;
        match is_admitted {
            true => used.admitted += request.charge,
            false => used.refused += 1,
        }
    }

    /// Records that the tokens of an admitted request were given back.
    pub fn record_refund(&mut self, request: &GrantRequest) {
        if let Some(team) = &request.team {
            self.of(team).refunded += request.charge;
        }
    }

    fn of(&mut self, team: &Arc<str>) -> &mut TeamUse {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.clone(), TeamUse::default());
        }
        self.teams.get_mut(team).expect("inserted above")
    }
}

impl Scheduler {
    /// Returns the teams that were refused by their rate since the last call, with what they asked for
    /// and got.
    pub fn take_refused_teams(&mut self) -> Vec<(Arc<str>, TeamUse)> {
        let teams = std::mem::take(&mut self.team_uses.teams);
        let refused = teams.into_iter().filter(|(_, used)| used.refused > 0);
        let rate = |team: &Arc<str>| self.teams.get(team).map_or(0.0, |team| team.rate);
        refused.map(|(team, used)| (team.clone(), TeamUse { rate: rate(&team), ..used })).collect()
    }
}
