//! Accepts callers' requests and routes each to the module that serves it.

mod instances;

use std::sync::Arc;

use http::{HeaderMap, Method, Uri};
use serde_json::json as value;
use tokio::net::TcpListener;
use volo_http::{request::Request, response::Response};

use super::{Node, admit::identify, chat, drain, services};
use crate::{
    codes::{Code, Refusal},
    events::Event,
    http::{HttpError, REQUEST_HEADER, error_response, json_response, serve},
    names::RequestId,
};

/// Most bytes of a request's path and query.
const MAX_URI_BYTES: usize = 4 << 10;

/// Most bytes of all header names and values of a request.
const MAX_HEADERS_BYTES: usize = 16 << 10;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// Serves callers until the process is told to stop and all requests have ended.
pub async fn run(node: Arc<Node>, listener: TcpListener) -> Result<(), HttpError> {
    let shutdown = drain::run(node.clone());
    let handle = move |request: Request| handle(node.clone(), request);
    serve(listener, handle, shutdown).await
}

/// Returns the response to a request, which carries the request's id.
async fn handle(node: Arc<Node>, request: Request) -> Response {
    let id = node.next_request_id();
    let mut response = match route(&node, id.clone(), request).await {
        Ok(response) => {
            count_request(0);
            response
        }
        Err(refusal) => {
            count_request(refusal.code.number());
            let detail = format!("code={} run={}", refusal.code.number(), refusal.run.as_str());
            node.timeline.record(Event::RequestRefused, id.as_str(), detail);
            error_response(&refusal, id.as_str())
        }
    };
    let headers = response.headers_mut();
    if let Ok(value) = id.as_str().parse() {
        headers.insert(REQUEST_HEADER, value);
    }
    if node.drain.is_draining() {
        headers.insert("connection", http::HeaderValue::from_static("close"));
    }
    response
}

/// Counts a request by its result code; zero stands for a request that was served.
fn count_request(code: u32) {
    metrics::counter!("cardamomshore_requests_total", "code" => code.to_string()).increment(1);
}

/// Serves a request by its method and path.
async fn route(node: &Arc<Node>, id: RequestId, request: Request) -> Result<Response, Refusal> {
    check_head_size(request.uri(), request.headers())?;
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            chat::complete(node, id, request).await
        }
        (&Method::GET, "/v1/models") => models(node, id, request.headers()),
        (&Method::GET, "/v1/instances") => instances::instances(node, request.headers()),
        (_, path) if path.starts_with("/services/") => services::call(node, id, request).await,
        (_, "/v1/chat/completions" | "/v1/completions" | "/v1/models" | "/v1/instances") => {
            Err(Refusal::not_run(Code::MethodNotAllowed))
        }
        _ => Err(Refusal::not_run(Code::RouteUnknown)),
    }
}

/// Refuses a request whose path or headers are too large.
fn check_head_size(uri: &Uri, headers: &HeaderMap) -> Result<(), Refusal> {
    let uri_bytes = uri.path_and_query().map_or(0, |text| text.as_str().len());
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if uri_bytes > MAX_URI_BYTES || bytes > MAX_HEADERS_BYTES || headers.len() > MAX_HEADERS {
        return Err(Refusal::not_run(Code::HeadersTooLarge));
    }
    Ok(())
}

/// Returns the list of models, for callers with a key.
fn models(node: &Node, id: RequestId, headers: &HeaderMap) -> Result<Response, Refusal> {
    let caller = identify(node, id, headers, |_| false)?;
    let models = caller.config.models.keys();
    let models = models.map(
        |name| value!({ "id": name, "object": "model", "created": 0, "owned_by": "cardamomshore" }),
    );
    Ok(json_response(200, &value!({ "object": "list", "data": models.collect::<Vec<_>>() })))
}
