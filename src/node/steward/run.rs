//! Runs one request at its endpoint and passes the answer on.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use tokio::time::timeout;

use super::{QueuedRequest, Ticket, adapters, crash, crash::Involvement, dispatch_queued, flow};
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
const RETURNED_HEADERS: &[&str] = &["content-type"];

/// How a request ended at its endpoint.
enum Outcome {
    /// The endpoint answered to its explicit end.
    Completed {
        /// Time to the first event of a stream; that of other answers depends on their length.
        first: Option<Duration>,
    },
    /// The endpoint answered that it cannot serve the request now.
    Declined(Option<ColdSign>),
    /// Nothing was sent.
    NotSent(Code),
    /// No connection was made.
    NotConnected,
    /// The answer stalled, named another request or broke off after part of it.
    Failed(Code),
    /// The connection broke before any new part of the answer.
    NoResponse,
    /// Nobody waits for the answer any more.
    CallerLeft,
}

/// Runs a request, then starts the next one that waits.
pub async fn run_work(
    node: Arc<Node>,
    endpoint: EndpointId,
    ticket: Ticket,
    waiting: QueuedRequest,
    client: Arc<EndpointClient>,
) {
    let QueuedRequest { work, responder, running } = waiting;
    let subject = work.request.clone();
    node.timeline.record(Event::RequestDispatched, &*subject, format!("endpoint={endpoint}"));
    let bounds = Timeouts::of(&work, &ticket);
    let outcome = attempt(&node, &endpoint, &work, &responder, &client, &bounds).await;
    match outcome {
        _ if work.model.is_empty() => {}
        Outcome::Failed(_) => {
            crash::check_endpoint(&node, &endpoint, &work, Involvement::InFlight, &client).await
        }
        Outcome::NoResponse => {
            crash::check_endpoint(&node, &endpoint, &work, Involvement::Suspect, &client).await
        }
        Outcome::NotConnected | Outcome::Declined(Some(_)) => {
            crash::check_endpoint(&node, &endpoint, &work, Involvement::None, &client).await;
        }
        Outcome::Completed { .. }
        | Outcome::NotSent(_)
        | Outcome::Declined(None)
        | Outcome::CallerLeft => {}
    }
    record_outcome(&node, &endpoint, &work, &outcome);
    match refusal(&work, &outcome) {
        Ok(true) => responder.end(End::completed(0)).await,
        Ok(false) => node.timeline.record(Event::StreamCancelled, subject, ""),
        Err(refusal) => {
            let detail = format!("endpoint={endpoint} code={}", refusal.code.number());
            node.timeline.record(Event::RequestFailed, subject, detail);
            let crashes = node.known_crashes(work.fingerprint);
            responder.end(End { crashes, ..End::from(&refusal) }).await;
        }
    }
    drop(running);
    dispatch_queued(&node, &endpoint);
}

/// Returns whether an outcome is a whole answer, or the refusal that it calls for.
fn refusal(work: &Work, outcome: &Outcome) -> Result<bool, Refusal> {
    match outcome {
        Outcome::Completed { .. } => Ok(true),
        Outcome::CallerLeft => Ok(false),
        Outcome::NotSent(code) => Err(Refusal::not_run(*code)),
        Outcome::NotConnected => Err(Refusal::not_run(Code::NoEndpoint)),
        Outcome::Declined(_) => Err(Refusal::unknown(Code::EndpointFailed)),
        Outcome::Failed(_) | Outcome::NoResponse if !work.idempotency_key.is_empty() => {
            Err(Refusal::unknown(Code::OutcomeUnknown))
        }
        Outcome::NoResponse => Err(Refusal::unknown(Code::EndpointFailed)),
        Outcome::Failed(code) => Err(Refusal::unknown(*code)),
    }
}

