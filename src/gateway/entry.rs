//! Serves a caller's request: finds its route, checks its key, reads its body, and returns the response
//! of the endpoint that ran it.

use std::{sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::sleep;
use xxhash_rust::xxh3::Xxh3;

use super::{
    Gateway,
    arrival::Origin,
    forward::Job,
    intake::{Account, read_body},
    relay,
    response::{Rejection, ResponseBody},
    standing::authorize,
    stream,
};
use crate::{
    catalog::Catalog,
    clock::Time,
    kernel::grants::VersionNeed,
    platform::caller::{self, CallerHead},
};

/// Timeout of a request whose caller names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a request waits for the configuration if the instance has just started.
const CATALOG_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a waiting request checks for the configuration.
const CATALOG_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time that a request takes from the caller to this instance; it counts against the caller's
/// timeout.
const TRANSIT_TIME: Duration = Duration::from_millis(4);

/// How a request has arrived.
struct Arrival<'a> {
    /// When its head was complete.
    at: Time,
    origin: Origin,
    /// Its connection.
    account: &'a Account,
}

/// Serves a caller's request and returns the response. The response carries the request's id.
pub async fn serve(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    origin: Origin,
    account: &Account,
) -> Response<ResponseBody> {
    let arrived_at = Time::now();
    let (parts, body) = request.into_parts();
    let head = caller::decode(&parts);
    let id = head.request.clone();
    let set_request_id = |response: &mut Response<ResponseBody>| {
        if let Ok(value) = http::HeaderValue::from_str(&id) {
            response.headers_mut().entry(caller::request_id_header()).or_insert(value);
        }
    };
    let arrival = Arrival { at: arrived_at, origin, account };
    let result = match admit(&gateway, arrival, parts, head, body).await {
        Ok(job) => {
            let result = run(job).await;
            let elapsed = Time::now().since(arrived_at).as_secs_f64();
            metrics::histogram!("cardamomshore_answer_seconds").record(elapsed);
            result
        }
        Err(rejection) => {
            if !rejection.is_of_client() {
                log::info!("event=rejected request={id} status={}", rejection.status().as_u16());
            }
            count_response(rejection.status());
            Err(rejection)
        }
    };
    let mut response = result.unwrap_or_else(|rejection| {
        let mut response = rejection.response();
        if origin == Origin::Instance && rejection.is_local() {
            relay::mark_declined(&mut response);
        }
        response
    });
    set_request_id(&mut response);
    response
}

/// Counts a response by its status.
fn count_response(status: StatusCode) {
    let status = status.as_str().to_owned();
    metrics::counter!("cardamomshore_answers_total", "status" => status).increment(1);
}

/// Runs an admitted request and logs its end.
async fn run(mut job: Job) -> Result<Response<ResponseBody>, Rejection> {
    let id = job.head.request.clone();
    let deadline = job.deadline;
    let result = match job.route.retry.is_stream() {
        true => stream::run(job).await,
        false => job.run_buffered().await,
    };
    let time_left = deadline.since(Time::now()).as_millis();
    match &result {
        Ok(response) => {
            count_response(response.status());
            log::debug!(
                "event=answered request={id} status={} left_ms={time_left}",
                response.status()
            );
        }
        Err(rejection) => {
            let status = rejection.status().as_u16();
            log::info!(
                "event=refused request={id} status={status} why={rejection:?} left_ms={time_left}"
            );
            count_response(rejection.status());
        }
    }
    result
}

/// Admits a request: checks its route and its key and reads its body.
async fn admit(
    gateway: &Arc<Gateway>,
    arrival: Arrival<'_>,
    parts: http::request::Parts,
    head: CallerHead,
    body: Incoming,
) -> Result<Job, Rejection> {
    let Arrival { at: arrived_at, origin, account } = arrival;
    let catalog = wait_for_catalog(gateway).await.ok_or(Rejection::NoCatalog)?;
    if gateway.refuses_requests() {
        return Err(Rejection::Stopping);
    }
    let (route, _) = authorize(&catalog, &head, parts.uri.path())?;
    let caller_timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT).saturating_sub(TRANSIT_TIME);
    let body_timeout = route.limit_time(caller_timeout);
    let body = read_body(body, catalog.limits.max_body, body_timeout, account).await?;
    account.start_run()?;
    // The process may have been told to stop while the body arrived.
    if gateway.refuses_requests() {
        return Err(Rejection::Stopping);
    }
    // The key or the route may have changed meanwhile.
    let catalog = gateway.catalog.load_full().unwrap_or(catalog);
    let (route, team) = authorize(&catalog, &head, parts.uri.path())?;
    let draw = rand::random::<u32>();
    let service = route.choose_service(draw).cloned().ok_or(Rejection::NoRoute)?;
    let deadline = arrived_at + route.limit_time(caller_timeout);
    let fingerprint = fingerprint(&parts, &head, &body);
    Ok(Job {
        gateway: gateway.clone(),
        catalog,
        due: arrived_at + route.target_latency,
        deadline,
        service,
        draw,
        team,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        fingerprint,
        tried: Vec::new(),
        granted: None,
        attempts: 0,
        version: if head.last_event.is_some() { VersionNeed::Origin } else { VersionNeed::Any },
        runs: 0,
        account: account.clone(),
        origin,
        was_unreached: false,
        was_declined: false,
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

/// Returns a hash of the request, by which the scheduler recognizes a request that crashes
/// endpoints when its caller retries it.
fn fingerprint(parts: &http::request::Parts, head: &CallerHead, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(parts.uri.to_string().as_bytes());
    hash.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(body);
    hash.digest()
}
