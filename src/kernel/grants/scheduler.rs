//! Takes what happens and decides which waiting request goes where.

mod admission;
mod runs;
mod upkeep;
mod waiting;

pub use self::upkeep::ModelBacklog;

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    Action, Command, Demand, Endpoint, EngineReport, Grant, GrantKey, GrantRequest, ModelWork,
    OrderResult, Registration, RetryBudget, RetryLimits, TokenBucket, choice,
    choice::{Fit, Terms},
    index::Index,
    queue::Waiting,
};
use crate::{
    catalog::{Catalog, EngineSpec, Service},
    clock::Time,
    kernel::suspect::Suspects,
};

/// Time between two looks at the placement of models.
const PLAN_PERIOD: Duration = Duration::from_millis(200);

/// Shortest and longest time after which a refused caller is asked to come back.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(4));

/// What a scheduler may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It decides for the instances that are linked to it.
    Leading {
        /// Whether engines may be given orders.
        may_order: bool,
        /// Part of the fleet that is linked; the others may each use their own part alone.
        share: f64,
    },
    /// It decides for one instance alone and may use this part of everything.
    Alone {
        /// The part.
        share: f64,
    },
}

/// Limits that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Repeats for each service.
    pub retries: RetryLimits,
    /// Window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// Tokens beyond its rate and burst that a team may use in a window.
    pub rate_slack: f64,
}

/// Decides which request goes to which endpoint.
pub struct Scheduler {
    mode: Mode,
    limits: Limits,
    catalog: Arc<Catalog>,
    evacuated: HashSet<Arc<str>>,
    endpoints: BTreeMap<Arc<str>, Endpoint>,
    index: Index,
    places: HashMap<GrantKey, Arc<str>>,
    queue: Vec<Waiting>,
    buckets: HashMap<Arc<str>, TokenBucket>,
    repeats: HashMap<Arc<str>, RetryBudget>,
    suspects: Suspects,
    demand: Demand,
    paces: HashMap<Arc<str>, f64>,
    loads: VecDeque<Time>,
    planned: Time,
    begun: Time,
}

/// What became of a request that looked for an endpoint.
enum Placed {
    Granted(Grant),
    Preparing(Arc<str>),
    /// Endpoints serve such requests but are full.
    Full,
    /// No endpoint holds what it needs.
    Nowhere,
}

impl Scheduler {
    /// Creates a scheduler that knows nothing.
    pub fn new(limits: Limits, mode: Mode, now: Time) -> Self {
        Self {
            mode,
            limits,
            catalog: Arc::default(),
            evacuated: HashSet::new(),
            endpoints: BTreeMap::new(),
            index: Index::default(),
            places: HashMap::new(),
            queue: Vec::new(),
            buckets: HashMap::new(),
            repeats: HashMap::new(),
            suspects: Suspects::default(),
            demand: Demand::default(),
            paces: HashMap::new(),
            loads: VecDeque::new(),
            planned: Time::default(),
            begun: now,
        }
    }

    /// Changes what the scheduler may do.
    ///
    /// A scheduler that begins or ends to decide for the fleet knows nothing of what teams used.
    pub fn set_mode(&mut self, mode: Mode, now: Time) {
        let led = matches!(self.mode, Mode::Leading { .. });
        if led != matches!(mode, Mode::Leading { .. }) {
            self.buckets.clear();
            self.begun = now;
        }
        let ordered = self.may_order();
        self.mode = mode;
        if ordered != self.may_order() {
            self.endpoints.values_mut().for_each(Endpoint::hand_over);
        }
    }

