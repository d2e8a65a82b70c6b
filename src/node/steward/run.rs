//! Sends one request to its endpoint and relays the response to the entry instance.

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

/// Headers of endpoints' responses that callers receive.
const RETURNED_HEADERS: &[&str] = &["content-type"];

/// The outcome of a request at its endpoint.
enum Outcome {
    /// The response was received to its explicit end.
    Completed {
        /// Time to the first event of a stream; `None` for other responses, whose time depends on
        /// their length.
        first_event: Option<Duration>,
    },
    /// The endpoint responded that it cannot serve the request now, with the sign of a cold state
    /// if the response is one.
    Declined(Option<ColdSign>),
    /// The request was not sent, with the code for the caller.
    NotSent(Code),
    /// The endpoint accepted no connection.
    NotConnected,
    /// The response timed out, was that of another request, or was cut off after part of it; with
    /// the code for the caller.
    Failed(Code),
    /// The connection was cut before any new part of the response.
    NoResponse,
    /// The caller left, so that the request was cancelled.
    CallerLeft,
}

/// Runs a request to its end, then starts the next one in the endpoint's queue.
pub async fn run_work(
    node: Arc<Node>,
    id: EndpointId,
    ticket: Ticket,
    request: QueuedRequest,
    client: Arc<EndpointClient>,
) {
    let QueuedRequest { work, responder, guard } = request;
    let subject = work.request.clone();
    node.timeline.record(Event::RequestDispatched, &*subject, format!("endpoint={id}"));
    let timeouts = Timeouts::of(&work, &ticket);
    let outcome = attempt(&node, &id, &work, &responder, &client, &timeouts).await;
    match outcome {
        _ if work.model.is_empty() => {}
        Outcome::Failed(_) => {
            crash::check_endpoint(&node, &id, &work, Involvement::InFlight, &client).await
        }
        Outcome::NoResponse => {
            crash::check_endpoint(&node, &id, &work, Involvement::Suspect, &client).await
        }
        Outcome::NotConnected | Outcome::Declined(Some(_)) => {
            crash::check_endpoint(&node, &id, &work, Involvement::None, &client).await;
        }
        Outcome::Completed { .. }
        | Outcome::NotSent(_)
        | Outcome::Declined(None)
        | Outcome::CallerLeft => {}
    }
    record_outcome(&node, &id, &work, &outcome);
    match result_of(&work, &outcome) {
        Ok(true) => responder.end(End::completed(0)).await,
        Ok(false) => node.timeline.record(Event::StreamCancelled, subject, ""),
        Err(refusal) => {
            let detail = format!("endpoint={id} code={}", refusal.code.number());
            node.timeline.record(Event::RequestFailed, subject, detail);
            let crashes = node.known_crashes(work.fingerprint);
            responder.end(End { crashes, ..End::from(&refusal) }).await;
        }
    }
    drop(guard);
    dispatch_queued(&node, &id);
}

