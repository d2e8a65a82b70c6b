//! Streamed answers: events are passed on as they come, and another endpoint goes on where one
//! breaks off, if the route allows it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{
    answer::{AnswerBody, Cut, PartSender, Rejection},
    forward::{Job, Next, Offer},
    grants::Permit,
};
use crate::{
    clock::Time,
    http::pool::Connection,
    kernel::grants::Outcome,
    platform::caller::{self, AnswerHead},
};

/// Shortest time after which an endpoint that sent no event counts as silent.
const FIRST_LEAST: Duration = Duration::from_millis(1_500);

/// Goals after which an endpoint that sent no event counts as silent.
const FIRST_GOALS: f64 = 2.0;

/// Time between two events after which an endpoint counts as silent.
const EVENT_LIMIT: Duration = Duration::from_millis(1_500);

/// Events of a run, split from its body.
struct Source {
    body: Incoming,
    buffer: BytesMut,
    connection: Connection,
    headers: HeaderMap,
    head: AnswerHead,
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

impl Source {
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
    fn keep(self, job: &Job) {
        job.keep(self.connection, &self.headers, &self.head);
    }
}

/// A run whose first event has come.
struct Started {
    status: StatusCode,
    permit: Permit,
    source: Source,
    first: Bytes,
    number: Option<u64>,
}

/// What became of an attempt to start a run.
enum Start {
    Started(Started),
    Else(Next),
}

/// Runs a request whose answer is a stream.
pub async fn run(mut job: Job) -> Result<Response<AnswerBody>, Rejection> {
    let mut failed: Option<Response<AnswerBody>> = None;
    loop {
        let permit = match job.acquire().await {
            Ok(permit) => permit,
            Err(refusal) => return failed.map_or_else(|| Err(job.refuse(refusal)), Ok),
        };
        match start(&mut job, permit, None).await {
            Start::Started(started) => return Ok(pass_on(job, started)),
            Start::Else(Next::Again) => {}
            Start::Else(Next::Reject(rejection)) => return failed.ok_or(rejection),
            Start::Else(Next::Return(answer)) if job.may_rerun() => failed = Some(answer),
            Start::Else(Next::Return(answer)) => return Ok(answer),
        }
    }
}

/// Offers the request to an endpoint and waits for the first event.
async fn start(job: &mut Job, permit: Permit, after: Option<u64>) -> Start {
    let patient = !job.route.retry.may_retry() || job.runs + 1 >= job.route.max_attempts;
    let limit = job.route.target_latency.mul_f64(FIRST_GOALS).max(FIRST_LEAST);
    let limit = if patient { Duration::MAX } else { limit };
    let (answer, connection, head) = match job.offer(&permit, after, limit).await {
        Offer::NotRun(outcome) => {
            job.avoid(permit, outcome);
            return Start::Else(Next::Again);
        }
        Offer::Unknown(outcome) => {
            job.runs += 1;
            job.avoid(permit, outcome);
            return Start::Else(job.after_loss());
        }
        Offer::Answer(answer, connection, head) => (answer, connection, head),
    };
    job.runs += 1;
    if !answer.status().is_success() {
        return failed_start(job, permit, answer, connection, &head).await;
    }
    let (parts, body) = answer.into_parts();
    let (status, headers) = (parts.status, parts.headers);
    let mut source = Source { body, buffer: BytesMut::new(), connection, headers, head };
    let left = job.deadline.since(Time::now());
    match timeout(limit.min(left), source.next()).await {
        Ok(Part::Event(first, number)) => {
            permit.first_event();
            Start::Started(Started { status, permit, source, first, number })
        }
        Ok(Part::End) => {
            // An answer without events is no stream; there is nothing to pass on.
            job.avoid(permit, Outcome::Broke);
            Start::Else(job.after_loss())
        }
        Ok(Part::Broken) => {
            job.avoid(permit, Outcome::Broke);
            Start::Else(job.after_loss())
        }
        Err(_) => {
            job.avoid(permit, Outcome::Silent);
            Start::Else(job.after_loss())
        }
    }
}

async fn failed_start(
    job: &mut Job,
    permit: Permit,
    answer: Response<Incoming>,
    connection: Connection,
    head: &AnswerHead,
) -> Start {
    let Some(answer) = job.gather(answer, connection, head).await else {
        job.avoid(permit, Outcome::Broke);
        return Start::Else(job.after_loss());
    };
    if answer.status().is_server_error() {
        job.avoid(permit, Outcome::Failed);
    } else {
        permit.end(Outcome::Whole);
    }
    Start::Else(Next::Return(answer))
}

/// Builds the answer from a run that has started and passes its events on in the background.
fn pass_on(job: Job, started: Started) -> Response<AnswerBody> {
    let (tx, body) = AnswerBody::stream();
    let mut answer = Response::new(body);
    *answer.status_mut() = started.status;
    *answer.headers_mut() = caller::answer_headers(&started.source.headers);
    tokio::spawn(pump(job, started, tx));
    answer
}

/// How the passing on of a run ended.
enum Pumped {
    Whole,
    Left,
    Broken(Outcome),
    TimedOut,
}

async fn pump(mut job: Job, started: Started, tx: PartSender) {
    let request = job.head.request.clone();
    let mut last = job.head.last_event;
    let mut run = started;
    loop {
        let ended = pump_run(&job, &mut run, &tx, &mut last).await;
        let Started { permit, source, .. } = run;
        match ended {
            Pumped::Whole => {
                source.keep(&job);
                permit.end(Outcome::Whole);
                log::debug!("event=stream_ended request={request} last={last:?}");
                return;
            }
            Pumped::Left => return log::info!("event=caller_left request={request} last={last:?}"),
            Pumped::TimedOut => {
                log::info!("event=stream_timed_out request={request} last={last:?}");
                let _ = tx.send(Err(Cut)).await;
                return;
            }
            Pumped::Broken(outcome) => {
                // The connection is closed before another run begins.
                drop(source);
                job.avoid(permit, outcome);
            }
        }
        match resume(&mut job, &tx, last).await {
            Some(next) => run = next,
            None => {
                log::info!("event=stream_cut request={request} last={last:?}");
                let _ = tx.send(Err(Cut)).await;
                return;
            }
        }
    }
}

/// Starts another run that goes on after the last event.
async fn resume(job: &mut Job, tx: &PartSender, last: Option<u64>) -> Option<Started> {
    loop {
        if !job.may_rerun() || last.is_none() {
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
            Start::Else(Next::Again) => {}
            Start::Else(Next::Return(_)) if job.may_rerun() => {}
            Start::Else(Next::Return(_) | Next::Reject(_)) => return None,
        }
    }
}

async fn pump_run(job: &Job, run: &mut Started, tx: &PartSender, last: &mut Option<u64>) -> Pumped {
    let mut part = Part::Event(std::mem::take(&mut run.first), run.number);
    loop {
        match part {
            Part::Event(event, number) => match order(*last, number) {
                Order::Next => {
                    if tx.send(Ok(event)).await.is_err() {
                        return Pumped::Left;
                    }
                    *last = number.or(*last);
                }
                Order::Known => {}
                Order::Gap => return Pumped::Broken(Outcome::Broke),
            },
            Part::End => return Pumped::Whole,
            Part::Broken => return Pumped::Broken(Outcome::Broke),
        }
        let left = job.deadline.since(Time::now());
        if left.is_zero() {
            return Pumped::TimedOut;
        }
        let limit = if job.may_rerun() { EVENT_LIMIT.min(left) } else { left };
        part = tokio::select! {
            part = timeout(limit, run.source.next()) => match part {
                Ok(part) => part,
                Err(_) if limit < left => return Pumped::Broken(Outcome::Silent),
                Err(_) => return Pumped::TimedOut,
            },
            () = tx.closed() => return Pumped::Left,
        };
    }
}

/// How an event follows the last one that was passed on.
#[derive(Debug, PartialEq, Eq)]
enum Order {
    Next,
    Known,
    Gap,
}

fn order(last: Option<u64>, number: Option<u64>) -> Order {
    match (last, number) {
        (Some(last), Some(number)) if number <= last => Order::Known,
        (Some(last), Some(number)) if number > last + 1 => Order::Gap,
        _ => Order::Next,
    }
}
