//! Sends an admitted request to the endpoints that are granted to it and returns the response.
//!
//! If an attempt fails, the request is sent to another endpoint, provided that its route allows a
//! retry.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Gateway,
    arrival::Origin,
    grants::{Permit, acquire},
    intake::{Account, read_response},
    reach::SuspicionGuard,
    response::{Rejection, ResponseBody},
};
use crate::{
    catalog::{Catalog, Route, Team},
    clock::Time,
    http::pool::{Connection, SendError},
    kernel::{
        grants::{Grant, GrantRequest, ModelWork, Outcome, Reason, Refusal, StreamId, VersionNeed},
        retry::attempt_time,
    },
    platform::caller::{self, AddedHeaders, CallerHead, ResponseHead},
};

/// Timeout of opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Attempts for one request, including those that an endpoint refused to run.
const MAX_ATTEMPTS: u32 = 6;

/// Time for which an idle connection is kept open if the endpoint's response names no limit.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Fraction of the endpoint's own limit for which an idle connection is kept open, so that the
/// endpoint does not close it first.
const KEEP_ALIVE_FRACTION: f64 = 0.9;

/// Largest response that is read as a whole, in bytes. Several of them must fit into the memory of the
/// instance, since a server in trouble may send bytes without end.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Factor by which the output may exceed the caller's estimate of its length.
const LENGTH_HINT_FACTOR: f64 = 1.5;

/// The refusal of a request that gets no grant in time.
const NO_GRANT: Refusal = Refusal { reason: Reason::NoRoom, retry: Duration::from_secs(1) };

/// A caller's request while it is being served.
pub struct Job {
    pub(super) gateway: Arc<Gateway>,
    /// Configuration in which the route, the team and the service were looked up.
    pub(super) catalog: Arc<Catalog>,
    pub(super) route: Arc<Route>,
    pub(super) head: CallerHead,
    pub(super) deadline: Time,
    /// Service that was chosen among those of the route.
    pub(super) service: Arc<str>,
    /// Random number by which the service is chosen.
    pub(super) draw: u32,
    /// Team of the caller's key; `None` if the request has no valid key.
    pub(super) team: Option<Arc<Team>>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// When the first byte of the response should be sent.
    pub(super) due: Time,
    /// Hash of the request, the same for each retry by the caller.
    pub(super) fingerprint: u64,
    /// Endpoints on which an attempt has failed.
    pub(super) tried: Vec<Arc<str>>,
    /// Grant of the next attempt, if it was given while the last one was silent.
    pub(super) granted: Option<Permit>,
    /// Attempts so far.
    pub(super) attempts: u32,
    /// Software version that the endpoint must have.
    pub(super) version: VersionNeed,
    /// Attempts that may have run the request. Only these count against the route's `max_attempts`.
    pub(super) runs: u32,
    /// The connection of the caller.
    pub(super) account: Account,
    /// Who has sent the request to this instance.
    pub(super) origin: Origin,
    /// Whether the last attempt failed to reach its endpoint.
    pub(super) was_unreached: bool,
    /// Whether no other instance has taken the request.
    pub(super) was_declined: bool,
}

/// The result of one attempt.
pub enum AttemptResult {
    /// The endpoint responds; the body is not read yet.
    Response(Response<Incoming>, Connection, ResponseHead),
    /// The endpoint has certainly not run the request.
    NotRun(Outcome),
    /// It is not known whether the endpoint ran the request.
    Unknown(Outcome),
}

/// The next step after an attempt.
pub enum Next {
    /// Return this response to the caller.
    Return(Response<ResponseBody>),
    /// Send the request to another endpoint.
    Retry,
    /// Reject the request.
    Reject(Rejection),
}

