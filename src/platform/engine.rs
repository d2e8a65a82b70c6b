//! Orders to engines and their reports.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::registration::RawModel;
use crate::kernel::grants::{Command, EngineReport};

/// Path of an engine's report.
const REPORT_PATH: &str = "/api/report";

/// Path at which an engine takes orders.
const ORDER_PATH: &str = "/api/order";

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

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order is being carried out.
    Accepted,
    /// What was ordered already holds.
    Holds,
    /// Another order is under way, or the engine has taken orders that the sender does not know.
    Conflict,
    /// The order was refused for good.
    Refused(StatusCode),
}

impl From<StatusCode> for OrderResponse {
    fn from(status: StatusCode) -> Self {
        match status {
            StatusCode::ACCEPTED => OrderResponse::Accepted,
            StatusCode::OK => OrderResponse::Holds,
            StatusCode::CONFLICT => OrderResponse::Conflict,
            other => OrderResponse::Refused(other),
        }
    }
}

fn request_headers(endpoint: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(endpoint) {
        headers.insert("x-expect-instance", value);
    }
    headers
}

fn request(method: Method, path: &str, endpoint: &str, body: Vec<u8>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = request_headers(endpoint);
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("engine"));
    request
}

/// Builds an order that holds only while the engine has taken `expected` orders.
pub fn order_request(
    endpoint: &str,
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
    request(Method::POST, ORDER_PATH, endpoint, body)
}

/// Builds a request for an engine's report.
pub fn report_request(endpoint: &str) -> Request<Full<Bytes>> {
    request(Method::GET, REPORT_PATH, endpoint, Vec::new())
}

#[derive(Deserialize)]
struct RawReport {
    models: Vec<RawModel>,
    #[serde(default)]
    busy: bool,
    seq: u64,
    #[serde(default)]
    coming: Vec<String>,
    #[serde(default)]
    kv_used: f64,
}

/// Decodes a report, which is some hundred milliseconds old.
pub fn decode_report(body: &[u8]) -> Result<EngineReport, serde_json::Error> {
    let raw: RawReport = serde_json::from_slice(body)?;
    let coming = raw.coming.iter().filter_map(|text| {
        let (model, rest) = text.split_once('/')?;
        let adapter = rest.split_once('@').map_or(rest, |(name, _)| name);
        Some((Arc::from(model), Arc::from(adapter)))
    });
    Ok(EngineReport {
        orders: raw.seq,
        busy: raw.busy,
        models: raw.models.into_iter().map(RawModel::into_parts).collect(),
        loading_adapters: coming.collect(),
        used_tokens: raw.kv_used as u64,
    })
}
