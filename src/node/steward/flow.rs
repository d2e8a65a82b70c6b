//! Tracks the requests that run at one endpoint and decides which one starts next.

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

/// What a dispatch to one endpoint depends on, besides its queue and its warm-up.
#[derive(Default)]
pub struct DispatchState {
    /// Fingerprint of each running request, by request id.
    pub in_flight: HashMap<String, u64>,
    /// Fingerprints of requests whose responses were cut off, and when. A report that shows the
    /// crash may come later than the cut.
    pub recent_cuts: Vec<(u64, Time)>,
    /// Incarnation of the endpoint, or `None` before the first report and after a crash.
    pub incarnation: Option<u64>,
    /// Whether the endpoint crashed and no report was read since.
    pub crashed: bool,
    /// Whether a suspect runs, beside which no other request may start.
    pub exclusive: bool,
    /// A suspect that was taken from the queue and waits until no other request runs.
    waiting_suspect: Option<(Ticket, QueuedRequest)>,
    /// Whether operators took the endpoint's data centre out of service.
    out_of_service: bool,
}

/// The next step of dispatching at an endpoint.
pub enum Dispatch {
    /// Start this request.
    Run(Ticket, QueuedRequest, Arc<EndpointClient>),
    /// Call [`next_dispatch`] once more, since the chosen request was refused or its caller left.
    Continue,
    /// Start nothing until a request ends or arrives.
    Idle,
}

/// Decides what to start next at an endpoint, and refuses requests that cannot run.
pub fn next_dispatch(node: &Node, endpoint: &mut StewardedEndpoint) -> Dispatch {
    let now = Time::now();
    for expired in endpoint.queue.take_expired(now) {
        refuse(expired.responder, Refusal::not_run(Code::DeadlinePassed));
    }
    if !accepts_work(node, endpoint) {
        refuse_all(endpoint, Code::NoEndpoint);
        return Dispatch::Idle;
    }
    if !endpoint.warmup.may_start(endpoint.running) || node.authority() == Authority::Stop {
        return Dispatch::Idle;
    }
    let Some((ticket, request)) = pop_next(node, endpoint, now) else { return Dispatch::Idle };
    if request.responder.is_cancelled() {
        return Dispatch::Continue;
    }
    if let Err(refusal) = admit::check_still_admitted(node, &request.work) {
        refuse(request.responder, refusal);
        return Dispatch::Continue;
    }
    if ticket.deadline <= now {
        refuse(request.responder, Refusal::not_run(Code::DeadlinePassed));
        return Dispatch::Continue;
    }
    if !endpoint.can_serve(&request.work) {
        refuse(request.responder, Refusal::not_run(Code::NoEndpoint).retry_after(RETRY_AFTER_MS));
        return Dispatch::Continue;
    }
    let mode = node.suspects.lock().run_mode(request.work.fingerprint, now);
    match decide_start(mode, endpoint.running, endpoint.dispatch.exclusive) {
        StartDecision::Start => start(endpoint, mode, ticket, request),
        StartDecision::Wait => {
            endpoint.dispatch.waiting_suspect = Some((ticket, request));
            Dispatch::Idle
        }
        StartDecision::Refuse => {
            node.timeline.record(Event::SuspectRefused, &*request.work.request, "");
            refuse(request.responder, Refusal::not_run(Code::CrashSuspect));
            Dispatch::Continue
        }
    }
}

/// Removes and returns the request to start next: the waiting suspect, or else the one that the
/// dispatch policy chooses from the queue.
///
/// Returns `None` while a suspect runs.
fn pop_next(
    node: &Node,
    endpoint: &mut StewardedEndpoint,
    now: Time,
) -> Option<(Ticket, QueuedRequest)> {
    if endpoint.dispatch.exclusive {
        return None;
    }
    if let Some(waiting) = endpoint.dispatch.waiting_suspect.take() {
        return Some(waiting);
    }
    let name = node.config().map(|config| config.policy.dispatch.clone()).unwrap_or_default();
    endpoint.queue.pop(registry::dispatch(&name).unwrap_or(&Fifo), now)
}

/// Counts a request as running and returns the dispatch that starts it.
fn start(
    endpoint: &mut StewardedEndpoint,
    mode: RunMode,
    ticket: Ticket,
    request: QueuedRequest,
) -> Dispatch {
    endpoint.running += 1;
    endpoint.dispatch.exclusive = mode == RunMode::Alone;
    let entry = (request.work.request.clone(), request.work.fingerprint);
    endpoint.dispatch.in_flight.insert(entry.0, entry.1);
    let model = request.work.model.as_str().into();
    endpoint.running_models.insert(request.work.request.clone(), model);
    Dispatch::Run(ticket, request, endpoint.client.clone())
}

/// Counts a request as ended and returns whether it ran as a suspect, without others.
pub fn finish(endpoint: &mut StewardedEndpoint, request: &str) -> bool {
    endpoint.running = endpoint.running.saturating_sub(1);
    endpoint.dispatch.in_flight.remove(request);
    endpoint.running_models.remove(request);
    std::mem::take(&mut endpoint.dispatch.exclusive)
}

/// Refuses all queued requests with `code`, so that the entry instances try other replicas at once.
pub fn refuse_all(endpoint: &mut StewardedEndpoint, code: Code) {
    let waiting = endpoint.dispatch.waiting_suspect.take().map(|(_, request)| request);
    for request in endpoint.queue.take_expired(Time(u64::MAX)).into_iter().chain(waiting) {
        refuse(request.responder, Refusal::not_run(code).retry_after(RETRY_AFTER_MS));
    }
}

impl StewardedEndpoint {
    /// Returns whether the endpoint is announced to the entry instances.
    pub fn is_serving(&self) -> bool {
        self.accepting && !self.dispatch.crashed && self.listed.state == ListedState::Live
    }
}

/// Returns whether an endpoint is live and its data centre is in service.
///
/// Updates the endpoint's listed state, and returns it to cold when its data centre is put back into
/// service.
fn accepts_work(node: &Node, endpoint: &mut StewardedEndpoint) -> bool {
    let listed = node.list.load();
    let state = listed.endpoint(&endpoint.listed.id).map(|listed| listed.state);
    if let Some(state) = state {
        endpoint.listed.state = state;
    }
    let config = node.config();
    let centre_state =
        config.as_ref().and_then(|c| c.data_centres.get(&endpoint.listed.data_centre));
    let out = centre_state == Some(&DataCentreState::Out);
    if std::mem::replace(&mut endpoint.dispatch.out_of_service, out) && !out {
        reset_warmup(node, endpoint, ColdSign::Returned);
    }
    endpoint.listed.state == ListedState::Live && !out
}

/// Resets an endpoint's warm-up to cold and records the change in the time line.
pub fn reset_warmup(node: &Node, endpoint: &mut StewardedEndpoint, sign: ColdSign) {
    let change = endpoint.warmup.reset_to_cold(sign);
    record_warmup(node, endpoint, change);
}

/// Records a change of an endpoint's warm-up in the time line.
pub fn record_warmup(node: &Node, endpoint: &StewardedEndpoint, change: WarmupChange) {
    let subject = endpoint.listed.id.as_str();
    match change {
        WarmupChange::None => {}
        WarmupChange::Warm => node.timeline.record(Event::EndpointWarm, subject, ""),
        WarmupChange::Cold(sign) => {
            let detail = format!("sign={}", sign.as_str());
            node.timeline.record(Event::EndpointCold, subject, detail);
        }
    }
}
