//! Reads an endpoint's answer and decides whether it is whole.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use serde::Deserialize;
use volo_http::{body::Body, response::Response};

use crate::http::HttpError;

/// Cuts a byte stream into server-sent events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Takes the next complete event with its closing blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        Some(self.buffer.split_to(end + 2).freeze())
    }

    /// Returns whether an incomplete event is left.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// The next part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEvent {
    /// Bytes for the caller; for a stream, one whole event.
    Data(Bytes),
    /// The answer is whole.
    Whole,
    /// The answer ended before its end.
    Cut,
    /// The answer belongs to another request.
    Crossed,
}

/// Reads one answer.
pub struct AnswerReader {
    status: StatusCode,
    headers: HeaderMap,
    body: Body,
    request: String,
    splitter: EventSplitter,
    stream: bool,
    done: bool,
}

#[derive(Deserialize)]
struct WithId {
    #[serde(default)]
    id: String,
}

const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

impl AnswerReader {
    /// Starts to read the answer to `request`.
    pub fn new(answer: Response, request: &str) -> Self {
        let (parts, body) = answer.into_parts();
        let kind = parts.headers.get("content-type").and_then(|v| v.to_str().ok());
        let stream = kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
        Self {
            status: parts.status,
            headers: parts.headers,
            body,
            request: request.to_owned(),
            splitter: EventSplitter::default(),
            stream,
            done: false,
        }
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.stream
    }

    /// Returns whether the headers name another request.
    pub fn is_crossed(&self) -> bool {
        let named = self.headers.get(crate::http::REQUEST_HEADER);
        named.is_some_and(|id| id.as_bytes() != self.request.as_bytes())
    }

    /// Waits for the next part of the answer.
    pub async fn next(&mut self) -> Result<AnswerEvent, HttpError> {
        loop {
            if self.stream
                && let Some(event) = self.splitter.next_event()
            {
                return Ok(self.judge(event));
            }
            if self.done {
                return Ok(AnswerEvent::Whole);
            }
            match self.body.frame().await {
                None if self.stream => return Ok(AnswerEvent::Cut),
                None => return Ok(AnswerEvent::Whole),
                Some(Err(_)) => return Ok(AnswerEvent::Cut),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if !self.stream {
                        return Ok(AnswerEvent::Data(data));
                    }
                    self.splitter.push(&data);
                }
            }
        }
    }

    fn judge(&mut self, event: Bytes) -> AnswerEvent {
        if event == DONE_EVENT {
            self.done = true;
            return AnswerEvent::Data(event);
        }
        let json = event.strip_prefix(b"data: ".as_slice()).unwrap_or(&event);
        match serde_json::from_slice::<WithId>(json) {
            Ok(named) if !named.id.is_empty() && named.id != self.request => AnswerEvent::Crossed,
            _ => AnswerEvent::Data(event),
        }
    }
}
