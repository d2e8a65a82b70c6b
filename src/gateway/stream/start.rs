//! Starts a stream at an endpoint: sends the request and waits for the first event.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{
    super::{
        forward::{AttemptResult, Job, Next},
        grants::Permit,
        silence::Waited,
    },
    reader::{EventReader, Part},
};
use crate::{http::pool::Connection, kernel::grants::Outcome, platform::caller::ResponseHead};

/// Lower bound of the time to the first event after which another endpoint is asked for, where a retry
/// is possible.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same time in multiples of the route's target latency.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 2.0;

/// An attempt whose first event has arrived.
pub(super) struct StartedRun {
    pub status: StatusCode,
    pub permit: Permit,
    pub reader: EventReader,
    /// The first event, which is not passed on yet.
    pub first_event: Bytes,
    /// The number of the first event.
    pub number: Option<u64>,
}

/// The result of an attempt to start a stream.
pub(super) enum Start {
    /// The first event has arrived.
    Started(StartedRun),
    /// The attempt failed, with the next step.
    NotStarted(Next),
}

/// Sends the request to an endpoint and waits for the first event after the event `after`.
pub(super) async fn start(job: &mut Job, permit: Permit, after: Option<u64>) -> Start {
    let is_last_run = !job.route.retry.may_retry() || job.runs + 1 >= job.route.max_attempts;
    let time_limit =
        job.route.target_latency.mul_f64(FIRST_EVENT_TIMEOUT_FACTOR).max(MIN_FIRST_EVENT_TIMEOUT);
    let time_limit = if is_last_run { Duration::MAX } else { time_limit };
    let begun = begin(job, &permit, after);
    match job.wait_or_switch(&permit, time_limit, begun).await {
        Waited::Done(begun) => finish_start(job, permit, begun).await,
        Waited::Granted(next) => {
            job.runs += 1;
            job.switch(permit, next).await;
            Start::NotStarted(job.next_after_unknown())
        }
    }
}

/// What an endpoint has done with a request for a stream.
enum Begun {
    /// The first event has arrived, or the deadline has passed.
    First { status: StatusCode, reader: EventReader, part: Option<Part> },
    /// The response is no success; its body is not read yet.
    Error(Response<Incoming>, Connection, ResponseHead),
    /// The attempt failed.
    Failed(AttemptResult),
}

/// Sends the request to an endpoint and waits for the first event until the deadline.
async fn begin(job: &Job, permit: &Permit, after: Option<u64>) -> Begun {
    let (response, connection, head) = match job.attempt(permit, after, job.time_left()).await {
        AttemptResult::Response(response, connection, head) => (response, connection, head),
        failed => return Begun::Failed(failed),
    };
    if !response.status().is_success() {
        return Begun::Error(response, connection, head);
    }
    let (parts, body) = response.into_parts();
    let (status, headers) = (parts.status, parts.headers);
    let mut reader = EventReader::new(body, connection, headers, head);
    let part = timeout(job.time_left(), reader.next()).await.ok();
    Begun::First { status, reader, part }
}

/// Returns the result of an attempt to start a stream.
async fn finish_start(job: &mut Job, permit: Permit, begun: Begun) -> Start {
    let outcome = match begun {
        Begun::Failed(AttemptResult::NotRun(outcome)) => {
            job.record_failure(permit, outcome).await;
            return Start::NotStarted(Next::Retry);
        }
        Begun::Error(response, connection, head) => {
            job.runs += 1;
            return handle_error_response(job, permit, response, connection, &head).await;
        }
        Begun::First { status, reader, part: Some(Part::Event(first_event, number)) } => {
            job.runs += 1;
            permit.record_first_event();
            job.gateway.count_run(job.team.as_ref());
            return Start::Started(StartedRun { status, permit, reader, first_event, number });
        }
        Begun::Failed(AttemptResult::Unknown(outcome)) => outcome,
        // A successful response without events is no stream, so there is nothing to pass on.
        Begun::First { part: Some(Part::End | Part::Broken), .. } => Outcome::Broke,
        Begun::First { part: None, .. } => Outcome::Silent,
        Begun::Failed(AttemptResult::Response(..)) => Outcome::Broke,
    };
    job.runs += 1;
    job.record_failure(permit, outcome).await;
    Start::NotStarted(job.next_after_unknown())
}

/// Reads a response whose status is not a success, and makes it the next step to return it.
async fn handle_error_response(
    job: &mut Job,
    permit: Permit,
    response: Response<Incoming>,
    connection: Connection,
    head: &ResponseHead,
) -> Start {
    let Some(response) = job.collect_response(response, connection, head).await else {
        job.record_failure(permit, Outcome::Broke).await;
        return Start::NotStarted(job.next_after_unknown());
    };
    if response.status().is_server_error() {
        job.record_failure(permit, Outcome::Failed).await;
    } else {
        permit.end(Outcome::Whole);
    }
    Start::NotStarted(Next::Return(response))
}
