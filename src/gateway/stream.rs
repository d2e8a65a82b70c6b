//! Streamed answers: events are passed on as they come, and another endpoint goes on where one
//! breaks off, if the route allows it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{
    forward::{AttemptResult, Job, Next},
    grants::Permit,
    response::{PartSender, Rejection, ResponseBody, Truncated},
};
use crate::{
    clock::Time,
    http::pool::Connection,
    kernel::grants::Outcome,
    platform::caller::{self, ResponseHead},
};

/// Shortest time after which an endpoint that sent no event counts as silent.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Goals after which an endpoint that sent no event counts as silent.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 2.0;

/// Time between two events after which an endpoint counts as silent.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Events of a run, split from its body.
struct EventReader {
    body: Incoming,
    buffer: BytesMut,
    connection: Connection,
    headers: HeaderMap,
    head: ResponseHead,
}

/// What a run's body brought next.
enum Part {
    /// A whole event with its number, where it names one.
    Event(Bytes, Option<u64>),
    /// The body ended as it should.
    End,
    /// The body broke off.
    Broken,
}

/// Length of the line end that closes an event, and where it begins.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|end| end == b"\n\n").map(|at| at + 2);
    let crlf = buffer.windows(4).position(|end| end == b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:".as_slice()))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

impl EventReader {
    async fn next(&mut self) -> Part {
        loop {
            if let Some(end) = event_end(&self.buffer) {
                let event = self.buffer.split_to(end).freeze();
                let number = event_number(&event);
                return Part::Event(event, number);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) => return Part::Broken,
                None if self.buffer.is_empty() => return Part::End,
                None => return Part::Broken,
            }
        }
    }

    /// Keeps the connection of a run that ended as it should.
    fn keep_connection(self, job: &Job) {
        job.keep_connection(self.connection, &self.headers, &self.head);
    }
}

/// A run whose first event has come.
struct StartedRun {
    status: StatusCode,
    permit: Permit,
    reader: EventReader,
    first: Bytes,
    number: Option<u64>,
}

/// What became of an attempt to start a run.
enum Start {
    Started(StartedRun),
    NotStarted(Next),
}

/// Runs a request whose answer is a stream.
pub async fn run(mut job: Job) -> Result<Response<ResponseBody>, Rejection> {
    let mut failed: Option<Response<ResponseBody>> = None;
    loop {
        let permit = match job.acquire().await {
            Ok(permit) => permit,
            Err(refusal) => return failed.map_or_else(|| Err(job.rejection(refusal)), Ok),
        };
        match start(&mut job, permit, None).await {
            Start::Started(started) => return Ok(stream_response(job, started)),
            Start::NotStarted(Next::Retry) => {}
            Start::NotStarted(Next::Reject(rejection)) => return failed.ok_or(rejection),
            Start::NotStarted(Next::Return(answer)) if job.may_retry() => failed = Some(answer),
            Start::NotStarted(Next::Return(answer)) => return Ok(answer),
        }
    }
}

/// Offers the request to an endpoint and waits for the first event.
async fn start(job: &mut Job, permit: Permit, after: Option<u64>) -> Start {
    let patient = !job.route.retry.may_retry() || job.runs + 1 >= job.route.max_attempts;
    let limit =
        job.route.target_latency.mul_f64(FIRST_EVENT_TIMEOUT_FACTOR).max(MIN_FIRST_EVENT_TIMEOUT);
    let limit = if patient { Duration::MAX } else { limit };
    let (answer, connection, head) = match job.attempt(&permit, after, limit).await {
        AttemptResult::NotRun(outcome) => {
            job.record_failure(permit, outcome);
            return Start::NotStarted(Next::Retry);
        }
        AttemptResult::Unknown(outcome) => {
            job.runs += 1;
            job.record_failure(permit, outcome);
            return Start::NotStarted(job.next_after_unknown());
        }
        AttemptResult::Response(answer, connection, head) => (answer, connection, head),
    };
    job.runs += 1;
    if !answer.status().is_success() {
        return handle_error_response(job, permit, answer, connection, &head).await;
    }
    let (parts, body) = answer.into_parts();
    let (status, headers) = (parts.status, parts.headers);
    let mut source = EventReader { body, buffer: BytesMut::new(), connection, headers, head };
    let left = job.deadline.since(Time::now());
    match timeout(limit.min(left), source.next()).await {
        Ok(Part::Event(first, number)) => {
            permit.record_first_event();
            Start::Started(StartedRun { status, permit, reader: source, first, number })
        }
        Ok(Part::End) => {
            // An answer without events is no stream; there is nothing to pass on.
            job.record_failure(permit, Outcome::Broke);
            Start::NotStarted(job.next_after_unknown())
        }
        Ok(Part::Broken) => {
            job.record_failure(permit, Outcome::Broke);
            Start::NotStarted(job.next_after_unknown())
        }
        Err(_) => {
            job.record_failure(permit, Outcome::Silent);
            Start::NotStarted(job.next_after_unknown())
        }
    }
}

