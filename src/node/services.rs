//! Requests to plain services at the entry.

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

/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Endpoints that are tried for one request that may be repeated.
const MAX_ATTEMPTS: usize = 3;

/// Longest search for the owner of a bucket.
const OWNER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two asks during that search.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a caller may repeat a request whose outcome is unknown, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Serves a request to a plain service.
pub async fn call(node: &Arc<Node>, id: RequestId, request: Request) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let (service, path) = split_path(parts.uri.path());
    let find = |config: &Config| {
        let spec = config.services.get(service)?;
        Some((spec.clone(), spec.route(&parts.method, path)?.clone()))
    };
    let open = |config: &Config| find(config).is_some_and(|(_, route)| route.open);
    let caller = identify(node, id, &parts.headers, open)?;
    let (spec, route) = find(&caller.config).ok_or(Refusal::not_run(Code::RouteUnknown))?;
    let once = idempotency_key(&route, &parts.headers)?;
    let body = read_caller_body(body).await?;
    caller.refuse_exposed_key(&parts, &body)?;
    let admitted = caller.admit(node, route.class.clone(), route.tokens).await?;
    let work = Work {
        service: Service::from(service).to_string(),
        method: parts.method.to_string(),
        path: path.to_owned(),
        body,
        tokens: route.tokens,
        idempotency_key: once,
        ..admitted.base_work(&parts.headers)
    };
    let charge = admitted.charge.clone();
    let served = if work.idempotency_key.is_empty() {
        serve(node, admitted, &spec, work).await
    } else {
        serve_non_repeatable(node, admitted, work).await
    };
    served.inspect_err(|refusal| charge.refund_if_not_run(refusal))
}

fn split_path(path: &str) -> (&str, &str) {
    let rest = path.strip_prefix("/services/").unwrap_or(path);
    rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash))
}

fn idempotency_key(route: &RouteSpec, headers: &HeaderMap) -> Result<String, Refusal> {
    if route.retry == RetryPolicy::Safe {
        return Ok(String::new());
    }
    let value = headers.get(IDEMPOTENCY_KEY_HEADER).ok_or(Refusal::not_run(Code::IdMissing))?;
    let text = value.to_str().map_err(|_| Refusal::not_run(Code::IdInvalid))?;
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(Refusal::not_run(Code::IdInvalid));
    }
    Ok(text.to_owned())
}

/// Sends a request that may be repeated to an endpoint, and to another one when that fails.
async fn serve(
    node: &Arc<Node>,
    admitted: Admitted,
    spec: &ServiceSpec,
    work: Work,
) -> Result<Response, Refusal> {
    let mut refusal = Refusal::not_run(Code::NoEndpoint).retry_after(500);
    let mut unknown = false;
    let tokens = work.tokens;
    node.retries.lock().record_request();
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 && !node.retries.lock().take() {
            break;
        }
        let Some(copy) = choose_replica(node, &admitted.caller.config, spec) else { break };
        let work = Work { endpoint: copy.endpoint.to_string(), ..work.clone() };
        match run_exchange(node, &copy.steward, PeerRequestBody::Work(work)).await {
            Ok(answer) => {
                admitted.charge.settle(tokens);
                node.timeline.record(Event::RequestCompleted, admitted.caller.request.as_str(), "");
                return Ok(answer);
            }
            Err(err) => {
                unknown |= err.run == RunStatus::Unknown;
                refusal = err;
            }
        }
    }
    Err(if unknown { Refusal { run: RunStatus::Unknown, ..refusal } } else { refusal })
}

/// Sends a non-repeatable request to the owner of its bucket until one knows the outcome.
///
/// Asking again is safe: the owner recognizes the id.
async fn serve_non_repeatable(
    node: &Arc<Node>,
    admitted: Admitted,
    work: Work,
) -> Result<Response, Refusal> {
    let id = ClaimId::new(&work.team, &work.service, &work.idempotency_key);
    let until = admitted.deadline().min(Time::now() + OWNER_TIMEOUT);
    let mut lost = false;
    loop {
        let refusal = match send_to_owner(node, bucket_of(&id), &work).await {
            Ok(answer) => {
                admitted.charge.settle(work.tokens);
                node.timeline.record(Event::RequestCompleted, work.request, "");
                return Ok(answer);
            }
            Err(refusal) => refusal,
        };
        lost |= refusal.run == RunStatus::Unknown;
        match next_after_refusal(&refusal, Time::now() + OWNER_RETRY_INTERVAL < until) {
            Next::Retry => sleep(OWNER_RETRY_INTERVAL).await,
            Next::Unknown => return Err(Refusal::unknown(refusal.code).retry_after(RETRY_MS)),
            Next::Return if lost => return Err(Refusal { run: RunStatus::Unknown, ..refusal }),
            Next::Return => return Err(refusal),
        }
    }
}

/// What to do after the owner of a bucket refused or was lost.
enum Next {
    Retry,
    Return,
    Unknown,
}

fn next_after_refusal(refusal: &Refusal, in_time: bool) -> Next {
    match refusal.code {
        Code::NotOwner | Code::PeerUnreachable if in_time => Next::Retry,
        // Without an owner nobody knows whether the id ran before.
        Code::NotOwner | Code::PeerUnreachable => Next::Unknown,
        _ => Next::Return,
    }
}

async fn send_to_owner(node: &Arc<Node>, bucket: u32, work: &Work) -> Result<Response, Refusal> {
    let owner = node.bucket_owner(bucket).ok_or(Refusal::not_run(Code::NotOwner))?;
    run_exchange(node, &owner, PeerRequestBody::NonRepeatable(work.clone())).await
}

async fn run_exchange(
    node: &Arc<Node>,
    peer: &InstanceId,
    ask: PeerRequestBody,
) -> Result<Response, Refusal> {
    let mut exchange = node.open_exchange(peer, ask).await?;
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

/// Chooses an endpoint of a service.
pub fn choose_replica(node: &Node, config: &Config, spec: &ServiceSpec) -> Option<Arc<Replica>> {
    let directory = node.directory.read();
    let usable = |copy: &&Arc<Replica>| {
        config.is_in_service(&copy.data_centre) && node.can_reach(&copy.steward)
    };
    let copies: Vec<_> = directory.pool(&spec.pool).iter().filter(usable).collect();
    copies.choose(&mut rand::rng()).map(|copy| (*copy).clone())
}
