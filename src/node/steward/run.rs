//! Runs one request at its endpoint and passes the answer on.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use super::{Ticket, Waiting, pump};
use crate::{
    codes::{Code, Refusal},
    endpoint::{AnswerEvent, AnswerReader, EndpointClient},
    events::Event,
    http::HttpError,
    names::EndpointId,
    node::{Node, exchange::Responder},
    wire::{Body, Chunk, End, Head, Header, Work},
};

/// Longest silence within an answer.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Headers of endpoints that callers see.
const RETURNED: &[&str] = &["content-type"];

/// How a request ended at its endpoint.
enum Outcome {
    Whole { used: u64 },
    Failed(Refusal),
    CallerLeft,
}

/// Runs a request, then starts the next one that waits.
pub async fn run_work(
    node: Arc<Node>,
    endpoint: EndpointId,
    _ticket: Ticket,
    waiting: Waiting,
    client: Arc<EndpointClient>,
) {
    let Waiting { work, responder } = waiting;
    let subject = work.request.clone();
    node.timeline.record(Event::RequestDispatched, &*subject, format!("endpoint={endpoint}"));
    let outcome = exchange(&work, &responder, &client).await;
    settle(&node, &endpoint, &subject, &outcome);
    match outcome {
        Outcome::Whole { used } => responder.end(End::whole(used)).await,
        Outcome::Failed(refusal) => {
            let detail = format!("endpoint={endpoint} code={}", refusal.code.number());
            node.timeline.record(Event::RequestFailed, subject, detail);
            responder.end(End::from(&refusal)).await;
        }
        Outcome::CallerLeft => node.timeline.record(Event::StreamCancelled, subject, ""),
    }
    pump(&node, &endpoint);
}

fn settle(node: &Node, endpoint: &EndpointId, request: &str, outcome: &Outcome) {
    node.stewards.endpoints.with(endpoint, |stewarded| {
        stewarded.running = stewarded.running.saturating_sub(1);
        stewarded.active.remove(request);
        match outcome {
            Outcome::Whole { .. } => stewarded.warmth.complete(),
            Outcome::Failed(_) => stewarded.warmth.reset(),
            Outcome::CallerLeft => {}
        }
    });
}

async fn exchange(work: &Work, responder: &Responder, client: &EndpointClient) -> Outcome {
    let left = Duration::from_millis(work.left_ms);
    let answer = tokio::select! {
        answer = timeout(left, client.run(work)) => answer,
        () = responder.gone() => return Outcome::CallerLeft,
    };
    let mut reader = match answer {
        Ok(Ok(reader)) => reader,
        Ok(Err(HttpError::Connect(_))) => {
            return Outcome::Failed(Refusal::not_run(Code::NoEndpoint));
        }
        Ok(Err(_)) | Err(_) => return Outcome::Failed(failed(work)),
    };
    if reader.is_crossed() {
        return Outcome::Failed(Refusal::unknown(Code::AnswerCrossed));
    }
    if responder.send(Body::Head(head(&reader))).await.is_err() {
        return Outcome::CallerLeft;
    }
    relay(work, responder, &mut reader).await
}

async fn relay(work: &Work, responder: &Responder, reader: &mut AnswerReader) -> Outcome {
    let mut events = work.offset;
    loop {
        let next = tokio::select! {
            next = timeout(IDLE_LIMIT, reader.next()) => next,
            () = responder.gone() => return Outcome::CallerLeft,
        };
        match next {
            Ok(Ok(AnswerEvent::Data(data))) => {
                events += u64::from(reader.is_stream());
                if responder.send(Body::Chunk(Chunk { data, events })).await.is_err() {
                    return Outcome::CallerLeft;
                }
            }
            Ok(Ok(AnswerEvent::Whole)) => return Outcome::Whole { used: 0 },
            Ok(Ok(AnswerEvent::Crossed)) => {
                return Outcome::Failed(Refusal::unknown(Code::AnswerCrossed));
            }
            Ok(Ok(AnswerEvent::Cut) | Err(_)) | Err(_) => return Outcome::Failed(failed(work)),
        }
    }
}

fn failed(work: &Work) -> Refusal {
    let code = if work.once.is_empty() { Code::EndpointFailed } else { Code::OutcomeUnknown };
    Refusal::unknown(code)
}

fn head(reader: &AnswerReader) -> Head {
    let headers = RETURNED.iter().filter_map(|name| {
        let value = reader.headers().get(*name)?;
        Some(Header { name: (*name).to_owned(), value: value.as_bytes().to_vec().into() })
    });
    Head { status: reader.status().as_u16().into(), headers: headers.collect() }
}
