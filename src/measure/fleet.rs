//! Runs the kernel's decisions over a trace in virtual time.

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
    trace::ENTRIES,
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

/// Time between two rounds of digests and of the planner.
const ROUND: Duration = Duration::from_millis(250);

/// Endpoints of each engine pool, spread over the data centres.
const ENGINES: usize = 20;

/// Endpoints of each service pool, spread over the data centres.
const SERVICES: usize = 4;

/// A fleet in virtual time.
struct Fleet<'a> {
    config: Config,
    trace: &'a Trace,
    options: &'a Options,
    dispatch: &'static dyn DispatchPolicy,
    routing: &'static dyn RoutingPolicy,
    now: Time,
    events: Events,
    endpoints: Vec<Endpoint>,
    positions: HashMap<EndpointId, usize>,
    directory: Directory,
    demand: Vec<HashMap<Model, Averages>>,
    waiting: HashMap<Model, u32>,
    progress: Vec<Progress>,
    planner: PlannerState,
    quota: Quota,
    score: Score<'a>,
    digests: digest::Sent,
}

/// Runs one variant over a trace.
pub fn run(config: &Config, options: &Options, variant: &Variant, trace: &Trace) -> Row {
    let endpoints = endpoints(config);
    let engines = endpoints.iter().filter(|endpoint| endpoint.is_engine()).count();
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
        demand: vec![HashMap::new(); ENTRIES],
        waiting: HashMap::new(),
        progress: vec![Progress::default(); trace.arrivals.len()],
        planner: PlannerState::new(config, &variant.policy.placement),
        quota: Quota::new(config, variant.sharing),
        score: Score::new(config, options),
        digests: digest::Sent::new(),
        config: config.clone(),
    };
    fleet.run();
    fleet.score.row(variant.name, engines)
}

/// Returns the endpoints of all pools, spread evenly over the data centres.
fn endpoints(config: &Config) -> Vec<Endpoint> {
    let centres: Vec<&DataCentre> = config.data_centres.keys().collect();
    let mut endpoints = Vec::new();
    for (name, pool) in &config.pools {
        let count = if pool.kind == PoolKind::Engine { ENGINES } else { SERVICES };
        for i in 0..count {
            let centre = i % centres.len();
            // Two instances in each data centre steward its endpoints.
            let steward = (centre * 2 + i / centres.len() % 2) % ENTRIES;
            let id = format!("{name}-{i:02}");
            endpoints.push(Endpoint::new(&id, name, pool, centres[centre], steward));
        }
    }
    endpoints
}

impl Fleet<'_> {
    fn run(&mut self) {
        self.events.add(Time(0), Event::Round);
        if let Some(first) = self.trace.arrivals.first() {
            self.events.add(first.at, Event::Arrive(0));
        }
        while let Some((at, event)) = self.events.next() {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Admit(request) => self.admit(request),
            Event::Route(request) => self.route(request),
            Event::Finish { endpoint, request, incarnation } => {
                self.finish(endpoint, request, incarnation);
            }
            Event::Loaded { endpoint, model, incarnation } => {
                let endpoint = &mut self.endpoints[endpoint];
                if endpoint.engine.incarnation == incarnation {
                    endpoint.engine.loaded(&model);
                }
            }
            Event::Round => self.round(),
        }
    }

    fn arrive(&mut self, request: usize) {
        if let Some(next) = self.trace.arrivals.get(request + 1) {
            self.events.add(next.at, Event::Arrive(request + 1));
        }
        let arrival = &self.trace.arrivals[request];
        self.progress[request].within = self.score.is_within(arrival);
        self.quota.expect(arrival.entry, &arrival.team, arrival.tokens(), self.now);
        self.admit(request);
    }

    fn round(&mut self) {
        let since = self.now.since(Time(0));
        self.follow_schedule();
        self.quota.round(self.now);
        for position in 0..self.endpoints.len() {
            self.drop_expired(position);
            self.pump(position);
        }
        self.publish();
        self.plan();
        let open = self.progress.iter().any(|progress| progress.is_open());
        if since < self.options.schedule.end || open {
            self.events.add(self.now + ROUND, Event::Round);
        }
    }

    /// Takes the data centre out and back, and cools the engine, at their times.
    fn follow_schedule(&mut self) {
        let schedule = &self.options.schedule;
        let out = schedule.is_out(self.now);
        let cold = schedule.cold.map(|cold| Time(0) + cold);
        let Some(centre) = self.config.data_centres.keys().next().cloned() else { return };
        let state = if out { DataCentreState::Out } else { DataCentreState::In };
        let before = self.config.data_centres.insert(centre.clone(), state);
        if before == Some(DataCentreState::Out) && !out {
            self.return_centre(&centre);
        }
        if cold.is_some_and(|cold| (cold..cold + ROUND).contains(&self.now)) {
            self.endpoints[1].engine.cool();
        }
    }

    /// Limits the endpoints of a returned data centre as if they were cold.
    fn return_centre(&mut self, centre: &DataCentre) {
        for endpoint in self.endpoints.iter_mut().filter(|e| e.data_centre == *centre) {
            endpoint.fall_back(ColdSign::Returned);
        }
    }

    fn close(&mut self, request: usize, outcome: Outcome) {
        let arrival = &self.trace.arrivals[request];
        let within = self.progress[request].close();
        self.score.note(arrival, within, outcome);
    }

    fn arrival(&self, request: usize) -> &Arrival {
        &self.trace.arrivals[request]
    }
}
