//! A caller for tests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cardamomshore::http::{ClientLimits, HttpError, client, read_body, send};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde_json::Value;

/// Longest answer that tests read.
const LIMIT: usize = 16 << 20;

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the number of the refusal's code, or zero.
    pub fn code(&self) -> u64 {
        self.json()["error"]["code"].as_u64().unwrap_or(0)
    }

    /// Returns whether the refusal says that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.headers.get("x-cardamomshore-run").is_some_and(|run| run == "not-run")
    }
}

/// Sends a request and reads the whole answer.
pub async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Answer, HttpError> {
    let limits = ClientLimits {
        connect_timeout: Duration::from_secs(2),
        io_timeout: Duration::from_secs(30),
        max_idle: 0,
    };
    let map = headers.iter().map(|(name, value)| {
        let name: HeaderName = name.parse().expect("a header name");
        (name, HeaderValue::from_str(value).expect("a header value"))
    });
    let map: HeaderMap = map.collect();
    let url = format!("http://{address}{path}");
    let answer = send(&client(limits), method, &url, map, body.into()).await?;
    let (parts, body) = answer.into_parts();
    let body = read_body(body, LIMIT).await?;
    Ok(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
}

/// Sends a chat request and reads the whole answer.
pub async fn chat(
    address: SocketAddr,
    key: &str,
    model: &str,
    tokens: u64,
    stream: bool,
) -> Result<Answer, HttpError> {
    let body = serde_json::json!({
        "model": model, "max_tokens": tokens, "stream": stream,
        "messages": [{ "role": "user", "content": "Which glue for bamboo spars?" }],
    });
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
    call(Method::POST, address, "/v1/chat/completions", &headers, body.to_string()).await
}

/// Returns the text of a streamed answer, and whether it came to its explicit end.
pub fn streamed_text(answer: &Answer) -> (String, bool) {
    let body = answer.text();
    let mut text = String::new();
    let mut done = false;
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_str(line).expect("an event is JSON");
        text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    (text, done)
}

/// Returns the text that the engine stand-in generates for this many tokens.
pub fn expected_text(tokens: u64) -> String {
    (0..tokens).map(|index| format!("t{index} ")).collect()
}
