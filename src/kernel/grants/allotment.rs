//! What each instance may grant while it has no leader.
//!
//! A leader hands out in advance, by where requests arrive, a fraction of each team's rate and of each
//! service's slots to each instance. The fractions of all instances add up to at most 1, also where
//! frames are lost or late: an instance counts with the largest fraction that it may hold, and only what
//! no instance may hold is handed out.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::clock::Time;

/// Fraction of everything that is shared equally by all instances, for what has not arrived at an instance
/// before.
const RESERVE_FRACTION: f64 = 0.1;

/// Time constant of the decaying average of arrivals. Callers that open connections anew spread over the
/// instances within seconds.
const ARRIVAL_TIME_CONSTANT: Duration = Duration::from_secs(8);

/// Arrivals below this weight are forgotten: less than one token in a while.
const MIN_WEIGHT: f64 = 0.01;

/// Relative change of a fraction that is worth a frame.
const MIN_CHANGE: f64 = 0.15;

/// Fractions below this are not worth a frame. All instances of the largest fleet together may miss a
/// tenth of a rate by it.
const MIN_FRACTION: f64 = 0.0001;

/// What a fraction is of.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Subject {
    /// The rate of the team with this name.
    Team(Arc<str>),
    /// The slots at the endpoints of the service with this name.
    Service(Arc<str>),
}

/// What an instance may use of one team's rate, or of the slots at the endpoints of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Allotment {
    /// The team or the service.
    pub subject: Subject,
    /// Fraction of the rate or of the slots.
    pub fraction: f64,
    /// Upper bound of the sum of the fractions of all instances.
    pub total: f64,
    /// Tokens of the team that are available to the instance now; zero for a service.
    pub tokens: f64,
}

/// All allotments of one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allotments {
    /// Term of the leader that handed them out.
    pub term: u64,
    /// Number that grows with each allotment of that leader.
    pub version: u64,
    /// Fraction of each rate that the instance has besides.
    pub reserve: f64,
    /// The allotments. A team or service without any has the reserve only.
    pub list: Vec<Allotment>,
}

impl Allotments {
    /// Returns the fraction of a subject, with the reserve.
    pub fn fraction(&self, subject: &Subject) -> f64 {
        let own = self.list.iter().find(|allotment| allotment.subject == *subject);
        (own.map_or(0.0, |allotment| allotment.fraction) + self.reserve).min(1.0)
    }

    fn fractions(&self) -> HashMap<Subject, f64> {
        self.list.iter().map(|it| (it.subject.clone(), it.fraction)).collect()
    }

    fn totals(&self) -> HashMap<Subject, f64> {
        self.list.iter().map(|it| (it.subject.clone(), it.total)).collect()
    }
}

/// A decaying sum of arrivals.
#[derive(Clone, Copy, Debug, Default)]
struct Weight {
    value: f64,
    updated_at: Time,
}

