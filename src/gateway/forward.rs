//! Serves a caller's request: finds its route, checks its key, acquires a grant, sends the request
//! to the granted endpoint and returns the response.
//!
//! If an attempt fails, the request is sent to another endpoint, provided that its route allows a
//! retry. Streamed responses are handled in [`super::stream`].

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::Xxh3;

use super::{
    Gateway,
    grants::{Permit, acquire},
    response::{Rejection, ResponseBody},
    stream,
};
use crate::{
    catalog::{Catalog, RetryPolicy, Route, Team},
    clock::Time,
    http::pool::{Connection, SendError},
    kernel::grants::{GrantRequest, ModelWork, Outcome, Reason, Refusal},
    platform::caller::{self, AddedHeaders, CallerHead, ResponseHead},
};

/// Timeout of opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a request whose caller names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a request waits for the configuration if the instance has just started.
const CATALOG_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a waiting request checks for the configuration.
const CATALOG_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time that a request takes from the caller to this instance; it counts against the caller's
/// timeout.
const TRANSIT_TIME: Duration = Duration::from_millis(4);

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

/// Response timeout in multiples of the route's target latency, where a retry is possible.
const RESPONSE_TIMEOUT_FACTOR: f64 = 2.5;

/// Lower bound of the response timeout where a retry is possible.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Factor by which the output may exceed the caller's estimate of its length.
const LENGTH_HINT_FACTOR: f64 = 1.5;

/// A caller's request while it is being served.
pub struct Job {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Arc<Route>,
    pub(super) head: CallerHead,
    pub(super) deadline: Time,
    /// Service that was chosen among those of the route.
    service: Arc<str>,
    /// Team of the caller's key; `None` if the request has no valid key.
    team: Option<Arc<Team>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// When the first byte of the response should be sent.
    due: Time,
    /// Hash of the request, the same for each retry by the caller.
    fingerprint: u64,
    /// Endpoints on which an attempt has failed.
    tried: Vec<Arc<str>>,
    /// Attempts so far.
    attempts: u32,
    /// Attempts that may have run the request. Only these count against the route's `max_attempts`.
    pub(super) runs: u32,
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

/// Serves a caller's request and returns the response. The response carries the request's id.
pub async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
    let arrived_at = Time::now();
    let (parts, body) = request.into_parts();
    let head = caller::decode(&parts);
    let id = head.request.clone();
    let set_request_id = |response: &mut Response<ResponseBody>| {
        if let Ok(value) = http::HeaderValue::from_str(&id) {
            response.headers_mut().entry(caller::request_id_header()).or_insert(value);
        }
    };
    let mut response = match admit(&gateway, arrived_at, parts, head, body).await {
        Ok(job) => {
            let response = run(job).await;
            let elapsed = Time::now().since(arrived_at).as_secs_f64();
            metrics::histogram!("cardamomshore_answer_seconds").record(elapsed);
            response
        }
        Err(rejection) => {
            log::info!("event=rejected request={id} status={}", rejection.status().as_u16());
            count_response(rejection.status());
            rejection.response()
        }
    };
    set_request_id(&mut response);
    response
}

/// Counts a response by its status.
fn count_response(status: StatusCode) {
    let status = status.as_str().to_owned();
    metrics::counter!("cardamomshore_answers_total", "status" => status).increment(1);
}

/// Runs an admitted request and logs its end.
async fn run(mut job: Job) -> Response<ResponseBody> {
    let id = job.head.request.clone();
    let deadline = job.deadline;
    let result = match job.route.retry.is_stream() {
        true => stream::run(job).await,
        false => job.run_buffered().await,
    };
    let time_left = deadline.since(Time::now()).as_millis();
    match result {
        Ok(response) => {
            count_response(response.status());
            log::debug!(
                "event=answered request={id} status={} left_ms={time_left}",
                response.status()
            );
            response
        }
        Err(rejection) => {
            let status = rejection.status().as_u16();
            log::info!(
                "event=refused request={id} status={status} why={rejection:?} left_ms={time_left}"
            );
            count_response(rejection.status());
            rejection.response()
        }
    }
}

