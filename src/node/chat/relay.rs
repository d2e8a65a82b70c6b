//! Streams an answer to the caller across the attempts that deliver it.

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

/// How an attempt's stream ended.
enum AttemptEnd {
    /// The caller has the whole answer.
    Completed,
    /// The caller is gone or stopped reading.
    CallerLeft,
    /// The attempt was lost, with its end where the steward gave one.
    Lost(Option<End>),
}

/// Opens the answer and streams it in a task of its own.
pub async fn start(mut job: Job) -> Result<Response, Refusal> {
    let (head, exchange) = job.open_response().await?;
    let (tx, body) = channel_body();
    let answer = build_response(&head, body);
    tokio::spawn(run(job, head, exchange, tx));
    Ok(answer)
}

async fn run(job: Job, head: Head, exchange: Exchange, tx: BodySender) {
    let gone = tx.clone();
    tokio::select! {
        whole = join_attempts(job, head, exchange, &tx) => {
            if !whole {
                // The error item cuts the body, so that the answer does not look whole.
                let _ = tx.send(Err("answer cut".into())).await;
            }
        }
        // Dropping the exchange cancels the request at its endpoint.
        () = gone.closed() => {}
    }
}

/// Joins the attempts' parts and returns whether the caller got the whole answer.
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

/// Passes the parts of one attempt on.
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

/// Longest time for a caller to read on before its request is given up.
///
/// A caller that stopped reading holds a place at its endpoint.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

async fn deliver(chunk: Chunk, tx: &BodySender) -> Result<(), ()> {
    let sent = timeout(CALLER_TIMEOUT, tx.send(Ok(Frame::data(chunk.data)))).await;
    sent.map_err(|_| ())?.map_err(|_| ())
}
