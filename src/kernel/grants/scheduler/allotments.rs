//! What a scheduler may grant without a leader, and what a leader hands out for that case.
//!
//! The tokens that an allotment comes with are a part of the leader's balance. The instance subtracts
//! what the leader grants it afterwards, so that what it has when the leader is lost is its part of what
//! the team may still use, and the parts of all instances add up to no more than that.

use std::sync::Arc;

use super::{Mode, Scheduler};
use crate::{
    catalog::Team,
    clock::Time,
    kernel::grants::{
        Allotment, AllotmentTable, Allotments, GrantKey, GrantRequest, RateShare, Subject,
        TokenBucket,
    },
};

/// Fall of a team's balance, as a fraction of its burst, of which the instances are told. Less of it is
/// within the tolerance of the platform.
const MAX_BALANCE_FALL: f64 = 0.1;

impl Scheduler {
    /// Sets the name of this instance, which holds an allotment itself while it leads.
    pub fn set_instance(&mut self, instance: Arc<str>) {
        self.instance = Some(instance);
    }

    /// Returns what this instance holds.
    pub fn allotments(&self) -> Option<&Allotments> {
        self.allotments.as_ref()
    }

    /// Applies what the leader has handed out to this instance.
    pub fn set_allotments(&mut self, allotments: Allotments, now: Time) {
        for Allotment { subject, tokens, .. } in &allotments.list {
            if let Subject::Team(team) = subject {
                self.buckets.insert(team.clone(), TokenBucket::with_tokens(*tokens, now));
            }
        }
        self.allotments = Some(allotments);
        self.queue.wake_all();
    }

