//! The demo's caller, a client of the instances' public HTTP interface.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde_json::{Value, json};
use volo_http::client::Client;

use crate::http::{ClientLimits, HttpError, base_url, client, read_body, send};

/// Largest response body in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// A complete response.
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

/// A caller with a key, which can request the addresses to use from any instance.
pub struct Caller {
    http: Client,
    key: String,
}

impl Caller {
    /// Creates a caller with a key.
    pub fn new(key: impl Into<String>) -> Self {
        let limits = ClientLimits {
            connect_timeout: Duration::from_secs(1),
            io_timeout: Duration::from_secs(20),
            max_idle: 4,
        };
        Self { http: client(limits), key: key.into() }
    }

    /// Returns the addresses of the instances to use, as one instance lists them.
    pub async fn addresses(&self, address: SocketAddr) -> Result<Vec<SocketAddr>, HttpError> {
        let response = self.send_request(Method::GET, address, "/v1/instances", &[], "").await?;
        let value: Value = serde_json::from_slice(&response.body)
            .map_err(|err| HttpError::Parse(err.to_string()))?;
        let entries = value["instances"].as_array().cloned().unwrap_or_default();
        let addresses = entries.iter().filter_map(|i| i["address"].as_str()?.parse().ok());
        Ok(addresses.collect())
    }

    /// Requests a chat completion of this many output tokens from a model.
    pub async fn chat(
        &self,
        address: SocketAddr,
        model: &str,
        tokens: u64,
        stream: bool,
    ) -> Result<Response, HttpError> {
        let body = json!({
            "model": model, "max_tokens": tokens, "stream": stream,
            "messages": [{ "role": "user", "content": "Which glue for bamboo spars?" }],
        });
        self.send_request(Method::POST, address, "/v1/chat/completions", &[], &body.to_string())
            .await
    }

    /// Sends a payment to the ledger service with `id` as its idempotency key.
    pub async fn pay(&self, address: SocketAddr, id: &str) -> Result<Response, HttpError> {
        let headers = [("idempotency-key", id)];
        self.send_request(Method::POST, address, "/services/ledger/payments", &headers, "{}").await
    }

    /// Sends a request with the caller's key and returns the complete response.
    async fn send_request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Result<Response, HttpError> {
        let mut header_map = HeaderMap::new();
        let key = format!("Bearer {}", self.key);
        for (name, value) in headers.iter().copied().chain([("authorization", key.as_str())]) {
            let value = HeaderValue::from_str(value);
            let value = value.map_err(|err| HttpError::Parse(err.to_string()))?;
            header_map.insert(HeaderName::from_static(name), value);
        }
        let url = format!("{}{path}", base_url(address));
        let response =
            send(&self.http, method, &url, header_map, Bytes::from(body.to_owned())).await?;
        let status = response.status().as_u16();
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES).await?;
        Ok(Response { status, body })
    }
}

impl Response {
    /// Returns the number of events of a streamed response, and whether it reached its explicit
    /// end.
    pub fn events(&self) -> (usize, bool) {
        let text = String::from_utf8_lossy(&self.body);
        let lines: Vec<&str> =
            text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        let is_complete = lines.last() == Some(&"[DONE]");
        (lines.len() - usize::from(is_complete), is_complete)
    }

    /// Returns the number of the code in a refusal, or zero for any other response.
    pub fn code(&self) -> u64 {
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        value["error"]["code"].as_u64().unwrap_or(0)
    }
}
