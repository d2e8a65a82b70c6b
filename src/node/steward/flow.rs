//! What runs at one endpoint, and what may start there next.

use std::{collections::HashMap, sync::Arc};

use super::{RETRY_MS, Stewarded, Waiting, refuse};
use crate::{
    clock::Time,
    codes::{Code, Refusal},
    config::DataCentreState,
    endpoint::EndpointClient,
    events::Event,
    kernel::{
        dispatch::{Fifo, Ticket},
        registry,
        stewardship::Authority,
        suspect::{RunMode, StartDecision, decide_start},
        warmup::{ColdSign, WarmupChange},
    },
    node::{Node, admit},
    platform::ListedState,
};

/// The requests in flight at one endpoint.
#[derive(Default)]
pub struct Flow {
    /// Fingerprints in flight by request id.
    pub flights: HashMap<String, u64>,
    /// Fingerprints whose answers were cut lately, while a lagging report may yet show a crash.
    pub cuts: Vec<(u64, Time)>,
    /// Incarnation of the endpoint, or `None` before a report and after a crash.
    pub incarnation: Option<u64>,
    /// Whether the endpoint crashed and has given no report since.
    pub down: bool,
    /// Whether a suspect runs, which must run alone.
    pub alone: bool,
    /// A suspect that waits until nothing else runs.
    held: Option<(Ticket, Waiting)>,
    /// Whether operators took the data centre out.
    out: bool,
}

/// What to do next at an endpoint.
pub enum Next {
    /// Run this request.
    Run(Ticket, Waiting, Arc<EndpointClient>),
    /// Look again; the request at the front was refused.
    Again,
    /// Nothing until something ends or comes.
    Nothing,
}

/// Decides what an endpoint does next.
pub fn next(node: &Node, stewarded: &mut Stewarded) -> Next {
    let now = Time::now();
    for late in stewarded.queue.take_expired(now) {
        refuse(late.responder, Refusal::not_run(Code::DeadlinePassed));
    }
    if !takes_work(node, stewarded) {
        refuse_waiting(stewarded, Code::NoEndpoint);
        return Next::Nothing;
    }
    if !stewarded.warmth.may_start(stewarded.running) || node.duty() == Authority::Stop {
        return Next::Nothing;
    }
    let Some((ticket, waiting)) = front(node, stewarded, now) else { return Next::Nothing };
    if waiting.responder.is_gone() {
        return Next::Again;
    }
    if let Err(refusal) = admit::still_allowed(node, &waiting.work) {
        refuse(waiting.responder, refusal);
        return Next::Again;
    }
    if ticket.deadline <= now {
        refuse(waiting.responder, Refusal::not_run(Code::DeadlinePassed));
        return Next::Again;
    }
    if !stewarded.admits(&waiting.work) {
        refuse(waiting.responder, Refusal::not_run(Code::NoEndpoint).retry_after(RETRY_MS));
        return Next::Again;
    }
    let verdict = node.suspects.lock().run_mode(waiting.work.fingerprint, now);
    match decide_start(verdict, stewarded.running, stewarded.flow.alone) {
        StartDecision::Start => start(stewarded, verdict, ticket, waiting),
        StartDecision::Wait => {
            stewarded.flow.held = Some((ticket, waiting));
            Next::Nothing
        }
        StartDecision::Refuse => {
            node.timeline.record(Event::SuspectRefused, &*waiting.work.request, "");
            refuse(waiting.responder, Refusal::not_run(Code::CrashSuspect));
            Next::Again
        }
    }
}

/// Takes the request that is to start next; one that was held goes first.
fn front(node: &Node, stewarded: &mut Stewarded, now: Time) -> Option<(Ticket, Waiting)> {
    if stewarded.flow.alone {
        return None;
    }
    if let Some(held) = stewarded.flow.held.take() {
        return Some(held);
    }
    let name = node.config().map(|config| config.policy.dispatch.clone()).unwrap_or_default();
    stewarded.queue.pop(registry::dispatch(&name).unwrap_or(&Fifo), now)
}

fn start(stewarded: &mut Stewarded, verdict: RunMode, ticket: Ticket, waiting: Waiting) -> Next {
    stewarded.running += 1;
    stewarded.flow.alone = verdict == RunMode::Alone;
    let flight = (waiting.work.request.clone(), waiting.work.fingerprint);
    stewarded.flow.flights.insert(flight.0, flight.1);
    let model = waiting.work.model.as_str().into();
    stewarded.active.insert(waiting.work.request.clone(), model);
    Next::Run(ticket, waiting, stewarded.client.clone())
}

/// Notes that a request ended and returns whether it ran alone.
pub fn finish(stewarded: &mut Stewarded, request: &str) -> bool {
    stewarded.running = stewarded.running.saturating_sub(1);
    stewarded.flow.flights.remove(request);
    stewarded.active.remove(request);
    std::mem::take(&mut stewarded.flow.alone)
}

/// Refuses what waits, so that the entry instances try other copies at once.
pub fn refuse_waiting(stewarded: &mut Stewarded, code: Code) {
    let held = stewarded.flow.held.take().map(|(_, waiting)| waiting);
    for waiting in stewarded.queue.take_expired(Time(u64::MAX)).into_iter().chain(held) {
        refuse(waiting.responder, Refusal::not_run(code).retry_after(RETRY_MS));
    }
}

impl Stewarded {
    /// Returns whether the endpoint is to be known to the entry instances.
    pub fn serves(&self) -> bool {
        self.accepting && !self.flow.down && self.listed.state == ListedState::Live
    }
}

/// Returns whether an endpoint takes new work: it is not leaving and its data centre is in service.
fn takes_work(node: &Node, stewarded: &mut Stewarded) -> bool {
    let listed = node.list.load();
    let state = listed.endpoint(&stewarded.listed.id).map(|listed| listed.state);
    if let Some(state) = state {
        stewarded.listed.state = state;
    }
    let config = node.config();
    let place = config.as_ref().and_then(|c| c.data_centres.get(&stewarded.listed.data_centre));
    let out = place == Some(&DataCentreState::Out);
    if std::mem::replace(&mut stewarded.flow.out, out) && !out {
        note(node, stewarded, ColdSign::Returned);
    }
    stewarded.listed.state == ListedState::Live && !out
}

/// Returns an endpoint to cold and records the change.
pub fn note(node: &Node, stewarded: &mut Stewarded, sign: ColdSign) {
    let change = stewarded.warmth.reset_to_cold(sign);
    record(node, stewarded, change);
}

/// Records a change of an endpoint's warmth.
pub fn record(node: &Node, stewarded: &Stewarded, change: WarmupChange) {
    let subject = stewarded.listed.id.as_str();
    match change {
        WarmupChange::None => {}
        WarmupChange::Warm => node.timeline.record(Event::EndpointWarm, subject, ""),
        WarmupChange::Cold(sign) => {
            let detail = format!("sign={}", sign.as_str());
            node.timeline.record(Event::EndpointCold, subject, detail);
        }
    }
}
