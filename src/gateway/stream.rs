//! Runs requests whose response is a stream of events.
//!
//! Events are passed on as they arrive. If an endpoint fails in the middle of a stream, another
//! endpoint resumes it after the last event, if the route allows that.

mod reader;
mod relay;
mod start;

use http::Response;

use self::{
    relay::relay,
    start::{Start, StartedRun, start},
};
use super::{
    forward::{Job, Next},
    response::{Rejection, ResponseBody},
};
use crate::{kernel::grants::VersionNeed, platform::caller};

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
