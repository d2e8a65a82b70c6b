//! Simulates a deployment by running the kernel's decisions on a trace of requests, in virtual
//! time.

mod digest;
mod endpoint;
mod events;
mod planner;
mod work;

use std::{collections::HashMap, time::Duration};

use self::{
    endpoint::Endpoint,
    events::{Event, Events},
    planner::PlannerState,
    work::Progress,
};
use super::{
    Arrival, Options, Row, Trace, Variant,
    quota::Quota,
    score::{Outcome, Score},
    trace::ENTRY_COUNT,
};
use crate::{
    clock::Time,
    config::{Config, DataCentreState, PoolKind},
    kernel::{
        dispatch::{DispatchPolicy, Slack},
        placement::Averages,
        registry,
        routing::{Directory, RoutingPolicy, TwoChoices},
        warmup::ColdSign,
    },
    names::{DataCentre, EndpointId, Model},
};

/// Time between two rounds of digests, loans and planning.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Number of endpoints in each pool of engines.
const ENGINES_PER_POOL: usize = 20;

/// Number of endpoints in each pool of a plain service.
const SERVERS_PER_POOL: usize = 4;

/// A simulated deployment. Requests and endpoints are named by their position in a list.
struct Fleet<'a> {
    config: Config,
    trace: &'a Trace,
    options: &'a Options,
    dispatch: &'static dyn DispatchPolicy,
    routing: &'static dyn RoutingPolicy,
    now: Time,
    /// Events to come.
    events: Events,
    endpoints: Vec<Endpoint>,
    /// Position of each endpoint in `endpoints`.
    positions: HashMap<EndpointId, usize>,
    /// What the entry instances know from the digests. All instances share one directory.
    directory: Directory,
    /// Demand of each model at each entry instance.
    demand: Vec<HashMap<Model, Averages>>,
    /// Number of requests for each model that wait for a replica.
    waiting: HashMap<Model, u32>,
    /// Progress of each request of the trace.
    progress: Vec<Progress>,
    planner: PlannerState,
    quota: Quota,
    score: Score<'a>,
    sent_digests: digest::SentDigests,
}

/// Runs one variant on a trace and returns its figures.
pub fn run(config: &Config, options: &Options, variant: &Variant, trace: &Trace) -> Row {
    let endpoints = build_endpoints(config);
    let engine_count = endpoints.iter().filter(|endpoint| endpoint.is_engine()).count();
    let positions = endpoints.iter().enumerate().map(|(i, e)| (e.id.clone(), i)).collect();
    let mut fleet = Fleet {
        trace,
        options,
        dispatch: registry::dispatch(&variant.policy.dispatch).unwrap_or(&Slack),
        routing: registry::routing(&variant.policy.routing).unwrap_or(&TwoChoices),
        now: Time(0),
        events: Events::default(),
        positions,
        endpoints,
        directory: Directory::default(),
        demand: vec![HashMap::new(); ENTRY_COUNT],
        waiting: HashMap::new(),
        progress: vec![Progress::default(); trace.arrivals.len()],
        planner: PlannerState::new(config, &variant.policy.placement),
        quota: Quota::new(config, variant.sharing),
        score: Score::new(config, options),
        sent_digests: digest::SentDigests::new(),
        config: config.clone(),
    };
    fleet.run();
    fleet.score.row(variant.name, engine_count)
}

/// Returns the endpoints of all pools, spread evenly over the data centres.
fn build_endpoints(config: &Config) -> Vec<Endpoint> {
    let centres: Vec<&DataCentre> = config.data_centres.keys().collect();
    let mut endpoints = Vec::new();
    for (name, pool) in &config.pools {
        let count = if pool.kind == PoolKind::Engine { ENGINES_PER_POOL } else { SERVERS_PER_POOL };
        for i in 0..count {
            let centre = i % centres.len();
            // Two instances in each data centre are the stewards of its endpoints.
            let steward = (centre * 2 + i / centres.len() % 2) % ENTRY_COUNT;
            let id = format!("{name}-{i:02}");
            endpoints.push(Endpoint::new(&id, name, pool, centres[centre], steward));
        }
    }
    endpoints
}