/// Admits a request: checks its route and its key and reads its body.
async fn admit(
    gateway: &Arc<Gateway>,
    arrived_at: Time,
    parts: http::request::Parts,
    head: CallerHead,
    body: Incoming,
) -> Result<Job, Rejection> {
    let catalog = wait_for_catalog(gateway).await.ok_or(Rejection::NoCatalog)?;
    if gateway.refuses_requests() {
        return Err(Rejection::Stopping);
    }
    let (route, team) = authorize(&catalog, &head, parts.uri.path())?;
    let draw = rand::random::<u32>();
    let service = route.choose_service(draw).cloned().ok_or(Rejection::NoRoute)?;
    let caller_timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT).saturating_sub(TRANSIT_TIME);
    let time_limit =
        if route.timeout.is_zero() { caller_timeout } else { caller_timeout.min(route.timeout) };
    let deadline = arrived_at + time_limit;
    let body = read_body(body, catalog.limits.max_body, time_limit).await?;
    // The key may have been withdrawn while the body arrived.
    if let Some(catalog) = gateway.catalog.load_full() {
        authorize(&catalog, &head, parts.uri.path())?;
    }
    let fingerprint = fingerprint(&parts, &head, &body);
    Ok(Job {
        gateway: gateway.clone(),
        due: arrived_at + route.target_latency,
        deadline,
        service,
        team,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        fingerprint,
        tried: Vec::new(),
        attempts: 0,
        runs: 0,
        route,
        head,
    })
}

/// Returns the configuration, for which it waits briefly: an instance that has just started reads
/// it within milliseconds.
async fn wait_for_catalog(gateway: &Gateway) -> Option<Arc<Catalog>> {
    let mut waited = Duration::ZERO;
    loop {
        let catalog = gateway.catalog.load_full();
        if catalog.is_some() || waited >= CATALOG_TIMEOUT {
            return catalog;
        }
        sleep(CATALOG_POLL_INTERVAL).await;
        waited += CATALOG_POLL_INTERVAL;
    }
}

/// Returns the route of a request and the team of its key. Fails if no route matches, or if the
/// route needs a key and the request has no valid one.
fn authorize(
    catalog: &Catalog,
    head: &CallerHead,
    path: &str,
) -> Result<(Arc<Route>, Option<Arc<Team>>), Rejection> {
    let route = catalog.route(&head.host, path).ok_or(Rejection::NoRoute)?;
    let team = head.key.as_deref().and_then(|key| catalog.keys.get(key));
    if team.is_none() && catalog.keys_required && !route.is_public {
        return Err(Rejection::NoKey);
    }
    Ok((route.clone(), team.cloned()))
}