    /// Puts a catalog in force.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = catalog;
    }

    /// Names the data centres whose endpoints get nothing.
    pub fn set_evacuated(&mut self, evacuated: HashSet<Arc<str>>) {
        self.evacuated = evacuated;
    }

    /// Replaces the table of endpoints, each with the time since its entry was read.
    pub fn set_endpoints(&mut self, entries: Vec<Registration>, now: Time) {
        let mut old = std::mem::take(&mut self.endpoints);
        for entry in entries {
            let known = old.remove(&entry.id);
            let same = known.filter(|known| {
                known.info.incarnation == entry.incarnation
                    && known.info.address == entry.address
                    && known.info.service == entry.service
            });
            let endpoint = match same {
                Some(mut known) if known.entry != entry => {
                    known.update(entry, now);
                    known
                }
                Some(known) => known,
                None => Endpoint::new(entry, now),
            };
            self.endpoints.insert(endpoint.info.id.clone(), endpoint);
        }
        self.index.expire();
    }

    /// Returns the endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns how many requests wait.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Takes a request in.
    pub fn handle_request(&mut self, key: GrantKey, ask: GrantRequest, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        match self.admit(&ask, now) {
            Ok(()) => self.enter(key, ask, now, &mut actions),
            Err(refusal) => actions.push(Action::Refuse(key, refusal)),
        }
        actions
    }

    /// Returns the part of the teams' rates and of the repeats that may be used here.
    fn share(&self) -> f64 {
        match self.mode {
            Mode::Leading { share, .. } | Mode::Alone { share } => share,
        }
    }

    /// Returns the part of each endpoint that may be filled here.
    fn fill(&self) -> f64 {
        match self.mode {
            Mode::Leading { .. } => 1.0,
            Mode::Alone { share } => share,
        }
    }

    fn may_order(&self) -> bool {
        matches!(self.mode, Mode::Leading { may_order: true, .. })
    }

    /// Grants a request, queues it, or refuses it where waiting is of no use.
    fn enter(&mut self, key: GrantKey, ask: GrantRequest, now: Time, actions: &mut Vec<Action>) {
        let ahead = self.queue.iter().any(|waiting| {
            waiting.prepared.is_none()
                && same_kind(&waiting.ask, &ask)
                && waiting.ask.priority <= ask.priority
                && waiting.ask.due > now
        });
        let placed = if ahead { Placed::Full } else { self.place(&key, &ask, now) };
        let mut waiting = Waiting { key, ask, since: now, prepared: None };
        let refusal = match placed {
            Placed::Granted(grant) => return actions.push(Action::Grant(waiting.key, grant)),
            Placed::Preparing(endpoint) => {
                self.order_at(&endpoint, now, actions);
                waiting.prepared = Some((endpoint, now));
                None
            }
            Placed::Full => self.judge_wait(&waiting, self.queue_wait(&waiting.ask)),
            Placed::Nowhere => match self.coming(&waiting.ask) {
                Some(ready) => self.judge_wait(&waiting, ready.since(now)),
                None => self.judge_nowhere(&waiting),
            },
        };
        match refusal {
            None => self.queue.push(waiting),
            Some(refusal) => {
                self.give_back(&waiting.ask);
                actions.push(Action::Refuse(waiting.key, refusal));
            }
        }
    }

    fn spec(&self, service: &str) -> Option<&EngineSpec> {
        self.catalog.services.get(service)?.engine.as_ref()
    }

    fn pace(&self, model: &str) -> f64 {
        self.paces.get(model).copied().unwrap_or(1.0)
    }

    /// Looks for an endpoint and begins the run or the load of an adapter there.
    fn place(&mut self, key: &GrantKey, ask: &GrantRequest, now: Time) -> Placed {
        let Some(service) = self.catalog.services.get(&ask.service).cloned() else {
            return Placed::Nowhere;
        };
        let pace = ask.work.as_ref().map_or(1.0, |work| self.pace(&work.model));
        let (orders, share) = (self.may_order(), self.fill());
        let terms = Terms { service: &service, orders, share, pace, now };
        let mut best: Option<(Duration, bool, Arc<str>)> = None;
        let mut full = false;
        self.index.refresh(&self.endpoints);
        for id in self.index.candidates(ask) {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            if self.evacuated.contains(&endpoint.info.data_centre) {
                continue;
            }
            let (cost, ready) = match choice::judge(endpoint, ask, &terms) {
                Fit::Now(cost) => (cost, true),
                Fit::Adapter(cost) => (cost, false),
                Fit::Full => {
                    full = true;
                    continue;
                }
                Fit::Never => continue,
            };
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, ready, endpoint.info.id.clone()));
            }
        }
        match best {
            Some((_, true, id)) => self.begin(key, ask, &service, &id, now),
            Some((_, false, id)) => {
                self.want(&id, ask);
                Placed::Preparing(id)
            }
            None if full => Placed::Full,
            None => Placed::Nowhere,
        }
    }

    /// Returns when a model that is on its way to an engine will be there.
    fn coming(&self, ask: &GrantRequest) -> Option<Time> {
        let work = ask.work.as_ref()?;
        let spec = self.spec(&ask.service)?;
        let times = self.endpoints.values().filter(|e| e.info.service == ask.service);
        let times = times.filter_map(|engine| {
            let loading = engine.loading.as_ref().filter(|(model, _)| *model == work.model);
            let swap = engine.swap.as_ref().filter(|swap| swap.load == work.model);
            let later = swap.map(|swap| swap.since + engine.load_time(spec, &work.model));
            loading.map(|(_, ready)| *ready).or(later)
        });
        times.min()
    }

    fn want(&mut self, id: &str, ask: &GrantRequest) {
        let Some(ModelWork { model, adapter: Some(adapter), .. }) = &ask.work else { return };
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.want(model, adapter);
        }
    }

    fn begin(
        &mut self,
        key: &GrantKey,
        ask: &GrantRequest,
        service: &Service,
        id: &Arc<str>,
        now: Time,
    ) -> Placed {
        let pace = ask.work.as_ref().map_or(1.0, |work| self.pace(&work.model));
        let Some(endpoint) = self.endpoints.get_mut(id) else { return Placed::Nowhere };
        // An adapter that was ordered a moment ago is there soon.
        if let Some(state) = ask.work.as_ref().and_then(|work| endpoint.adapter(work))
            && state.ready > now
        {
            return Placed::Preparing(id.clone());
        }
        let grant = Grant {
            endpoint: id.clone(),
            address: endpoint.info.address,
            incarnation: endpoint.info.incarnation,
        };
        runs::start(endpoint, key, ask, service, pace, now);
        self.places.insert(key.clone(), id.clone());
        Placed::Granted(grant)
    }

    /// Takes the result of an order in.
    pub fn handle_order_result(
        &mut self,
        id: &str,
        command: &Command,
        result: OrderResult,
        now: Time,
    ) {
        let service = self.endpoints.get(id).map(|endpoint| endpoint.info.service.clone());
        let spec = service.and_then(|service| self.catalog.services.get(&service).cloned());
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let mut ready = now;
        if let (Command::Load { model }, Some(spec)) = (command, spec.as_ref()) {
            if let Some(spec) = &spec.engine {
                ready = now + endpoint.load_time(spec, model);
            }
            if matches!(result, OrderResult::Accepted | OrderResult::Lost)
                && !endpoint.has_copy(model)
            {
                self.loads.push_back(now);
            }
        }
        endpoint.order_done(result, ready, now);
        if matches!(command, Command::Load { .. } | Command::Unload { .. }) {
            self.index.expire();
        }
    }

    /// Takes a report in; `None` where none came.
    pub fn handle_report(&mut self, id: &str, holding: Option<EngineReport>, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.report_done(holding, now);
            self.index.expire();
        }
    }

    /// Looks at the queue, the orders and the placement again.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.may_order() && now.since(self.planned) >= PLAN_PERIOD {
            self.planned = now;
            self.plan(now);
        }
        self.pump(now, &mut actions);
        self.orders(now, &mut actions);
        actions
    }
}

fn same_kind(a: &GrantRequest, b: &GrantRequest) -> bool {
    a.service == b.service
        && match (&a.work, &b.work) {
            (Some(a), Some(b)) => a.model == b.model && a.adapter == b.adapter,
            (None, None) => true,
            _ => false,
        }
}
