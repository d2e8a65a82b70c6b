//! A caller that reads a streamed answer piece by piece.

use std::{net::SocketAddr, time::Duration};

use cardamomshore::http::{ClientLimits, client, send};
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::BodyExt;
use volo_http::body::Body;

/// A streamed answer that is being read.
pub struct Stream {
    pub status: u16,
    body: Body,
    text: String,
}

/// How a streamed answer ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Ended {
    /// The body came to its end.
    Complete,
    /// The body was cut.
    Cut,
}

impl Stream {
    /// Asks for a stream of `tokens` tokens.
    pub async fn open(address: SocketAddr, key: &str, model: &str, tokens: u64) -> Self {
        Self::open_with(address, key, model, tokens, "Which glue?").await
    }

    /// Asks for a stream with this question.
    pub async fn open_with(
        address: SocketAddr,
        key: &str,
        model: &str,
        tokens: u64,
        question: &str,
    ) -> Self {
        let limits = ClientLimits {
            connect_timeout: Duration::from_secs(5),
            io_timeout: Duration::from_secs(60),
            max_idle: 0,
        };
        let body = serde_json::json!({
            "model": model, "max_tokens": tokens, "stream": true,
            "messages": [{ "role": "user", "content": question }],
        });
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer {key}");
        headers.insert("authorization", HeaderValue::from_str(&bearer).expect("a header"));
        let url = format!("http://{address}/v1/chat/completions");
        let answer =
            send(&client(limits), Method::POST, &url, headers, body.to_string().into()).await;
        let answer = answer.expect("the instance answers");
        let status = answer.status().as_u16();
        assert_eq!(status, 200, "the stream was not opened");
        Self { status, body: answer.into_body(), text: String::new() }
    }

    /// Reads until the answer holds `count` events or ends.
    pub async fn read_events(&mut self, count: usize) {
        while self.text.matches("\n\n").count() < count {
            let Some(Ok(frame)) = self.body.frame().await else { return };
            self.take(frame);
        }
    }

    /// Reads to the end and returns the text of the events, whether they came to their explicit
    /// end, and how the body ended.
    pub async fn finish(mut self) -> (String, bool, Ended) {
        let ended = loop {
            match self.body.frame().await {
                Some(Ok(frame)) => self.take(frame),
                Some(Err(_)) => break Ended::Cut,
                None => break Ended::Complete,
            }
        };
        let answer = super::http::Answer {
            status: self.status,
            headers: HeaderMap::new(),
            body: self.text.into(),
        };
        let (text, done) = super::http::streamed_text(&answer);
        (text, done, ended)
    }

    fn take(&mut self, frame: http_body::Frame<bytes::Bytes>) {
        if let Ok(data) = frame.into_data() {
            self.text.push_str(&String::from_utf8_lossy(&data));
        }
    }
}