impl Job {
    /// Returns the time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.since(Time::now())
    }

    /// Returns whether another attempt is allowed after one that may have run the request.
    pub(super) fn may_retry(&self) -> bool {
        self.route.retry.may_retry() && self.runs < self.route.max_attempts
    }

    /// Returns the request for a grant.
    pub(super) fn grant_request(&self) -> GrantRequest {
        let tokens = self.head.tokens;
        let default_tokens = self.team.as_ref().map_or(0, |team| team.default_tokens);
        let work = self.head.model.clone().map(|model| {
            let (prompt_tokens, output_tokens) = tokens.unwrap_or((0, 0));
            let expected_tokens =
                self.head.hint.map(|hint| (hint as f64 * LENGTH_HINT_FACTOR) as u64);
            ModelWork {
                model,
                adapter: self.head.adapter.clone(),
                parts: self.head.parts.clone(),
                prompt_tokens,
                output_tokens: expected_tokens
                    .map_or(output_tokens, |expected| expected.min(output_tokens)),
            }
        });
        GrantRequest {
            service: self.service.clone(),
            data_centre: self.gateway.settings.data_centre.clone(),
            team: self.team.as_ref().map(|team| team.name.clone()),
            charge: tokens.map_or(default_tokens, |(prompt_tokens, output_tokens)| {
                prompt_tokens + output_tokens
            }),
            priority: self.route.priority,
            due: self.due,
            deadline: self.deadline,
            max_pause: self.route.max_pause,
            work,
            tried: self.tried.iter().cloned().chain(self.gateway.closed_endpoints()).collect(),
            is_retry: self.attempts > 0,
            fingerprint: self.fingerprint,
            stream: self.stream_id(),
            version: self.version.clone(),
        }
    }

    /// Returns the stream that the request begins or resumes; `None` if it cannot be resumed.
    fn stream_id(&self) -> Option<StreamId> {
        let id = match self.head.last_event {
            Some(_) => self.head.resumes.as_deref()?,
            None => &self.head.request,
        };
        let is_resumable = self.route.retry.is_stream() && self.route.retry.may_retry();
        is_resumable.then(|| StreamId(xxh3_64(id.as_bytes())))
    }

    /// Waits for a grant of an endpoint that this instance may use. Fails if the scheduler refuses the
    /// request, at the deadline, or after [`MAX_ATTEMPTS`].
    pub(super) async fn acquire(&mut self) -> Result<Permit, Refusal> {
        loop {
            let permit = match self.granted.take() {
                Some(permit) => permit,
                None => self.acquire_any().await?,
            };
            match self.gateway.held_back(&permit.grant) {
                None => {
                    self.attempts += 1;
                    return Ok(permit);
                }
                Some(outcome) => self.record_failure(permit, outcome).await,
            }
        }
    }

    /// Waits for a grant of any endpoint.
    async fn acquire_any(&self) -> Result<Permit, Refusal> {
        if self.attempts >= MAX_ATTEMPTS || self.grant_time_left().is_zero() {
            return Err(NO_GRANT);
        }
        let requested_at = Time::now();
        let grant_request = self.grant_request();
        let mut permit = self.request_grant(grant_request.clone()).await;
        let is_unknown = permit.as_ref().is_err_and(|refusal| refusal.reason == Reason::NoOrigin);
        if is_unknown && self.gateway.ensure_origins().await {
            permit = self.request_grant(grant_request).await;
        }
        let waited = Time::now().since(requested_at).as_millis();
        let request = &self.head.request;
        match &permit {
            Ok(permit) => {
                let Grant { endpoint, holder, .. } = &permit.grant;
                let holder = holder.map(|holder| holder.to_string()).unwrap_or_default();
                log::debug!(
                    "event=granted request={request} endpoint={endpoint} waited_ms={waited} \
                     holder={holder}"
                );
            }
            Err(refusal) => {
                log::debug!(
                    "event=not_granted request={request} reason={:?} waited_ms={waited}",
                    refusal.reason
                )
            }
        }
        permit
    }

    /// Returns the time for which the request may wait for a grant.
    fn grant_time_left(&self) -> Duration {
        self.time_left().min(self.gateway.send_time_left())
    }

    /// Requests a grant and waits for it until the deadline, or until it is too late to send it.
    pub(super) async fn request_grant(&self, request: GrantRequest) -> Result<Permit, Refusal> {
        let granted = timeout(self.grant_time_left(), acquire(&self.gateway, request)).await;
        granted.unwrap_or(Err(NO_GRANT))
    }

    /// Returns the hashes of the prompt's parts, separated by commas, for the log.
    fn part_list(&self) -> String {
        let parts = self.head.parts.iter().map(|(hash, _)| format!("{hash:x}"));
        parts.collect::<Vec<_>>().join(",")
    }

    /// Records that an attempt failed, releases the grant and excludes the endpoint from further
    /// attempts.
    pub(super) async fn record_failure(&mut self, permit: Permit, outcome: Outcome) {
        let (request, endpoint) = (&self.head.request, &permit.grant.endpoint);
        log::info!(
            "event=offer_failed request={request} endpoint={endpoint} outcome={outcome:?} \
             fingerprint={:016x} parts={}",
            self.fingerprint,
            self.part_list()
        );
        if outcome != Outcome::Left {
            self.tried.push(endpoint.clone());
        }
        self.was_unreached = outcome == Outcome::Unreached;
        if matches!(outcome, Outcome::Broke | Outcome::Unreached) {
            self.gateway.check_path().await;
        }
        permit.end(self.gateway.without_blame(outcome));
    }

    /// Sends the request to the granted endpoint and waits at most `time_limit` for the head of the
    /// response. A stream continues after the event `after`.
    pub(super) async fn attempt(
        &self,
        permit: &Permit,
        after: Option<u64>,
        time_limit: Duration,
    ) -> AttemptResult {
        let Some(time_limit) = attempt_time(time_limit, self.time_left()) else {
            return AttemptResult::NotRun(Outcome::Left);
        };
        let guard = SuspicionGuard::new(&self.gateway, &permit.grant);
        let result = timeout(time_limit, self.send(permit, after)).await;
        if result.is_ok() {
            guard.dismiss();
        }
        result.unwrap_or(AttemptResult::Unknown(Outcome::Silent))
    }

    /// Sends the request on an idle connection, or on a new one if the idle ones have been closed.
    async fn send(&self, permit: &Permit, after: Option<u64>) -> AttemptResult {
        loop {
            let grant = &permit.grant;
            let acquired = self.connect_watched(grant, CONNECT_TIMEOUT).await;
            let Ok(mut connection) = acquired else {
                self.gateway.record_reached(&grant.endpoint, false);
                return AttemptResult::NotRun(Outcome::Unreached);
            };
            if self.time_left().is_zero() || !self.is_current() {
                // The process was paused, opening the connection took all of the time, or the
                // configuration has changed since the grant was requested.
                return AttemptResult::NotRun(Outcome::Left);
            }
            let sent_at = Time::now();
            let request = self.endpoint_request(permit, after);
            match self.send_watched(&mut connection, request, permit).await {
                Ok(response) => {
                    self.gateway.record_reached(&grant.endpoint, true);
                    return self.classify_response(permit, response, connection, sent_at);
                }
                // The endpoint may have closed an idle connection before the request was sent on
                // it.
                Err(SendError::NotSent(_)) if !connection.is_fresh() => {}
                Err(SendError::NotSent(_) | SendError::Refused) => {
                    return AttemptResult::NotRun(Outcome::Unreached);
                }
                Err(SendError::Unknown(reason)) => {
                    log::debug!(
                        "event=exchange_broke request={} reason={reason}",
                        self.head.request
                    );
                    return AttemptResult::Unknown(Outcome::Broke);
                }
            }
        }
    }

    /// Returns the request as it is sent to the endpoint.
    fn endpoint_request(&self, permit: &Permit, after: Option<u64>) -> Request<Full<Bytes>> {
        let is_model = self.head.model.is_some();
        let added = AddedHeaders {
            endpoint: &permit.grant.endpoint,
            team: self.team.as_ref().map(|team| &*team.name),
            time_left: self.time_left(),
            priority: is_model.then(|| self.route.priority.min(9)),
            after: after.or(self.head.last_event),
            holder: permit.grant.holder,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = caller::request_headers(&self.headers, &added);
        request
    }

    /// Returns the result of an attempt, by the head of the endpoint's response.
    fn classify_response(
        &self,
        permit: &Permit,
        response: Response<Incoming>,
        connection: Connection,
        sent_at: Time,
    ) -> AttemptResult {
        let head = caller::response_head(response.status(), response.headers());
        if head.request.as_deref().is_some_and(|id| id != &*self.head.request) {
            // The response belongs to an earlier request. The response to this request may follow
            // on the connection, which therefore cannot be used for others.
            log::info!("event=answer_crossed request={}", self.head.request);
            return AttemptResult::Unknown(Outcome::Broke);
        }
        let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
        let is_own_success = response.status().is_success() && head.stamped;
        // Only the endpoint's own success shows that it no longer names a limit.
        if !misdirected && (head.rate_limit.is_some() || is_own_success) {
            self.gateway.record_rate_limit(&permit.grant, head.rate_limit, sent_at);
        }
        self.gateway.record_signs(&permit.grant, &head);
        if let Some(max_refusals) = head.max_refusals {
            permit.record_max_refusals(max_refusals);
        }
        permit.record_load(head.load.filter(|_| !misdirected));
        if head.not_run && !head.refuses(&self.head.request, connection.is_fresh()) {
            log::info!("event=refusal_not_named request={}", self.head.request);
            return AttemptResult::Unknown(Outcome::Broke);
        }
        if head.not_run {
            return AttemptResult::NotRun(if misdirected {
                Outcome::Misplaced
            } else {
                Outcome::Full
            });
        }
        // Only the endpoint can stamp a response, so a success without a stamp is not its own.
        if response.status().is_success() && !head.stamped {
            return AttemptResult::Unknown(Outcome::Broke);
        }
        AttemptResult::Response(response, connection, head)
    }

    /// Reads a response and returns its connection to the pool; `None` if it is too large or late.
    pub(super) async fn collect_response(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        head: &ResponseHead,
    ) -> Option<Response<ResponseBody>> {
        let (parts, body) = response.into_parts();
        let body = read_response(body, MAX_RESPONSE_BYTES, &self.account);
        let body = timeout(self.time_left(), body).await.ok()??;
        self.release_connection(connection, &parts.headers, head);
        let mut response = Response::new(ResponseBody::from(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = caller::response_headers(&parts.headers);
        Some(response)
    }

    /// Returns the connection of a completely read response to the pool, unless the endpoint closes
    /// it.
    pub(super) fn release_connection(
        &self,
        connection: Connection,
        headers: &HeaderMap,
        head: &ResponseHead,
    ) {
        let connection_header = headers.get(http::header::CONNECTION);
        if connection_header.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            return;
        }
        let keep_alive = head
            .keep_alive
            .map_or(DEFAULT_KEEP_ALIVE, |keep_alive| keep_alive.mul_f64(KEEP_ALIVE_FRACTION));
        self.gateway.pool.release(connection, keep_alive);
    }

    /// Returns the rejection of a request that gets no further grant.
    pub(super) fn rejection(&self, refusal: Refusal) -> Rejection {
        match self.runs {
            0 => Rejection::NotRun(refusal),
            _ if self.time_left().is_zero() => Rejection::TimedOut,
            _ => Rejection::Unknown,
        }
    }

    /// Returns the next step after an attempt for which it is not known whether the request ran.
    pub(super) fn next_after_unknown(&self) -> Next {
        match () {
            () if self.time_left().is_zero() => Next::Reject(Rejection::TimedOut),
            () if self.may_retry() => Next::Retry,
            () => Next::Reject(Rejection::Unknown),
        }
    }
}
