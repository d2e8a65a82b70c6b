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
    answer::{AnswerBody, Rejection},
    grants::{Permit, acquire},
    stream,
};
use crate::{
    catalog::{Catalog, RetryPolicy, Route, Team},
    clock::Time,
    http::pool::{Connection, SendError},
    kernel::grants::{GrantRequest, ModelWork, Outcome, Reason, Refusal},
    platform::caller::{self, AnswerHead, CallerHead, Sending},
};

/// Longest time for a connection to an endpoint to open.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Time for which a caller waits that names none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(10);

/// Time for which a request waits on an instance that knows nothing yet.
const CATALOG_WAIT: Duration = Duration::from_millis(300);

/// Time between two looks whether anything is known.
const CATALOG_LOOK: Duration = Duration::from_millis(5);

/// Time that a request takes on its way, which the caller counts already.
const WAY_TIME: Duration = Duration::from_millis(4);

/// Endpoints that one request may be offered to, those that refuse it included.
const OFFER_LIMIT: u32 = 6;

/// Time for which a connection to an endpoint is kept that names none.
const KEEP_TIME: Duration = Duration::from_secs(4);

/// Part of an endpoint's own limit for idle connections that is used.
const KEEP_PART: f64 = 0.9;

/// Largest answer that is gathered, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Goals after which an endpoint that gave no answer counts as silent, where another can be asked.
const SILENCE_GOALS: f64 = 2.5;

/// Shortest time after which an endpoint counts as silent.
const SILENCE_LEAST: Duration = Duration::from_millis(150);

/// Part of the tokens of a long answer that a request is expected to use.
const HINT_EXCESS: f64 = 1.5;

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
    goal: Time,
    fingerprint: u64,
    tried: Vec<Arc<str>>,
    /// Times that it was offered to an endpoint.
    offers: u32,
    /// Times that it may have run.
    pub(super) runs: u32,
}

/// What became of one offer to an endpoint.
pub enum Offer {
    /// The endpoint answers, and its body is unread.
    Answer(Response<Incoming>, Connection, AnswerHead),
    /// The endpoint has not run it.
    NotRun(Outcome),
    /// Whether it ran is not known.
    Unknown(Outcome),
}

/// What to do after an offer.
pub enum Next {
    /// Return this answer.
    Return(Response<AnswerBody>),
    /// Offer it to another endpoint.
    Again,
    /// Give it up.
    Reject(Rejection),
}

/// Serves a caller's request.
pub async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = Time::now();
    let (parts, body) = request.into_parts();
    let head = caller::decode(&parts);
    let id = head.request.clone();
    let named = |answer: &mut Response<AnswerBody>| {
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
            count(rejection.status());
            rejection.answer()
        }
    };
    named(&mut answer);
    answer
}

fn count(status: StatusCode) {
    let status = status.as_str().to_owned();
    metrics::counter!("cardamomshore_answers_total", "status" => status).increment(1);
}

