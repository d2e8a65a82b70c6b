//! The callers' interface.

use std::sync::Arc;

use http::Method;
use serde_json::json as value;
use tokio::net::TcpListener;
use volo_http::{request::Request, response::Response};

use super::{Node, chat, drain, services};
use crate::{
    codes::{Code, Refusal},
    events::Event,
    http::{HttpError, REQUEST_HEADER, json, refuse, serve},
    kernel::freshness::Freshness,
    names::RequestId,
    platform::ListedState,
};

/// Serves callers until the process is told to stop and all work has ended.
pub async fn run(node: Arc<Node>, listener: TcpListener) -> Result<(), HttpError> {
    let shutdown = drain::run(node.clone());
    let handle = move |request: Request| handle(node.clone(), request);
    serve(listener, handle, shutdown).await
}

async fn handle(node: Arc<Node>, request: Request) -> Response {
    let id = node.next_request();
    let mut answer = match route(&node, id.clone(), request).await {
        Ok(answer) => answer,
        Err(refusal) => {
            let detail = format!("code={} run={}", refusal.code.number(), refusal.run.as_str());
            node.timeline.record(Event::RequestRefused, id.as_str(), detail);
            refuse(&refusal, id.as_str())
        }
    };
    let headers = answer.headers_mut();
    if let Ok(value) = id.as_str().parse() {
        headers.insert(REQUEST_HEADER, value);
    }
    if node.drain.is_draining() {
        headers.insert("connection", http::HeaderValue::from_static("close"));
    }
    answer
}

async fn route(node: &Arc<Node>, id: RequestId, request: Request) -> Result<Response, Refusal> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            chat::complete(node, id, request).await
        }
        (&Method::GET, "/v1/models") => models(node),
        (&Method::GET, "/v1/instances") => instances(node),
        (_, path) if path.starts_with("/services/") => services::call(node, id, request).await,
        _ => Err(Refusal::not_run(Code::RouteUnknown)),
    }
}

fn models(node: &Node) -> Result<Response, Refusal> {
    let config = node.config().ok_or(Refusal::not_run(Code::NoConfig))?;
    let models = config.models.keys().map(|name| value!({ "id": name, "object": "model" }));
    Ok(json(200, &value!({ "object": "list", "data": models.collect::<Vec<_>>() })))
}

/// Time for which a caller may keep the addresses, in milliseconds.
const KEEP_MS: u64 = 10_000;

fn instances(node: &Node) -> Result<Response, Refusal> {
    if node.freshness() == Freshness::CutOff {
        return Err(Refusal::not_run(Code::CutOff));
    }
    let list = node.list.load();
    let usable = list.instances.iter().filter(|instance| {
        let own = instance.id == node.settings.instance;
        let beat = node.members.peer(&instance.id).map(|seen| seen.beat);
        let well = beat.is_some_and(|beat| !beat.leaving && !beat.cut_off);
        let well = if own { !node.drain.is_draining() } else { well };
        let data_centre = node.config().is_none_or(|config| config.is_in(&instance.data_centre));
        instance.state == ListedState::Live && well && data_centre
    });
    let usable: Vec<_> = usable
        .map(|i| value!({ "id": i.id, "address": i.listen, "data_centre": i.data_centre }))
        .collect();
    Ok(json(200, &value!({ "instances": usable, "keep_ms": KEEP_MS })))
}
