//! The queue: which requests are granted when an endpoint has room again.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::grants::{
        Action, EndpointEntry, EndpointLimit, GrantKey, GrantRequest, Incarnation, Mode, Outcome,
        Scheduler,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::fleet::{
    LEADING, START, deliver_reports, desk, end_request, engine, granted, key, model_request,
    plain_request, scheduler,
};

/// Returns a request of one of several kinds. All of a kind have the same size and are due long after
/// the end of a test, so that the first one of a queue fits wherever another one does.
fn random_request(rng: &mut StdRng, now: Time) -> GrantRequest {
    let model = rng.random_range(0..4);
    let request = match rng.random_bool(0.2) {
        true => plain_request(now),
        false => model_request(&format!("m{model}"), 8_000 + 4_000 * model, now),
    };
    let mut request = GrantRequest {
        team: None,
        priority: rng.random_range(0..3),
        due: now + Duration::from_secs(500),
        deadline: now + Duration::from_secs(1_000),
        ..request
    };
    if let Some(work) = request.work.as_mut() {
        let adapter = rng.random_range(0..6);
        work.adapter = (adapter < 2).then(|| format!("a{adapter}").into());
    }
    request
}

fn entries() -> Vec<EndpointEntry> {
    let cold =
        EndpointEntry { cold_remaining: Duration::from_secs(2), ..engine("e4", &["m0", "m3"]) };
    let engines = [engine("e1", &["m0", "m1"]), engine("e2", &["m1", "m2"]), cold];
    engines.into_iter().chain([desk("d1"), desk("d2")]).collect()
}

/// What happens to a scheduler in a random order.
struct World {
    scheduler: Scheduler,
    rng: StdRng,
    now: Time,
    number: u64,
    waiting: BTreeMap<GrantKey, GrantRequest>,
    running: Vec<GrantKey>,
}

impl World {
    fn new(seed: u64, mode: Mode) -> Self {
        let mut scheduler = scheduler(mode, entries());
        deliver_reports(&mut scheduler, START);
        let rng = StdRng::seed_from_u64(seed);
        let (waiting, running) = (BTreeMap::new(), Vec::new());
        Self { scheduler, rng, now: START, number: 0, waiting, running }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Grant(key, _) => {
                    self.waiting.remove(&key);
                    self.running.push(key);
                }
                Action::Refuse(key, _) => drop(self.waiting.remove(&key)),
                Action::Order { endpoint, order, .. } => {
                    use cardamomshore::kernel::grants::OrderResult::{Accepted, Conflict};
                    let result = if self.rng.random_bool(0.7) { Accepted } else { Conflict };
                    self.scheduler.handle_order_result(&endpoint, &order, result, self.now);
                }
                Action::Report { endpoint, .. } => {
                    self.scheduler.handle_report(&endpoint, None, self.now);
                }
            }
        }
    }

    fn submit(&mut self, request: GrantRequest) {
        self.number += 1;
        let key = key(self.number);
        self.waiting.insert(key.clone(), request.clone());
        let actions = self.scheduler.handle_request(key, request, self.now);
        self.apply(actions);
    }

    fn end_one(&mut self, outcome: Outcome) {
        if !self.running.is_empty() {
            let index = self.rng.random_range(0..self.running.len());
            let key = self.running.swap_remove(index);
            let actions = self.scheduler.handle_outcome(&key, outcome, self.now);
            self.apply(actions);
        }
    }

    /// Does one random thing.
    fn step(&mut self) {
        let rate: u8 = self.rng.random_range(0..20);
        match self.rng.random_range(0..40) {
            0..16 => {
                let request = random_request(&mut self.rng, self.now);
                self.submit(request);
            }
            16..26 => self.end_one(Outcome::Whole),
            26 => self.end_one(Outcome::Full),
            27 => self.end_one(Outcome::Unreached),
            28..31 => {
                if let Some(key) = self.running.last() {
                    self.scheduler.record_first_event(key, self.now);
                }
            }
            31 => {
                if let Some(key) = self.waiting.keys().next().cloned() {
                    self.scheduler.cancel_waiting(&key);
                    self.waiting.remove(&key);
                }
            }
            32 => {
                let limit = EndpointLimit {
                    endpoint: "d1".into(),
                    incarnation: Incarnation(1),
                    rate: (rate > 4).then_some(f64::from(rate)),
                };
                self.scheduler.record_rate_limit(&limit, self.now);
            }
            33 => {
                let mut entries = entries();
                if rate > 9 {
                    entries.remove(usize::from(rate) % 5);
                }
                self.scheduler.set_endpoints(entries, self.now);
            }
            _ => {
                self.now = self.now + Duration::from_millis(u64::from(rate) * 7);
                let actions = self.scheduler.tick(self.now);
                self.apply(actions);
            }
        }
    }

    /// Returns a waiting request of which a new copy is granted at once.
    fn find_forgotten(&mut self) -> Option<GrantRequest> {
        // The first tick sends orders, and the second one sees their results.
        for _ in 0..2 {
            let actions = self.scheduler.tick(self.now);
            self.apply(actions);
        }
        for (key, request) in std::mem::take(&mut self.waiting) {
            self.scheduler.cancel_waiting(&key);
            self.number += 1;
            let new = super::fleet::key(self.number);
            let actions = self.scheduler.handle_request(new, request.clone(), self.now);
            if granted(&actions).is_some() {
                return Some(request);
            }
            self.scheduler.cancel_waiting(&super::fleet::key(self.number));
        }
        None
    }
}

