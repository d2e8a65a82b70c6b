//! The operators' interface.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::json as value;
use tokio::net::TcpListener;
use volo_http::{request::Request, response::Response};

use super::{
    Node,
    config_sync::{self, CONFIG_KEY, ConfigRecord},
};
use crate::{
    codes::{Code, Refusal},
    config::Config,
    http::{json, read_body, refuse, serve},
    kernel::drain::Phase,
    platform::Put,
    wire::{Document, Inspect, ReplyBody},
};

/// Largest configuration in bytes; the platform's service holds values up to a megabyte.
const CONFIG_LIMIT: usize = 700 << 10;

/// A configuration that an operator wants in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Apply {
    /// Version that the operator saw; zero where there was none.
    pub seen: u64,
    /// The document as YAML.
    pub text: String,
}

/// Serves operators.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    let draining = node.clone();
    let handle = move |request: Request| handle(node.clone(), request);
    // The library ends each of its servers at the signal; this one stays until the work has ended.
    let drained = async move { draining.drain.reached(Phase::Gone).await };
    if let Err(err) = serve(listener, handle, drained).await {
        log::error!("operators' interface: {err}");
    }
}

async fn handle(node: Arc<Node>, request: Request) -> Response {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let answer = match (&method, path.as_str()) {
        (&Method::GET, "/status") => Ok(json(200, &status(&node))),
        (&Method::GET, "/timeline") => Ok(json(200, &node.timeline.entries(""))),
        (&Method::GET, "/config") => show(&node),
        (&Method::PUT, "/config") => apply(&node, request).await,
        _ => Err(Refusal::not_run(Code::RouteUnknown)),
    };
    answer.unwrap_or_else(|refusal| refuse(&refusal, ""))
}

fn status(node: &Node) -> serde_json::Value {
    value!({
        "instance": node.settings.instance,
        "version": node.version(),
        "draining": node.drain.is_draining(),
        "stewards": node.stewards.digests().len(),
        "buckets": node.once.owned(),
        "planner": node.planner.is_held(),
        "known": node.directory.read().len(),
    })
}

fn show(node: &Node) -> Result<Response, Refusal> {
    let config = node.config().ok_or(Refusal::not_run(Code::NoConfig))?;
    let text =
        serde_saphyr::to_string(&config.raw).map_err(|_| Refusal::not_run(Code::Internal))?;
    Ok(json(200, &Apply { seen: config.version, text }))
}

async fn apply(node: &Node, request: Request) -> Result<Response, Refusal> {
    let body: Bytes = read_body(request.into_body(), CONFIG_LIMIT)
        .await
        .map_err(|_| Refusal::not_run(Code::BodyTooLarge))?;
    let apply: Apply =
        serde_json::from_slice(&body).map_err(|_| Refusal::not_run(Code::BadRequest))?;
    let version = apply.seen + 1;
    if let Err(err) = Config::parse(version, &apply.text) {
        return Ok(json(
            400,
            &value!({ "code": Code::ConfigInvalid.number(), "reason": err.to_string() }),
        ));
    }
    let current = node.platform.get(CONFIG_KEY).await;
    let current = current.map_err(|_| Refusal::not_run(Code::PlatformDown))?;
    let record: Option<ConfigRecord> =
        current.as_ref().and_then(|kv| serde_json::from_slice(&kv.value).ok());
    let held = record.map_or(0, |record| record.version);
    if held != apply.seen {
        return Err(Refusal::not_run(Code::Conflict));
    }
    let record = ConfigRecord { version, text: apply.text, nonce: rand::random() };
    let value = serde_json::to_vec(&record).map_err(|_| Refusal::not_run(Code::Internal))?;
    let put = Put { key: CONFIG_KEY.to_owned(), value, lease: 0 };
    let revision = current.map_or(0, |kv| kv.revision);
    let reply = node.platform.put_if(put, revision).await;
    let reply = reply.map_err(|_| Refusal::unknown(Code::PlatformDown))?;
    if !reply.done {
        return Err(Refusal::not_run(Code::Conflict));
    }
    config_sync::take(node, version, &record.text);
    Ok(json(200, &value!({ "version": version })))
}

/// Answers a peer that gathers documents for operators.
pub fn inspect(node: &Node, ask: &Inspect) -> ReplyBody {
    let text = match ask.kind.as_str() {
        "timeline" => serde_json::to_string(&node.timeline.entries(&ask.filter)),
        _ => serde_json::to_string(&status(node)),
    };
    ReplyBody::Document(Document { text: text.unwrap_or_default() })
}
