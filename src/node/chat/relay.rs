//! Streams an answer to the caller across the attempts that deliver it.

use std::time::Duration;

use http_body::Frame;
use tokio::time::timeout;
use volo_http::response::Response;

use super::{STREAM_SILENCE, job::Job, with_head};
use crate::{
    codes::Refusal,
    http::{BodySender, channel_body},
    kernel::stream::{AfterLoss, AtEnd, Joiner, PartAction},
    node::exchange::Exchange,
    wire::{Body, Chunk, End, Head},
};

/// How an attempt's stream ended.
enum Ended {
    /// The caller has the whole answer.
    Whole,
    /// The caller is gone or stopped reading.
    CallerLeft,
    /// The attempt was lost, with its end where the steward gave one.
    Lost(Option<End>),
}

/// Opens the answer and streams it in a task of its own.
pub async fn start(mut job: Job) -> Result<Response, Refusal> {
    let (head, exchange) = job.open().await?;
    let (tx, body) = channel_body();
    let answer = with_head(&head, body);
    tokio::spawn(run(job, head, exchange, tx));
    Ok(answer)
}

async fn run(job: Job, head: Head, exchange: Exchange, tx: BodySender) {
    let gone = tx.clone();
    tokio::select! {
        whole = join(job, head, exchange, &tx) => {
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
async fn join(mut job: Job, head: Head, mut exchange: Exchange, tx: &BodySender) -> bool {
    let mut joiner = Joiner::default();
    loop {
        let before = joiner.delivered();
        let end = match relay(&mut joiner, &mut exchange, tx).await {
            Ended::CallerLeft => return false,
            Ended::Whole => break,
            Ended::Lost(end) => end,
        };
        let offset = match joiner.after_loss() {
            AfterLoss::Finish => break,
            AfterLoss::Break => return false,
            AfterLoss::Resume(offset) => offset,
        };
        drop(exchange);
        if job.lose(end, joiner.delivered() > before).await.is_err() {
            return false;
        }
        job.resume_at(offset);
        match job.open().await {
            Ok((next, opened)) if next == head => exchange = opened,
            Ok(_) | Err(_) => return false,
        }
    }
    job.complete();
    true
}

/// Passes the parts of one attempt on.
async fn relay(joiner: &mut Joiner, exchange: &mut Exchange, tx: &BodySender) -> Ended {
    loop {
        match timeout(STREAM_SILENCE, exchange.next()).await {
            Ok(Some(Body::Chunk(chunk))) => match joiner.accept_part(chunk.events, chunk.last) {
                PartAction::Deliver => {
                    if deliver(chunk, tx).await.is_err() {
                        return Ended::CallerLeft;
                    }
                }
                PartAction::Duplicate => {}
                PartAction::Gap => return Ended::Lost(None),
            },
            Ok(Some(Body::End(end))) if end.code == 0 => match joiner.at_end() {
                AtEnd::Finish => return Ended::Whole,
                AtEnd::Lost => return Ended::Lost(None),
            },
            Ok(Some(Body::End(end))) => return Ended::Lost(Some(end)),
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => return Ended::Lost(None),
        }
    }
}

/// Longest time for a caller to read on before its request is given up.
///
/// A caller that stopped reading holds a place at its endpoint.
const CALLER_LIMIT: Duration = Duration::from_secs(30);

async fn deliver(chunk: Chunk, tx: &BodySender) -> Result<(), ()> {
    let sent = timeout(CALLER_LIMIT, tx.send(Ok(Frame::data(chunk.data)))).await;
    sent.map_err(|_| ())?.map_err(|_| ())
}
