//! Runs requests whose response is read as a whole before it is passed on.

use std::time::Duration;

use http::Response;

use super::{
    forward::{AttemptResult, Job, Next},
    grants::Permit,
    response::{Rejection, ResponseBody},
    silence::Waited,
};
use crate::{catalog::RetryPolicy, kernel::grants::Outcome};

/// Time without a response after which another endpoint is asked for, in multiples of the route's target
/// latency, where a retry is possible.
const RESPONSE_TIMEOUT_FACTOR: f64 = 2.5;

/// Lower bound of the same time.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

impl Job {
    /// Runs a request whose response is read as a whole before it is passed on.
    pub(super) async fn run_buffered(&mut self) -> Result<Response<ResponseBody>, Rejection> {
        // The last response of an endpoint that failed, for the caller if no retry succeeds.
        let mut failed: Option<Response<ResponseBody>> = None;
        loop {
            if let Some(result) = self.avoid_cut().await {
                return result;
            }
            if let Err(rejection) = self.look_up_again() {
                return failed.ok_or(rejection);
            }
            let permit = match self.acquire().await {
                Ok(permit) => permit,
                Err(refusal) => return failed.map_or_else(|| Err(self.rejection(refusal)), Ok),
            };
            match self.attempt_buffered(permit, &mut failed).await {
                Next::Return(response) => return Ok(response),
                Next::Retry => {}
                Next::Reject(rejection) => return failed.ok_or(rejection),
            }
        }
    }

    /// Makes one attempt and reads the whole response. Stores the response of an endpoint's failure
    /// in `failed`, which the caller gets if no retry succeeds.
    async fn attempt_buffered(
        &mut self,
        permit: Permit,
        failed: &mut Option<Response<ResponseBody>>,
    ) -> Next {
        let has_retry =
            self.route.retry == RetryPolicy::Idempotent && self.runs + 1 < self.route.max_attempts;
        let response_timeout =
            self.route.target_latency.mul_f64(RESPONSE_TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT);
        // The attempt may use this fraction of the time left; the rest is for the retry.
        let time_limit = if has_retry {
            response_timeout.min(self.time_left().mul_f64(0.6))
        } else {
            self.time_left()
        };
        // Counted now, since the response may come long after the work has begun.
        let run = self.gateway.count_run(self.team.as_ref());
        let attempt = self.attempt(&permit, None, self.time_left());
        let result = match self.wait_or_switch(&permit, time_limit, attempt).await {
            Waited::Done(result) => result,
            Waited::Granted(next) => {
                self.runs += 1;
                self.switch(permit, next).await;
                return Next::Retry;
            }
        };
        match result {
            AttemptResult::NotRun(outcome) => {
                self.gateway.count_not_run(run);
                self.record_failure(permit, outcome).await;
                Next::Retry
            }
            AttemptResult::Unknown(outcome) => {
                self.runs += 1;
                self.record_failure(permit, outcome).await;
                self.next_after_unknown()
            }
            AttemptResult::Response(response, connection, head) => {
                self.runs += 1;
                let Some(response) = self.collect_response(response, connection, &head).await
                else {
                    self.record_failure(permit, Outcome::Broke).await;
                    return self.next_after_unknown();
                };
                if !response.status().is_server_error() {
                    permit.end(Outcome::Whole);
                    return Next::Return(response);
                }
                self.record_failure(permit, Outcome::Failed).await;
                if !self.may_retry() {
                    return Next::Return(response);
                }
                *failed = Some(response);
                Next::Retry
            }
        }
    }
}
