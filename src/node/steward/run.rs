//! Runs one request at its endpoint and passes the answer on.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use tokio::time::timeout;

use super::{Ticket, Waiting, adapters, crash, crash::Part, flow, pump};
use crate::{
    clock::Time,
    codes::{Code, Refusal},
    endpoint::{EndpointClient, ResponsePart, ResponseReader},
    events::Event,
    http::HttpError,
    kernel::{
        stream::{event_timeout, first_byte_timeout},
        warmup::ColdSign,
    },
    names::EndpointId,
    node::{Node, exchange::Responder},
    wire::{Body, Chunk, End, Head, Header, Work},
};

/// Headers of endpoints that callers see.
const RETURNED: &[&str] = &["content-type"];

/// How a request ended at its endpoint.
enum Outcome {
    /// The endpoint answered to its explicit end.
    Whole {
        /// Time to the first event of a stream; that of other answers depends on their length.
        first: Option<Duration>,
    },
    /// The endpoint answered that it cannot serve the request now.
    Declined(Option<ColdSign>),
    /// Nothing was sent.
    NotSent(Code),
    /// No connection was made.
    Unreached,
    /// The answer stalled, named another request or broke off after part of it.
    Broken(Code),
    /// The connection broke before any new part of the answer.
    Dropped,
    /// Nobody waits for the answer any more.
    CallerLeft,
}

/// Runs a request, then starts the next one that waits.
pub async fn run_work(
    node: Arc<Node>,
    endpoint: EndpointId,
    ticket: Ticket,
    waiting: Waiting,
    client: Arc<EndpointClient>,
) {
    let Waiting { work, responder, running } = waiting;
    let subject = work.request.clone();
    node.timeline.record(Event::RequestDispatched, &*subject, format!("endpoint={endpoint}"));
    let bounds = Bounds::of(&work, &ticket);
    let outcome = exchange(&node, &endpoint, &work, &responder, &client, &bounds).await;
    match outcome {
        _ if work.model.is_empty() => {}
        Outcome::Broken(_) => crash::examine(&node, &endpoint, &work, Part::Ran, &client).await,
        Outcome::Dropped => crash::examine(&node, &endpoint, &work, Part::Broke, &client).await,
        Outcome::Unreached | Outcome::Declined(Some(_)) => {
            crash::examine(&node, &endpoint, &work, Part::None, &client).await;
        }
        Outcome::Whole { .. }
        | Outcome::NotSent(_)
        | Outcome::Declined(None)
        | Outcome::CallerLeft => {}
    }
    settle(&node, &endpoint, &work, &outcome);
    match refusal(&work, &outcome) {
        Ok(true) => responder.end(End::whole(0)).await,
        Ok(false) => node.timeline.record(Event::StreamCancelled, subject, ""),
        Err(refusal) => {
            let detail = format!("endpoint={endpoint} code={}", refusal.code.number());
            node.timeline.record(Event::RequestFailed, subject, detail);
            let crashes = node.crashes(work.fingerprint);
            responder.end(End { crashes, ..End::from(&refusal) }).await;
        }
    }
    drop(running);
    pump(&node, &endpoint);
}

/// Returns whether an outcome is a whole answer, or the refusal that it calls for.
fn refusal(work: &Work, outcome: &Outcome) -> Result<bool, Refusal> {
    match outcome {
        Outcome::Whole { .. } => Ok(true),
        Outcome::CallerLeft => Ok(false),
        Outcome::NotSent(code) => Err(Refusal::not_run(*code)),
        Outcome::Unreached => Err(Refusal::not_run(Code::NoEndpoint)),
        Outcome::Declined(_) => Err(Refusal::unknown(Code::EndpointFailed)),
        Outcome::Broken(_) | Outcome::Dropped if !work.idempotency_key.is_empty() => {
            Err(Refusal::unknown(Code::OutcomeUnknown))
        }
        Outcome::Dropped => Err(Refusal::unknown(Code::EndpointFailed)),
        Outcome::Broken(code) => Err(Refusal::unknown(*code)),
    }
}

fn settle(node: &Node, endpoint: &EndpointId, work: &Work, outcome: &Outcome) {
    let alone = node.stewards.endpoints.with(endpoint, |stewarded| {
        match outcome {
            Outcome::Whole { first } => {
                if let Some(first) = first {
                    let change = stewarded.warmth.record_first_byte(*first);
                    flow::record(node, stewarded, change);
                }
                let change = stewarded.warmth.record_completion(Time::now());
                flow::record(node, stewarded, change);
            }
            Outcome::Declined(Some(sign)) => flow::note(node, stewarded, *sign),
            Outcome::Unreached => flow::note(node, stewarded, ColdSign::Refused),
            // Engines show by their incarnation whether they fell back, services do not.
            Outcome::Broken(_) | Outcome::Dropped if work.model.is_empty() => {
                flow::note(node, stewarded, ColdSign::Cut);
            }
            Outcome::Declined(None)
            | Outcome::NotSent(_)
            | Outcome::Broken(_)
            | Outcome::Dropped
            | Outcome::CallerLeft => {}
        }
        flow::finish(stewarded, &work.request)
    });
    if alone == Some(true) && matches!(outcome, Outcome::Whole { .. }) {
        node.suspects.lock().clear(work.fingerprint);
    }
}

