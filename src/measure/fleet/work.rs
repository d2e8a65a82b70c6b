//! The way of a request: tokens, copy, queue and endpoint.

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

/// Longest time for which a request waits for its team's share.
const MAX_SHARE_WAIT: Duration = Duration::from_millis(1_000);

/// Time between two looks for a copy or for tokens.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Endpoints at which one request is started.
const MAX_ATTEMPTS: u32 = 3;

/// Time to the first byte and to the end of a plain service's answer.
const SERVICE_RESPONSE_TIME: Duration = Duration::from_millis(30);

/// How far a request has come.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Whether its team was within its rate when it arrived.
    pub within_rate: bool,
    arrived: bool,
    closed: bool,
    waiting: bool,
    attempts: u32,
    timing: Option<Timing>,
}

impl Progress {
    /// Returns whether it arrived and is not decided yet.
    pub fn is_open(&self) -> bool {
        self.arrived && !self.closed
    }

    /// Closes it and returns whether its team was within its rate.
    pub fn close(&mut self) -> bool {
        self.closed = true;
        self.within_rate
    }
}

impl Fleet<'_> {
    /// Takes a request's tokens, or waits for them for a short time.
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

    fn record_demand(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        if let Some(model) = &arrival.model {
            let demand = &mut self.demand[arrival.entry];
            demand.entry(model.clone()).or_default().record(arrival.tokens(), self.now);
        }
    }

    /// Chooses a copy and queues the request there.
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

    fn choose_endpoint(&self, request: usize) -> Option<usize> {
        let arrival = self.arrival(request);
        let copies = match &arrival.model {
            Some(model) => self.directory.replicas(model),
            None => self.directory.pool(self.service_pool(arrival)?),
        };
        let usable = |copy: &&Arc<Replica>| self.config.is_in_service(&copy.data_centre);
        let copies: Vec<&Replica> = copies.iter().filter(usable).map(AsRef::as_ref).collect();
        if copies.is_empty() {
            return None;
        }
        let wish = RoutingInput {
            prefix: arrival.prefix_hash,
            adapter: arrival.adapter.clone(),
            draw: arrival.random,
            turn: request as u64,
        };
        let chosen = copies[self.routing.choose(&copies, &wish)];
        self.positions.get(&chosen.endpoint).copied()
    }

    fn service_pool(&self, arrival: &Arrival) -> Option<&crate::names::Pool> {
        let mut services = self.config.services.values();
        let has_class = |service: &&crate::config::ServiceSpec| {
            service.routes.iter().any(|route| route.class == arrival.class)
        };
        services.find(has_class).map(|service| &service.pool)
    }

    fn set_waiting(&mut self, request: usize, waiting: bool) {
        let Some(model) = &self.trace.arrivals[request].model else { return };
        let before = std::mem::replace(&mut self.progress[request].waiting, waiting);
        let count = self.waiting.entry(model.clone()).or_default();
        match (before, waiting) {
            (false, true) => *count += 1,
            (true, false) => *count -= 1,
            _ => {}
        }
    }

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

    /// Refuses what waited until its deadline.
    pub fn refuse_expired(&mut self, position: usize) {
        for request in self.endpoints[position].queue.take_expired(self.now) {
            self.close_request(request, Outcome::Refused);
        }
    }

    /// Starts as many waiting requests as an endpoint bears.
    pub fn start_queued(&mut self, position: usize) {
        while self.endpoints[position].may_start(self.now) {
            let next = self.endpoints[position].queue.pop(self.dispatch, self.now);
            let Some((_, request)) = next else { return };
            self.start_request(position, request);
        }
    }

    fn start_request(&mut self, position: usize, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let endpoint = &mut self.endpoints[position];
        if let Some(model) = &arrival.model
            && !endpoint.engine.resident_models().any(|known| known == model)
        {
            // The steward refuses without sending; the entry looks for another copy.
            return self.events.add(self.now + RETRY_INTERVAL, Event::Route(request));
        }
        let spec = arrival.model.as_ref().map(|model| &self.config.models[model]);
        endpoint.running.insert(request, self.now);
        let incarnation = endpoint.engine.incarnation;
        match endpoint.engine.start_request(arrival, spec, self.now) {
            StartOutcome::Running(pace) => {
                let pace = if spec.is_none() { service_timing() } else { pace };
                endpoint.record_first_byte(pace.first_token);
                self.progress[request].timing = Some(pace);
                let event = Event::Finish { endpoint: position, request, incarnation };
                self.events.add(self.now + pace.total, event);
            }
            StartOutcome::Crashed => self.handle_crash(position),
        }
    }

    /// Sends the requests of a crashed endpoint to other copies.
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

    /// Ends a request at its endpoint.
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
        let pace = self.progress[request].timing;
        let attained = pace.is_some_and(|pace| meets_target(target, arrival, started, pace));
        self.close_request(request, if attained { Outcome::Attained } else { Outcome::Late });
        self.start_queued(position);
    }
}

fn service_timing() -> Timing {
    Timing {
        first_token: SERVICE_RESPONSE_TIME,
        token_gap: Duration::ZERO,
        total: SERVICE_RESPONSE_TIME,
    }
}

fn meets_target(target: &ClassTarget, arrival: &Arrival, started: Time, pace: Timing) -> bool {
    let first = (started + pace.first_token).since(arrival.at);
    let total = (started + pace.total).since(arrival.at);
    let gap = target.token_gap.is_none_or(|gap| pace.token_gap <= gap);
    gap && total <= target.deadline && (target.background || first <= target.first_byte)
}
