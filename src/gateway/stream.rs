//! Runs requests whose response is a stream of events.
//!
//! Events are passed on as they arrive. If an endpoint fails in the middle of a stream, another
//! endpoint resumes it after the last event, if the route allows that.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{
    forward::{AttemptResult, Job, Next},
    grants::Permit,
    response::{PartSender, Rejection, ResponseBody, Truncated},
    silence::Waited,
};
use crate::{
    clock::Time,
    http::pool::Connection,
    kernel::{
        event_splitter::{EventSplitter, Split},
        grants::{Outcome, VersionNeed},
    },
    platform::caller::{self, ResponseHead},
};

/// Lower bound of the time to the first event after which another endpoint is asked for, where a retry
/// is possible.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same time in multiples of the route's target latency.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 2.0;

/// Time to each further event after which another endpoint is asked for, where a retry is possible.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Splits the body of an endpoint's response into events.
struct EventReader {
    body: Incoming,
    splitter: EventSplitter,
    connection: Connection,
    headers: HeaderMap,
    head: ResponseHead,
}

/// The next part of an endpoint's response.
enum Part {
    /// A complete event and its number, if it names one.
    Event(Bytes, Option<u64>),
    /// The body has ended after a complete event.
    End,
    /// The connection failed, the body ended within an event, or an event is too long.
    Broken,
}

impl EventReader {
    /// Waits for the next part of the response.
    async fn next(&mut self) -> Part {
        loop {
            match self.splitter.split() {
                Split::Event(event, number) => return Part::Event(event, number),
                Split::TooLong => return Part::Broken,
                Split::Incomplete => {}
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Some(Err(_)) => return Part::Broken,
                None if self.splitter.is_empty() => return Part::End,
                None => return Part::Broken,
            }
        }
    }

    /// Returns the connection of a completely read response to the pool.
    fn release_connection(self, job: &Job) {
        job.release_connection(self.connection, &self.headers, &self.head);
    }
}

/// An attempt whose first event has arrived.
struct StartedRun {
    status: StatusCode,
    permit: Permit,
    reader: EventReader,
    /// The first event, which is not passed on yet.
    first_event: Bytes,
    /// The number of the first event.
    number: Option<u64>,
}

/// The result of an attempt to start a stream.
enum Start {
    /// The first event has arrived.
    Started(StartedRun),
    /// The attempt failed, with the next step.
    NotStarted(Next),
}

/// Runs a request whose response is a stream. Returns as soon as the first event has arrived, or
/// with the response or rejection of a request that failed before.
pub async fn run(mut job: Job) -> Result<Response<ResponseBody>, Rejection> {
    // The last response of an endpoint that failed, for the caller if no retry succeeds.
    let mut failed: Option<Response<ResponseBody>> = None;
    loop {
        if let Some(result) = job.avoid_cut().await {
            return result;
        }
        if let Err(rejection) = job.look_up_again() {
            return failed.ok_or(rejection);
        }
        let permit = match job.acquire().await {
            Ok(permit) => permit,
            Err(refusal) => return failed.map_or_else(|| Err(job.rejection(refusal)), Ok),
        };
        match start(&mut job, permit, None).await {
            Start::Started(started) => {
                log_take_up(&job, &started);
                return Ok(stream_response(job, started));
            }
            Start::NotStarted(Next::Retry) => {}
            Start::NotStarted(Next::Reject(rejection)) => return failed.ok_or(rejection),
            Start::NotStarted(Next::Return(response)) if job.may_retry() => failed = Some(response),
            Start::NotStarted(Next::Return(response)) => return Ok(response),
        }
    }
}

/// Logs that a stream goes on that its caller has taken up again.
fn log_take_up(job: &Job, started: &StartedRun) {
    let Some(after) = job.head.last_event else { return };
    let grant = &started.permit.grant;
    log::info!(
        "event=stream_taken_up request={} resumes={} after={after} endpoint={} version={}",
        job.head.request,
        job.head.resumes.as_deref().unwrap_or_default(),
        grant.endpoint,
        grant.version
    );
}