/// How long an endpoint may stay silent.
struct Bounds {
    /// Before the first event of a stream.
    first: Duration,
    /// Between two events of a stream.
    event: Duration,
    /// Before an answer that is no stream.
    whole: Duration,
}

impl Bounds {
    fn of(work: &Work, ticket: &Ticket) -> Self {
        let target = ticket.due.since(ticket.arrived);
        Self {
            first: first_byte_timeout(true, work.tokens, target),
            event: event_timeout(ticket.background),
            whole: first_byte_timeout(false, work.tokens, target),
        }
    }
}

async fn exchange(
    node: &Arc<Node>,
    endpoint: &EndpointId,
    work: &Work,
    responder: &Responder,
    client: &EndpointClient,
    bounds: &Bounds,
) -> Outcome {
    let ready = tokio::select! {
        ready = adapters::ensure(node, endpoint, work) => ready,
        () = responder.gone() => return Outcome::CallerLeft,
    };
    let _pin = match ready {
        Ok(pin) => pin,
        Err(code) => return Outcome::NotSent(code),
    };
    let started = Instant::now();
    let left = Duration::from_millis(work.left_ms);
    let bound = left.min(if work.stream { bounds.first } else { bounds.whole });
    let answer = tokio::select! {
        answer = timeout(bound, client.send_request(work)) => answer,
        () = responder.gone() => return Outcome::CallerLeft,
    };
    let mut reader = match answer {
        Ok(Ok(reader)) => reader,
        Ok(Err(HttpError::Connect(_))) => return Outcome::Unreached,
        Ok(Err(HttpError::Timeout)) | Err(_) => return Outcome::Broken(Code::EndpointFailed),
        Ok(Err(_)) => return Outcome::Dropped,
    };
    if reader.is_crossed() {
        return Outcome::Broken(Code::AnswerCrossed);
    }
    if let Some(declined) = declined(work, reader.status()) {
        return declined;
    }
    if responder.send(Body::Head(head(&reader))).await.is_err() {
        return Outcome::CallerLeft;
    }
    relay(work, responder, &mut reader, started, bounds).await
}

/// Judges a status by which an engine passes a request on; a service's status is its answer.
fn declined(work: &Work, status: StatusCode) -> Option<Outcome> {
    if work.model.is_empty() {
        return None;
    }
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        return Some(Outcome::Declined(Some(ColdSign::Overloaded)));
    }
    (status == StatusCode::NOT_FOUND).then_some(Outcome::Declined(None))
}

async fn relay(
    work: &Work,
    responder: &Responder,
    reader: &mut ResponseReader,
    started: Instant,
    bounds: &Bounds,
) -> Outcome {
    let mut events = work.offset;
    let mut first = None;
    loop {
        let bound = match (reader.is_stream(), first) {
            (false, _) => bounds.whole,
            (true, None) => bounds.first,
            (true, Some(_)) => bounds.event,
        };
        let next = tokio::select! {
            next = timeout(bound, reader.next()) => next,
            () = responder.gone() => return Outcome::CallerLeft,
        };
        if reader.is_stream() {
            first.get_or_insert_with(|| started.elapsed());
        }
        let chunk = match next {
            Ok(Ok(ResponsePart::Event(data))) => {
                events += 1;
                Chunk { data, events, last: false }
            }
            Ok(Ok(ResponsePart::Last(data))) => Chunk { data, events: events + 1, last: true },
            Ok(Ok(ResponsePart::Data(data))) => Chunk { data, events: 0, last: false },
            Ok(Ok(ResponsePart::Comment(_))) => continue,
            Ok(Ok(ResponsePart::End)) => return Outcome::Whole { first },
            Ok(Ok(ResponsePart::Crossed)) => return Outcome::Broken(Code::AnswerCrossed),
            Ok(Ok(ResponsePart::Truncated)) if events == work.offset => return Outcome::Dropped,
            Ok(Ok(ResponsePart::Truncated) | Err(_)) | Err(_) => {
                return Outcome::Broken(Code::EndpointFailed);
            }
        };
        if responder.send(Body::Chunk(chunk)).await.is_err() {
            return Outcome::CallerLeft;
        }
    }
}

fn head(reader: &ResponseReader) -> Head {
    let headers = RETURNED.iter().filter_map(|name| {
        let value = reader.headers().get(*name)?;
        Some(Header { name: (*name).to_owned(), value: value.as_bytes().to_vec().into() })
    });
    Head { status: reader.status().as_u16().into(), headers: headers.collect() }
}
