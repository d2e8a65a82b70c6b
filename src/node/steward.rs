//! The endpoints of which this instance is the steward: their queues, dispatch, orders and reports.
//!
//! Entry instances send each request to the steward of the chosen endpoint. The steward queues
//! the request, starts it when the endpoint may run one more, and relays the response.

mod adapters;
mod crash;
mod digest;
mod duty;
mod flow;
mod orders;
mod registry;
mod reports;
mod run;
mod substitute;
mod write;

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

pub use self::{
    duty::{drop_superseded, hand_over, run},
    orders::handle_move,
    substitute::drop_substitutes,
};
use self::{
    flow::{Dispatch, DispatchState, next_dispatch},
    run::run_work,
};
use super::{Node, drain::DrainGuard, exchange::Responder};
use crate::{
    clock::Time,
    codes::{Code, Refusal},
    config::PoolSpec,
    endpoint::{EndpointClient, Report},
    kernel::{
        dispatch::{Queue, Ticket},
        ledger::{EndpointRecord, Ledger},
        warmup::Warmup,
    },
    names::{EndpointId, Model},
    platform::ListedEndpoint,
    shards::Shards,
    wire::{End, Work},
};

/// All endpoints of which this instance is the steward.
#[derive(Default)]
pub struct StewardedEndpoints {
    /// The endpoints by name.
    endpoints: Shards<EndpointId, StewardedEndpoint>,
    /// The leases and records of all instances, as last read.
    registry: registry::Registry,
    /// Whether the instance hands its endpoints over and takes no others, since it shuts down.
    leaving: AtomicBool,
}

impl StewardedEndpoints {
    /// Returns whether this instance is handing its endpoints over and takes no others.
    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}

/// The state of one endpoint at its steward.
pub struct StewardedEndpoint {
    /// The endpoint as the platform lists it.
    listed: ListedEndpoint,
    pool: PoolSpec,
    client: Arc<EndpointClient>,
    /// The record as this steward last wrote it.
    record: EndpointRecord,
    /// Revision of that write.
    revision: i64,
    /// Requests that wait for the endpoint.
    queue: Queue<QueuedRequest>,
    /// Number of requests that run at the endpoint.
    running: u32,
    warmup: Warmup,
    /// Latest report that the ledger did not reject as stale or uncertain.
    report: Option<Report>,
    dispatch: DispatchState,
    /// Memory of the endpoint and open orders.
    ledger: Ledger,
    /// Whether this instance only substitutes for a steward that ended.
    substitute: bool,
    /// Whether new requests are accepted.
    accepting: bool,
    /// Model of each running request, by request id.
    running_models: HashMap<String, Model>,
}

/// A request in the queue of its endpoint.
pub struct QueuedRequest {
    work: Work,
    responder: Responder,
    /// Makes a shutdown wait until the request has ended.
    guard: DrainGuard,
}

impl StewardedEndpoint {
    /// Returns whether the endpoint serves requests and has the request's model, if it names one.
    fn can_serve(&self, work: &Work) -> bool {
        let resident =
            || self.ledger.dispatchable_models().any(|model| model.as_str() == work.model);
        self.is_serving() && (work.model.is_empty() || resident())
    }
}

/// Refuses all queued requests, so that the entry instances try another steward at once.
fn refuse_queued(endpoint: &mut StewardedEndpoint) {
    flow::refuse_all(endpoint, Code::NotSteward);
}

/// Queues a request at its endpoint, or refuses it with an end on `responder`.
pub fn submit(node: &Arc<Node>, work: Work, responder: Responder) {
    let Some(guard) = node.drain.enter_work() else {
        return refuse(responder, Refusal::not_run(Code::Draining).retry_after(RETRY_AFTER_MS));
    };
    node.record_crashes(work.fingerprint, &work.crashes);
    let id = EndpointId::from(work.endpoint.as_str());
    let ticket = new_ticket(node, &work);
    let mut pending = Some(QueuedRequest { work, responder, guard });
    let queued = node.stewarded.endpoints.with(&id, |endpoint| {
        if let Some(request) = pending.take()
            && let Err(rejected) = endpoint.queue.push(ticket, request)
        {
            pending = Some(rejected);
        }
    });
    let Some(request) = pending else {
        return dispatch_queued(node, &id);
    };
    let code = if queued.is_some() { Code::QueueFull } else { Code::NotSteward };
    refuse(request.responder, Refusal::not_run(code).retry_after(RETRY_AFTER_MS));
}

/// Time after which a refused request may be retried, in milliseconds.
const RETRY_AFTER_MS: u64 = 200;

/// Ends the exchange with a refusal, in a task of its own.
fn refuse(responder: Responder, refusal: Refusal) {
    tokio::spawn(async move { responder.end(End::from(&refusal)).await });
}

/// Returns the ticket by which the queue orders a request.
fn new_ticket(node: &Node, work: &Work) -> Ticket {
    let now = Time::now();
    let arrived = now - Duration::from_millis(work.waited_ms);
    let deadline = now + Duration::from_millis(work.remaining_ms);
    let config = node.config();
    let target = config.as_ref().and_then(|c| c.classes.get(work.class.as_str()));
    let team = config.as_ref().and_then(|c| c.teams.get(work.team.as_str()));
    Ticket {
        team: work.team.as_str().into(),
        class: work.class.as_str().into(),
        arrived,
        due: target.map_or(deadline, |target| arrived + target.first_byte),
        deadline,
        background: target.is_some_and(|target| target.background),
        tokens: work.tokens,
        target_fraction: target.map_or(0.0, |target| target.target_fraction),
        rate: team.map_or(0, |team| team.rate),
    }
}

/// Starts queued requests until the endpoint may run no more.
fn dispatch_queued(node: &Arc<Node>, id: &EndpointId) {
    loop {
        let next = node.stewarded.endpoints.with(id, |endpoint| next_dispatch(node, endpoint));
        match next {
            Some(Dispatch::Run(ticket, request, client)) => {
                tokio::spawn(run_work(node.clone(), id.clone(), ticket, request, client));
            }
            Some(Dispatch::Continue) => {}
            Some(Dispatch::Idle) | None => return,
        }
    }
}

/// Time between two checks of every queue.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Dispatches from every queue at an interval.
///
/// Limits, the list and deadlines change without an event that would start a dispatch.
pub async fn run_dispatch(node: Arc<Node>) {
    loop {
        for id in node.stewarded.endpoints.keys() {
            dispatch_queued(&node, &id);
        }
        tokio::time::sleep(DISPATCH_INTERVAL).await;
    }
}