impl Weight {
    fn at(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.value * (-age / ARRIVAL_TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn add(&mut self, weight: f64, now: Time) {
        *self = Self { value: self.at(now) + weight, updated_at: now };
    }
}

/// What an instance holds, as far as the leader knows.
#[derive(Clone, Debug, Default)]
struct Holder {
    /// Whether the instance is linked and has said what it holds.
    linked: bool,
    /// Whether the instance has applied an allotment, even an empty one. Another instance would use an
    /// equal share.
    informed: bool,
    /// Largest fractions that the instance may hold.
    largest: HashMap<Subject, f64>,
    /// What was sent last, until the instance confirms it.
    unconfirmed: Option<(u64, HashMap<Subject, f64>)>,
}

/// The allotments of all instances, as their leader knows them.
#[derive(Clone, Debug, Default)]
pub struct AllotmentTable {
    /// Arrivals of each subject by instance.
    arrivals: HashMap<Subject, HashMap<Arc<str>, Weight>>,
    holders: BTreeMap<Arc<str>, Holder>,
    /// Sums of what the holders without a link may hold. Each request of the leader looks one up.
    unlinked: HashMap<Subject, f64>,
    /// Number of the last allotment.
    version: u64,
    /// Term and version of `inherited`.
    inherited_from: (u64, u64),
    /// What an earlier leader had handed out in total.
    inherited: HashMap<Subject, f64>,
    /// What instances have reported of it.
    reported: HashMap<Subject, f64>,
}

impl AllotmentTable {
    /// Records the arrival of a request at an instance.
    pub fn record(&mut self, subject: Subject, instance: &Arc<str>, weight: f64, now: Time) {
        let arrivals = self.arrivals.entry(subject).or_default();
        match arrivals.get_mut(instance) {
            Some(known) => known.add(weight, now),
            None => {
                arrivals.insert(instance.clone(), Weight { value: weight, updated_at: now });
            }
        }
    }

    /// Records what an instance that has joined holds.
    pub fn join(&mut self, instance: &Arc<str>, held: &Allotments) {
        if (held.term, held.version) > self.inherited_from {
            self.inherited_from = (held.term, held.version);
            self.inherited = held.totals();
        }
        let fractions = held.fractions();
        self.link(instance);
        if !self.holders.contains_key(instance) {
            for (subject, fraction) in &fractions {
                *self.reported.entry(subject.clone()).or_default() += fraction;
            }
        }
        let informed = held.version > 0;
        let holder = Holder { linked: true, informed, largest: fractions, unconfirmed: None };
        self.holders.insert(instance.clone(), holder);
    }

    /// Records that the link to an instance has ended. The instance goes on with what it holds.
    pub fn leave(&mut self, instance: &str) {
        let Some(holder) = self.holders.get_mut(instance) else { return };
        if std::mem::replace(&mut holder.linked, false) {
            for (subject, fraction) in &holder.largest {
                *self.unlinked.entry(subject.clone()).or_default() += fraction;
            }
        }
    }

    /// Subtracts what an instance may hold from the sums of those without a link.
    fn link(&mut self, instance: &str) {
        let Some(holder) = self.holders.get_mut(instance) else { return };
        if !std::mem::replace(&mut holder.linked, true) {
            for (subject, fraction) in &holder.largest {
                if let Some(sum) = self.unlinked.get_mut(subject) {
                    *sum = (*sum - fraction).max(0.0);
                }
            }
        }
    }

    /// Records that an instance holds what was sent to it with this version.
    pub fn confirm(&mut self, instance: &str, version: u64) {
        let Some(holder) = self.holders.get_mut(instance) else { return };
        if let Some((_, sent)) = holder.unconfirmed.take_if(|(sent, _)| *sent == version) {
            holder.largest = sent;
            holder.informed = true;
        }
    }

    /// Forgets what instances without a link hold, since all instances of the fleet are linked.
    pub fn forget_unlinked(&mut self) {
        self.holders.retain(|_, holder| holder.linked);
        self.unlinked.clear();
        self.inherited.clear();
        self.reported.clear();
    }

    /// Returns whether any instance holds anything.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty() && self.inherited.is_empty()
    }

    /// Returns the largest fraction that an instance may hold.
    pub fn held(&self, instance: &str, subject: &Subject) -> f64 {
        let holder = self.holders.get(instance);
        holder.and_then(|holder| holder.largest.get(subject)).copied().unwrap_or(0.0)
    }

    /// Returns what instances may hold that have not reported to this leader.
    fn unreported(&self, subject: &Subject) -> f64 {
        let inherited = self.inherited.get(subject).copied().unwrap_or(0.0);
        (inherited - self.reported.get(subject).copied().unwrap_or(0.0)).max(0.0)
    }

    /// Returns the fraction that the leader may use while `linked` is the fraction of the instances that
    /// are linked. Without allotments it is `linked`.
    pub fn leader_fraction(&self, subject: &Subject, linked: f64) -> f64 {
        if self.is_empty() || linked >= 1.0 {
            return linked;
        }
        let held = self.unlinked.get(subject).copied().unwrap_or(0.0);
        let reserve = RESERVE_FRACTION * (1.0 - linked);
        (1.0 - held - self.unreported(subject) - reserve).clamp(0.0, 1.0)
    }

    /// Returns the allotments that have changed, or all if `everyone` is set, by instance. `fleet_size`
    /// is the number of instances.
    /// The leader's own allotment holds at once, and those of the others when they confirm them.
    pub fn plan(
        &mut self,
        own: &Arc<str>,
        term: u64,
        fleet_size: usize,
        everyone: bool,
        now: Time,
    ) -> Vec<(Arc<str>, Allotments)> {
        let new = Holder { linked: true, ..Holder::default() };
        self.holders.entry(own.clone()).or_insert(new);
        self.forget_old(now);
        let open = |holder: &Holder| holder.linked && holder.unconfirmed.is_none();
        let mut plans: BTreeMap<Arc<str>, HashMap<Subject, f64>> = self
            .holders
            .iter()
            .filter(|(_, holder)| open(holder))
            .map(|(instance, holder)| (instance.clone(), holder.largest.clone()))
            .collect();
        for (subject, arrivals) in &self.arrivals {
            for (instance, fraction) in self.divide(subject, arrivals, now) {
                if let Some(plan) = plans.get_mut(&instance) {
                    plan.insert(subject.clone(), fraction);
                }
            }
        }
        plans.retain(|instance, plan| {
            let holder = &self.holders[instance];
            everyone || !holder.informed || is_worthwhile(&holder.largest, plan)
        });
        for (instance, plan) in &plans {
            let holder = self.holders.get_mut(instance).expect("a planned holder");
            self.version += 1;
            match instance == own {
                true => {
                    holder.largest = plan.clone();
                    holder.informed = true;
                }
                false => {
                    for (subject, fraction) in plan {
                        let largest = holder.largest.entry(subject.clone()).or_default();
                        *largest = largest.max(*fraction);
                    }
                    holder.unconfirmed = Some((self.version, plan.clone()));
                }
            }
        }
        let totals = self.totals();
        let reserve = RESERVE_FRACTION / fleet_size.max(1) as f64;
        let changed = plans.into_iter().map(|(instance, plan)| {
            let unconfirmed = self.holders[&instance].unconfirmed.as_ref();
            let version = unconfirmed.map_or(self.version, |(version, _)| *version);
            let list = totals.iter().map(|(subject, total)| Allotment {
                subject: subject.clone(),
                fraction: plan.get(subject).copied().unwrap_or(0.0),
                total: *total,
                tokens: 0.0,
            });
            (instance, Allotments { term, version, reserve, list: list.collect() })
        });
        changed.collect()
    }

    /// Returns the fractions of a subject for the instances to which they can be sent now.
    fn divide(
        &self,
        subject: &Subject,
        arrivals: &HashMap<Arc<str>, Weight>,
        now: Time,
    ) -> Vec<(Arc<str>, f64)> {
        let linked = self.holders.iter().filter(|(_, holder)| holder.linked);
        let weight = |instance: &Arc<str>| arrivals.get(instance).map_or(0.0, |it| it.at(now));
        let sum: f64 = linked.clone().map(|(instance, _)| weight(instance)).sum();
        if sum <= MIN_WEIGHT {
            return Vec::new();
        }
        let held = |holder: &Holder| holder.largest.get(subject).copied().unwrap_or(0.0);
        let all_held: f64 = self.holders.values().map(held).sum();
        let free = (1.0 - RESERVE_FRACTION - all_held - self.unreported(subject)).max(0.0);
        let open = linked.filter(|(_, holder)| holder.unconfirmed.is_none());
        let wanted: Vec<(Arc<str>, f64, f64)> = open
            .map(|(instance, holder)| {
                let wanted = (1.0 - RESERVE_FRACTION) * weight(instance) / sum;
                (instance.clone(), held(holder), wanted)
            })
            .collect();
        let growth: f64 = wanted.iter().map(|(_, held, wanted)| (wanted - held).max(0.0)).sum();
        let granted = if growth > 0.0 { (free / growth).min(1.0) } else { 0.0 };
        let fractions = wanted.into_iter().map(|(instance, held, wanted)| {
            let fraction = held.min(wanted) + (wanted - held).max(0.0) * granted;
            (instance, if fraction < MIN_FRACTION { 0.0 } else { fraction })
        });
        fractions.collect()
    }

    /// Returns the sum of the largest fractions that instances may hold, by subject.
    fn totals(&self) -> BTreeMap<Subject, f64> {
        let mut totals: BTreeMap<Subject, f64> = BTreeMap::new();
        for (subject, fraction) in self.holders.values().flat_map(|holder| &holder.largest) {
            *totals.entry(subject.clone()).or_default() += fraction;
        }
        for subject in self.inherited.keys() {
            *totals.entry(subject.clone()).or_default() += self.unreported(subject);
        }
        totals.retain(|_, total| *total > 0.0);
        totals
    }

    /// Forgets arrivals that have decayed.
    fn forget_old(&mut self, now: Time) {
        for arrivals in self.arrivals.values_mut() {
            arrivals.retain(|_, weight| weight.at(now) > MIN_WEIGHT);
        }
        self.arrivals.retain(|_, arrivals| !arrivals.is_empty());
    }
}

/// Returns whether a plan differs enough from what is held to be sent.
fn is_worthwhile(held: &HashMap<Subject, f64>, plan: &HashMap<Subject, f64>) -> bool {
    plan.iter().any(|(subject, fraction)| {
        let held = held.get(subject).copied().unwrap_or(0.0);
        (fraction - held).abs() > held.max(*fraction) * MIN_CHANGE
    })
}