async fn run(mut job: Job) -> Response<AnswerBody> {
    let id = job.head.request.clone();
    let deadline = job.deadline;
    let served = match job.route.retry.is_stream() {
        true => stream::run(job).await,
        false => job.run_whole().await,
    };
    let left = deadline.since(Time::now()).as_millis();
    match served {
        Ok(answer) => {
            count(answer.status());
            log::debug!("event=answered request={id} status={} left_ms={left}", answer.status());
            answer
        }
        Err(rejection) => {
            let status = rejection.status().as_u16();
            log::info!(
                "event=refused request={id} status={status} why={rejection:?} left_ms={left}"
            );
            count(rejection.status());
            rejection.answer()
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
    let catalog = await_catalog(gateway).await.ok_or(Rejection::NoCatalog)?;
    if gateway.refuses_new() {
        return Err(Rejection::Stopping);
    }
    let (route, team) = allow(&catalog, &head, parts.uri.path())?;
    let draw = rand::random::<u32>();
    let service = route.choose_service(draw).cloned().ok_or(Rejection::NoRoute)?;
    let patience = head.patience.unwrap_or(DEFAULT_PATIENCE).saturating_sub(WAY_TIME);
    let time = if route.timeout.is_zero() { patience } else { patience.min(route.timeout) };
    let deadline = arrived + time;
    let body = receive(body, catalog.limits.max_body, time).await?;
    // The key may have been withdrawn while the body was on its way.
    if let Some(catalog) = gateway.catalog.load_full() {
        allow(&catalog, &head, parts.uri.path())?;
    }
    let fingerprint = fingerprint(&parts, &head, &body);
    Ok(Job {
        gateway: gateway.clone(),
        goal: arrived + route.target_latency,
        deadline,
        service,
        team,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        fingerprint,
        tried: Vec::new(),
        offers: 0,
        runs: 0,
        route,
        head,
    })
}

/// Returns what is in force; an instance that has just started learns it within milliseconds.
async fn await_catalog(gateway: &Gateway) -> Option<Arc<Catalog>> {
    let mut waited = Duration::ZERO;
    loop {
        let catalog = gateway.catalog.load_full();
        if catalog.is_some() || waited >= CATALOG_WAIT {
            return catalog;
        }
        sleep(CATALOG_LOOK).await;
        waited += CATALOG_LOOK;
    }
}

/// Finds the route of a request and the team of its key.
fn allow(
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

async fn receive(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, Rejection> {
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
    fn left(&self) -> Duration {
        self.deadline.since(Time::now())
    }

    /// Returns whether another run is allowed after one that may have happened.
    pub(super) fn may_rerun(&self) -> bool {
        self.route.retry.may_retry() && self.runs < self.route.max_attempts
    }

    fn urgency(&self) -> u8 {
        self.route.priority
    }

    fn ask(&self) -> GrantRequest {
        let tokens = self.head.tokens;
        let plain = self.team.as_ref().map_or(0, |team| team.default_tokens);
        let work = self.head.model.clone().map(|model| {
            let (prompt, answer) = tokens.unwrap_or((0, 0));
            let hinted = self.head.hint.map(|hint| (hint as f64 * HINT_EXCESS) as u64);
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
            priority: self.urgency(),
            due: self.goal,
            deadline: self.deadline,
            work,
            tried: self.tried.clone(),
            is_retry: self.offers > 0,
            fingerprint: self.fingerprint,
        }
    }

    /// Waits for a grant until the request's time is over.
    pub(super) async fn acquire(&mut self) -> Result<Permit, Refusal> {
        let retry = Duration::from_secs(1);
        let late = Refusal { reason: Reason::NoRoom, retry };
        if self.offers >= OFFER_LIMIT {
            return Err(late);
        }
        let asked = Time::now();
        let ask = self.ask();
        let permit = timeout(self.left(), acquire(&self.gateway, ask)).await.unwrap_or(Err(late));
        let waited = Time::now().since(asked).as_millis();
        let request = &self.head.request;
        match &permit {
            Ok(permit) => {
                self.offers += 1;
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
    pub(super) fn avoid(&mut self, permit: Permit, outcome: Outcome) {
        let (request, endpoint) = (&self.head.request, &permit.grant.endpoint);
        log::info!("event=offer_failed request={request} endpoint={endpoint} outcome={outcome:?}");
        self.tried.push(endpoint.clone());
        permit.end(outcome);
    }

    /// Offers the request to an endpoint and returns the head of the answer.
    pub(super) async fn offer(
        &self,
        permit: &Permit,
        after: Option<u64>,
        limit: Duration,
    ) -> Offer {
        let offer = timeout(limit.min(self.left()), self.send(permit, after)).await;
        offer.unwrap_or(Offer::Unknown(Outcome::Silent))
    }

    async fn send(&self, permit: &Permit, after: Option<u64>) -> Offer {
        let pool = &self.gateway.pool;
        loop {
            let opened = pool.open(permit.grant.address, CONNECT_LIMIT).await;
            let Ok(mut connection) = opened else { return Offer::NotRun(Outcome::Unreached) };
            match connection.send(self.request(permit, after)).await {
                Ok(answer) => return self.judge(answer, connection),
                // A kept connection may have ended before anything was sent on it.
                Err(SendError::NotSent(_)) if !connection.is_fresh() => {}
                Err(SendError::NotSent(_)) => return Offer::NotRun(Outcome::Unreached),
                Err(SendError::Broke(reason)) => {
                    log::debug!(
                        "event=exchange_broke request={} reason={reason}",
                        self.head.request
                    );
                    return Offer::Unknown(Outcome::Broke);
                }
            }
        }
    }

    fn request(&self, permit: &Permit, after: Option<u64>) -> Request<Full<Bytes>> {
        let model = self.head.model.is_some();
        let sending = Sending {
            endpoint: &permit.grant.endpoint,
            team: self.team.as_ref().map(|team| &*team.name),
            left: self.left(),
            priority: model.then(|| self.urgency().min(9)),
            after: after.or(self.head.last_event),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = caller::forward(&self.headers, &sending);
        request
    }

    fn judge(&self, answer: Response<Incoming>, connection: Connection) -> Offer {
        let head = caller::answer_head(answer.status(), answer.headers());
        if head.request.as_deref().is_some_and(|id| id != &*self.head.request) {
            // The answer to an earlier request; ours may follow on a connection that is no use.
            log::info!("event=answer_crossed request={}", self.head.request);
            return Offer::Unknown(Outcome::Broke);
        }
        if head.not_run {
            let moved = answer.status() == StatusCode::MISDIRECTED_REQUEST;
            return Offer::NotRun(if moved { Outcome::Misplaced } else { Outcome::Full });
        }
        if answer.status().is_success() && !head.stamped {
            return Offer::Unknown(Outcome::Broke);
        }
        Offer::Answer(answer, connection, head)
    }

    /// Reads a whole answer and keeps its connection.
    pub(super) async fn gather(
        &self,
        answer: Response<Incoming>,
        connection: Connection,
        head: &AnswerHead,
    ) -> Option<Response<AnswerBody>> {
        let (parts, body) = answer.into_parts();
        let body = timeout(self.left(), Limited::new(body, ANSWER_LIMIT).collect()).await;
        let body = body.ok()?.ok()?.to_bytes();
        self.keep(connection, &parts.headers, head);
        let mut answer = Response::new(AnswerBody::from(body));
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = caller::answer_headers(&parts.headers);
        Some(answer)
    }

    /// Keeps a connection on which a whole answer was read, unless the endpoint closes it.
    pub(super) fn keep(&self, connection: Connection, headers: &HeaderMap, head: &AnswerHead) {
        let closes = headers.get(http::header::CONNECTION);
        if closes.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            return;
        }
        let time = head.keep.map_or(KEEP_TIME, |time| time.mul_f64(KEEP_PART));
        self.gateway.pool.keep(connection, time);
    }

    async fn run_whole(&mut self) -> Result<Response<AnswerBody>, Rejection> {
        let mut failed: Option<Response<AnswerBody>> = None;
        loop {
            let permit = match self.acquire().await {
                Ok(permit) => permit,
                Err(refusal) => return failed.map_or_else(|| Err(self.refuse(refusal)), Ok),
            };
            match self.try_whole(permit, &mut failed).await {
                Next::Return(answer) => return Ok(answer),
                Next::Again => {}
                Next::Reject(rejection) => return failed.ok_or(rejection),
            }
        }
    }

    /// Returns the rejection of a request that gets no further grant.
    pub(super) fn refuse(&self, refusal: Refusal) -> Rejection {
        match self.runs {
            0 => Rejection::NotRun(refusal),
            _ if self.left().is_zero() => Rejection::TimedOut,
            _ => Rejection::Unknown,
        }
    }

    async fn try_whole(
        &mut self,
        permit: Permit,
        failed: &mut Option<Response<AnswerBody>>,
    ) -> Next {
        let again =
            self.route.retry == RetryPolicy::Idempotent && self.runs + 1 < self.route.max_attempts;
        let silence = self.route.target_latency.mul_f64(SILENCE_GOALS).max(SILENCE_LEAST);
        let limit = if again { silence.min(self.left().mul_f64(0.6)) } else { self.left() };
        match self.offer(&permit, None, limit).await {
            Offer::NotRun(outcome) => {
                self.avoid(permit, outcome);
                Next::Again
            }
            Offer::Unknown(outcome) => {
                self.runs += 1;
                self.avoid(permit, outcome);
                self.after_loss()
            }
            Offer::Answer(answer, connection, head) => {
                self.runs += 1;
                let Some(answer) = self.gather(answer, connection, &head).await else {
                    self.avoid(permit, Outcome::Broke);
                    return self.after_loss();
                };
                if !answer.status().is_server_error() {
                    permit.end(Outcome::Whole);
                    return Next::Return(answer);
                }
                self.avoid(permit, Outcome::Failed);
                if !self.may_rerun() {
                    return Next::Return(answer);
                }
                *failed = Some(answer);
                Next::Again
            }
        }
    }

    /// Decides after a run whose outcome is not known.
    pub(super) fn after_loss(&self) -> Next {
        match () {
            () if self.left().is_zero() => Next::Reject(Rejection::TimedOut),
            () if self.may_rerun() => Next::Again,
            () => Next::Reject(Rejection::Unknown),
        }
    }
}
