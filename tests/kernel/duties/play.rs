//! Requests of several data centres that are played at engines which take a while to boot.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use cardamomshore::{
    clock::Time,
    kernel::{
        duties::{
            demand::{Demand, DemandTable, Subject},
            scaling::{Scaler, ScalingSpec, SubjectState},
        },
        grants::GrantKey,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const SPEC: ScalingSpec = ScalingSpec { min: 1, max: 40, boot: Duration::from_secs(8) };
pub const SLOTS: u32 = 4;
pub const WORK: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(50);

pub fn subject(data_centre: &str) -> Subject {
    Subject { service: "llm".into(), data_centre: data_centre.into() }
}

fn key(number: u64) -> GrantKey {
    GrantKey { instance: Arc::from("i"), number }
}

/// When requests arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrivals {
    /// At equal distances.
    Even,
    /// Independently of each other.
    Poisson,
}

/// Engines of one data centre.
#[derive(Default)]
pub struct Site {
    pub ready: u32,
    /// When engines that were ordered begin to serve.
    boots: Vec<Time>,
    /// When engines end that take no more requests.
    leaving: Vec<Time>,
    /// Requests that run, with their ends.
    running: Vec<(u64, Time)>,
    /// Requests that wait, with the time of their arrival.
    queue: VecDeque<(u64, Time)>,
    carry: f64,
    pub orders: Vec<u32>,
    waits: Vec<Duration>,
    /// Time for which engines were billed, from the order on, in seconds.
    pub billed: f64,
}

impl Site {
    /// Returns the engines that serve or boot.
    fn engines(&self) -> u32 {
        self.ready + self.boots.len() as u32
    }
}

/// Plays requests of each data centre at its own engines.
pub struct Play {
    now: Time,
    pub sites: BTreeMap<&'static str, Site>,
    /// Sites that are lost, with those that take their callers.
    lost: BTreeMap<&'static str, &'static str>,
    /// Whether the platform counts engines that leave until they end.
    pub counts_leaving: bool,
    demand: DemandTable,
    pub scaler: Scaler,
    arrivals: Arrivals,
    rng: StdRng,
    next: u64,
}

