//! A caller's request: route, key, grant, the sending to an endpoint, and the answer.

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

/// Longest time for a connection to an endpoint to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a caller waits that names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a request waits on an instance that knows nothing yet.
const CATALOG_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two looks whether anything is known.
const CATALOG_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time that a request takes on its way, which the caller counts already.
const TRANSIT_TIME: Duration = Duration::from_millis(4);

/// Endpoints that one request may be offered to, those that refuse it included.
const MAX_ATTEMPTS: u32 = 6;

/// Time for which a connection to an endpoint is kept that names none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Part of an endpoint's own limit for idle connections that is used.
const KEEP_ALIVE_FRACTION: f64 = 0.9;

/// Largest answer that is gathered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Goals after which an endpoint that gave no answer counts as silent, where another can be asked.
const RESPONSE_TIMEOUT_FACTOR: f64 = 2.5;

/// Shortest time after which an endpoint counts as silent.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Part of the tokens of a long answer that a request is expected to use.
const LENGTH_HINT_FACTOR: f64 = 1.5;

/// A request on its way through.
pub struct Job {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Arc<Route>,
    pub(super) head: CallerHead,
    pub(super) deadline: Time,
    service: Arc<str>,
    team: Option<Arc<Team>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    due: Time,
    fingerprint: u64,
    tried: Vec<Arc<str>>,
    /// Times that it was offered to an endpoint.
    attempts: u32,
    /// Times that it may have run.
    pub(super) runs: u32,
}

/// What became of one offer to an endpoint.
pub enum AttemptResult {
    /// The endpoint answers, and its body is unread.
    Response(Response<Incoming>, Connection, ResponseHead),
    /// The endpoint has not run it.
    NotRun(Outcome),
    /// Whether it ran is not known.
    Unknown(Outcome),
}

/// What to do after an offer.
pub enum Next {
    /// Return this answer.
    Return(Response<ResponseBody>),
    /// Offer it to another endpoint.
    Retry,
    /// Give it up.
    Reject(Rejection),
}

/// Serves a caller's request.
pub async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
    let arrived = Time::now();
    let (parts, body) = request.into_parts();
    let head = caller::decode(&parts);
    let id = head.request.clone();
    let named = |answer: &mut Response<ResponseBody>| {
        if let Ok(value) = http::HeaderValue::from_str(&id) {
            answer.headers_mut().entry(caller::request_id_header()).or_insert(value);
        }
    };
    let mut answer = match admit(&gateway, arrived, parts, head, body).await {
        Ok(job) => {
            let answer = run(job).await;
            let time = Time::now().since(arrived).as_secs_f64();
            metrics::histogram!("cardamomshore_answer_seconds").record(time);
            answer
        }
        Err(rejection) => {
            log::info!("event=rejected request={id} status={}", rejection.status().as_u16());
            count_response(rejection.status());
            rejection.response()
        }
    };
    named(&mut answer);
    answer
}

fn count_response(status: StatusCode) {
    let status = status.as_str().to_owned();
    metrics::counter!("cardamomshore_answers_total", "status" => status).increment(1);
}

async fn run(mut job: Job) -> Response<ResponseBody> {
    let id = job.head.request.clone();
    let deadline = job.deadline;
    let served = match job.route.retry.is_stream() {
        true => stream::run(job).await,
        false => job.run_buffered().await,
    };
    let left = deadline.since(Time::now()).as_millis();
    match served {
        Ok(answer) => {
            count_response(answer.status());
            log::debug!("event=answered request={id} status={} left_ms={left}", answer.status());
            answer
        }
        Err(rejection) => {
            let status = rejection.status().as_u16();
            log::info!(
                "event=refused request={id} status={status} why={rejection:?} left_ms={left}"
            );
            count_response(rejection.status());
            rejection.response()
        }
    }
}

