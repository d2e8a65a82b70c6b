//! What instances grant without a leader, and together with a former and a new one.

use std::{sync::Arc, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::grants::{
        Action, Allotments, GrantKey, GrantRequest, Mode, Outcome, Scheduler, Subject,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::fleet::{START, desk, granted, plain_request, refused, scheduler};

/// Instances of the fleet.
const SIZE: usize = 8;

/// Rate of the team, in tokens a second, which is also its burst.
const RATE: f64 = 100_000.0;

/// Window over which the platform counts a team's tokens.
const WINDOW: Duration = Duration::from_secs(8);

/// Interval between the requests of a test.
const STEP: Duration = Duration::from_millis(10);

fn name(instance: usize) -> Arc<str> {
    format!("i{instance}").into()
}

fn shop() -> Subject {
    Subject::Team("shop".into())
}

/// A fleet whose leaders and links a test controls.
struct Fleet {
    schedulers: Vec<Scheduler>,
    /// Leader that each instance is linked to.
    leader_of: Vec<Option<usize>>,
    now: Time,
    number: u64,
    /// When tokens of the team were granted.
    granted: Vec<Time>,
    refused: u64,
    /// Tokens of each request.
    tokens: u64,
    /// Credit of each instance for its next request.
    credit: [f64; SIZE],
    /// Fraction of the frames with allotments that are lost, or whose confirmation is.
    loss: f64,
    rng: StdRng,
}

impl Fleet {
    /// Returns a fleet that the first instance leads.
    fn led() -> Self {
        let mut fleet = Self {
            schedulers: Vec::new(),
            leader_of: vec![None; SIZE],
            now: START,
            number: 0,
            granted: Vec::new(),
            refused: 0,
            tokens: 1_000,
            credit: [0.0; SIZE],
            loss: 0.0,
            rng: StdRng::seed_from_u64(7),
        };
        for instance in 0..SIZE {
            let mode = Mode::Alone { share: 1.0 / SIZE as f64 };
            let desks = (0..4).map(|number| desk(&format!("d{number}")));
            let mut scheduler = scheduler(mode, desks.collect());
            scheduler.set_instance(name(instance));
            fleet.schedulers.push(scheduler);
        }
        fleet.lead(0, &[1, 2, 3, 4, 5, 6, 7]);
        fleet
    }

    /// Lets an instance lead, with links to these others.
    fn lead(&mut self, leader: usize, others: &[usize]) {
        self.set_linked(leader, others.len() + 1);
        self.leader_of[leader] = Some(leader);
        for other in others {
            let held = self.schedulers[*other].allotments().cloned().unwrap_or_default();
            let unused = self.schedulers[*other].release_rates(self.now);
            self.schedulers[leader].join_allotments(&name(*other), &held);
            self.schedulers[leader].add_rates(&unused, self.now);
            self.leader_of[*other] = Some(leader);
        }
    }

    /// Sets the mode of a leader to which `count` instances are linked, itself among them.
    fn set_linked(&mut self, leader: usize, count: usize) {
        let share = count as f64 / SIZE as f64;
        self.schedulers[leader].set_mode(Mode::Leading { may_order: false, share }, self.now);
    }

    /// Ends the links of these instances to their leader.
    fn unlink(&mut self, instances: &[usize]) {
        for instance in instances {
            let Some(leader) = self.leader_of[*instance].take() else { continue };
            self.schedulers[*instance].lose_leader(self.now);
            self.schedulers[leader].leave_allotments(&name(*instance), self.now);
            let linked = self.leader_of.iter().filter(|it| **it == Some(leader)).count();
            self.set_linked(leader, linked);
        }
    }

    /// Lets a leader without links decide alone.
    fn stop_leading(&mut self, leader: usize) {
        self.leader_of[leader] = None;
        let mode = Mode::Alone { share: 1.0 / SIZE as f64 };
        self.schedulers[leader].set_mode(mode, self.now);
    }

    /// Lets all leaders hand out allotments, some of which are lost.
    fn hand_out(&mut self) {
        for leader in 0..SIZE {
            let plans = self.schedulers[leader].hand_out_allotments(1, SIZE, self.now);
            for (instance, allotments) in plans {
                let index = (0..SIZE).find(|it| name(*it) == instance).expect("an instance");
                if self.leader_of[index] != Some(leader) || self.rng.random_bool(self.loss) {
                    continue;
                }
                let version = allotments.version;
                self.schedulers[index].set_allotments(allotments, self.now);
                if !self.rng.random_bool(self.loss) {
                    self.schedulers[leader].confirm_allotments(&instance, version);
                }
            }
        }
    }

    /// Sends a request to an instance. Returns whether it was granted.
    fn request(&mut self, instance: usize) -> bool {
        self.number += 1;
        let key = GrantKey { instance: name(instance), number: self.number };
        let request = GrantRequest { charge: self.tokens, ..plain_request(self.now) };
        let decider = self.leader_of[instance].unwrap_or(instance);
        let actions =
            self.schedulers[decider].handle_request(key.clone(), request.clone(), self.now);
        self.refused += u64::from(refused(&actions).is_some());
        let is_granted = granted(&actions).is_some();
        if is_granted {
            self.granted.push(self.now);
            self.schedulers[decider].handle_outcome(&key, Outcome::Whole, self.now);
            if decider != instance {
                self.schedulers[instance].charge_leader_grant(&request, self.now);
            }
        }
        is_granted
    }

    /// Lets time pass. In each step `arrive` sends requests.
    fn run(&mut self, seconds: f64, mut arrive: impl FnMut(&mut Self)) {
        let steps = (seconds / STEP.as_secs_f64()) as u32;
        for step in 0..steps {
            if step % 100 == 99 {
                self.hand_out();
            }
            arrive(self);
            self.now = self.now + STEP;
            self.tick();
        }
    }

    /// Grants the requests that waited for tokens without a leader.
    fn tick(&mut self) {
        for scheduler in &mut self.schedulers {
            for action in scheduler.tick(self.now) {
                match action {
                    Action::Grant(key, _) => {
                        self.granted.push(self.now);
                        scheduler.handle_outcome(&key, Outcome::Whole, self.now);
                    }
                    Action::Refuse(..) => self.refused += 1,
                    Action::Order { .. } | Action::Report { .. } => {}
                }
            }
        }
    }

    /// Sends as many requests to these instances as are granted.
    fn flood(&mut self, instances: &[usize]) {
        for instance in instances {
            while self.request(*instance) {}
        }
    }

    /// Sends requests at `rate` tokens a second, divided by weights.
    fn send(&mut self, rate: f64, weights: [f64; SIZE]) {
        let sum: f64 = weights.iter().sum();
        for (instance, weight) in weights.into_iter().enumerate() {
            self.credit[instance] += rate * STEP.as_secs_f64() * weight / sum;
            while self.credit[instance] >= self.tokens as f64 {
                self.credit[instance] -= self.tokens as f64;
                self.request(instance);
            }
        }
    }

    /// Returns the largest number of tokens that were granted in a window.
    fn most_in_window(&self) -> f64 {
        let mut first = 0;
        let mut most = 0;
        for (index, at) in self.granted.iter().enumerate() {
            while at.since(self.granted[first]) >= WINDOW {
                first += 1;
            }
            most = most.max(index + 1 - first);
        }
        (most as u64 * self.tokens) as f64
    }

    fn assert_within_limit(&self) {
        let bound = (RATE * WINDOW.as_secs_f64() + RATE) * 1.1 + 110_000.0;
        let most = self.most_in_window();
        assert!(most <= bound, "{most} tokens in a window, {bound} at most");
    }
}

/// Arrivals of a team at a few of the instances.
const UNEVEN: [f64; SIZE] = [0.0, 5.0, 3.0, 1.0, 1.0, 0.0, 0.0, 0.0];

const ALL: [usize; SIZE] = [0, 1, 2, 3, 4, 5, 6, 7];

/// Guards against refusals below the team's limit while there is no leader, because each instance has an
/// equal share although the requests arrive at few of them.
#[test]
fn leader_killed_refuses_nothing_below_limit() {
    let mut fleet = Fleet::led();
    fleet.run(20.0, |fleet| fleet.send(0.9 * RATE, UNEVEN));
    assert_eq!(fleet.refused, 0, "the leader refuses nothing");
    fleet.unlink(&ALL[1..]);
    fleet.run(5.0, |fleet| fleet.send(0.9 * RATE, UNEVEN));
    assert_eq!(fleet.refused, 0, "without a leader");
    fleet.lead(1, &ALL[2..]);
    fleet.run(5.0, |fleet| fleet.send(0.9 * RATE, UNEVEN));
    assert_eq!(fleet.refused, 0, "with the next leader");
}

/// Guards against refusals of requests that are large against the part of one instance.
#[test]
fn leader_killed_large_requests_wait_for_tokens() {
    let mut fleet = Fleet::led();
    fleet.tokens = 10_000;
    fleet.run(20.0, |fleet| fleet.send(0.8 * RATE, UNEVEN));
    assert_eq!(fleet.refused, 0, "the leader refuses nothing");
    fleet.unlink(&ALL[1..]);
    let from = fleet.granted.len();
    fleet.run(4.0, |fleet| fleet.send(0.8 * RATE, UNEVEN));
    assert_eq!(fleet.refused, 0, "without a leader");
    let tokens = (fleet.granted.len() - from) as u64 * fleet.tokens;
    assert!(tokens as f64 >= 2.0 * RATE, "{tokens} tokens in four seconds");
    fleet.run(4.0, |fleet| fleet.flood(&ALL[1..]));
    fleet.assert_within_limit();
}

/// Guards against tokens that are used by the former leader and again without it or by the next one.
#[test]
fn leader_killed_under_flood_within_limit() {
    for after in [0.3, 0.99, 12.5] {
        let mut fleet = Fleet::led();
        fleet.run(20.0, |fleet| fleet.send(0.3 * RATE, UNEVEN));
        fleet.run(after, |fleet| fleet.flood(&ALL));
        fleet.unlink(&ALL[1..]);
        fleet.run(2.0, |fleet| fleet.flood(&ALL[1..]));
        fleet.lead(1, &ALL[2..]);
        fleet.run(12.0, |fleet| fleet.flood(&ALL[1..]));
        fleet.assert_within_limit();
    }
}

/// Guards against a former leader that goes on with the whole rate beside a new one.
#[test]
fn leader_cut_off_beside_new_one_within_limit() {
    for after in [0.3, 12.5] {
        let mut fleet = Fleet::led();
        fleet.run(20.0, |fleet| fleet.send(0.3 * RATE, UNEVEN));
        fleet.run(after, |fleet| fleet.flood(&ALL));
        fleet.unlink(&ALL[1..]);
        fleet.run(1.2, |fleet| fleet.flood(&ALL));
        fleet.stop_leading(0);
        fleet.run(0.5, |fleet| fleet.flood(&ALL));
        fleet.lead(1, &ALL[2..]);
        fleet.run(12.0, |fleet| fleet.flood(&ALL));
        fleet.assert_within_limit();
    }
}

/// Guards against a leader that goes on with what instances hold that may be alive, and against one that
/// never gets their part back.
#[test]
fn half_killed_within_limit_and_recovers() {
    let mut fleet = Fleet::led();
    fleet.run(20.0, |fleet| fleet.send(0.3 * RATE, UNEVEN));
    fleet.unlink(&[4, 5, 6, 7]);
    fleet.run(10.0, |fleet| fleet.flood(&ALL));
    fleet.assert_within_limit();
    // The leader has recorded the smaller number of instances.
    let mode = Mode::Leading { may_order: false, share: 1.0 };
    fleet.schedulers[0].set_mode(mode, fleet.now);
    fleet.run(10.0, |fleet| fleet.flood(&[0, 1, 2, 3]));
    let from = fleet.granted.len();
    fleet.run(10.0, |fleet| fleet.flood(&[0, 1, 2, 3]));
    let tokens = (fleet.granted.len() - from) as u64 * fleet.tokens;
    assert!(tokens as f64 >= 10.0 * RATE, "{tokens} tokens in ten seconds");
}

/// Guards against fractions that add up to more than 1 because a frame or its confirmation was lost.
#[test]
fn allotments_lost_add_up_to_one() {
    let mut fleet = Fleet::led();
    fleet.loss = 0.5;
    for round in 0..60 {
        let mut weights = [0.0; SIZE];
        for weight in &mut weights {
            *weight = f64::from(fleet.rng.random_range(0..8u8)) + 0.01;
        }
        fleet.run(1.0, |fleet| fleet.send(0.5 * RATE, weights));
        let held = fleet.schedulers.iter().filter_map(Scheduler::allotments);
        let sum: f64 = held.map(|held| held.fraction(&shop())).sum();
        assert!(sum <= 1.000_1, "{sum} in round {round}");
    }
}

/// Guards against an instance that takes over an allotment of an earlier leader as unused.
#[test]
fn new_leader_with_some_rates_within_limit() {
    let mut fleet = Fleet::led();
    fleet.run(20.0, |fleet| fleet.send(0.3 * RATE, UNEVEN));
    fleet.unlink(&ALL[1..]);
    fleet.lead(5, &[1, 6]);
    fleet.run(12.0, |fleet| fleet.flood(&ALL[1..]));
    fleet.assert_within_limit();
    let linked = fleet.schedulers[5].allotments().map(|held| held.fraction(&shop()));
    let others = [2, 3, 4, 7].map(|it| {
        let held: Option<&Allotments> = fleet.schedulers[it].allotments();
        held.map_or(0.0, |held| held.fraction(&shop()))
    });
    let sum = linked.unwrap_or(0.0) + others.iter().sum::<f64>();
    assert!(sum <= 1.0, "{sum} with the part of the new leader");
}

/// Guards against an instance that keeps an equal share although the leader counts on the reserve only.
#[test]
fn instance_without_arrivals_has_reserve() {
    let mut fleet = Fleet::led();
    fleet.run(5.0, |fleet| fleet.send(0.3 * RATE, UNEVEN));
    let held = fleet.schedulers[7].allotments().expect("an empty allotment");
    let fraction = held.fraction(&shop());
    assert!(fraction > 0.0 && fraction < 0.05, "{fraction}");
}
