//! A caller of the demo.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde_json::{Value, json};
use volo_http::client::Client;

use crate::http::{ClientLimits, HttpError, base_url, client, read_body, send};

/// Longest answer in bytes.
const ANSWER_LIMIT: usize = 1 << 20;

/// A whole answer.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// A caller that asks any instance which of them to use.
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

    /// Asks an instance which instances to use.
    pub async fn addresses(&self, address: SocketAddr) -> Result<Vec<SocketAddr>, HttpError> {
        let answer = self.call(Method::GET, address, "/v1/instances", &[], "").await?;
        let value: Value = serde_json::from_slice(&answer.body)
            .map_err(|err| HttpError::Parse(err.to_string()))?;
        let listed = value["instances"].as_array().cloned().unwrap_or_default();
        let addresses = listed.iter().filter_map(|i| i["address"].as_str()?.parse().ok());
        Ok(addresses.collect())
    }

    /// Asks a model for this many tokens.
    pub async fn chat(
        &self,
        address: SocketAddr,
        model: &str,
        tokens: u64,
        stream: bool,
    ) -> Result<Answer, HttpError> {
        let body = json!({
            "model": model, "max_tokens": tokens, "stream": stream,
            "messages": [{ "role": "user", "content": "Which glue for bamboo spars?" }],
        });
        self.call(Method::POST, address, "/v1/chat/completions", &[], &body.to_string()).await
    }

    /// Sends a payment with an idempotency key.
    pub async fn pay(&self, address: SocketAddr, id: &str) -> Result<Answer, HttpError> {
        let headers = [("idempotency-key", id)];
        self.call(Method::POST, address, "/services/ledger/payments", &headers, "{}").await
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Result<Answer, HttpError> {
        let mut map = HeaderMap::new();
        let key = format!("Bearer {}", self.key);
        for (name, value) in headers.iter().copied().chain([("authorization", key.as_str())]) {
            let value = HeaderValue::from_str(value);
            let value = value.map_err(|err| HttpError::Parse(err.to_string()))?;
            map.insert(HeaderName::from_static(name), value);
        }
        let url = format!("{}{path}", base_url(address));
        let answer = send(&self.http, method, &url, map, Bytes::from(body.to_owned())).await?;
        let status = answer.status().as_u16();
        let body = read_body(answer.into_body(), ANSWER_LIMIT).await?;
        Ok(Answer { status, body })
    }
}

impl Answer {
    /// Returns the number of events of a streamed answer, and whether it came to its explicit end.
    pub fn events(&self) -> (usize, bool) {
        let text = String::from_utf8_lossy(&self.body);
        let lines: Vec<&str> =
            text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        let whole = lines.last() == Some(&"[DONE]");
        (lines.len() - usize::from(whole), whole)
    }

    /// Returns the number of a refusal's code, or zero.
    pub fn code(&self) -> u64 {
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        value["error"]["code"].as_u64().unwrap_or(0)
    }
}
