//! The scheduler: handles events and decides which request is sent to which endpoint.

mod adapters;
mod admission;
mod allotments;
mod crashes;
mod delayed;
mod fetches;
mod held;
mod observations;
mod origins;
mod planning;
mod rate_limits;
mod retries;
mod runs;
mod selection;
mod supply;
mod team_use;
mod waiting;

pub(in crate::kernel::grants) use self::crashes::CrashState;
pub use self::{
    admission::UnusedRate, observations::Observations, planning::ModelBacklog, retries::RetryUsage,
    team_use::TeamUse,
};
use self::{
    origins::{OriginStep, UNKNOWN_REFUSAL},
    team_use::TeamUses,
};

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    Action, AllotmentTable, Allotments, Command, Demand, Endpoint, EndpointEntry, EngineReport,
    GrantKey, GrantRequest, Holdings, Order, OrderResult, PauseControl, RetryBudget, RetryLimits,
    StreamOrigins, TokenBucket,
    crash_causes::CrashCauses,
    holders::Holders,
    index::Index,
    order::{FairShares, KindShares, Refused},
    order_state::OrderIds,
    pace::{ModelSpeed, Speeds},
    queues::Queues,
};
use crate::{
    catalog::{Catalog, EngineSpec, Team},
    clock::Time,
    kernel::request_rate::RequestRate,
};

/// Interval between rounds of placement planning.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Bounds of the time after which a refused caller is asked to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_secs(4));

/// What a scheduler may decide.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// The scheduler decides for all instances that are linked to it.
    Leading {
        /// Whether the scheduler may send orders to engines.
        may_order: bool,
        /// Fraction of the instances that are linked. Each of the others decides alone for its
        /// own fraction.
        share: f64,
    },
    /// The scheduler decides for one instance alone.
    Alone {
        /// Fraction of all capacity and rates that the scheduler may use.
        share: f64,
    },
}

/// Limits set by the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerLimits {
    /// Retry limits of each service.
    pub retries: RetryLimits,
    /// Window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// Tokens beyond its rate and burst that a team may use in a window.
    pub rate_slack: f64,
}

/// Decides which request is sent to which endpoint.
pub struct Scheduler {
    mode: Mode,
    limits: SchedulerLimits,
    catalog: Arc<Catalog>,
    /// The catalog's teams by name.
    teams: HashMap<Arc<str>, Arc<Team>>,
    /// Data centres whose endpoints receive no requests.
    evacuated: HashSet<Arc<str>>,
    endpoints: BTreeMap<Arc<str>, Endpoint>,
    index: Index,
    /// Engines that have each prompt part cached, of services whose engines fetch from one another.
    holders: Holders,
    /// Endpoint that runs each granted request.
    endpoint_of: HashMap<GrantKey, Arc<str>>,
    queue: Queues,
    /// Requests that wait for tokens of their team.
    delayed: delayed::Delayed,
    /// Streams that wait for their version to be known.
    held: held::HeldStreams,
    /// Token bucket of each team.
    buckets: HashMap<Arc<str>, TokenBucket>,
    /// What teams have asked for and got since the last report.
    team_uses: TeamUses,
    /// Retry budget of each service.
    retry_budgets: HashMap<Arc<str>, RetryBudget>,
    /// Granted requests and retries of this instance alone, by service.
    own_retries: HashMap<Arc<str>, RetryBudget>,
    crash_causes: CrashCauses,
    origins: StreamOrigins,
    /// Endpoints at which a run broke, with the time of the first one; the oldest come first.
    broken: VecDeque<(Time, Arc<str>)>,
    /// Grows with each change of the rates that endpoints name.
    limit_version: u64,
    demand: Demand,
    /// Measured speeds of models and plain services.
    speeds: Speeds,
    observations: Observations,
    supplies: supply::Supplies,
    shares: FairShares,
    kind_shares: KindShares,
    refused: Refused,
    /// Bound of the prefill without a break, by service.
    pauses: HashMap<Arc<str>, PauseControl>,
    /// Rate of the requests that arrive.
    request_rate: RequestRate,
    order_ids: OrderIds,
    /// When loads from the weight store were ordered.
    store_loads: VecDeque<Time>,
    /// When the requests that wait for adapters were last checked.
    adapters_checked_at: Time,
    /// When the placement was last planned.
    planned_at: Time,
    /// Name of this instance; `None` if it hands out no allotments.
    instance: Option<Arc<str>>,
    /// What this instance may grant without a leader; `None` if no leader has handed out anything.
    allotments: Option<Allotments>,
    /// What the other instances hold, while this one leads.
    handed_out: AllotmentTable,
    /// Balance of each team that the other instances count on.
    handed_out_balances: HashMap<Arc<str>, f64>,
    /// When the scheduler was created, or last started or stopped leading.
    started_at: Time,
}

