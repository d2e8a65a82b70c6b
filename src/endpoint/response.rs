//! Reads an endpoint's answer and decides whether it is whole.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode, header};
use http_body_util::BodyExt;
use serde::Deserialize;
use volo_http::{body::Body, response::Response};

use super::EventSplitter;
use crate::{
    http::{HttpError, REQUEST_HEADER},
    wire::Work,
};

/// Largest answer that is no stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Largest part of such an answer that is passed on at once, in bytes.
const MAX_PART_BYTES: usize = 64 << 10;

/// The next part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// One whole event of a stream.
    Event(Bytes),
    /// The event that closes a stream.
    Last(Bytes),
    /// Bytes of a stream that are no event, such as comments that keep connections open.
    Comment(Bytes),
    /// Bytes of an answer that is no stream.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The answer ended before its end.
    Truncated,
    /// The answer belongs to another request.
    Crossed,
}

/// Reads one answer.
pub struct ResponseReader {
    status: StatusCode,
    headers: HeaderMap,
    body: Body,
    request_id: String,
    is_model: bool,
    splitter: EventSplitter,
    parts: VecDeque<Bytes>,
    stream: bool,
    done: bool,
}

#[derive(Deserialize)]
struct WithId {
    #[serde(default)]
    id: String,
}

/// What the reading of a body that is no stream came to.
enum BodyResult {
    Complete(Bytes),
    Broken,
}

impl ResponseReader {
    /// Starts to read the answer to `work`.
    pub fn new(answer: Response, work: &Work) -> Self {
        let (parts, body) = answer.into_parts();
        let kind = parts.headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
        let stream = kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
        Self {
            status: parts.status,
            headers: parts.headers,
            body,
            request_id: work.request.clone(),
            is_model: !work.model.is_empty(),
            splitter: EventSplitter::default(),
            parts: VecDeque::new(),
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
        let named = self.headers.get(REQUEST_HEADER);
        named.is_some_and(|id| id.as_bytes() != self.request_id.as_bytes())
    }

    /// Waits for the next part of the answer.
    pub async fn next(&mut self) -> Result<ResponsePart, HttpError> {
        if self.stream { self.next_event().await } else { self.next_part().await }
    }

    async fn next_event(&mut self) -> Result<ResponsePart, HttpError> {
        loop {
            if self.done {
                return Ok(ResponsePart::End);
            }
            if let Some(event) = self.splitter.next_event() {
                return Ok(self.classify_event(event));
            }
            match self.body.frame().await {
                None | Some(Err(_)) => return Ok(ResponsePart::Truncated),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if !self.splitter.push(&data) {
                        return Ok(ResponsePart::Truncated);
                    }
                }
            }
        }
    }

    fn classify_event(&mut self, event: Bytes) -> ResponsePart {
        let Some(data) = event_data(&event) else { return ResponsePart::Comment(event) };
        if data == b"[DONE]" {
            self.done = true;
            return ResponsePart::Last(event);
        }
        if self.names_other_request(data) {
            ResponsePart::Crossed
        } else {
            ResponsePart::Event(event)
        }
    }

    /// Reads the whole body before its first part is passed on.
    ///
    /// The id stands in the body, and bytes of another request's answer must not reach the caller.
    async fn next_part(&mut self) -> Result<ResponsePart, HttpError> {
        if !self.done {
            let BodyResult::Complete(body) = self.read_body().await? else {
                return Ok(ResponsePart::Truncated);
            };
            if self.names_other_request(&body) {
                return Ok(ResponsePart::Crossed);
            }
            self.split_body(body);
            self.done = true;
        }
        Ok(self.parts.pop_front().map_or(ResponsePart::End, ResponsePart::Data))
    }

    async fn read_body(&mut self) -> Result<BodyResult, HttpError> {
        let mut all = BytesMut::new();
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else { return Ok(BodyResult::Broken) };
            let Ok(data) = frame.into_data() else { continue };
            if all.len() + data.len() > MAX_RESPONSE_BYTES {
                return Err(HttpError::TooLarge(MAX_RESPONSE_BYTES));
            }
            all.extend_from_slice(&data);
        }
        if self.is_framed() || serde_json::from_slice::<serde_json::Value>(&all).is_ok() {
            return Ok(BodyResult::Complete(all.freeze()));
        }
        Ok(BodyResult::Broken)
    }

    /// Returns whether the library can tell a cut body from a whole one.
    fn is_framed(&self) -> bool {
        let bodiless = self.status == StatusCode::NO_CONTENT;
        let length = self.headers.contains_key(header::CONTENT_LENGTH);
        bodiless || length || self.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns whether a model's answer names another request; services give ids of their own.
    fn names_other_request(&self, json: &[u8]) -> bool {
        if !self.is_model {
            return false;
        }
        let named = serde_json::from_slice::<WithId>(json);
        named.is_ok_and(|named| !named.id.is_empty() && named.id != self.request_id)
    }

    fn split_body(&mut self, mut body: Bytes) {
        while !body.is_empty() {
            let part = body.split_to(body.len().min(MAX_PART_BYTES));
            self.parts.push_back(part);
        }
    }
}

/// Returns the text of an event's `data` line, or `None` for a comment.
fn event_data(event: &[u8]) -> Option<&[u8]> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let data = lines.find_map(|line| line.strip_prefix(b"data:".as_slice()))?;
    Some(data.trim_ascii())
}