/// Checks route and key and reads the body.
async fn admit(
    gateway: &Arc<Gateway>,
    arrived: Time,
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
    let patience = head.timeout.unwrap_or(DEFAULT_TIMEOUT).saturating_sub(TRANSIT_TIME);
    let time = if route.timeout.is_zero() { patience } else { patience.min(route.timeout) };
    let deadline = arrived + time;
    let body = read_body(body, catalog.limits.max_body, time).await?;
    // The key may have been withdrawn while the body was on its way.
    if let Some(catalog) = gateway.catalog.load_full() {
        authorize(&catalog, &head, parts.uri.path())?;
    }
    let fingerprint = fingerprint(&parts, &head, &body);
    Ok(Job {
        gateway: gateway.clone(),
        due: arrived + route.target_latency,
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

/// Returns what is in force; an instance that has just started learns it within milliseconds.
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

/// Finds the route of a request and the team of its key.
fn authorize(
    catalog: &Catalog,
    head: &CallerHead,
    path: &str,
) -> Result<(Arc<Route>, Option<Arc<Team>>), Rejection> {
    let route = catalog.route(&head.host, path).ok_or(Rejection::NoRoute)?;
    let team = head.key.as_deref().and_then(|key| catalog.keys.get(key));
    if team.is_none() && catalog.keys_required && !route.open {
        return Err(Rejection::NoKey);
    }
    Ok((route.clone(), team.cloned()))
}

async fn read_body(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, Rejection> {
    match timeout(time, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(Rejection::TooLarge),
        Ok(Err(_)) => Err(Rejection::BadBody),
        Err(_) => Err(Rejection::TimedOut),
    }
}

/// Returns the hash by which a request that crashes endpoints is recognized when it comes again.
fn fingerprint(parts: &http::request::Parts, head: &CallerHead, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(parts.uri.to_string().as_bytes());
    hash.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(body);
    hash.digest()
}

impl Job {
    fn time_left(&self) -> Duration {
        self.deadline.since(Time::now())
    }

    /// Returns whether another run is allowed after one that may have happened.
    pub(super) fn may_retry(&self) -> bool {
        self.route.retry.may_retry() && self.runs < self.route.max_attempts
    }

    fn priority(&self) -> u8 {
        self.route.priority
    }

    fn grant_request(&self) -> GrantRequest {
        let tokens = self.head.tokens;
        let plain = self.team.as_ref().map_or(0, |team| team.default_tokens);
        let work = self.head.model.clone().map(|model| {
            let (prompt, answer) = tokens.unwrap_or((0, 0));
            let hinted = self.head.hint.map(|hint| (hint as f64 * LENGTH_HINT_FACTOR) as u64);
            ModelWork {
                model,
                adapter: self.head.adapter.clone(),
                parts: self.head.parts.clone(),
                prompt_tokens: prompt,
                output_tokens: hinted.map_or(answer, |hint| hint.min(answer)),
            }
        });
        GrantRequest {
            service: self.service.clone(),
            data_centre: self.gateway.settings.data_centre.clone(),
            team: self.team.as_ref().map(|team| team.name.clone()),
            charge: tokens.map_or(plain, |(prompt, answer)| prompt + answer),
            priority: self.priority(),
            due: self.due,
            deadline: self.deadline,
            work,
            tried: self.tried.clone(),
            is_retry: self.attempts > 0,
            fingerprint: self.fingerprint,
        }
    }

    /// Waits for a grant until the request's time is over.
    pub(super) async fn acquire(&mut self) -> Result<Permit, Refusal> {
        let retry = Duration::from_secs(1);
        let late = Refusal { reason: Reason::NoRoom, retry };
        if self.attempts >= MAX_ATTEMPTS {
            return Err(late);
        }
        let asked = Time::now();
        let ask = self.grant_request();
        let permit =
            timeout(self.time_left(), acquire(&self.gateway, ask)).await.unwrap_or(Err(late));
        let waited = Time::now().since(asked).as_millis();
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

    /// Notes that an endpoint did not serve the request.
    pub(super) fn record_failure(&mut self, permit: Permit, outcome: Outcome) {
        let (request, endpoint) = (&self.head.request, &permit.grant.endpoint);
        log::info!("event=offer_failed request={request} endpoint={endpoint} outcome={outcome:?}");
        self.tried.push(endpoint.clone());
        permit.end(outcome);
    }

    /// Offers the request to an endpoint and returns the head of the answer.
    pub(super) async fn attempt(
        &self,
        permit: &Permit,
        after: Option<u64>,
        limit: Duration,
    ) -> AttemptResult {
        let offer = timeout(limit.min(self.time_left()), self.send(permit, after)).await;
        offer.unwrap_or(AttemptResult::Unknown(Outcome::Silent))
    }

    async fn send(&self, permit: &Permit, after: Option<u64>) -> AttemptResult {
        let pool = &self.gateway.pool;
        loop {
            let opened = pool.acquire(permit.grant.address, CONNECT_TIMEOUT).await;
            let Ok(mut connection) = opened else {
                return AttemptResult::NotRun(Outcome::Unreached);
            };
            match connection.send(self.endpoint_request(permit, after)).await {
                Ok(answer) => return self.classify_response(answer, connection),
                // A kept connection may have ended before anything was sent on it.
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

    fn endpoint_request(&self, permit: &Permit, after: Option<u64>) -> Request<Full<Bytes>> {
        let model = self.head.model.is_some();
        let sending = AddedHeaders {
            endpoint: &permit.grant.endpoint,
            team: self.team.as_ref().map(|team| &*team.name),
            time_left: self.time_left(),
            priority: model.then(|| self.priority().min(9)),
            after: after.or(self.head.last_event),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = caller::request_headers(&self.headers, &sending);
        request
    }

    fn classify_response(
        &self,
        answer: Response<Incoming>,
        connection: Connection,
    ) -> AttemptResult {
        let head = caller::response_head(answer.status(), answer.headers());
        if head.request.as_deref().is_some_and(|id| id != &*self.head.request) {
            // The answer to an earlier request; ours may follow on a connection that is no use.
            log::info!("event=answer_crossed request={}", self.head.request);
            return AttemptResult::Unknown(Outcome::Broke);
        }
        if head.not_run {
            let moved = answer.status() == StatusCode::MISDIRECTED_REQUEST;
            return AttemptResult::NotRun(if moved { Outcome::Misplaced } else { Outcome::Full });
        }
        if answer.status().is_success() && !head.stamped {
            return AttemptResult::Unknown(Outcome::Broke);
        }
        AttemptResult::Response(answer, connection, head)
    }

    /// Reads a whole answer and keeps its connection.
    pub(super) async fn collect_response(
        &self,
        answer: Response<Incoming>,
        connection: Connection,
        head: &ResponseHead,
    ) -> Option<Response<ResponseBody>> {
        let (parts, body) = answer.into_parts();
        let body =
            timeout(self.time_left(), Limited::new(body, MAX_RESPONSE_BYTES).collect()).await;
        let body = body.ok()?.ok()?.to_bytes();
        self.keep_connection(connection, &parts.headers, head);
        let mut answer = Response::new(ResponseBody::from(body));
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = caller::response_headers(&parts.headers);
        Some(answer)
    }

    /// Keeps a connection on which a whole answer was read, unless the endpoint closes it.
    pub(super) fn keep_connection(
        &self,
        connection: Connection,
        headers: &HeaderMap,
        head: &ResponseHead,
    ) {
        let closes = headers.get(http::header::CONNECTION);
        if closes.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            return;
        }
        let time =
            head.keep_alive.map_or(DEFAULT_KEEP_ALIVE, |time| time.mul_f64(KEEP_ALIVE_FRACTION));
        self.gateway.pool.release(connection, time);
    }

    async fn run_buffered(&mut self) -> Result<Response<ResponseBody>, Rejection> {
        let mut failed: Option<Response<ResponseBody>> = None;
        loop {
            let permit = match self.acquire().await {
                Ok(permit) => permit,
                Err(refusal) => return failed.map_or_else(|| Err(self.rejection(refusal)), Ok),
            };
            match self.attempt_buffered(permit, &mut failed).await {
                Next::Return(answer) => return Ok(answer),
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

    async fn attempt_buffered(
        &mut self,
        permit: Permit,
        failed: &mut Option<Response<ResponseBody>>,
    ) -> Next {
        let again =
            self.route.retry == RetryPolicy::Idempotent && self.runs + 1 < self.route.max_attempts;
        let silence =
            self.route.target_latency.mul_f64(RESPONSE_TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT);
        let limit =
            if again { silence.min(self.time_left().mul_f64(0.6)) } else { self.time_left() };
        match self.attempt(&permit, None, limit).await {
            AttemptResult::NotRun(outcome) => {
                self.record_failure(permit, outcome);
                Next::Retry
            }
            AttemptResult::Unknown(outcome) => {
                self.runs += 1;
                self.record_failure(permit, outcome);
                self.next_after_unknown()
            }
            AttemptResult::Response(answer, connection, head) => {
                self.runs += 1;
                let Some(answer) = self.collect_response(answer, connection, &head).await else {
                    self.record_failure(permit, Outcome::Broke);
                    return self.next_after_unknown();
                };
                if !answer.status().is_server_error() {
                    permit.end(Outcome::Whole);
                    return Next::Return(answer);
                }
                self.record_failure(permit, Outcome::Failed);
                if !self.may_retry() {
                    return Next::Return(answer);
                }
                *failed = Some(answer);
                Next::Retry
            }
        }
    }

    /// Decides after a run whose outcome is not known.
    pub(super) fn next_after_unknown(&self) -> Next {
        match () {
            () if self.time_left().is_zero() => Next::Reject(Rejection::TimedOut),
            () if self.may_retry() => Next::Retry,
            () => Next::Reject(Rejection::Unknown),
        }
    }
}