impl Scheduler {
    /// Creates a scheduler without endpoints and with an empty catalog.
    pub fn new(limits: SchedulerLimits, mode: Mode, now: Time) -> Self {
        Self {
            mode,
            limits,
            catalog: Arc::default(),
            teams: HashMap::new(),
            evacuated: HashSet::new(),
            endpoints: BTreeMap::new(),
            index: Index::default(),
            holders: Holders::default(),
            endpoint_of: HashMap::new(),
            queue: Queues::default(),
            delayed: delayed::Delayed::default(),
            held: held::HeldStreams::default(),
            buckets: HashMap::new(),
            team_uses: TeamUses::default(),
            retry_budgets: HashMap::new(),
            own_retries: HashMap::new(),
            crash_causes: CrashCauses::default(),
            origins: StreamOrigins::new(now),
            broken: VecDeque::new(),
            limit_version: 0,
            demand: Demand::default(),
            speeds: Speeds::default(),
            observations: Observations::default(),
            supplies: supply::Supplies::default(),
            shares: FairShares::default(),
            kind_shares: KindShares::default(),
            refused: Refused::default(),
            pauses: HashMap::new(),
            request_rate: RequestRate::default(),
            order_ids: OrderIds::default(),
            store_loads: VecDeque::new(),
            adapters_checked_at: Time::default(),
            planned_at: Time::default(),
            instance: None,
            allotments: None,
            handed_out: AllotmentTable::default(),
            handed_out_balances: HashMap::new(),
            started_at: now,
        }
    }

    /// Changes what the scheduler may decide.
    ///
    /// When it starts to lead, it has what is left of its own share of the teams' rates, and the
    /// others add theirs. When it stops, it starts from nothing.
    pub fn set_mode(&mut self, mode: Mode, now: Time) {
        let was_leading = matches!(self.mode, Mode::Leading { .. });
        let leads = matches!(mode, Mode::Leading { .. });
        match (was_leading, leads) {
            (false, true) => {
                let unused = self.release_rates(now);
                self.add_rates(&unused, now);
            }
            (true, false) if self.allotments.is_none() => self.restart_rates(now),
            _ => {}
        }
        if leads && !was_leading {
            self.begin_handing_out();
        }
        if was_leading != leads {
            self.restart_retries();
        }
        let could_order = self.may_order();
        if self.mode != mode {
            self.queue.wake_all();
        }
        self.mode = mode;
        if was_leading && !leads && self.allotments.is_some() {
            self.keep_own_part(now);
        }
        if could_order != self.may_order() {
            self.endpoints.values_mut().for_each(Endpoint::reset_orders);
        }
    }

