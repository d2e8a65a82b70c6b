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
        engine::{Pace, Started},
        score::Outcome,
    },
};

/// Longest time for which a request waits for its team's share.
const SHARE_WAIT: Duration = Duration::from_millis(1_000);

/// Time between two looks for a copy or for tokens.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Endpoints at which one request is started.
const MAX_STARTS: u32 = 3;

/// Time to the first byte and to the end of a plain service's answer.
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// How far a request has come.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Whether its team was within its rate when it arrived.
    pub within: bool,
    arrived: bool,
    closed: bool,
    waiting: bool,
    starts: u32,
    pace: Option<Pace>,
}

impl Progress {
    /// Returns whether it arrived and is not decided yet.
    pub fn is_open(&self) -> bool {
        self.arrived && !self.closed
    }

    /// Closes it and returns whether its team was within its rate.
    pub fn close(&mut self) -> bool {
        self.closed = true;
        self.within
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
                self.count_demand(request);
                self.route(request);
            }
            ChargeOutcome::Insufficient(_) if self.now.since(arrival.at) < SHARE_WAIT => {
                self.events.add(self.now + LOOK_PERIOD, Event::Admit(request));
            }
            ChargeOutcome::Insufficient(_) | ChargeOutcome::TooLarge => {
                self.close(request, Outcome::OverRate)
            }
        }
    }

    fn count_demand(&mut self, request: usize) {
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
            return self.close(request, Outcome::Refused);
        }
        let Some(position) = self.choose(request) else {
            self.set_waiting(request, true);
            return self.events.add(self.now + LOOK_PERIOD, Event::Route(request));
        };
        self.set_waiting(request, false);
        let ticket = self.ticket(request);
        match self.endpoints[position].queue.push(ticket, request) {
            Ok(()) => self.pump(position),
            Err(_) => self.close(request, Outcome::Refused),
        }
    }

    fn choose(&self, request: usize) -> Option<usize> {
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
            prefix: arrival.prefix,
            adapter: arrival.adapter.clone(),
            draw: arrival.draw,
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
    pub fn drop_expired(&mut self, position: usize) {
        for request in self.endpoints[position].queue.take_expired(self.now) {
            self.close(request, Outcome::Refused);
        }
    }

    /// Starts as many waiting requests as an endpoint bears.
    pub fn pump(&mut self, position: usize) {
        while self.endpoints[position].bears(self.now) {
            let next = self.endpoints[position].queue.pop(self.dispatch, self.now);
            let Some((_, request)) = next else { return };
            self.start(position, request);
        }
    }

    fn start(&mut self, position: usize, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let endpoint = &mut self.endpoints[position];
        if let Some(model) = &arrival.model
            && !endpoint.engine.models().any(|known| known == model)
        {
            // The steward refuses without sending; the entry looks for another copy.
            return self.events.add(self.now + LOOK_PERIOD, Event::Route(request));
        }
        let spec = arrival.model.as_ref().map(|model| &self.config.models[model]);
        endpoint.running.insert(request, self.now);
        let incarnation = endpoint.engine.incarnation;
        match endpoint.engine.start(arrival, spec, self.now) {
            Started::Running(pace) => {
                let pace = if spec.is_none() { service_pace() } else { pace };
                endpoint.first_byte(pace.first);
                self.progress[request].pace = Some(pace);
                let event = Event::Finish { endpoint: position, request, incarnation };
                self.events.add(self.now + pace.total, event);
            }
            Started::Crashed => self.crash(position),
        }
    }

    /// Sends the requests of a crashed endpoint to other copies.
    fn crash(&mut self, position: usize) {
        self.endpoints[position].fall_back(ColdSign::Cut);
        let lost = std::mem::take(&mut self.endpoints[position].running);
        for request in lost.into_keys() {
            self.progress[request].starts += 1;
            if self.progress[request].starts >= MAX_STARTS {
                self.close(request, Outcome::Failed);
            } else {
                self.events.add(self.now + LOOK_PERIOD, Event::Route(request));
            }
        }
    }

    /// Ends a request at its endpoint.
    pub fn finish(&mut self, position: usize, request: usize, incarnation: u64) {
        let endpoint = &mut self.endpoints[position];
        if endpoint.engine.incarnation != incarnation {
            return;
        }
        let Some(started) = endpoint.running.remove(&request) else { return };
        endpoint.engine.finish();
        endpoint.complete(self.now);
        let arrival = &self.trace.arrivals[request];
        let target = &self.config.classes[&arrival.class];
        let pace = self.progress[request].pace;
        let attained = pace.is_some_and(|pace| meets(target, arrival, started, pace));
        self.close(request, if attained { Outcome::Attained } else { Outcome::Late });
        self.pump(position);
    }
}

fn service_pace() -> Pace {
    Pace { first: SERVICE_TIME, gap: Duration::ZERO, total: SERVICE_TIME }
}

fn meets(target: &ClassTarget, arrival: &Arrival, started: Time, pace: Pace) -> bool {
    let first = (started + pace.first).since(arrival.at);
    let total = (started + pace.total).since(arrival.at);
    let gap = target.token_gap.is_none_or(|gap| pace.gap <= gap);
    gap && total <= target.deadline && (target.background || first <= target.first_byte)
}
