//! Client of one endpoint.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::{Order, OrderReply, Report, ResponseReader};
use crate::{
    http::{ClientLimits, HttpError, REQUEST_HEADER, call_json, client, send},
    wire::{Header, Work},
};

/// Timeout of opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time between two reads or writes. It is only a backstop: the steward sets a shorter
/// timeout that follows from the request.
const IO_TIMEOUT: Duration = Duration::from_secs(900);

/// Timeout of fetching a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle connections that are kept for load reports.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Header with the number of events that were already delivered, so that the endpoint resumes after
/// them.
pub const RESUME_HEADER: &str = "x-resume-from";

/// Header with the idempotency key of a request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Client of one endpoint.
pub struct EndpointClient {
    base_url: String,
    /// Client for load reports, which reuses its connections.
    report_client: volo_http::client::Client,
    /// Client for requests and orders, which opens a connection for each.
    request_client: volo_http::client::Client,
}

impl EndpointClient {
    /// Creates a client of the endpoint at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let limits = ClientLimits {
            connect_timeout: CONNECT_TIMEOUT,
            io_timeout: IO_TIMEOUT,
            max_idle: MAX_IDLE_CONNECTIONS,
        };
        Self {
            base_url: crate::http::base_url(address),
            report_client: client(limits),
            request_client: client(ClientLimits { max_idle: 0, ..limits }),
        }
    }

    /// Sends a request. Returns the reader of the response.
    ///
    /// Each request has a connection of its own. The other side of a reused connection may be lost:
    /// a model request would then wait until its timeout, and the outcome of a request that must
    /// not be retried would be unknown.
    pub async fn send_request(&self, work: &Work) -> Result<ResponseReader, HttpError> {
        let method = Method::from_bytes(work.method.as_bytes())
            .map_err(|err| HttpError::Parse(err.to_string()))?;
        let url = format!("{}{}", self.base_url, work.path);
        let response =
            send(&self.request_client, method, &url, request_headers(work), work.body.clone())
                .await?;
        Ok(ResponseReader::new(response, work))
    }

    /// Sends an order and waits at most `time_limit` until it has taken effect.
    pub async fn send_order(
        &self,
        order: &Order,
        time_limit: Duration,
    ) -> Result<OrderReply, HttpError> {
        let url = format!("{}/orders", self.base_url);
        call_json(&self.request_client, Method::POST, &url, order, time_limit).await
    }

    /// Fetches the load report.
    pub async fn fetch_report(&self) -> Result<Report, HttpError> {
        let url = format!("{}/report", self.base_url);
        call_json(&self.report_client, Method::GET, &url, &(), REPORT_TIMEOUT).await
    }
}

/// Returns the headers of a request, with those that this system sets.
fn request_headers(work: &Work) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for Header { name, value } in &work.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let mut set_header = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set_header(REQUEST_HEADER, &work.request);
    if work.offset > 0 {
        set_header(RESUME_HEADER, &work.offset.to_string());
    }
    if !work.idempotency_key.is_empty() {
        set_header(IDEMPOTENCY_KEY_HEADER, &work.idempotency_key);
    }
    headers
}
