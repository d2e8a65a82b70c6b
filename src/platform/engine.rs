//! Requests to engines, which carry orders or fetch reports, and their responses.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::{caller::request_id_header, registration::RawModel};
use crate::kernel::grants::{Command, EngineReport, Incarnation};

/// Path at which an engine returns its report.
const REPORT_PATH: &str = "/api/report";

/// Path at which an engine accepts orders.
const ORDER_PATH: &str = "/api/order";

/// An order as sent to an engine.
#[derive(Serialize)]
struct RawOrder<'a> {
    operation: &'a str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    precondition: u64,
    holder: &'a str,
    fencing_token: u64,
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine carries the order out.
    Accepted,
    /// The engine is already in the state that was ordered.
    Holds,
    /// Another order is being carried out, or the engine has accepted orders that the sender does
    /// not know of.
    Conflict,
    /// The engine refused the order; a retry is pointless.
    Refused(StatusCode),
    /// The response answers another call, so nothing is known of the order.
    OfOther,
}

impl OrderResponse {
    /// Decodes the response that arrived for an order.
    ///
    /// A faulty engine sends a response twice or late, where the next one is expected. Engines that name
    /// no call in their responses to orders name the request in those to requests.
    pub fn new(status: StatusCode, answers: Answers) -> Self {
        match (answers, status) {
            (Answers::Other, _) => OrderResponse::OfOther,
            (_, StatusCode::ACCEPTED) => OrderResponse::Accepted,
            (_, StatusCode::OK) => OrderResponse::Holds,
            (_, StatusCode::CONFLICT) => OrderResponse::Conflict,
            (_, other) => OrderResponse::Refused(other),
        }
    }
}

/// Which call a response answers, by the id that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// This call.
    Own,
    /// Another call, whose response was late or came twice.
    Other,
    /// It is not known, since the response names no call.
    Unknown,
}

/// Returns which call a response answers that arrived for the call `id`.
pub fn answers(headers: &HeaderMap, id: &str) -> Answers {
    match headers.get(request_id_header()).map(HeaderValue::as_bytes) {
        Some(named) if named == id.as_bytes() => Answers::Own,
        Some(_) => Answers::Other,
        None => Answers::Unknown,
    }
}

/// Receiver and id of a call to an engine.
#[derive(Clone, Debug)]
pub struct CallTarget {
    /// Name of the endpoint; an endpoint of another name refuses the call.
    pub endpoint: Arc<str>,
    /// Id of the call, which its response names.
    pub id: String,
}

impl CallTarget {
    /// Creates the target of a new call to an endpoint.
    pub fn new(endpoint: Arc<str>) -> Self {
        Self { endpoint, id: format!("{:016x}", rand::random::<u64>()) }
    }

    /// Returns the headers of the call.
    fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(header::HOST, HeaderValue::from_static("engine"));
        if let Ok(value) = HeaderValue::from_str(&self.endpoint) {
            headers.insert("x-expect-instance", value);
        }
        if let Ok(value) = HeaderValue::from_str(&self.id) {
            headers.insert(request_id_header(), value);
        }
        headers
    }

    /// Returns a request with the headers of the call.
    fn request(&self, method: Method, path: &str, body: Vec<u8>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = self.headers();
        request
    }
}

/// Returns the request that carries an order. The engine accepts the order only if it has accepted
/// exactly `expected` orders before.
pub fn order_request(
    target: &CallTarget,
    command: &Command,
    expected: u64,
    holder: &str,
    term: u64,
) -> Request<Full<Bytes>> {
    let (operation, model, adapter) = match command {
        Command::Load { model } => ("load", model, None),
        Command::Unload { model } => ("unload", model, None),
        Command::LoadAdapter { model, adapter } => ("load", model, Some(&**adapter)),
        Command::UnloadAdapter { model, adapter } => ("unload", model, Some(&**adapter)),
    };
    let raw =
        RawOrder { operation, model, adapter, precondition: expected, holder, fencing_token: term };
    let body = serde_json::to_vec(&raw).unwrap_or_default();
    target.request(Method::POST, ORDER_PATH, body)
}

/// Returns the request that fetches an engine's report.
pub fn report_request(target: &CallTarget) -> Request<Full<Bytes>> {
    target.request(Method::GET, REPORT_PATH, Vec::new())
}

/// A report as sent by an engine.
#[derive(Deserialize)]
struct RawReport {
    models: Vec<RawModel>,
    #[serde(default)]
    busy: bool,
    seq: u64,
    #[serde(default)]
    born: Option<u64>,
    #[serde(default)]
    coming: Vec<String>,
    #[serde(default)]
    kv_used: f64,
}

/// Decodes a report. Reports are out of date by some hundred milliseconds, since the platform
/// delays them.
pub fn decode_report(body: &[u8]) -> Result<EngineReport, serde_json::Error> {
    let raw: RawReport = serde_json::from_slice(body)?;
    let loading_adapters = raw.coming.iter().filter_map(|text| {
        let (model, adapter_version) = text.split_once('/')?;
        let adapter = adapter_version.split_once('@').map_or(adapter_version, |(name, _)| name);
        Some((Arc::from(model), Arc::from(adapter)))
    });
    Ok(EngineReport {
        incarnation: raw.born.map(Incarnation),
        orders: raw.seq,
        busy: raw.busy,
        models: raw.models.into_iter().map(RawModel::into_parts).collect(),
        loading_adapters: loading_adapters.collect(),
        used_tokens: raw.kv_used as u64,
    })
}
