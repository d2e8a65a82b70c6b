//! What runs at one endpoint, and what may start there next.

use std::{collections::HashMap, sync::Arc};

use super::{QueuedRequest, RETRY_AFTER_MS, StewardedEndpoint, refuse};
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
pub struct DispatchState {
    /// Fingerprints in flight by request id.
    pub in_flight: HashMap<String, u64>,
    /// Fingerprints whose answers were cut lately, while a lagging report may yet show a crash.
    pub recent_cuts: Vec<(u64, Time)>,
    /// Incarnation of the endpoint, or `None` before a report and after a crash.
    pub incarnation: Option<u64>,
    /// Whether the endpoint crashed and has given no report since.
    pub crashed: bool,
    /// Whether a suspect runs, which must run alone.
    pub exclusive: bool,
    /// A suspect that waits until nothing else runs.
    held_suspect: Option<(Ticket, QueuedRequest)>,
    /// Whether operators took the data centre out.
    out_of_service: bool,
}

/// What to do next at an endpoint.
pub enum Dispatch {
    /// Run this request.
    Run(Ticket, QueuedRequest, Arc<EndpointClient>),
    /// Look again; the request at the front was refused.
    Continue,
    /// Nothing until something ends or comes.
    Idle,
}

/// Decides what an endpoint does next.
pub fn next_dispatch(node: &Node, stewarded: &mut StewardedEndpoint) -> Dispatch {
    let now = Time::now();
    for late in stewarded.queue.take_expired(now) {
        refuse(late.responder, Refusal::not_run(Code::DeadlinePassed));
    }
    if !accepts_work(node, stewarded) {
        refuse_all(stewarded, Code::NoEndpoint);
        return Dispatch::Idle;
    }
    if !stewarded.warmup.may_start(stewarded.running) || node.authority() == Authority::Stop {
        return Dispatch::Idle;
    }
    let Some((ticket, waiting)) = pop_next(node, stewarded, now) else { return Dispatch::Idle };
    if waiting.responder.is_cancelled() {
        return Dispatch::Continue;
    }
    if let Err(refusal) = admit::check_still_admitted(node, &waiting.work) {
        refuse(waiting.responder, refusal);
        return Dispatch::Continue;
    }
    if ticket.deadline <= now {
        refuse(waiting.responder, Refusal::not_run(Code::DeadlinePassed));
        return Dispatch::Continue;
    }
    if !stewarded.can_serve(&waiting.work) {
        refuse(waiting.responder, Refusal::not_run(Code::NoEndpoint).retry_after(RETRY_AFTER_MS));
        return Dispatch::Continue;
    }
    let verdict = node.suspects.lock().run_mode(waiting.work.fingerprint, now);
    match decide_start(verdict, stewarded.running, stewarded.dispatch.exclusive) {
        StartDecision::Start => start(stewarded, verdict, ticket, waiting),
        StartDecision::Wait => {
            stewarded.dispatch.held_suspect = Some((ticket, waiting));
            Dispatch::Idle
        }
        StartDecision::Refuse => {
            node.timeline.record(Event::SuspectRefused, &*waiting.work.request, "");
            refuse(waiting.responder, Refusal::not_run(Code::CrashSuspect));
            Dispatch::Continue
        }
    }
}

/// Takes the request that is to start next; one that was held goes first.
fn pop_next(
    node: &Node,
    stewarded: &mut StewardedEndpoint,
    now: Time,
) -> Option<(Ticket, QueuedRequest)> {
    if stewarded.dispatch.exclusive {
        return None;
    }
    if let Some(held) = stewarded.dispatch.held_suspect.take() {
        return Some(held);
    }
    let name = node.config().map(|config| config.policy.dispatch.clone()).unwrap_or_default();
    stewarded.queue.pop(registry::dispatch(&name).unwrap_or(&Fifo), now)
}

fn start(
    stewarded: &mut StewardedEndpoint,
    verdict: RunMode,
    ticket: Ticket,
    waiting: QueuedRequest,
) -> Dispatch {
    stewarded.running += 1;
    stewarded.dispatch.exclusive = verdict == RunMode::Alone;
    let flight = (waiting.work.request.clone(), waiting.work.fingerprint);
    stewarded.dispatch.in_flight.insert(flight.0, flight.1);
    let model = waiting.work.model.as_str().into();
    stewarded.active.insert(waiting.work.request.clone(), model);
    Dispatch::Run(ticket, waiting, stewarded.client.clone())
}

/// Notes that a request ended and returns whether it ran alone.
pub fn finish(stewarded: &mut StewardedEndpoint, request: &str) -> bool {
    stewarded.running = stewarded.running.saturating_sub(1);
    stewarded.dispatch.in_flight.remove(request);
    stewarded.active.remove(request);
    std::mem::take(&mut stewarded.dispatch.exclusive)
}

/// Refuses what waits, so that the entry instances try other copies at once.
pub fn refuse_all(stewarded: &mut StewardedEndpoint, code: Code) {
    let held = stewarded.dispatch.held_suspect.take().map(|(_, waiting)| waiting);
    for waiting in stewarded.queue.take_expired(Time(u64::MAX)).into_iter().chain(held) {
        refuse(waiting.responder, Refusal::not_run(code).retry_after(RETRY_AFTER_MS));
    }
}

impl StewardedEndpoint {
    /// Returns whether the endpoint is to be known to the entry instances.
    pub fn is_serving(&self) -> bool {
        self.accepting && !self.dispatch.crashed && self.listed.state == ListedState::Live
    }
}

/// Returns whether an endpoint takes new work: it is not leaving and its data centre is in service.
fn accepts_work(node: &Node, stewarded: &mut StewardedEndpoint) -> bool {
    let listed = node.list.load();
    let state = listed.endpoint(&stewarded.listed.id).map(|listed| listed.state);
    if let Some(state) = state {
        stewarded.listed.state = state;
    }
    let config = node.config();
    let place = config.as_ref().and_then(|c| c.data_centres.get(&stewarded.listed.data_centre));
    let out = place == Some(&DataCentreState::Out);
    if std::mem::replace(&mut stewarded.dispatch.out_of_service, out) && !out {
        reset_warmup(node, stewarded, ColdSign::Returned);
    }
    stewarded.listed.state == ListedState::Live && !out
}

/// Returns an endpoint to cold and records the change.
pub fn reset_warmup(node: &Node, stewarded: &mut StewardedEndpoint, sign: ColdSign) {
    let change = stewarded.warmup.reset_to_cold(sign);
    record_warmup(node, stewarded, change);
}

/// Records a change of an endpoint's warmth.
pub fn record_warmup(node: &Node, stewarded: &StewardedEndpoint, change: WarmupChange) {
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
