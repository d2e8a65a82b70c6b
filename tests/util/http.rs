//! An HTTP client that sends requests as a caller does.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cardamomshore::http::{ClientLimits, HttpError, client, read_body, send};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde_json::Value;

/// Longest response body that tests read, in bytes.
const MAX_BODY: usize = 16 << 20;

/// An HTTP response whose body was read to its end.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body in bytes.
    pub body: Bytes,
}

impl Response {
    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the number of the error code in the body, or zero if there is none.
    pub fn code(&self) -> u64 {
        self.json()["error"]["code"].as_u64().unwrap_or(0)
    }

    /// Returns whether the headers say that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.headers.get("x-cardamomshore-run").is_some_and(|run| run == "not-run")
    }
}

/// Sends a request and reads the whole response.
pub async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Response, HttpError> {
    let limits = ClientLimits {
        connect_timeout: Duration::from_secs(2),
        io_timeout: Duration::from_secs(30),
        max_idle: 0,
    };
    let header_map = headers.iter().map(|(name, value)| {
        let name: HeaderName = name.parse().expect("expected a valid header name");
        (name, HeaderValue::from_str(value).expect("expected a valid header value"))
    });
    let header_map: HeaderMap = header_map.collect();
    let url = format!("http://{address}{path}");
    let response = send(&client(limits), method, &url, header_map, body.into()).await?;
    let (parts, body) = response.into_parts();
    let body = read_body(body, MAX_BODY).await?;
    Ok(Response { status: parts.status.as_u16(), headers: parts.headers, body })
}

/// Sends a chat request for at most `tokens` output tokens and reads the whole response.
pub async fn chat(
    address: SocketAddr,
    key: &str,
    model: &str,
    tokens: u64,
    stream: bool,
) -> Result<Response, HttpError> {
    let body = serde_json::json!({
        "model": model, "max_tokens": tokens, "stream": stream,
        "messages": [{ "role": "user", "content": "Which glue for bamboo spars?" }],
    });
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
    call(Method::POST, address, "/v1/chat/completions", &headers, body.to_string()).await
}

/// Returns the text of a streamed response and whether its last event, `[DONE]`, arrived.
pub fn streamed_text(response: &Response) -> (String, bool) {
    let body = response.text();
    let mut text = String::new();
    let mut is_done = false;
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            is_done = true;
            continue;
        }
        let event: Value = serde_json::from_str(line).expect("expected each event to be JSON");
        text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    (text, is_done)
}

/// Returns the text of the first `tokens` output tokens of the engine stand-in.
pub fn expected_text(tokens: u64) -> String {
    (0..tokens).map(|index| format!("t{index} ")).collect()
}
