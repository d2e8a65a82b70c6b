//! Waits for endpoints that are silent.
//!
//! Silence is not failure: a sound engine that preempts a request is silent for seconds and then goes on.
//! A run is therefore only given up for a grant of another endpoint that can go on with it. Without one,
//! it is waited for as long as its caller waits.

use std::{pin::pin, sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use super::{forward::Job, grants::Permit};
use crate::kernel::grants::Outcome;

/// Wait after a refusal before another endpoint is asked for again.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// How waiting for an endpoint has ended.
pub enum Waited<T> {
    /// The endpoint has done what was waited for.
    Done(T),
    /// Another endpoint may go on.
    Granted(Permit),
}

impl Job {
    /// Waits for `work` of the endpoint of `permit`. After `limit`, asks for another endpoint until one
    /// is granted or the work is done.
    pub(super) async fn wait_or_switch<T>(
        &self,
        permit: &Permit,
        limit: Duration,
        work: impl Future<Output = T>,
    ) -> Waited<T> {
        let mut work = pin!(work);
        if let Ok(done) = timeout(limit, &mut work).await {
            return Waited::Done(done);
        }
        let grant = &permit.grant;
        log::info!(
            "event=endpoint_silent request={} endpoint={}",
            self.head.request,
            grant.endpoint
        );
        self.gateway.suspect(&grant.endpoint, grant.address);
        tokio::select! {
            biased;
            done = work => Waited::Done(done),
            other = self.acquire_other(&grant.endpoint) => Waited::Granted(other),
        }
    }

    /// Waits for a grant of an endpoint other than `silent`.
    async fn acquire_other(&self, silent: &Arc<str>) -> Permit {
        loop {
            let mut request = self.grant_request();
            request.tried.push(silent.clone());
            request.is_retry = true;
            if let Ok(permit) = self.request_grant(request).await {
                match self.gateway.held_back(&permit.grant) {
                    None => return permit,
                    Some(outcome) => permit.end(self.gateway.without_blame(outcome)),
                }
            }
            sleep(ASK_INTERVAL).await;
        }
    }

    /// Gives up the silent run of `permit` for the grant `next`.
    pub(super) async fn switch(&mut self, permit: Permit, next: Permit) {
        self.record_failure(permit, Outcome::Silent).await;
        self.granted = Some(next);
    }
}