    /// Subtracts a request of this instance that the leader has granted from what it has without one.
    pub fn charge_leader_grant(&mut self, request: &GrantRequest, now: Time) {
        let Some(name) = &request.team else { return };
        if self.allotments.is_none() || !self.buckets.contains_key(name) {
            return;
        }
        let Some(team) = self.teams.get(name).cloned() else { return };
        let share = self.team_rate_share(name);
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.take_unchecked(&team, share, request.charge, now);
        }
    }

    /// Goes on without the leader: with what it handed out, or from nothing.
    pub fn lose_leader(&mut self, now: Time) {
        let is_allotted = |team: &Arc<str>| {
            let subject = Subject::Team(team.clone());
            let list = self.allotments.iter().flat_map(|held| &held.list);
            list.clone().any(|it| it.subject == subject && it.fraction > 0.0)
        };
        let kept: Vec<Arc<str>> =
            self.buckets.keys().filter(|team| is_allotted(team)).cloned().collect();
        self.buckets.retain(|team, _| kept.contains(team));
        for name in kept {
            let (Some(team), share) = (self.teams.get(&name).cloned(), self.team_rate_share(&name))
            else {
                continue;
            };
            if let Some(bucket) = self.buckets.get_mut(&name) {
                bucket.limit_after_loss(&team, share, now);
            }
        }
        self.started_at = now;
        self.restart_retries();
        self.queue.wake_all();
    }

    /// Returns the share of a team's rate that this scheduler may use.
    pub(super) fn team_rate_share(&self, team: &Arc<str>) -> RateShare {
        let subject = Subject::Team(team.clone());
        let fraction = match (self.mode, &self.allotments) {
            (Mode::Leading { share, .. }, _) => self.handed_out.leader_fraction(&subject, share),
            (Mode::Alone { .. }, Some(held)) => held.fraction(&subject),
            (Mode::Alone { share }, None) => share,
        };
        RateShare { fraction, slack: self.limits.rate_slack }
    }

    /// Returns the fraction of the slots of a service's endpoints that this scheduler may use.
    pub(super) fn fill_fraction(&self, service: &Arc<str>) -> f64 {
        match (self.mode, &self.allotments) {
            (Mode::Leading { .. }, _) => 1.0,
            (Mode::Alone { .. }, Some(held)) => held.fraction(&Subject::Service(service.clone())),
            (Mode::Alone { share }, None) => share,
        }
    }

    /// Begins to hand out allotments with what this instance holds itself.
    pub(super) fn begin_handing_out(&mut self) {
        self.handed_out = AllotmentTable::default();
        if let (Some(instance), Some(held)) = (&self.instance, &self.allotments) {
            self.handed_out.join(instance, held);
        }
    }

    /// Records where a request has arrived, while this instance leads.
    pub(super) fn record_arrival(&mut self, key: &GrantKey, request: &GrantRequest, now: Time) {
        if self.instance.is_none() || !matches!(self.mode, Mode::Leading { .. }) {
            return;
        }
        let service = Subject::Service(request.service.clone());
        self.handed_out.record(service, &key.instance, 1.0, now);
        if let Some(team) = &request.team {
            let subject = Subject::Team(team.clone());
            self.handed_out.record(subject, &key.instance, request.charge as f64, now);
        }
    }

    /// Records what an instance holds that has joined this leader.
    pub fn join_allotments(&mut self, instance: &Arc<str>, held: &Allotments) {
        self.handed_out.join(instance, held);
    }

    /// Records that an instance holds what was sent to it.
    pub fn confirm_allotments(&mut self, instance: &str, version: u64) {
        self.handed_out.confirm(instance, version);
    }

    /// Records that an instance has lost its link to this leader. It may use its part of the tokens from
    /// now on, so that the leader goes on without it.
    pub fn leave_allotments(&mut self, instance: &str, now: Time) {
        let parts = self.teams.values().filter_map(|team| {
            let subject = Subject::Team(team.name.clone());
            let part = self.handed_out.held(instance, &subject);
            (part > 0.0).then(|| (team.clone(), part))
        });
        let parts: Vec<(Arc<Team>, f64)> = parts.collect();
        for (team, part) in parts {
            let share = self.team_rate_share(&team.name);
            if let Some(bucket) = self.buckets.get_mut(&team.name) {
                let balance = bucket.balance(&team, share, now);
                // The balance is that of the fraction which no instance without a link holds.
                let part = (part / share.fraction.max(part)).min(1.0);
                bucket.add(-part * balance.max(0.0));
            }
        }
        self.handed_out.leave(instance);
    }

    /// Returns the allotments to send, by instance, while this instance leads in `term`; `fleet_size` is
    /// the number of instances. This instance's own allotment is applied at once.
    pub fn hand_out_allotments(
        &mut self,
        term: u64,
        fleet_size: usize,
        now: Time,
    ) -> Vec<(Arc<str>, Allotments)> {
        let (Mode::Leading { share, .. }, Some(own)) = (self.mode, self.instance.clone()) else {
            return Vec::new();
        };
        if share >= 1.0 {
            self.handed_out.forget_unlinked();
        }
        let has_fallen = self.has_balance_fallen(now);
        let mut plans = self.handed_out.plan(&own, term, fleet_size, has_fallen, now);
        for (_, allotments) in &mut plans {
            for Allotment { subject, fraction, tokens, .. } in &mut allotments.list {
                if let Subject::Team(team) = subject {
                    *tokens = *fraction * self.team_balance(team, now);
                }
            }
        }
        if let Some(position) = plans.iter().position(|(instance, _)| *instance == own) {
            self.allotments = Some(plans.swap_remove(position).1);
        }
        plans
    }

    /// Returns whether a team has used up much of the tokens that were handed out last, so that the
    /// instances must learn of it. Another instance could use them a second time.
    fn has_balance_fallen(&mut self, now: Time) -> bool {
        let mut has_fallen = false;
        let teams: Vec<Arc<Team>> = self.teams.values().cloned().collect();
        for team in teams {
            let balance = self.team_balance(&team.name, now).max(0.0);
            let known = self.handed_out_balances.entry(team.name.clone()).or_insert(balance);
            if *known - balance > team.burst * MAX_BALANCE_FALL {
                has_fallen = true;
                *known = balance;
            } else if balance > *known {
                *known = balance;
            }
        }
        has_fallen
    }

    /// Returns the tokens that a team may use now.
    fn team_balance(&mut self, name: &Arc<str>, now: Time) -> f64 {
        let share = self.team_rate_share(name);
        let team = self.teams.get(name).cloned();
        match (team, self.buckets.get_mut(name)) {
            (Some(team), Some(bucket)) => bucket.balance(&team, share, now),
            _ => 0.0,
        }
    }

    /// Goes on with this instance's own allotment after it has led.
    pub(super) fn keep_own_part(&mut self, now: Time) {
        let teams: Vec<Arc<Team>> = self.teams.values().cloned().collect();
        for team in teams {
            let share = self.team_rate_share(&team.name);
            if let Some(bucket) = self.buckets.get_mut(&team.name) {
                bucket.limit_after_loss(&team, share, now);
            }
        }
    }
}