impl Fleet<'_> {
    /// Handles events until none is left.
    fn run(&mut self) {
        self.events.add(Time(0), Event::Round);
        if let Some(first) = self.trace.arrivals.first() {
            self.events.add(first.at, Event::Arrive(0));
        }
        while let Some((at, event)) = self.events.next() {
            self.now = at;
            self.handle_event(event);
        }
    }

    /// Handles an event at its time.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.handle_arrival(request),
            Event::Admit(request) => self.admit(request),
            Event::Route(request) => self.route(request),
            Event::Finish { endpoint, request, incarnation } => {
                self.finish_request(endpoint, request, incarnation);
            }
            Event::Loaded { endpoint, model, incarnation } => {
                let endpoint = &mut self.endpoints[endpoint];
                if endpoint.engine.incarnation == incarnation {
                    endpoint.engine.finish_load(&model);
                }
            }
            Event::Round => self.run_round(),
        }
    }

    /// Handles the arrival of a request, and schedules that of the next one.
    fn handle_arrival(&mut self, request: usize) {
        if let Some(next) = self.trace.arrivals.get(request + 1) {
            self.events.add(next.at, Event::Arrive(request + 1));
        }
        let arrival = &self.trace.arrivals[request];
        self.progress[request].within_rate = self.score.is_within_rate(arrival);
        self.quota.record_demand(arrival.entry, &arrival.team, arrival.tokens(), self.now);
        self.admit(request);
    }

    /// Runs a round of the instances' regular work, such as digests, loans and planning, and
    /// schedules the next round while there is work.
    fn run_round(&mut self) {
        let elapsed = self.now.since(Time(0));
        self.apply_schedule();
        self.quota.run_round(self.now);
        for position in 0..self.endpoints.len() {
            self.refuse_expired(position);
            self.start_queued(position);
        }
        self.publish_digests();
        self.run_planner();
        let has_open = self.progress.iter().any(|progress| progress.is_open());
        if elapsed < self.options.schedule.end || has_open {
            self.events.add(self.now + ROUND_INTERVAL, Event::Round);
        }
    }

    /// Takes the first data centre out of service or back, and makes an engine cold, if the
    /// schedule says so.
    fn apply_schedule(&mut self) {
        let schedule = &self.options.schedule;
        let is_out = schedule.is_centre_out(self.now);
        let cold_reset = schedule.cold_reset.map(|since_start| Time(0) + since_start);
        let Some(centre) = self.config.data_centres.keys().next().cloned() else { return };
        let state = if is_out { DataCentreState::Out } else { DataCentreState::In };
        let before = self.config.data_centres.insert(centre.clone(), state);
        if before == Some(DataCentreState::Out) && !is_out {
            self.handle_centre_return(&centre);
        }
        if cold_reset.is_some_and(|at| (at..at + ROUND_INTERVAL).contains(&self.now)) {
            self.endpoints[1].engine.reset_to_cold();
        }
    }

    /// Treats the endpoints of a data centre that returned to service as cold.
    fn handle_centre_return(&mut self, centre: &DataCentre) {
        for endpoint in self.endpoints.iter_mut().filter(|e| e.data_centre == *centre) {
            endpoint.reset_to_cold(ColdSign::Returned);
        }
    }

    /// Ends a request with an outcome, which is counted.
    fn close_request(&mut self, request: usize, outcome: Outcome) {
        let arrival = &self.trace.arrivals[request];
        let within_rate = self.progress[request].close();
        self.score.record_outcome(arrival, within_rate, outcome);
    }

    /// Returns a request of the trace by its position.
    fn arrival(&self, request: usize) -> &Arrival {
        &self.trace.arrivals[request]
    }
}
