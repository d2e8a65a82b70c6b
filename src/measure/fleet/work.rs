//! The path of a request: admission, routing to a replica, the endpoint's queue and the endpoint.

use std::{sync::Arc, time::Duration};

use super::{Fleet, events::Event};
use crate::{
    clock::Time,
    config::ClassTarget,
    kernel::{
        dispatch::Ticket,
        routing::{Replica, RoutingInput},
        shares::ChargeOutcome,
        warmup::ColdSign,
    },
    measure::{
        Arrival,
        engine::{StartOutcome, Timing},
        score::Outcome,
    },
};

/// Longest time for which a request waits for tokens of its team's share.
const MAX_SHARE_WAIT: Duration = Duration::from_millis(1_000);

/// Time between two attempts to get tokens or to find a replica.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Largest number of attempts to run a request.
const MAX_ATTEMPTS: u32 = 3;

/// Response time of a plain service, to the first byte as well as to the end.
const SERVICE_RESPONSE_TIME: Duration = Duration::from_millis(30);

/// The progress of a request.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Whether the team was within its rate when the request arrived.
    pub within_rate: bool,
    /// Whether the request has arrived.
    arrived: bool,
    /// Whether the request has an outcome.
    closed: bool,
    /// Whether the request waits for a replica of its model.
    waiting: bool,
    /// Number of attempts that ended with a crash of the endpoint.
    attempts: u32,
    /// Times of the last attempt, once it has started.
    timing: Option<Timing>,
}

impl Progress {
    /// Returns whether the request has arrived and has no outcome yet.
    pub fn is_open(&self) -> bool {
        self.arrived && !self.closed
    }

    /// Closes the request and returns whether its team was within its rate.
    pub fn close(&mut self) -> bool {
        self.closed = true;
        self.within_rate
    }
}