impl Play {
    pub fn new(sites: &[(&'static str, u32)]) -> Self {
        let site = |(name, ready): &(&'static str, u32)| {
            (*name, Site { ready: *ready, ..Site::default() })
        };
        Self {
            now: Time::from_millis(1_000_000),
            sites: sites.iter().map(site).collect(),
            lost: BTreeMap::new(),
            counts_leaving: true,
            demand: DemandTable::default(),
            scaler: Scaler::default(),
            arrivals: Arrivals::Even,
            rng: StdRng::seed_from_u64(0),
            next: 0,
        }
    }

    /// Lets requests arrive independently of each other.
    pub fn with_noise(self, seed: u64) -> Self {
        Self { arrivals: Arrivals::Poisson, rng: StdRng::seed_from_u64(seed), ..self }
    }

    /// Plays so many requests a second of each site's callers for a while; `rate` gets the seconds
    /// since the begin.
    pub fn play(&mut self, time: Duration, rate: impl Fn(&str, f64) -> f64) {
        let begin = self.now;
        while self.now.since(begin) < time {
            let at = self.now.since(begin).as_secs_f64();
            let names: Vec<&'static str> = self.sites.keys().copied().collect();
            for name in names {
                let count = self.arrivals(name, rate(name, at) * STEP.as_secs_f64());
                let site = self.lost.get(name).copied().unwrap_or(name);
                (0..count).for_each(|_| self.arrive(site));
                self.serve(name);
            }
            self.demand.tick(self.now);
            self.scale();
            self.now = self.now + STEP;
        }
    }

    /// Returns how many requests arrive in a step, `mean` on average.
    fn arrivals(&mut self, name: &str, mean: f64) -> u32 {
        if self.arrivals == Arrivals::Even {
            let site = self.sites.get_mut(name).expect("a site");
            site.carry += mean;
            let count = site.carry.floor();
            site.carry -= count;
            return count as u32;
        }
        let (limit, mut product, mut count) = ((-mean).exp(), 1.0, 0);
        loop {
            product *= self.rng.random::<f64>();
            if product <= limit {
                return count;
            }
            count += 1;
        }
    }

    fn arrive(&mut self, name: &str) {
        self.next += 1;
        let site = self.sites.get_mut(name).expect("a site");
        site.queue.push_back((self.next, self.now));
        self.demand.record_request(key(self.next), subject(name), false);
    }

    fn serve(&mut self, name: &str) {
        let now = self.now;
        let site = self.sites.get_mut(name).expect("a site");
        site.billed += (f64::from(site.engines()) + site.leaving.len() as f64) * STEP.as_secs_f64();
        site.ready += site.boots.iter().filter(|ready_at| **ready_at <= now).count() as u32;
        site.boots.retain(|ready_at| *ready_at > now);
        site.leaving.retain(|end| *end > now);
        for (number, _) in site.running.extract_if(.., |(_, end)| *end <= now) {
            self.demand.record_end(&key(number), true, now);
        }
        while site.running.len() < (site.ready * SLOTS) as usize
            && let Some((number, since)) = site.queue.pop_front()
        {
            site.waits.push(now.since(since));
            site.running.push((number, now + WORK));
            self.demand.record_grant(&key(number), now);
        }
    }

    fn scale(&mut self) {
        let demand: BTreeMap<Subject, Demand> =
            self.demand.all().map(|(subject, demand)| (subject.clone(), demand.clone())).collect();
        let states = self.sites.iter().map(|(name, site)| {
            let demand = demand.get(&subject(name)).cloned().unwrap_or_default();
            let leaving = site.leaving.len() as u32;
            (subject(name), SubjectState { demand, ready: site.ready, leaving, slots: SLOTS })
        });
        let states = states.collect();
        for order in self.scaler.decide(&states, &SPEC, self.now) {
            let site = self.sites.get_mut(&*order.subject.data_centre).expect("a site");
            site.orders.push(order.count);
            self.scaler.record_order(&order.subject, order.count, true, self.now);
            if self.lost.contains_key(&*order.subject.data_centre) {
                continue;
            }
            let leaving = if self.counts_leaving { site.leaving.len() as u32 } else { 0 };
            for _ in site.engines() + leaving..order.count {
                site.boots.push(self.now + SPEC.boot);
            }
            site.ready = site.ready.min(order.count);
        }
    }

    /// Loses a site with its engines. Its callers go to another one.
    pub fn lose(&mut self, name: &'static str, other: &'static str) {
        self.lost.insert(name, other);
        let site = self.sites.get_mut(name).expect("a site");
        (site.ready, site.boots) = (0, Vec::new());
        let running = std::mem::take(&mut site.running).into_iter().map(|(number, _)| number);
        let queued = std::mem::take(&mut site.queue).into_iter().map(|(number, _)| number);
        for number in running.chain(queued) {
            self.demand.record_end(&key(number), false, self.now);
        }
    }

    /// Lets engines of a site leave, which take no more requests and end after `notice`.
    pub fn leave(&mut self, name: &str, count: u32, notice: Duration) {
        let site = self.sites.get_mut(name).expect("a site");
        site.ready -= count;
        site.leaving.extend((0..count).map(|_| self.now + notice));
    }

    /// Lets another holder begin, which knows the ordered numbers only.
    pub fn change_holder(&mut self) {
        let ordered: Vec<_> =
            self.scaler.ordered().map(|(subject, count)| (subject.clone(), count)).collect();
        self.scaler.begin(ordered);
        self.demand.clear();
    }

    pub fn ready(&self, name: &str) -> u32 {
        self.sites[name].ready
    }

    /// Forgets orders, waits and bills.
    pub fn forget(&mut self) {
        for site in self.sites.values_mut() {
            site.orders.clear();
            site.waits.clear();
            site.billed = 0.0;
        }
    }

    /// Returns the wait that this fraction of the requests of a site had at most.
    pub fn wait(&self, name: &str, fraction: f64) -> Duration {
        let mut waits = self.sites[name].waits.clone();
        waits.sort_unstable();
        let index = ((waits.len() as f64 * fraction) as usize).min(waits.len().saturating_sub(1));
        waits.get(index).copied().unwrap_or_default()
    }

    pub fn take_longest_wait(&mut self, name: &str) -> Duration {
        let waits = std::mem::take(&mut self.sites.get_mut(name).expect("a site").waits);
        waits.into_iter().max().unwrap_or_default()
    }
}
