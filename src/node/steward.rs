//! The endpoints that this node stewards: queues, dispatch, orders and reports.

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
use super::{Node, drain::RunGuard, exchange::Responder};
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

/// The endpoints by name.
#[derive(Default)]
pub struct StewardedEndpoints {
    endpoints: Shards<EndpointId, StewardedEndpoint>,
    registry: registry::Registry,
    leaving: AtomicBool,
}

impl StewardedEndpoints {
    /// Returns whether this node gives its endpoints away and takes none.
    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}

/// One endpoint.
pub struct StewardedEndpoint {
    listed: ListedEndpoint,
    pool: PoolSpec,
    client: Arc<EndpointClient>,
    record: EndpointRecord,
    revision: i64,
    queue: Queue<QueuedRequest>,
    running: u32,
    warmup: Warmup,
    report: Option<Report>,
    dispatch: DispatchState,
    ledger: Ledger,
    /// Whether this node only stands in for a steward that ended.
    substitute: bool,
    /// Whether new work is taken.
    accepting: bool,
    /// Models of the requests that run, by request id.
    active: HashMap<String, Model>,
}

/// A request that waits for its endpoint.
pub struct QueuedRequest {
    work: Work,
    responder: Responder,
    /// Keeps a shutdown waiting.
    running: RunGuard,
}

impl StewardedEndpoint {
    /// Returns whether a request may be sent to the endpoint.
    fn can_serve(&self, work: &Work) -> bool {
        let resident =
            || self.ledger.dispatchable_models().any(|model| model.as_str() == work.model);
        self.is_serving() && (work.model.is_empty() || resident())
    }
}

/// Refuses what waits, so that the entry instances ask another steward at once.
fn refuse_queued(stewarded: &mut StewardedEndpoint) {
    flow::refuse_all(stewarded, Code::NotSteward);
}

/// Queues a request at its endpoint.
pub fn submit(node: &Arc<Node>, work: Work, responder: Responder) {
    let Some(running) = node.drain.enter_work() else {
        return refuse(responder, Refusal::not_run(Code::Draining).retry_after(RETRY_AFTER_MS));
    };
    node.record_crashes(work.fingerprint, &work.crashes);
    let endpoint = EndpointId::from(work.endpoint.as_str());
    let ticket = new_ticket(node, &work);
    let mut item = Some(QueuedRequest { work, responder, running });
    let queued = node.stewarded.endpoints.with(&endpoint, |stewarded| {
        if let Some(waiting) = item.take()
            && let Err(back) = stewarded.queue.push(ticket, waiting)
        {
            item = Some(back);
        }
    });
    let Some(waiting) = item else {
        return dispatch_queued(node, &endpoint);
    };
    let code = if queued.is_some() { Code::QueueFull } else { Code::NotSteward };
    refuse(waiting.responder, Refusal::not_run(code).retry_after(RETRY_AFTER_MS));
}

const RETRY_AFTER_MS: u64 = 200;

fn refuse(responder: Responder, refusal: Refusal) {
    tokio::spawn(async move { responder.end(End::from(&refusal)).await });
}

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

/// Starts as many waiting requests as the endpoint bears.
fn dispatch_queued(node: &Arc<Node>, endpoint: &EndpointId) {
    loop {
        let next =
            node.stewarded.endpoints.with(endpoint, |stewarded| next_dispatch(node, stewarded));
        match next {
            Some(Dispatch::Run(ticket, waiting, client)) => {
                tokio::spawn(run_work(node.clone(), endpoint.clone(), ticket, waiting, client));
            }
            Some(Dispatch::Continue) => {}
            Some(Dispatch::Idle) | None => return,
        }
    }
}

/// Time between two looks at queues that nothing else moves.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Looks at every queue again and again, since limits, the list and deadlines change by themselves.
pub async fn run_dispatch(node: Arc<Node>) {
    loop {
        for id in node.stewarded.endpoints.keys() {
            dispatch_queued(&node, &id);
        }
        tokio::time::sleep(DISPATCH_INTERVAL).await;
    }
}
