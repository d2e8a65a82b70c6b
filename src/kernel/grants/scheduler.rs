//! Takes what happens and decides which waiting request goes where.

mod admission;
mod upkeep;
mod waiting;

pub use self::upkeep::Pressure;

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    Action, Ask, Bucket, Command, Demand, Endpoint, Grant, GrantKey, Granted, Holding, Incarnation,
    ModelWork, OrderResult, Outcome, Registration, RepeatBudget, RepeatLimits, choice,
    choice::{Fit, Terms},
    endpoint::Run,
    index::Index,
    queue::Waiting,
};
use crate::{
    catalog::{Catalog, EngineSpec, Service},
    clock::Time,
    kernel::suspect::{CrashId, Suspects},
    names::EndpointId,
};

/// Time between two looks at the placement of models.
const PLAN_PERIOD: Duration = Duration::from_millis(200);

/// Expected time from grant to first event beside prefill.
const FIRST_EVENT: Duration = Duration::from_millis(25);

/// Shortest and longest time after which a refused caller is asked to come back.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(4));

/// Time for which an endpoint that shed a request is left alone.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// What a scheduler may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It decides for the instances that are linked to it.
    Leading {
        /// Whether engines may be given orders.
        orders: bool,
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
    pub repeats: RepeatLimits,
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
    buckets: HashMap<Arc<str>, Bucket>,
    repeats: HashMap<Arc<str>, RepeatBudget>,
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
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes a request in.
    pub fn ask(&mut self, key: GrantKey, ask: Ask, now: Time) -> Vec<Action> {
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
        matches!(self.mode, Mode::Leading { orders: true, .. })
    }

    /// Grants a request, queues it, or refuses it where waiting is of no use.
    fn enter(&mut self, key: GrantKey, ask: Ask, now: Time, actions: &mut Vec<Action>) {
        let ahead = self.queue.iter().any(|waiting| {
            waiting.prepared.is_none()
                && same_kind(&waiting.ask, &ask)
                && waiting.ask.urgency <= ask.urgency
                && waiting.ask.goal > now
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
    fn place(&mut self, key: &GrantKey, ask: &Ask, now: Time) -> Placed {
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
    fn coming(&self, ask: &Ask) -> Option<Time> {
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

    fn want(&mut self, id: &str, ask: &Ask) {
        let Some(ModelWork { model, adapter: Some(adapter), .. }) = &ask.work else { return };
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.want(model, adapter);
        }
    }

    fn begin(
        &mut self,
        key: &GrantKey,
        ask: &Ask,
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
        start(endpoint, key, ask, service, pace, now);
        self.places.insert(key.clone(), id.clone());
        Placed::Granted(grant)
    }

    /// Counts a request that was granted by another scheduler.
    pub fn adopt(&mut self, key: GrantKey, granted: Granted, now: Time) {
        let Granted { ask, endpoint: id } = granted;
        let Some(service) = self.catalog.services.get(&ask.service).cloned() else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        start(endpoint, &key, &ask, &service, 1.0, now);
        self.places.insert(key, id);
    }

    /// Notes that the first event of an answer has come.
    pub fn first_event(&mut self, key: &GrantKey, now: Time) {
        let Some(endpoint) = self.places.get(key).and_then(|id| self.endpoints.get_mut(id)) else {
            return;
        };
        let Some(run) = endpoint.running.get_mut(key) else { return };
        if std::mem::replace(&mut run.started, true) {
            return;
        }
        let work = run.ask.work.clone();
        let (granted, ahead, reads) = (run.granted, run.ahead, run.reads);
        endpoint.reached();
        if let Some(work) = work {
            let pace = self.paces.entry(work.model.clone()).or_insert(1.0);
            let own = Duration::from_secs_f64(reads as f64 / 4e4 * *pace * endpoint.slowness);
            let ratio =
                now.since(granted).as_secs_f64() / (ahead + own + FIRST_EVENT).as_secs_f64();
            let ratio = ratio.clamp(0.25, 4.0);
            *pace = (*pace * ratio.powf(0.06)).clamp(0.2, 3.0);
            endpoint.slowness = (endpoint.slowness * ratio.powf(0.1)).clamp(0.6, 6.0);
        }
        settle_prefill(endpoint, &self.paces, now);
    }

    /// Takes a waiting request back.
    pub fn withdraw(&mut self, key: &GrantKey) {
        if let Some(position) = self.queue.iter().position(|waiting| waiting.key == *key) {
            let waiting = self.queue.swap_remove(position);
            self.give_back(&waiting.ask);
        }
    }

    /// Notes that a granted request has ended, or that its caller left while it waited.
    pub fn done(&mut self, key: &GrantKey, outcome: Outcome, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.withdraw(key);
        if let Some(endpoint) = self.finish(key, outcome, now) {
            self.pump_at(&endpoint, now, &mut actions);
        }
        actions
    }

    /// Returns the endpoint that has room again.
    fn finish(&mut self, key: &GrantKey, outcome: Outcome, now: Time) -> Option<Arc<str>> {
        let id = self.places.remove(key)?;
        let endpoint = self.endpoints.get_mut(&id)?;
        let alone = endpoint.running.len() == 1;
        let run = endpoint.running.remove(key)?;
        let place = run.ask.data_centre.clone();
        match outcome {
            Outcome::Whole => {
                endpoint.reached();
                endpoint.failures.note(&place, false, now);
                self.suspects.acquit(run.ask.fingerprint);
            }
            Outcome::Failed => endpoint.failures.note(&place, true, now),
            Outcome::Silent => endpoint.failures.note(&place, true, now),
            Outcome::Broke => {
                endpoint.failures.note(&place, true, now);
                let Incarnation(born) = endpoint.info.incarnation;
                let crash = CrashId::of(&EndpointId::from(&*id), born, alone);
                self.suspects.note(run.ask.fingerprint, [crash], now);
            }
            Outcome::Unreached => endpoint.unreached(now),
            Outcome::Full => endpoint.paused = endpoint.paused.max(now + FULL_PAUSE),
            Outcome::Misplaced => endpoint.misplaced(now),
            Outcome::Left => {}
        }
        settle_prefill(endpoint, &self.paces, now);
        if matches!(outcome, Outcome::Unreached | Outcome::Full | Outcome::Misplaced) {
            self.give_back(&run.ask);
        }
        Some(id)
    }

    /// Forgets all requests of an instance that is gone.
    pub fn drop_asker(&mut self, asker: &str, now: Time) -> Vec<Action> {
        self.queue.retain(|waiting| &*waiting.key.asker != asker);
        let gone: Vec<GrantKey> =
            self.places.keys().filter(|key| &*key.asker == asker).cloned().collect();
        for key in gone {
            self.finish(&key, Outcome::Left, now);
        }
        self.tick(now)
    }

    /// Takes the result of an order in.
    pub fn order_done(&mut self, id: &str, command: &Command, result: OrderResult, now: Time) {
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
    pub fn report_done(&mut self, id: &str, holding: Option<Holding>, now: Time) {
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

fn same_kind(a: &Ask, b: &Ask) -> bool {
    a.service == b.service
        && match (&a.work, &b.work) {
            (Some(a), Some(b)) => a.model == b.model && a.adapter == b.adapter,
            (None, None) => true,
            _ => false,
        }
}

fn start(
    endpoint: &mut Endpoint,
    key: &GrantKey,
    ask: &Ask,
    service: &Service,
    pace: f64,
    now: Time,
) {
    let (mut reads, mut room) = (0, 0);
    let ahead = endpoint.prefill.since(now);
    if let (Some(work), Some(spec)) = (&ask.work, &service.engine) {
        let (tokens, reading) = choice::prefill(endpoint, work, pace);
        reads = tokens;
        endpoint.use_prefill(reading, now);
        room = spec.memory.saturating_sub(endpoint.reserved());
    }
    let run = Run { ask: ask.clone(), granted: now, reads, ahead, started: false };
    endpoint.begin(key.clone(), run, room, now);
}

/// Corrects the prefill that an engine still has to do by what has not started.
fn settle_prefill(endpoint: &mut Endpoint, paces: &HashMap<Arc<str>, f64>, now: Time) {
    let open = endpoint.running.values().filter(|run| !run.started);
    let open = open.filter_map(|run| run.ask.work.as_ref().map(|work| (work, run.reads)));
    let seconds: f64 = open
        .map(|(work, reads)| reads as f64 / 4e4 * paces.get(&work.model).copied().unwrap_or(1.0))
        .sum();
    let left = Duration::from_secs_f64(seconds * endpoint.slowness);
    endpoint.prefill = endpoint.prefill.min(now + left);
}