impl Fleet<'_> {
    /// Charges a request to its team's share and routes it, or retries for a short time if the
    /// share holds too few tokens.
    pub fn admit(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        self.progress[request].arrived = true;
        let tokens = arrival.tokens();
        match self.quota.charge(arrival.entry, &arrival.team, tokens, self.now) {
            ChargeOutcome::Taken => {
                self.record_demand(request);
                self.route(request);
            }
            ChargeOutcome::Insufficient(_) if self.now.since(arrival.at) < MAX_SHARE_WAIT => {
                self.events.add(self.now + RETRY_INTERVAL, Event::Admit(request));
            }
            ChargeOutcome::Insufficient(_) | ChargeOutcome::TooLarge => {
                self.close_request(request, Outcome::OverRate)
            }
        }
    }

    /// Adds an admitted request to the demand of its model.
    fn record_demand(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        if let Some(model) = &arrival.model {
            let demand = &mut self.demand[arrival.entry];
            demand.entry(model.clone()).or_default().record(arrival.tokens(), self.now);
        }
    }

    /// Chooses a replica and queues the request at its endpoint, or retries later if there is none.
    pub fn route(&mut self, request: usize) {
        let target = &self.config.classes[&self.arrival(request).class];
        if self.now.since(self.arrival(request).at) >= target.deadline {
            self.set_waiting(request, false);
            return self.close_request(request, Outcome::Refused);
        }
        let Some(position) = self.choose_endpoint(request) else {
            self.set_waiting(request, true);
            return self.events.add(self.now + RETRY_INTERVAL, Event::Route(request));
        };
        self.set_waiting(request, false);
        let ticket = self.ticket(request);
        match self.endpoints[position].queue.push(ticket, request) {
            Ok(()) => self.start_queued(position),
            Err(_) => self.close_request(request, Outcome::Refused),
        }
    }

    /// Returns the position of the endpoint that the routing policy chooses, or `None` if no
    /// endpoint is usable.
    fn choose_endpoint(&self, request: usize) -> Option<usize> {
        let arrival = self.arrival(request);
        let replicas = match &arrival.model {
            Some(model) => self.directory.replicas(model),
            None => self.directory.pool(self.service_pool(arrival)?),
        };
        let is_usable = |replica: &&Arc<Replica>| self.config.is_in_service(&replica.data_centre);
        let replicas: Vec<&Replica> =
            replicas.iter().filter(is_usable).map(AsRef::as_ref).collect();
        if replicas.is_empty() {
            return None;
        }
        let input = RoutingInput {
            prefix: arrival.prefix_hash,
            adapter: arrival.adapter.clone(),
            draw: arrival.random,
            turn: request as u64,
        };
        let chosen = replicas[self.routing.choose(&replicas, &input)];
        self.positions.get(&chosen.endpoint).copied()
    }

    /// Returns the pool of the plain service to which a request goes.
    fn service_pool(&self, arrival: &Arrival) -> Option<&crate::names::Pool> {
        let mut services = self.config.services.values();
        let has_class = |service: &&crate::config::ServiceSpec| {
            service.routes.iter().any(|route| route.class == arrival.class)
        };
        services.find(has_class).map(|service| &service.pool)
    }

    /// Sets whether a request waits for a replica, and counts it for its model.
    fn set_waiting(&mut self, request: usize, waiting: bool) {
        let Some(model) = &self.trace.arrivals[request].model else { return };
        let was_waiting = std::mem::replace(&mut self.progress[request].waiting, waiting);
        let count = self.waiting.entry(model.clone()).or_default();
        match (was_waiting, waiting) {
            (false, true) => *count += 1,
            (true, false) => *count -= 1,
            _ => {}
        }
    }

    /// Returns the properties of a request by which the dispatch policy orders the queue.
    fn ticket(&self, request: usize) -> Ticket {
        let arrival = self.arrival(request);
        let target = &self.config.classes[&arrival.class];
        Ticket {
            team: arrival.team.clone(),
            class: arrival.class.clone(),
            arrived: arrival.at,
            due: arrival.at + target.first_byte,
            deadline: arrival.at + target.deadline,
            background: target.background,
            tokens: arrival.tokens(),
            target_fraction: target.target_fraction,
            rate: self.config.teams[&arrival.team].rate,
        }
    }

    /// Refuses the requests that have waited at an endpoint until their deadline.
    pub fn refuse_expired(&mut self, position: usize) {
        for request in self.endpoints[position].queue.take_expired(self.now) {
            self.close_request(request, Outcome::Refused);
        }
    }

    /// Starts as many waiting requests as an endpoint may run.
    pub fn start_queued(&mut self, position: usize) {
        while self.endpoints[position].may_start(self.now) {
            let next = self.endpoints[position].queue.pop(self.dispatch, self.now);
            let Some((_, request)) = next else { return };
            self.start_request(position, request);
        }
    }

    /// Starts a request on an endpoint.
    fn start_request(&mut self, position: usize, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let endpoint = &mut self.endpoints[position];
        if let Some(model) = &arrival.model
            && !endpoint.engine.resident_models().any(|known| known == model)
        {
            // The steward refuses the request without sending it, and the entry instance looks for
            // another replica.
            return self.events.add(self.now + RETRY_INTERVAL, Event::Route(request));
        }
        let spec = arrival.model.as_ref().map(|model| &self.config.models[model]);
        endpoint.running.insert(request, self.now);
        let incarnation = endpoint.engine.incarnation;
        match endpoint.engine.start_request(arrival, spec, self.now) {
            StartOutcome::Running(timing) => {
                let timing = if spec.is_none() { service_timing() } else { timing };
                endpoint.record_first_byte(timing.first_token);
                self.progress[request].timing = Some(timing);
                let event = Event::Finish { endpoint: position, request, incarnation };
                self.events.add(self.now + timing.total, event);
            }
            StartOutcome::Crashed => self.handle_crash(position),
        }
    }

    /// Treats a crashed endpoint as cold, and routes its requests to other replicas as long as they
    /// have attempts left.
    fn handle_crash(&mut self, position: usize) {
        self.endpoints[position].reset_to_cold(ColdSign::Cut);
        let lost = std::mem::take(&mut self.endpoints[position].running);
        for request in lost.into_keys() {
            self.progress[request].attempts += 1;
            if self.progress[request].attempts >= MAX_ATTEMPTS {
                self.close_request(request, Outcome::Failed);
            } else {
                self.events.add(self.now + RETRY_INTERVAL, Event::Route(request));
            }
        }
    }

    /// Ends a request at its endpoint, unless the engine has crashed since it started, and starts
    /// waiting ones.
    pub fn finish_request(&mut self, position: usize, request: usize, incarnation: u64) {
        let endpoint = &mut self.endpoints[position];
        if endpoint.engine.incarnation != incarnation {
            return;
        }
        let Some(started) = endpoint.running.remove(&request) else { return };
        endpoint.engine.finish_request();
        endpoint.record_completion(self.now);
        let arrival = &self.trace.arrivals[request];
        let target = &self.config.classes[&arrival.class];
        let timing = self.progress[request].timing;
        let attained = timing.is_some_and(|timing| meets_target(target, arrival, started, timing));
        self.close_request(request, if attained { Outcome::Attained } else { Outcome::Late });
        self.start_queued(position);
    }
}

/// Returns the times of a request to a plain service.
fn service_timing() -> Timing {
    Timing {
        first_token: SERVICE_RESPONSE_TIME,
        token_gap: Duration::ZERO,
        total: SERVICE_RESPONSE_TIME,
    }
}

/// Returns whether a request that started at `started` with these times meets its class's target.
fn meets_target(target: &ClassTarget, arrival: &Arrival, started: Time, timing: Timing) -> bool {
    let first_byte = (started + timing.first_token).since(arrival.at);
    let total = (started + timing.total).since(arrival.at);
    let gap_met = target.token_gap.is_none_or(|gap| timing.token_gap <= gap);
    gap_met && total <= target.deadline && (target.background || first_byte <= target.first_byte)
}
