//! Handles requests to plain services at the entry instance.

use std::{sync::Arc, time::Duration};

use http::HeaderMap;
use rand::seq::IndexedRandom;
use tokio::time::sleep;
use volo_http::{request::Request, response::Response};

use super::{
    Node,
    admit::{Admitted, identify},
    chat::{build_response, collect_response, read_caller_body},
};
use crate::{
    clock::Time,
    codes::{Code, Refusal, RunStatus},
    config::{Config, RetryPolicy, RouteSpec, ServiceSpec},
    endpoint::IDEMPOTENCY_KEY_HEADER,
    events::Event,
    kernel::{
        once::{ClaimId, bucket_of},
        routing::Replica,
    },
    names::{InstanceId, RequestId, Service},
    wire::{Body, PeerRequestBody, Work},
};

/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

/// Most attempts for a request that may be retried.
const MAX_ATTEMPTS: usize = 3;

/// Longest time for which a request is sent to owners of its bucket until one responds to it.
const OWNER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two attempts to reach the owner.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a caller may retry a request whose outcome is unknown, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Serves a request to a plain service: admits it, sends it to an endpoint and returns the response.
pub async fn call(node: &Arc<Node>, id: RequestId, request: Request) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let (service, path) = split_path(parts.uri.path());
    let find = |config: &Config| {
        let spec = config.services.get(service)?;
        Some((spec.clone(), spec.route(&parts.method, path)?.clone()))
    };
    let is_public = |config: &Config| find(config).is_some_and(|(_, route)| route.is_public);
    let caller = identify(node, id, &parts.headers, is_public)?;
    let (spec, route) = find(&caller.config).ok_or(Refusal::not_run(Code::RouteUnknown))?;
    let idempotency_key = parse_idempotency_key(&route, &parts.headers)?;
    let body = read_caller_body(body).await?;
    caller.refuse_exposed_key(&parts, &body)?;
    let admitted = caller.admit(node, route.class.clone(), route.tokens).await?;
    let work = Work {
        service: Service::from(service).to_string(),
        method: parts.method.to_string(),
        path: path.to_owned(),
        body,
        tokens: route.tokens,
        idempotency_key,
        ..admitted.base_work(&parts.headers)
    };
    let charge = admitted.charge.clone();
    let result = if work.idempotency_key.is_empty() {
        serve(node, admitted, &spec, work).await
    } else {
        serve_non_repeatable(node, admitted, work).await
    };
    result.inspect_err(|refusal| charge.refund_if_not_run(refusal))
}

/// Splits a path below `/services/` into the service and the path at its endpoint.
fn split_path(path: &str) -> (&str, &str) {
    let rest = path.strip_prefix("/services/").unwrap_or(path);
    rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash))
}

/// Returns the idempotency key of a request, or an empty one on a route that may be retried.
///
/// Fails if the key is missing or invalid.
fn parse_idempotency_key(route: &RouteSpec, headers: &HeaderMap) -> Result<String, Refusal> {
    if route.retry == RetryPolicy::Safe {
        return Ok(String::new());
    }
    let value = headers.get(IDEMPOTENCY_KEY_HEADER).ok_or(Refusal::not_run(Code::IdMissing))?;
    let text = value.to_str().map_err(|_| Refusal::not_run(Code::IdInvalid))?;
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(Refusal::not_run(Code::IdInvalid));
    }
    Ok(text.to_owned())
}

/// Sends a request that may be retried to an endpoint, and retries after a failure.
async fn serve(
    node: &Arc<Node>,
    admitted: Admitted,
    spec: &ServiceSpec,
    work: Work,
) -> Result<Response, Refusal> {
    let mut refusal = Refusal::not_run(Code::NoEndpoint).retry_after(500);
    let mut may_have_run = false;
    let tokens = work.tokens;
    node.retries.lock().record_request();
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 && !node.retries.lock().take() {
            break;
        }
        let Some(chosen) = choose_endpoint(node, &admitted.caller.config, spec) else { break };
        let work = Work { endpoint: chosen.endpoint.to_string(), ..work.clone() };
        match run_exchange(node, &chosen.steward, PeerRequestBody::Work(work)).await {
            Ok(response) => {
                admitted.charge.refund_unused(tokens);
                node.timeline.record(Event::RequestCompleted, admitted.caller.request.as_str(), "");
                return Ok(response);
            }
            Err(err) => {
                may_have_run |= err.run == RunStatus::Unknown;
                refusal = err;
            }
        }
    }
    Err(if may_have_run { Refusal { run: RunStatus::Unknown, ..refusal } } else { refusal })
}