/// Guards against a change that does not wake the queue of a request which can be granted since.
#[test]
fn tick_forgets_no_request() {
    for mode in [LEADING, Mode::Alone { share: 0.5 }] {
        for seed in 0..150 {
            let mut world = World::new(seed, mode);
            for _ in 0..400 {
                world.step();
            }
            let forgotten = world.find_forgotten();
            assert_eq!(forgotten, None, "seed {seed}, {mode:?}");
        }
    }
}

/// Guards against the loss of what a bounded tick has left to the next one.
#[test]
fn tick_bounded_goes_on_in_next() {
    let mut scheduler = scheduler(LEADING, Vec::new());
    for number in 0..600 {
        let deadline = START + Duration::from_secs(100);
        let request = GrantRequest { team: None, deadline, ..plain_request(START) };
        assert!(scheduler.handle_request(key(number), request, START).is_empty());
    }
    scheduler.set_endpoints((0..60).map(|number| desk(&format!("d{number}"))).collect(), START);
    let ticks: Vec<usize> = (0..3).map(|_| scheduler.tick(START).len()).collect();
    assert!(ticks[0] < 600, "one tick is bounded: {ticks:?}");
    assert_eq!(ticks.iter().sum::<usize>(), 600, "{ticks:?}");
}

/// Guards against an order that depends on when the requests came instead of on their urgency.
#[test]
fn outcome_grants_most_urgent_of_all_queues() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0", "m1"])]);
    deliver_reports(&mut scheduler, START);
    let request = |number: u64, model: &str, priority: u8| {
        let mut request =
            GrantRequest { team: None, priority, ..model_request(model, 90_000, START) };
        if let Some(work) = request.work.as_mut() {
            work.parts = vec![(number, 90_000)];
        }
        request
    };
    assert!(granted(&scheduler.handle_request(key(1), request(1, "m0", 1), START)).is_some());
    for (number, model, priority) in [(2, "m0", 2), (3, "m1", 1), (4, "m0", 1), (5, "m1", 0)] {
        let actions =
            scheduler.handle_request(key(number), request(number, model, priority), START);
        assert!(granted(&actions).is_none(), "{number}: the engine prefills a long prompt");
    }
    let mut order = Vec::new();
    let mut ended = 1;
    for _ in 0..4 {
        let now = START + Duration::from_millis(1);
        for action in end_request(&mut scheduler, ended, Outcome::Whole, now) {
            if let Action::Grant(key, _) = action {
                order.push(key.number);
                ended = key.number;
            }
        }
    }
    assert_eq!(order, [5, 3, 4, 2]);
}

/// Guards against requests that wait although an endpoint has room again, because an earlier evaluation
/// found all of them full.
#[test]
fn arrival_after_change_evaluated() {
    let adapters = vec!["a1".into()];
    let entry = EndpointEntry { models: vec![("m0".into(), adapters)], ..engine("e1", &["m0"]) };
    let mut scheduler = scheduler(LEADING, vec![entry]);
    deliver_reports(&mut scheduler, START);
    let request = |tokens: u32, adapter: Option<&str>| {
        let mut request = GrantRequest { team: None, ..model_request("m0", tokens, START) };
        if let Some(work) = request.work.as_mut() {
            work.adapter = adapter.map(Into::into);
        }
        request
    };
    assert!(granted(&scheduler.handle_request(key(1), request(90_000, None), START)).is_some());
    for (number, adapter) in [(2, None), (3, Some("a1"))] {
        let actions = scheduler.handle_request(key(number), request(1_000, adapter), START);
        assert!(granted(&actions).is_none(), "{number}: the engine prefills a long prompt");
    }
    scheduler.record_first_event(&key(1), START + Duration::from_millis(900));
    scheduler.cancel_waiting(&key(3));
    let later = START + Duration::from_millis(901);
    let actions = scheduler.handle_request(key(4), request(1_000, Some("a1")), later);
    assert!(granted(&actions).is_some(), "the prompt is prefilled: {actions:?}");
}