    /// Applies a new catalog.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        for endpoint in self.endpoints.values_mut() {
            let service = self.catalog.services.get(&endpoint.info.service);
            if let Some(spec) = service.and_then(|service| service.engine.as_ref()) {
                endpoint.keep_sizes(spec);
            }
        }
        let teams = catalog.keys.values().map(|team| (team.name.clone(), team.clone()));
        self.teams = teams.collect();
        self.catalog = catalog;
        self.rebuild_holders();
        self.queue.wake_all();
    }

    /// Sets the data centres whose endpoints receive no requests.
    pub fn set_evacuated(&mut self, evacuated: HashSet<Arc<str>>) {
        self.evacuated = evacuated;
        self.queue.wake_all();
    }

    /// Returns whether an endpoint is in a data centre that is out of service.
    pub fn is_evacuated(&self, endpoint: &str) -> bool {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.is_some_and(|endpoint| self.evacuated.contains(&endpoint.info.data_centre))
    }

    /// Replaces the table of endpoints, keeping the state of those whose incarnation, address and
    /// service are unchanged.
    pub fn set_endpoints(&mut self, entries: Vec<EndpointEntry>, now: Time) {
        let kept: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        let is_lost = |id: &&Arc<str>| !kept.contains(*id);
        let lost: Vec<Arc<str>> = self.endpoints.keys().filter(is_lost).cloned().collect();
        self.change_endpoints(entries, &lost, now);
        self.record_versions(now);
    }

    /// Applies new and changed entries, and removes the endpoints `lost`. All others stay as they are,
    /// so that the cost does not grow with the number of endpoints.
    pub fn change_endpoints(&mut self, entries: Vec<EndpointEntry>, lost: &[Arc<str>], now: Time) {
        let mut has_changed = false;
        for entry in entries {
            has_changed |= self.put_endpoint(entry, now);
        }
        for id in lost {
            has_changed |= self.remove_endpoint(id, now);
        }
        if has_changed {
            self.queue.wake_all();
        }
    }

    /// Applies an entry. Returns whether it differs from the known one.
    fn put_endpoint(&mut self, entry: EndpointEntry, now: Time) -> bool {
        self.origins.record_version(&entry.service, &entry.version, now);
        if self.endpoints.get(&entry.id).is_some_and(|known| known.entry == entry) {
            return false;
        }
        // Changes that are not applied yet would stay in the index.
        self.update_holders(&entry.id);
        let endpoint = match self.endpoints.remove(&entry.id) {
            Some(known) if !known.is_incarnation(&entry) => {
                self.remove_holder(&known);
                self.record_loss(known, now);
                Endpoint::new(entry, now)
            }
            Some(mut known) => {
                known.update(entry, now);
                known
            }
            None => Endpoint::new(entry, now),
        };
        self.index.update(&endpoint);
        let id = endpoint.info.id.clone();
        self.endpoints.insert(id.clone(), endpoint);
        self.update_holders(&id);
        true
    }

    /// Removes an endpoint. Returns whether there was one.
    fn remove_endpoint(&mut self, id: &str, now: Time) -> bool {
        self.update_holders(id);
        let Some(lost) = self.endpoints.remove(id) else { return false };
        self.index.remove(&lost.info.id);
        self.remove_holder(&lost);
        self.origins.record_version(&lost.info.service, &lost.info.version, now);
        self.record_loss(lost, now);
        true
    }

    /// Returns the endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns what the scheduler takes an engine to hold; `None` if it does not know the engine.
    pub fn holdings(&self, id: &str) -> Option<Holdings> {
        self.endpoints.get(id).map(Holdings::of)
    }

    /// Returns the number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len() + self.delayed.len()
    }

    /// Returns the peak of the rate at which requests have arrived lately, a second.
    pub fn peak_request_rate(&mut self, now: Time) -> f64 {
        self.request_rate.peak(now)
    }

    /// Grants, queues or refuses a new request.
    pub fn handle_request(
        &mut self,
        key: GrantKey,
        request: GrantRequest,
        now: Time,
    ) -> Vec<Action> {
        self.request_rate.record(now);
        self.record_arrival(&key, &request, now);
        self.confirm_silent_crashes(now);
        let mut actions = Vec::new();
        self.decide_request(key, request, now, &mut actions);
        actions
    }

    /// Grants, queues, holds or refuses a request that was recorded.
    fn decide_request(
        &mut self,
        key: GrantKey,
        mut request: GrantRequest,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        match self.find_origin(&mut request, now) {
            OriginStep::Decide => {}
            OriginStep::Hold(until) => return self.held.push(key, request, until),
            OriginStep::Refuse => return actions.push(Action::Refuse(key, UNKNOWN_REFUSAL)),
        }
        match self.admit(&request, now) {
            Ok(None) => self.grant_or_queue(key, request, now, actions),
            Ok(Some(at)) => self.delayed.push(key, request, at),
            Err(refusal) => actions.push(Action::Refuse(key, refusal)),
        }
    }

    /// Returns the share of the teams' rates and of the retry budgets that this scheduler may use.
    fn rate_share(&self) -> f64 {
        match self.mode {
            Mode::Leading { share, .. } | Mode::Alone { share } => share,
        }
    }

    /// Returns whether this scheduler may send orders to engines.
    fn may_order(&self) -> bool {
        matches!(self.mode, Mode::Leading { may_order: true, .. })
    }

    fn engine_spec(&self, service: &str) -> Option<&EngineSpec> {
        self.catalog.services.get(service)?.engine.as_ref()
    }

    /// Returns the measured speed of the request's model.
    fn model_speed(&self, request: &GrantRequest) -> ModelSpeed {
        let model = request.work.as_ref().map(|work| &work.model);
        model.map_or_else(ModelSpeed::default, |model| self.speeds.model(model))
    }

    /// Applies the result of an order.
    pub fn handle_order_result(&mut self, id: &str, order: &Order, result: OrderResult, now: Time) {
        let command = &order.command;
        let service = self.endpoints.get(id).map(|endpoint| endpoint.info.service.clone());
        let spec = service.and_then(|service| self.catalog.services.get(&service).cloned());
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let mut ready = now;
        if let (Command::Load { model }, Some(spec)) = (command, spec.as_ref()) {
            if let Some(spec) = &spec.engine {
                ready = now + endpoint.load_time(spec, model);
            }
            if matches!(result, OrderResult::Accepted | OrderResult::Lost)
                && !endpoint.has_local_weights(model)
            {
                self.store_loads.push_back(now);
            }
        }
        endpoint.handle_order_result(order.id, result, ready, now);
        self.index.update(endpoint);
        self.update_holders(id);
        self.wake_endpoint(id);
    }

    /// Applies the report of an engine, or `None` if none arrived.
    pub fn handle_report(&mut self, id: &str, report: Option<EngineReport>, now: Time) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let requested_at = endpoint.order_state.report_since.unwrap_or_default();
        let has_report = report.is_some();
        endpoint.handle_report(report, now);
        self.index.update(endpoint);
        self.update_holders(id);
        self.wake_endpoint(id);
        if has_report {
            self.record_response(id, requested_at);
        }
    }

    /// Grants queued requests and returns the next orders; the leader also plans the placement.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.confirm_silent_crashes(now);
        if self.may_order() && now.since(self.planned_at) >= PLAN_INTERVAL {
            self.planned_at = now;
            self.plan(now);
        }
        self.make_adapter_room(now);
        self.release_held(now, &mut actions);
        self.grant_delayed(now, &mut actions);
        self.grant_queued(now, &mut actions);
        self.collect_orders(now, &mut actions);
        actions
    }
}
