//! Streams a response to the caller, joined from the attempts that deliver it.

use std::time::Duration;

use http_body::Frame;
use tokio::time::timeout;
use volo_http::response::Response;

use super::{STREAM_TIMEOUT, build_response, job::Job};
use crate::{
    codes::Refusal,
    http::{BodySender, channel_body},
    kernel::stream::{AfterLoss, AtEnd, Joiner, PartAction},
    node::exchange::Exchange,
    wire::{Body, Chunk, End, Head},
};

/// How the stream of one attempt ended.
enum AttemptEnd {
    /// The caller has the complete response.
    Completed,
    /// The caller left or stopped reading.
    CallerLeft,
    /// The attempt was lost, with its end if the steward sent one.
    Lost(Option<End>),
}

/// Returns the response with its head, and streams the body in a task of its own.
pub async fn start(mut job: Job) -> Result<Response, Refusal> {
    let (head, exchange) = job.open_response().await?;
    let (tx, body) = channel_body();
    let response = build_response(&head, body);
    tokio::spawn(run(job, head, exchange, tx));
    Ok(response)
}

/// Streams the body until it is complete, lost or the caller leaves.
async fn run(job: Job, head: Head, exchange: Exchange, tx: BodySender) {
    let caller = tx.clone();
    tokio::select! {
        completed = join_attempts(job, head, exchange, &tx) => {
            if !completed {
                // The error cuts the body off, so that the response does not look complete.
                let _ = tx.send(Err("answer cut".into())).await;
            }
        }
        // Dropping the exchange cancels the request at its endpoint.
        () = caller.closed() => {}
    }
}

/// Joins the parts of all attempts, and returns whether the caller got the complete response.
async fn join_attempts(mut job: Job, head: Head, mut exchange: Exchange, tx: &BodySender) -> bool {
    let mut joiner = Joiner::default();
    loop {
        let before = joiner.delivered();
        let end = match relay(&mut joiner, &mut exchange, tx).await {
            AttemptEnd::CallerLeft => return false,
            AttemptEnd::Completed => break,
            AttemptEnd::Lost(end) => end,
        };
        let offset = match joiner.after_loss() {
            AfterLoss::Finish => break,
            AfterLoss::Break => return false,
            AfterLoss::Resume(offset) => offset,
        };
        drop(exchange);
        if job.handle_loss(end, joiner.delivered() > before).await.is_err() {
            return false;
        }
        job.resume_at(offset);
        match job.open_response().await {
            Ok((next, opened)) if next == head => exchange = opened,
            Ok(_) | Err(_) => return false,
        }
    }
    job.complete();
    true
}

/// Relays the parts of one attempt to the caller.
async fn relay(joiner: &mut Joiner, exchange: &mut Exchange, tx: &BodySender) -> AttemptEnd {
    loop {
        match timeout(STREAM_TIMEOUT, exchange.next()).await {
            Ok(Some(Body::Chunk(chunk))) => match joiner.accept_part(chunk.events, chunk.last) {
                PartAction::Deliver => {
                    if deliver(chunk, tx).await.is_err() {
                        return AttemptEnd::CallerLeft;
                    }
                }
                PartAction::Duplicate => {}
                PartAction::Gap => return AttemptEnd::Lost(None),
            },
            Ok(Some(Body::End(end))) if end.code == 0 => match joiner.at_end() {
                AtEnd::Finish => return AttemptEnd::Completed,
                AtEnd::Lost => return AttemptEnd::Lost(None),
            },
            Ok(Some(Body::End(end))) => return AttemptEnd::Lost(Some(end)),
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => return AttemptEnd::Lost(None),
        }
    }
}

/// Longest wait for a caller to read a part before its request is given up.
///
/// A caller that stops reading occupies a slot of its endpoint.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a chunk to the caller; fails if the caller left or does not read it in time.
async fn deliver(chunk: Chunk, tx: &BodySender) -> Result<(), ()> {
    let sent = timeout(CALLER_TIMEOUT, tx.send(Ok(Frame::data(chunk.data)))).await;
    sent.map_err(|_| ())?.map_err(|_| ())
}
