//! Serves operators: status, time line, configuration and metrics.

mod apply;
mod gather;

use std::sync::Arc;

use http::Method;
use serde_json::json as value;
use tokio::net::TcpListener;
use volo_http::{body::Body, request::Request, response::Response};

pub use self::{
    apply::{Confirmation, VersionedConfig},
    gather::{GatherRequest, GatherResponse, InstanceDocument},
};
use super::Node;
use crate::{
    codes::{Code, Refusal},
    http::{error_response, json_response, read_body, serve},
    kernel::{drain::Phase, freshness::Freshness},
    telemetry,
    timeline::newest_json,
    wire::{Document, DocumentRequest, ReplyBody},
};

/// Largest body of an operator's request, in bytes; the platform's service can store as much.
const MAX_BODY_BYTES: usize = 700 << 10;

/// Largest document that one instance sends to another, in bytes; a frame can hold 4 times that.
const MAX_DOCUMENT_BYTES: u64 = 1 << 20;

/// Serves operators until the shutdown of the instance has ended.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    let draining = node.clone();
    let handle = move |request: Request| handle(node.clone(), request);
    // The HTTP library stops its other servers at the shutdown signal; this one serves until the
    // drain has ended.
    let drained = async move { draining.drain.wait_for_phase(Phase::Gone).await };
    if let Err(err) = serve(listener, handle, drained).await {
        log::error!("cannot serve operators: {err}");
    }
}

/// Returns the response to an operator's request.
async fn handle(node: Arc<Node>, request: Request) -> Response {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let response = match (&method, path.as_str()) {
        (&Method::GET, "/status") => Ok(json_response(200, &status(&node))),
        (&Method::GET, "/timeline") => Ok(json_response(200, &node.timeline.entries(""))),
        (&Method::GET, "/config") => apply::show(&node).await,
        (&Method::PUT, "/config") => apply::apply(&node, request).await,
        (&Method::GET, "/confirmation") => Ok(json_response(200, &apply::confirmation(&node))),
        (&Method::POST, "/gather") => gather::gather(&node, request).await,
        (&Method::GET, "/metrics") => Ok(metrics_page(&node)),
        (_, "/status" | "/timeline" | "/config" | "/confirmation" | "/gather" | "/metrics") => {
            Err(Refusal::not_run(Code::MethodNotAllowed))
        }
        _ => Err(Refusal::not_run(Code::RouteUnknown)),
    };
    response.unwrap_or_else(|refusal| error_response(&refusal, ""))
}

/// Reads the JSON body of an operator's request; fails if the body is too large or malformed.
async fn read<T: serde::de::DeserializeOwned>(request: Request) -> Result<T, Refusal> {
    let body = read_body(request.into_body(), MAX_BODY_BYTES).await;
    let body = body.map_err(|_| Refusal::not_run(Code::BodyTooLarge))?;
    serde_json::from_slice(&body).map_err(|_| Refusal::not_run(Code::BadRequest))
}

/// Returns the status document of this instance.
fn status(node: &Node) -> serde_json::Value {
    let freshness = match node.freshness() {
        Freshness::Fresh => "fresh",
        Freshness::ServiceDown => "service-down",
        Freshness::CutOff => "cut-off",
    };
    value!({
        "instance": node.settings.instance,
        "data_centre": node.settings.data_centre,
        "version": node.config_version(),
        "freshness": freshness,
        "parts": node.parts(),
        "draining": node.drain.is_draining(),
        "running": node.drain.running(),
        "stewards": node.stewarded.digests().len(),
        "buckets": node.once.owned_count(),
        "planner": node.planner.is_planner(),
        "known": node.known_endpoints(),
        "copies": node.directory.read().replica_count(),
    })
}

/// Returns the metrics in the format of Prometheus, after updating the gauges.
fn metrics_page(node: &Node) -> Response {
    let digests = node.stewarded.digests();
    let queued: u32 = digests.iter().map(|digest| digest.queued).sum();
    let running: u32 = digests.iter().map(|digest| digest.running).sum();
    metrics::gauge!("cardamomshore_entry_running").set(node.drain.running() as f64);
    metrics::gauge!("cardamomshore_endpoint_running").set(running);
    metrics::gauge!("cardamomshore_endpoint_queued").set(queued);
    metrics::gauge!("cardamomshore_endpoints_stewarded").set(digests.len() as f64);
    metrics::gauge!("cardamomshore_config_version").set(node.config_version() as f64);
    let mut response = Response::new(Body::from(telemetry::render_metrics()));
    let content_type = http::HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert("content-type", content_type);
    response
}

/// Handles a peer's request for a document of this instance.
pub fn handle_request(node: &Node, request: &DocumentRequest) -> ReplyBody {
    let text = match request.kind.as_str() {
        "timeline" => {
            let limit = request.limit.min(MAX_DOCUMENT_BYTES) as usize;
            newest_json(&node.timeline.entries(&request.filter), limit)
        }
        _ => status(node).to_string(),
    };
    ReplyBody::Document(Document { text })
}