/// Returns whether the response is complete (`false` if the caller left), or the refusal to send.
fn result_of(work: &Work, outcome: &Outcome) -> Result<bool, Refusal> {
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

/// Records an outcome in the endpoint's warm-up and counts the request as ended.
///
/// A suspect that completed alone is no longer a suspect.
fn record_outcome(node: &Node, id: &EndpointId, work: &Work, outcome: &Outcome) {
    let ran_alone = node.stewarded.endpoints.with(id, |endpoint| {
        match outcome {
            Outcome::Completed { first_event } => {
                if let Some(first_event) = first_event {
                    let change = endpoint.warmup.record_first_byte(*first_event);
                    flow::record_warmup(node, endpoint, change);
                }
                let change = endpoint.warmup.record_completion(Time::now());
                flow::record_warmup(node, endpoint, change);
            }
            Outcome::Declined(Some(sign)) => flow::reset_warmup(node, endpoint, *sign),
            Outcome::NotConnected => flow::reset_warmup(node, endpoint, ColdSign::Refused),
            // Engines show by their incarnation whether they restarted; services do not.
            Outcome::Failed(_) | Outcome::NoResponse if work.model.is_empty() => {
                flow::reset_warmup(node, endpoint, ColdSign::Cut);
            }
            Outcome::Declined(None)
            | Outcome::NotSent(_)
            | Outcome::Failed(_)
            | Outcome::NoResponse
            | Outcome::CallerLeft => {}
        }
        flow::finish(endpoint, &work.request)
    });
    if ran_alone == Some(true) && matches!(outcome, Outcome::Completed { .. }) {
        node.suspects.lock().clear(work.fingerprint);
    }
}

/// The longest waits for the parts of a response.
struct Timeouts {
    /// Longest wait for the first event of a stream.
    first_event: Duration,
    /// Longest wait for each further event of a stream.
    next_event: Duration,
    /// Longest wait for a response that is not a stream.
    response: Duration,
}

impl Timeouts {
    /// Returns the timeouts for a request's class and tokens.
    fn of(work: &Work, ticket: &Ticket) -> Self {
        let target = ticket.due.since(ticket.arrived);
        Self {
            first_event: first_byte_timeout(true, work.tokens, target),
            next_event: event_timeout(ticket.background),
            response: first_byte_timeout(false, work.tokens, target),
        }
    }
}

/// Loads the request's adapter, sends the request and relays the response.
async fn attempt(
    node: &Arc<Node>,
    endpoint: &EndpointId,
    work: &Work,
    responder: &Responder,
    client: &EndpointClient,
    timeouts: &Timeouts,
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
    let remaining = Duration::from_millis(work.remaining_ms);
    let limit = remaining.min(if work.stream { timeouts.first_event } else { timeouts.response });
    let response = tokio::select! {
        response = timeout(limit, client.send_request(work)) => response,
        () = responder.cancelled() => return Outcome::CallerLeft,
    };
    let mut reader = match response {
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
    relay(work, responder, &mut reader, started, timeouts).await
}

/// Returns the outcome for a status with which an engine declines a request.
///
/// The status of a plain service belongs to the response, whatever it is.
fn declined_outcome(work: &Work, status: StatusCode) -> Option<Outcome> {
    if work.model.is_empty() {
        return None;
    }
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        return Some(Outcome::Declined(Some(ColdSign::Overloaded)));
    }
    (status == StatusCode::NOT_FOUND).then_some(Outcome::Declined(None))
}

/// Relays the parts of a response until it ends, is cut off or times out.
async fn relay(
    work: &Work,
    responder: &Responder,
    reader: &mut ResponseReader,
    started: Instant,
    timeouts: &Timeouts,
) -> Outcome {
    let mut events = work.offset;
    let mut first_event = None;
    loop {
        let limit = match (reader.is_stream(), first_event) {
            (false, _) => timeouts.response,
            (true, None) => timeouts.first_event,
            (true, Some(_)) => timeouts.next_event,
        };
        let next = tokio::select! {
            next = timeout(limit, reader.next()) => next,
            () = responder.cancelled() => return Outcome::CallerLeft,
        };
        if reader.is_stream() {
            first_event.get_or_insert_with(|| started.elapsed());
        }
        let chunk = match next {
            Ok(Ok(ResponsePart::Event(data))) => {
                events += 1;
                Chunk { data, events, last: false }
            }
            Ok(Ok(ResponsePart::Last(data))) => Chunk { data, events: events + 1, last: true },
            Ok(Ok(ResponsePart::Data(data))) => Chunk { data, events: 0, last: false },
            Ok(Ok(ResponsePart::Comment(_))) => continue,
            Ok(Ok(ResponsePart::End)) => return Outcome::Completed { first_event },
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

/// Returns the status and the returned headers of a response.
fn response_head(reader: &ResponseReader) -> Head {
    let headers = RETURNED_HEADERS.iter().filter_map(|name| {
        let value = reader.headers().get(*name)?;
        Some(Header { name: (*name).to_owned(), value: value.as_bytes().to_vec().into() })
    });
    Head { status: reader.status().as_u16().into(), headers: headers.collect() }
}