/// Sends the request to an endpoint and waits for the first event after the event `after`.
async fn start(job: &mut Job, permit: Permit, after: Option<u64>) -> Start {
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
    let splitter = EventSplitter::default();
    let mut reader = EventReader { body, splitter, connection, headers, head };
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

/// Returns the response of a stream that has started and spawns the task that passes its events on.
fn stream_response(mut job: Job, started: StartedRun) -> Response<ResponseBody> {
    let (tx, body) = ResponseBody::stream();
    let mut response = Response::new(body);
    *response.status_mut() = started.status;
    *response.headers_mut() = caller::response_headers(&started.reader.headers);
    // Once an event is passed on, the rest must come from the same version.
    job.version = VersionNeed::Exactly(started.permit.grant.version.clone());
    tokio::spawn(relay(job, started, tx));
    response
}

/// How passing on the events of one attempt ended.
enum Ending {
    /// The stream is complete.
    Complete,
    /// The caller left.
    Left,
    /// The endpoint failed before the end of the stream.
    Broken(Outcome),
    /// The endpoint is silent, and another one may go on.
    Switched(Permit),
    /// The deadline has passed.
    TimedOut,
}

/// Passes the events of a stream on until it ends, resuming it on another endpoint where one fails.
async fn relay(mut job: Job, started: StartedRun, tx: PartSender) {
    let request = job.head.request.clone();
    let mut last = job.head.last_event;
    let mut run = started;
    loop {
        let ending = relay_run(&job, &mut run, &tx, &mut last).await;
        let StartedRun { permit, reader, .. } = run;
        match ending {
            Ending::Complete => {
                reader.release_connection(&job);
                permit.end(Outcome::Whole);
                log::debug!("event=stream_ended request={request} last={last:?}");
                return;
            }
            Ending::Left => return log::info!("event=caller_left request={request} last={last:?}"),
            Ending::TimedOut => {
                log::info!("event=stream_timed_out request={request} last={last:?}");
                let _ = tx.send(Err(Truncated)).await;
                return;
            }
            Ending::Broken(outcome) => {
                // The connection is closed before another endpoint resumes the stream.
                drop(reader);
                job.record_failure(permit, outcome).await;
            }
            Ending::Switched(next) => {
                drop(reader);
                job.switch(permit, next).await;
            }
        }
        match resume(&mut job, &tx, last).await {
            Some(resumed) => run = resumed,
            None => {
                log::info!("event=stream_cut request={request} last={last:?}");
                let _ = tx.send(Err(Truncated)).await;
                return;
            }
        }
    }
}

/// Resumes the stream after the event `last` on another endpoint. Returns `None` if that is not
/// possible, or if the caller left.
async fn resume(job: &mut Job, tx: &PartSender, last: Option<u64>) -> Option<StartedRun> {
    loop {
        if !job.may_retry() || last.is_none() || job.look_up_again().is_err() {
            return None;
        }
        let started = async {
            let permit = job.acquire().await.ok()?;
            Some(start(job, permit, last).await)
        };
        let started = tokio::select! {
            started = started => started?,
            () = tx.closed() => return None,
        };
        match started {
            Start::Started(started) => {
                let grant = &started.permit.grant;
                log::info!(
                    "event=stream_resumed request={} after={} endpoint={} version={}",
                    job.head.request,
                    last.unwrap_or_default(),
                    grant.endpoint,
                    grant.version
                );
                return Some(started);
            }
            Start::NotStarted(Next::Retry) => {}
            Start::NotStarted(Next::Return(_)) if job.may_retry() => {}
            Start::NotStarted(Next::Return(_) | Next::Reject(_)) => return None,
        }
    }
}

/// Passes the events of one attempt on to the caller. `last` is the number of the last event that
/// was passed on.
async fn relay_run(
    job: &Job,
    run: &mut StartedRun,
    tx: &PartSender,
    last: &mut Option<u64>,
) -> Ending {
    let mut part = Part::Event(std::mem::take(&mut run.first_event), run.number);
    let mut longest_pause = Duration::ZERO;
    loop {
        match part {
            Part::Event(event, number) => match continuity(*last, number) {
                Continuity::Next => {
                    if tx.send(Ok(event)).await.is_err() {
                        return Ending::Left;
                    }
                    *last = number.or(*last);
                }
                Continuity::Duplicate => {}
                Continuity::Gap => return Ending::Broken(Outcome::Broke),
            },
            Part::End => {
                run.permit.record_pause(longest_pause);
                return Ending::Complete;
            }
            Part::Broken => return Ending::Broken(Outcome::Broke),
        }
        let time_left = job.deadline.since(Time::now());
        if time_left.is_zero() {
            return Ending::TimedOut;
        }
        let awaited_at = Time::now();
        // Without a number of the last event, no other endpoint could go on.
        let can_switch = job.may_retry() && last.is_some();
        let time_limit = if can_switch { EVENT_TIMEOUT } else { Duration::MAX };
        let next_part = job.wait_or_switch(&run.permit, time_limit, run.reader.next());
        part = tokio::select! {
            waited = timeout(time_left, next_part) => match waited {
                Ok(Waited::Done(part)) => part,
                Ok(Waited::Granted(next)) => return Ending::Switched(next),
                Err(_) => return Ending::TimedOut,
            },
            () = tx.closed() => return Ending::Left,
        };
        longest_pause = longest_pause.max(Time::now().since(awaited_at));
    }
}

/// How the number of an event follows that of the last event that was passed on.
#[derive(Debug, PartialEq, Eq)]
enum Continuity {
    /// The event follows, or one of the two has no number.
    Next,
    /// The event was passed on before.
    Duplicate,
    /// Events are missing in between.
    Gap,
}

/// Compares the number of an event with that of the last event that was passed on.
fn continuity(last: Option<u64>, number: Option<u64>) -> Continuity {
    match (last, number) {
        (Some(last), Some(number)) if number <= last => Continuity::Duplicate,
        (Some(last), Some(number)) if number > last + 1 => Continuity::Gap,
        _ => Continuity::Next,
    }
}