/// Sends a non-repeatable request to the owner of its bucket, and retries while no owner is reached.
///
/// A retry is safe, since the owner recognizes the id.
async fn serve_non_repeatable(
    node: &Arc<Node>,
    admitted: Admitted,
    work: Work,
) -> Result<Response, Refusal> {
    let id = ClaimId::new(&work.team, &work.service, &work.idempotency_key);
    let until = admitted.deadline().min(Time::now() + OWNER_TIMEOUT);
    let mut unknown = false;
    loop {
        let refusal = match send_to_owner(node, bucket_of(&id), &work).await {
            Ok(response) => {
                admitted.charge.refund_unused(work.tokens);
                node.timeline.record(Event::RequestCompleted, work.request, "");
                return Ok(response);
            }
            Err(refusal) => refusal,
        };
        unknown |= refusal.run == RunStatus::Unknown;
        match next_after_refusal(&refusal, Time::now() + OWNER_RETRY_INTERVAL < until) {
            Next::Retry => sleep(OWNER_RETRY_INTERVAL).await,
            Next::Unknown => return Err(Refusal::unknown(refusal.code).retry_after(RETRY_MS)),
            Next::Return if unknown => return Err(Refusal { run: RunStatus::Unknown, ..refusal }),
            Next::Return => return Err(refusal),
        }
    }
}

/// What to do after the owner of a bucket refused a request or could not be reached.
enum Next {
    /// Send the request to the bucket's owner once more, after [`OWNER_RETRY_INTERVAL`].
    Retry,
    /// Return the refusal to the caller.
    Return,
    /// Return a refusal to the caller that says that the outcome is unknown.
    Unknown,
}

/// Decides after a refusal; `in_time` says whether a retry is within the timeout.
fn next_after_refusal(refusal: &Refusal, in_time: bool) -> Next {
    match refusal.code {
        Code::NotOwner | Code::PeerUnreachable if in_time => Next::Retry,
        // Without an owner it is unknown whether an earlier request with this id ran.
        Code::NotOwner | Code::PeerUnreachable => Next::Unknown,
        _ => Next::Return,
    }
}

/// Sends a request to the owner of a bucket and returns the response.
async fn send_to_owner(node: &Arc<Node>, bucket: u32, work: &Work) -> Result<Response, Refusal> {
    let owner = node.bucket_owner(bucket).ok_or(Refusal::not_run(Code::NotOwner))?;
    run_exchange(node, &owner, PeerRequestBody::NonRepeatable(work.clone())).await
}

/// Sends a request to an instance and collects the whole response.
async fn run_exchange(
    node: &Arc<Node>,
    peer: &InstanceId,
    request: PeerRequestBody,
) -> Result<Response, Refusal> {
    let mut exchange = node.open_exchange(peer, request).await?;
    let head = match exchange.next().await {
        Some(Body::Head(head)) => head,
        Some(Body::End(end)) => {
            return Err(end.refusal().unwrap_or(Refusal::unknown(Code::Internal)));
        }
        _ => return Err(Refusal::unknown(Code::PeerUnreachable)),
    };
    let body = collect_response(exchange).await?;
    Ok(build_response(&head, body.into()))
}

/// Chooses a random endpoint of a service, or returns `None` if none can be reached.
pub fn choose_endpoint(node: &Node, config: &Config, spec: &ServiceSpec) -> Option<Arc<Replica>> {
    let directory = node.directory.read();
    let usable = |endpoint: &&Arc<Replica>| {
        config.is_in_service(&endpoint.data_centre) && node.can_reach(&endpoint.steward)
    };
    let endpoints: Vec<_> = directory.pool(&spec.pool).iter().filter(usable).collect();
    endpoints.choose(&mut rand::rng()).map(|endpoint| (*endpoint).clone())
}
