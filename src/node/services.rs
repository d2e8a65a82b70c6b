//! Requests to plain services at the entry.

use std::sync::Arc;

use http::HeaderMap;
use rand::seq::IndexedRandom;
use volo_http::{request::Request, response::Response};

use super::{
    Node,
    admit::{Admitted, identify},
    chat::{gather, receive, with_head},
};
use crate::{
    codes::{Code, Refusal},
    config::{Config, Repeat, RouteSpec, ServiceSpec},
    endpoint::ONCE_HEADER,
    events::Event,
    kernel::routing::Copy,
    names::{RequestId, Service},
    wire::{AskBody, Body, Work},
};

/// Longest idempotency key in bytes.
const ONCE_LIMIT: usize = 200;

/// Serves a request to a plain service.
pub async fn call(node: &Arc<Node>, id: RequestId, request: Request) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let (service, path) = split(parts.uri.path());
    let find = |config: &Config| {
        let spec = config.services.get(service)?;
        Some((spec.clone(), spec.route(&parts.method, path)?.clone()))
    };
    let open = |config: &Config| find(config).is_some_and(|(_, route)| route.open);
    let caller = identify(node, id, &parts.headers, open)?;
    let (spec, route) = find(&caller.config).ok_or(Refusal::not_run(Code::RouteUnknown))?;
    let once = once_key(&route, &parts.headers)?;
    let body = receive(body).await?;
    let admitted = caller.admit(node, route.class.clone(), route.tokens).await?;
    let work = Work {
        service: Service::from(service).to_string(),
        method: parts.method.to_string(),
        path: path.to_owned(),
        body,
        tokens: route.tokens,
        once,
        ..admitted.work(&parts.headers)
    };
    serve(node, admitted, &spec, work).await
}

fn split(path: &str) -> (&str, &str) {
    let rest = path.strip_prefix("/services/").unwrap_or(path);
    rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash))
}

fn once_key(route: &RouteSpec, headers: &HeaderMap) -> Result<String, Refusal> {
    if route.repeat == Repeat::Safe {
        return Ok(String::new());
    }
    let value = headers.get(ONCE_HEADER).ok_or(Refusal::not_run(Code::IdMissing))?;
    let text = value.to_str().map_err(|_| Refusal::not_run(Code::IdInvalid))?;
    if text.is_empty() || text.len() > ONCE_LIMIT {
        return Err(Refusal::not_run(Code::IdInvalid));
    }
    Ok(text.to_owned())
}

async fn serve(
    node: &Arc<Node>,
    mut admitted: Admitted,
    spec: &ServiceSpec,
    work: Work,
) -> Result<Response, Refusal> {
    let copy = choose(node, &admitted.caller.config, spec)
        .ok_or(Refusal::not_run(Code::NoEndpoint).retry_after(500))?;
    let work = Work { endpoint: copy.endpoint.to_string(), ..work };
    let request = work.request.clone();
    let request_tokens = work.tokens;
    let ask = if work.once.is_empty() { AskBody::Work(work) } else { AskBody::Once(work) };
    let mut exchange = node.open(&copy.steward, ask).await?;
    let head = match exchange.next().await {
        Some(Body::Head(head)) => head,
        Some(Body::End(end)) => {
            return Err(end.refusal().unwrap_or(Refusal::unknown(Code::Internal)));
        }
        _ => return Err(Refusal::unknown(Code::OutcomeUnknown)),
    };
    let body = gather(exchange).await?;
    admitted.charge.settle(request_tokens);
    node.timeline.record(Event::RequestCompleted, request, "");
    Ok(with_head(&head, body.into()))
}

fn choose(node: &Node, config: &Config, spec: &ServiceSpec) -> Option<Arc<Copy>> {
    let directory = node.directory.read();
    let usable = |copy: &&Arc<Copy>| config.is_in(&copy.data_centre) && node.reaches(&copy.steward);
    let copies: Vec<_> = directory.pool(&spec.pool).iter().filter(usable).collect();
    copies.choose(&mut rand::rng()).map(|copy| (*copy).clone())
}