/// Reads the body of a caller's request, which fails if it is larger than `max_bytes` or slower
/// than `time_limit`.
async fn read_body(
    body: Incoming,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, Rejection> {
    match timeout(time_limit, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(Rejection::TooLarge),
        Ok(Err(_)) => Err(Rejection::BadBody),
        Err(_) => Err(Rejection::TimedOut),
    }
}

/// Returns a hash of the request, by which the scheduler recognizes a request that crashes
/// endpoints when its caller retries it.
fn fingerprint(parts: &http::request::Parts, head: &CallerHead, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(parts.uri.to_string().as_bytes());
    hash.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(body);
    hash.digest()
}

impl Job {
    /// Returns the time until the deadline.
    fn time_left(&self) -> Duration {
        self.deadline.since(Time::now())
    }

    /// Returns whether another attempt is allowed after one that may have run the request.
    pub(super) fn may_retry(&self) -> bool {
        self.route.retry.may_retry() && self.runs < self.route.max_attempts
    }

    /// Returns the priority of the route; 0 is the most urgent.
    fn priority(&self) -> u8 {
        self.route.priority
    }

    /// Returns the request for a grant.
    fn grant_request(&self) -> GrantRequest {
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
            priority: self.priority(),
            due: self.due,
            deadline: self.deadline,
            work,
            tried: self.tried.clone(),
            is_retry: self.attempts > 0,
            fingerprint: self.fingerprint,
        }
    }

    /// Waits for a grant until the deadline. Fails if the scheduler refuses the request, or after
    /// [`MAX_ATTEMPTS`].
    pub(super) async fn acquire(&mut self) -> Result<Permit, Refusal> {
        let retry = Duration::from_secs(1);
        let no_grant = Refusal { reason: Reason::NoRoom, retry };
        if self.attempts >= MAX_ATTEMPTS {
            return Err(no_grant);
        }
        let requested_at = Time::now();
        let grant_request = self.grant_request();
        let permit = timeout(self.time_left(), acquire(&self.gateway, grant_request))
            .await
            .unwrap_or(Err(no_grant));
        let waited = Time::now().since(requested_at).as_millis();
        let request = &self.head.request;
        match &permit {
            Ok(permit) => {
                self.attempts += 1;
                let endpoint = &permit.grant.endpoint;
                log::debug!(
                    "event=granted request={request} endpoint={endpoint} waited_ms={waited}"
                );
            }
            Err(refusal) => log::debug!(
                "event=not_granted request={request} reason={:?} waited_ms={waited}",
                refusal.reason
            ),
        }
        permit
    }

    /// Records that an attempt failed, releases the grant and excludes the endpoint from further
    /// attempts.
    pub(super) fn record_failure(&mut self, permit: Permit, outcome: Outcome) {
        let (request, endpoint) = (&self.head.request, &permit.grant.endpoint);
        log::info!("event=offer_failed request={request} endpoint={endpoint} outcome={outcome:?}");
        self.tried.push(endpoint.clone());
        permit.end(outcome);
    }

    /// Sends the request to the granted endpoint and waits at most `time_limit` for the head of the
    /// response. A stream continues after the event `after`.
    pub(super) async fn attempt(
        &self,
        permit: &Permit,
        after: Option<u64>,
        time_limit: Duration,
    ) -> AttemptResult {
        let result = timeout(time_limit.min(self.time_left()), self.send(permit, after)).await;
        result.unwrap_or(AttemptResult::Unknown(Outcome::Silent))
    }

    /// Sends the request on an idle connection, or on a new one if the idle ones have been closed.
    async fn send(&self, permit: &Permit, after: Option<u64>) -> AttemptResult {
        let pool = &self.gateway.pool;
        loop {
            let acquired = pool.acquire(permit.grant.address, CONNECT_TIMEOUT).await;
            let Ok(mut connection) = acquired else {
                return AttemptResult::NotRun(Outcome::Unreached);
            };
            match connection.send(self.endpoint_request(permit, after)).await {
                Ok(response) => return self.classify_response(response, connection),
                // The endpoint may have closed an idle connection before the request was sent on
                // it.
                Err(SendError::NotSent(_)) if !connection.is_fresh() => {}
                Err(SendError::NotSent(_)) => return AttemptResult::NotRun(Outcome::Unreached),
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
            priority: is_model.then(|| self.priority().min(9)),
            after: after.or(self.head.last_event),
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
        response: Response<Incoming>,
        connection: Connection,
    ) -> AttemptResult {
        let head = caller::response_head(response.status(), response.headers());
        if head.request.as_deref().is_some_and(|id| id != &*self.head.request) {
            // The response belongs to an earlier request. The response to this request may follow
            // on the connection, which therefore cannot be used for others.
            log::info!("event=answer_crossed request={}", self.head.request);
            return AttemptResult::Unknown(Outcome::Broke);
        }
        if head.not_run {
            let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
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

    /// Reads the body of a response and returns the connection to the pool. Returns `None` if the
    /// body is too large or not complete before the deadline.
    pub(super) async fn collect_response(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        head: &ResponseHead,
    ) -> Option<Response<ResponseBody>> {
        let (parts, body) = response.into_parts();
        let body =
            timeout(self.time_left(), Limited::new(body, MAX_RESPONSE_BYTES).collect()).await;
        let body = body.ok()?.ok()?.to_bytes();
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

    /// Runs a request whose response is read as a whole before it is passed on.
    async fn run_buffered(&mut self) -> Result<Response<ResponseBody>, Rejection> {
        // The last response of an endpoint that failed, for the caller if no retry succeeds.
        let mut failed: Option<Response<ResponseBody>> = None;
        loop {
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

    /// Returns the rejection of a request that gets no further grant.
    pub(super) fn rejection(&self, refusal: Refusal) -> Rejection {
        match self.runs {
            0 => Rejection::NotRun(refusal),
            _ if self.time_left().is_zero() => Rejection::TimedOut,
            _ => Rejection::Unknown,
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
        match self.attempt(&permit, None, time_limit).await {
            AttemptResult::NotRun(outcome) => {
                self.record_failure(permit, outcome);
                Next::Retry
            }
            AttemptResult::Unknown(outcome) => {
                self.runs += 1;
                self.record_failure(permit, outcome);
                self.next_after_unknown()
            }
            AttemptResult::Response(response, connection, head) => {
                self.runs += 1;
                let Some(response) = self.collect_response(response, connection, &head).await
                else {
                    self.record_failure(permit, Outcome::Broke);
                    return self.next_after_unknown();
                };
                if !response.status().is_server_error() {
                    permit.end(Outcome::Whole);
                    return Next::Return(response);
                }
                self.record_failure(permit, Outcome::Failed);
                if !self.may_retry() {
                    return Next::Return(response);
                }
                *failed = Some(response);
                Next::Retry
            }
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