async fn handle_error_response(
    job: &mut Job,
    permit: Permit,
    answer: Response<Incoming>,
    connection: Connection,
    head: &ResponseHead,
) -> Start {
    let Some(answer) = job.collect_response(answer, connection, head).await else {
        job.record_failure(permit, Outcome::Broke);
        return Start::NotStarted(job.next_after_unknown());
    };
    if answer.status().is_server_error() {
        job.record_failure(permit, Outcome::Failed);
    } else {
        permit.end(Outcome::Whole);
    }
    Start::NotStarted(Next::Return(answer))
}

/// Builds the answer from a run that has started and passes its events on in the background.
fn stream_response(job: Job, started: StartedRun) -> Response<ResponseBody> {
    let (tx, body) = ResponseBody::stream();
    let mut answer = Response::new(body);
    *answer.status_mut() = started.status;
    *answer.headers_mut() = caller::response_headers(&started.reader.headers);
    tokio::spawn(relay(job, started, tx));
    answer
}

/// How the passing on of a run ended.
enum Relayed {
    Complete,
    Left,
    Broken(Outcome),
    TimedOut,
}

async fn relay(mut job: Job, started: StartedRun, tx: PartSender) {
    let request = job.head.request.clone();
    let mut last = job.head.last_event;
    let mut run = started;
    loop {
        let ended = relay_run(&job, &mut run, &tx, &mut last).await;
        let StartedRun { permit, reader: source, .. } = run;
        match ended {
            Relayed::Complete => {
                source.keep_connection(&job);
                permit.end(Outcome::Whole);
                log::debug!("event=stream_ended request={request} last={last:?}");
                return;
            }
            Relayed::Left => {
                return log::info!("event=caller_left request={request} last={last:?}");
            }
            Relayed::TimedOut => {
                log::info!("event=stream_timed_out request={request} last={last:?}");
                let _ = tx.send(Err(Truncated)).await;
                return;
            }
            Relayed::Broken(outcome) => {
                // The connection is closed before another run begins.
                drop(source);
                job.record_failure(permit, outcome);
            }
        }
        match resume(&mut job, &tx, last).await {
            Some(next) => run = next,
            None => {
                log::info!("event=stream_cut request={request} last={last:?}");
                let _ = tx.send(Err(Truncated)).await;
                return;
            }
        }
    }
}

/// Starts another run that goes on after the last event.
async fn resume(job: &mut Job, tx: &PartSender, last: Option<u64>) -> Option<StartedRun> {
    loop {
        if !job.may_retry() || last.is_none() {
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
                log::info!("event=stream_resumed request={} after={last:?}", job.head.request);
                return Some(started);
            }
            Start::NotStarted(Next::Retry) => {}
            Start::NotStarted(Next::Return(_)) if job.may_retry() => {}
            Start::NotStarted(Next::Return(_) | Next::Reject(_)) => return None,
        }
    }
}

async fn relay_run(
    job: &Job,
    run: &mut StartedRun,
    tx: &PartSender,
    last: &mut Option<u64>,
) -> Relayed {
    let mut part = Part::Event(std::mem::take(&mut run.first), run.number);
    loop {
        match part {
            Part::Event(event, number) => match continuity(*last, number) {
                Continuity::Next => {
                    if tx.send(Ok(event)).await.is_err() {
                        return Relayed::Left;
                    }
                    *last = number.or(*last);
                }
                Continuity::Duplicate => {}
                Continuity::Gap => return Relayed::Broken(Outcome::Broke),
            },
            Part::End => return Relayed::Complete,
            Part::Broken => return Relayed::Broken(Outcome::Broke),
        }
        let left = job.deadline.since(Time::now());
        if left.is_zero() {
            return Relayed::TimedOut;
        }
        let limit = if job.may_retry() { EVENT_TIMEOUT.min(left) } else { left };
        part = tokio::select! {
            part = timeout(limit, run.reader.next()) => match part {
                Ok(part) => part,
                Err(_) if limit < left => return Relayed::Broken(Outcome::Silent),
                Err(_) => return Relayed::TimedOut,
            },
            () = tx.closed() => return Relayed::Left,
        };
    }
}

/// How an event follows the last one that was passed on.
#[derive(Debug, PartialEq, Eq)]
enum Continuity {
    Next,
    Duplicate,
    Gap,
}

fn continuity(last: Option<u64>, number: Option<u64>) -> Continuity {
    match (last, number) {
        (Some(last), Some(number)) if number <= last => Continuity::Duplicate,
        (Some(last), Some(number)) if number > last + 1 => Continuity::Gap,
        _ => Continuity::Next,
    }
}
