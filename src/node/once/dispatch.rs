//! Sends a claimed request to an endpoint and keeps its answer.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use super::{answers::StoredResponse, respond_to_all};
use crate::{
    codes::{Code, Refusal, RunStatus},
    events::Event,
    kernel::once::{ClaimId, DispatchOutcome},
    node::{Node, chat::collect_response, services::choose_replica},
    wire::{Body, Chunk, Head, PeerRequestBody, Work},
};

/// Endpoints that are tried while each is certain not to have received the request.
const MAX_ATTEMPTS: usize = 3;

/// Dispatches a request, takes in how it ended and answers everybody who waits.
pub async fn dispatch(node: Arc<Node>, index: u32, id: ClaimId, work: Work) {
    let _running = node.drain.enter_claim();
    let request = work.request.clone();
    let limit = Duration::from_millis(work.remaining_ms);
    let result = timeout(limit, send_with_retries(&node, work)).await;
    let result = result.unwrap_or(Err(Refusal::unknown(Code::OutcomeUnknown))).map(Arc::new);
    let waiters = record_result(&node, index, id, &result);
    if result.as_ref().is_err_and(|refusal| refusal.run == RunStatus::NotRun) {
        node.timeline.record(Event::ClaimReleased, request, format!("bucket={index}"));
        node.once.write_due.notify_one();
    }
    respond_to_all(waiters, result).await;
}

fn record_result(
    node: &Node,
    index: u32,
    id: ClaimId,
    result: &Result<Arc<StoredResponse>, Refusal>,
) -> Vec<crate::node::exchange::Responder> {
    let mut slot = node.once.slots[index as usize].lock();
    if let Ok(kept) = result {
        slot.responses.insert(id, kept.clone());
    }
    let finished = match result {
        Ok(_) => DispatchOutcome::Completed,
        Err(refusal) if refusal.run == RunStatus::NotRun => DispatchOutcome::NotSent,
        Err(_) => DispatchOutcome::Unknown,
    };
    if let Some(bucket) = slot.bucket.as_mut() {
        bucket.record_dispatch_outcome(&id, finished);
    }
    slot.pending.remove(&id).map(|pending| pending.waiters).unwrap_or_default()
}

/// Tries endpoints until one may have received the request.
async fn send_with_retries(node: &Arc<Node>, work: Work) -> Result<StoredResponse, Refusal> {
    let mut refusal = Refusal::not_run(Code::NoEndpoint).retry_after(500);
    for _ in 0..MAX_ATTEMPTS {
        match attempt(node, &work).await {
            Err(err) if err.run == RunStatus::NotRun => refusal = err,
            other => return other,
        }
    }
    Err(refusal)
}

async fn attempt(node: &Arc<Node>, work: &Work) -> Result<StoredResponse, Refusal> {
    let none = Refusal::not_run(Code::NoEndpoint).retry_after(500);
    let config = node.config().ok_or(none.clone())?;
    let spec = config.services.get(work.service.as_str()).ok_or(none.clone())?;
    let copy = choose_replica(node, &config, spec).ok_or(none)?;
    let work = Work { endpoint: copy.endpoint.to_string(), ..work.clone() };
    let mut exchange = node.open_exchange(&copy.steward, PeerRequestBody::Work(work)).await?;
    let head: Head = match exchange.next().await {
        Some(Body::Head(head)) => head,
        Some(Body::End(end)) => {
            return Err(end.refusal().unwrap_or(Refusal::unknown(Code::OutcomeUnknown)));
        }
        _ => return Err(Refusal::unknown(Code::OutcomeUnknown)),
    };
    // The endpoint has answered, so whatever fails from here on leaves the outcome unknown.
    let data =
        collect_response(exchange).await.map_err(|_| Refusal::unknown(Code::OutcomeUnknown))?;
    Ok(StoredResponse { head, chunk: Chunk { data, events: 0, last: false } })
}
