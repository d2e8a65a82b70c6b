//! A caller that reads a streamed response event by event.

use std::{net::SocketAddr, time::Duration};

use cardamomshore::http::{ClientLimits, client, send};
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::BodyExt;
use volo_http::body::Body;

/// A streamed response that is being read.
pub struct Stream {
    /// HTTP status.
    pub status: u16,
    body: Body,
    /// Part of the body that was read so far.
    text: String,
}

/// How a streamed response's body ended.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The body ended as HTTP requires.
    Complete,
    /// The connection broke before the end of the body.
    Cut,
}

impl Stream {
    /// Requests a stream of `tokens` output tokens for a fixed prompt.
    pub async fn open(address: SocketAddr, key: &str, model: &str, tokens: u64) -> Self {
        Self::open_with_prompt(address, key, model, tokens, "Which glue?").await
    }

    /// Requests a stream of `tokens` output tokens for `prompt`.
    pub async fn open_with_prompt(
        address: SocketAddr,
        key: &str,
        model: &str,
        tokens: u64,
        prompt: &str,
    ) -> Self {
        let limits = ClientLimits {
            connect_timeout: Duration::from_secs(5),
            io_timeout: Duration::from_secs(60),
            max_idle: 0,
        };
        let body = serde_json::json!({
            "model": model, "max_tokens": tokens, "stream": true,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer {key}");
        headers.insert(
            "authorization",
            HeaderValue::from_str(&bearer).expect("expected a valid header value"),
        );
        let url = format!("http://{address}/v1/chat/completions");
        let response =
            send(&client(limits), Method::POST, &url, headers, body.to_string().into()).await;
        let response = response.expect("expected the instance to respond");
        let status = response.status().as_u16();
        assert_eq!(status, 200, "expected the instance to open the stream");
        Self { status, body: response.into_body(), text: String::new() }
    }

    /// Reads until `count` events have arrived or the response ends.
    pub async fn read_events(&mut self, count: usize) {
        while self.text.matches("\n\n").count() < count {
            let Some(Ok(frame)) = self.body.frame().await else { return };
            self.append(frame);
        }
    }

    /// Reads to the end and returns the text of the events, whether the last event, `[DONE]`,
    /// arrived, and how the body ended.
    pub async fn finish(mut self) -> (String, bool, StreamEnd) {
        let ended = loop {
            match self.body.frame().await {
                Some(Ok(frame)) => self.append(frame),
                Some(Err(_)) => break StreamEnd::Cut,
                None => break StreamEnd::Complete,
            }
        };
        let response = super::http::Response {
            status: self.status,
            headers: HeaderMap::new(),
            body: self.text.into(),
        };
        let (text, done) = super::http::streamed_text(&response);
        (text, done, ended)
    }

    fn append(&mut self, frame: http_body::Frame<bytes::Bytes>) {
        if let Ok(data) = frame.into_data() {
            self.text.push_str(&String::from_utf8_lossy(&data));
        }
    }
}