fn record_outcome(node: &Node, endpoint: &EndpointId, work: &Work, outcome: &Outcome) {
    let alone = node.stewarded.endpoints.with(endpoint, |stewarded| {
        match outcome {
            Outcome::Completed { first } => {
                if let Some(first) = first {
                    let change = stewarded.warmup.record_first_byte(*first);
                    flow::record_warmup(node, stewarded, change);
                }
                let change = stewarded.warmup.record_completion(Time::now());
                flow::record_warmup(node, stewarded, change);
            }
            Outcome::Declined(Some(sign)) => flow::reset_warmup(node, stewarded, *sign),
            Outcome::NotConnected => flow::reset_warmup(node, stewarded, ColdSign::Refused),
            // Engines show by their incarnation whether they fell back, services do not.
            Outcome::Failed(_) | Outcome::NoResponse if work.model.is_empty() => {
                flow::reset_warmup(node, stewarded, ColdSign::Cut);
            }
            Outcome::Declined(None)
            | Outcome::NotSent(_)
            | Outcome::Failed(_)
            | Outcome::NoResponse
            | Outcome::CallerLeft => {}
        }
        flow::finish(stewarded, &work.request)
    });
    if alone == Some(true) && matches!(outcome, Outcome::Completed { .. }) {
        node.suspects.lock().clear(work.fingerprint);
    }
}

/// How long an endpoint may stay silent.
struct Timeouts {
    /// Before the first event of a stream.
    first_event: Duration,
    /// Between two events of a stream.
    next_event: Duration,
    /// Before an answer that is no stream.
    response: Duration,
}

impl Timeouts {
    fn of(work: &Work, ticket: &Ticket) -> Self {
        let target = ticket.due.since(ticket.arrived);
        Self {
            first_event: first_byte_timeout(true, work.tokens, target),
            next_event: event_timeout(ticket.background),
            response: first_byte_timeout(false, work.tokens, target),
        }
    }
}

async fn attempt(
    node: &Arc<Node>,
    endpoint: &EndpointId,
    work: &Work,
    responder: &Responder,
    client: &EndpointClient,
    bounds: &Timeouts,
) -> Outcome {
    let ready = tokio::select! {
        ready = adapters::ensure_loaded(node, endpoint, work) => ready,
        () = responder.cancelled() => return Outcome::CallerLeft,
    };
    let _pin = match ready {
        Ok(pin) => pin,
        Err(code) => return Outcome::NotSent(code),
    };
    let started = Instant::now();
    let left = Duration::from_millis(work.remaining_ms);
    let bound = left.min(if work.stream { bounds.first_event } else { bounds.response });
    let answer = tokio::select! {
        answer = timeout(bound, client.send_request(work)) => answer,
        () = responder.cancelled() => return Outcome::CallerLeft,
    };
    let mut reader = match answer {
        Ok(Ok(reader)) => reader,
        Ok(Err(HttpError::Connect(_))) => return Outcome::NotConnected,
        Ok(Err(HttpError::Timeout)) | Err(_) => return Outcome::Failed(Code::EndpointFailed),
        Ok(Err(_)) => return Outcome::NoResponse,
    };
    if reader.is_crossed() {
        return Outcome::Failed(Code::AnswerCrossed);
    }
    if let Some(declined) = declined_outcome(work, reader.status()) {
        return declined;
    }
    if responder.send(Body::Head(response_head(&reader))).await.is_err() {
        return Outcome::CallerLeft;
    }
    relay(work, responder, &mut reader, started, bounds).await
}

/// Judges a status by which an engine passes a request on; a service's status is its answer.
fn declined_outcome(work: &Work, status: StatusCode) -> Option<Outcome> {
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
    bounds: &Timeouts,
) -> Outcome {
    let mut events = work.offset;
    let mut first = None;
    loop {
        let bound = match (reader.is_stream(), first) {
            (false, _) => bounds.response,
            (true, None) => bounds.first_event,
            (true, Some(_)) => bounds.next_event,
        };
        let next = tokio::select! {
            next = timeout(bound, reader.next()) => next,
            () = responder.cancelled() => return Outcome::CallerLeft,
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
            Ok(Ok(ResponsePart::End)) => return Outcome::Completed { first },
            Ok(Ok(ResponsePart::Crossed)) => return Outcome::Failed(Code::AnswerCrossed),
            Ok(Ok(ResponsePart::Truncated)) if events == work.offset => return Outcome::NoResponse,
            Ok(Ok(ResponsePart::Truncated) | Err(_)) | Err(_) => {
                return Outcome::Failed(Code::EndpointFailed);
            }
        };
        if responder.send(Body::Chunk(chunk)).await.is_err() {
            return Outcome::CallerLeft;
        }
    }
}

fn response_head(reader: &ResponseReader) -> Head {
    let headers = RETURNED_HEADERS.iter().filter_map(|name| {
        let value = reader.headers().get(*name)?;
        Some(Header { name: (*name).to_owned(), value: value.as_bytes().to_vec().into() })
    });
    Head { status: reader.status().as_u16().into(), headers: headers.collect() }
}
