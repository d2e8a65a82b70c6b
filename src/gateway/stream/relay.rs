//! Passes the events of a stream on to its caller, and resumes it on another endpoint.

use std::time::Duration;

use tokio::time::timeout;

use super::{
    super::{
        forward::{Job, Next},
        grants::Permit,
        response::{PartSender, Truncated},
        silence::Waited,
    },
    reader::Part,
    start::{Start, StartedRun, start},
};
use crate::{clock::Time, kernel::grants::Outcome};

/// Time to each further event after which another endpoint is asked for, where a retry is possible.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

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
pub(super) async fn relay(mut job: Job, started: StartedRun, tx: PartSender) {
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
