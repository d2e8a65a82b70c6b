//! Sends a claimed request to an endpoint and stores the response.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use super::{answers::StoredResponse, respond_to_all};
use crate::{
    codes::{Code, Refusal, RunStatus},
    events::Event,
    kernel::once::{ClaimId, DispatchOutcome},
    node::{Node, chat::collect_response, services::choose_endpoint},
    wire::{Body, Chunk, Head, PeerRequestBody, Work},
};

/// Most attempts; each further one is made only if no endpoint can have received the request.
const MAX_ATTEMPTS: usize = 3;

/// Dispatches a request, records its outcome and responds to all that wait for it.
pub async fn dispatch(node: Arc<Node>, index: u32, id: ClaimId, work: Work) {
    let _guard = node.drain.enter_claim();
    let request = work.request.clone();
    let limit = Duration::from_millis(work.remaining_ms);
    let result = timeout(limit, send_with_retries(&node, work)).await;
    let result = result.unwrap_or(Err(Refusal::unknown(Code::OutcomeUnknown))).map(Arc::new);
    let waiters = record_result(&node, index, id, &result);
    if result.as_ref().is_err_and(|refusal| refusal.run == RunStatus::NotRun) {
        node.timeline.record(Event::ClaimReleased, request, format!("bucket={index}"));
        node.once.write_wanted.notify_one();
    }
    respond_to_all(waiters, result).await;
}

/// Stores the response, records the outcome in the bucket, and returns the waiting responders.
fn record_result(
    node: &Node,
    index: u32,
    id: ClaimId,
    result: &Result<Arc<StoredResponse>, Refusal>,
) -> Vec<crate::node::exchange::Responder> {
    let mut slot = node.once.slots[index as usize].lock();
    if let Ok(response) = result {
        slot.responses.insert(id, response.clone());
    }
    let outcome = match result {
        Ok(_) => DispatchOutcome::Completed,
        Err(refusal) if refusal.run == RunStatus::NotRun => DispatchOutcome::NotSent,
        Err(_) => DispatchOutcome::Unknown,
    };
    if let Some(bucket) = slot.bucket.as_mut() {
        bucket.record_dispatch_outcome(&id, outcome);
    }
    slot.pending.remove(&id).map(|pending| pending.waiters).unwrap_or_default()
}

/// Makes attempts until one succeeds or may have run, or the attempts are used up.
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

/// Makes one attempt at an endpoint of the request's service.
async fn attempt(node: &Arc<Node>, work: &Work) -> Result<StoredResponse, Refusal> {
    let no_endpoint = Refusal::not_run(Code::NoEndpoint).retry_after(500);
    let config = node.config().ok_or(no_endpoint.clone())?;
    let spec = config.services.get(work.service.as_str()).ok_or(no_endpoint.clone())?;
    let replica = choose_endpoint(node, &config, spec).ok_or(no_endpoint)?;
    let work = Work { endpoint: replica.endpoint.to_string(), ..work.clone() };
    let mut exchange = node.open_exchange(&replica.steward, PeerRequestBody::Work(work)).await?;
    let head: Head = match exchange.next().await {
        Some(Body::Head(head)) => head,
        Some(Body::End(end)) => {
            return Err(end.refusal().unwrap_or(Refusal::unknown(Code::OutcomeUnknown)));
        }
        _ => return Err(Refusal::unknown(Code::OutcomeUnknown)),
    };
    // The endpoint has responded, so that after any failure from here on the outcome is unknown.
    let data =
        collect_response(exchange).await.map_err(|_| Refusal::unknown(Code::OutcomeUnknown))?;
    Ok(StoredResponse { head, chunk: Chunk { data, events: 0, last: false } })
}
