//! The client of one endpoint.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::{Order, OrderReply, Report, ResponseReader};
use crate::{
    http::{ClientLimits, HttpError, REQUEST_HEADER, call_json, client, send},
    wire::{Header, Work},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Backstop only: the steward bounds each answer's silence by what the request explains.
const IO_TIMEOUT: Duration = Duration::from_secs(900);

const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Header that carries the events of an answer which were already delivered.
pub const RESUME_HEADER: &str = "x-resume-from";

/// Header that carries an idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Client of one endpoint.
pub struct EndpointClient {
    base_url: String,
    report_client: volo_http::client::Client,
    request_client: volo_http::client::Client,
}

impl EndpointClient {
    /// Creates the client of the endpoint at `address`.
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

    /// Sends a request and returns the reader of its answer.
    ///
    /// Each request uses a connection of its own: a kept one may have gone silent, which would cost
    /// the idle bound of a model request and the known outcome of one that may not be repeated.
    pub async fn send_request(&self, work: &Work) -> Result<ResponseReader, HttpError> {
        let method = Method::from_bytes(work.method.as_bytes())
            .map_err(|err| HttpError::Parse(err.to_string()))?;
        let url = format!("{}{}", self.base_url, work.path);
        let answer =
            send(&self.request_client, method, &url, request_headers(work), work.body.clone())
                .await?;
        Ok(ResponseReader::new(answer, work))
    }

    /// Sends an order and waits for its effect.
    pub async fn send_order(
        &self,
        order: &Order,
        limit: Duration,
    ) -> Result<OrderReply, HttpError> {
        let url = format!("{}/orders", self.base_url);
        call_json(&self.request_client, Method::POST, &url, order, limit).await
    }

    /// Reads the load report.
    pub async fn fetch_report(&self) -> Result<Report, HttpError> {
        let url = format!("{}/report", self.base_url);
        call_json(&self.report_client, Method::GET, &url, &(), REPORT_TIMEOUT).await
    }
}

fn request_headers(work: &Work) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for Header { name, value } in &work.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(REQUEST_HEADER, &work.request);
    if work.offset > 0 {
        set(RESUME_HEADER, &work.offset.to_string());
    }
    if !work.idempotency_key.is_empty() {
        set(IDEMPOTENCY_KEY_HEADER, &work.idempotency_key);
    }
    headers
}
