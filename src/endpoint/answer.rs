//! Reads an endpoint's response and decides whether it is complete.

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

/// Largest response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Largest part of a response that is not a stream, in bytes.
const MAX_PART_BYTES: usize = 64 << 10;

/// The next part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// A complete event of a stream.
    Event(Bytes),
    /// The last event of a stream.
    Last(Bytes),
    /// Bytes of a stream that are no event, such as comments that keep the connection open.
    Comment(Bytes),
    /// Bytes of a response that is not a stream.
    Data(Bytes),
    /// The end of a response that is complete.
    End,
    /// The response ended before it was complete.
    Truncated,
    /// The response belongs to another request.
    Crossed,
}

/// Reads the response to one request.
pub struct ResponseReader {
    status: StatusCode,
    headers: HeaderMap,
    body: Body,
    /// Id of the request.
    request_id: String,
    /// Whether the request is for a model, so that the body contains the id.
    is_model: bool,
    splitter: EventSplitter,
    /// Parts of a body that is not a stream, to be returned next.
    parts: VecDeque<Bytes>,
    /// Whether the response is a stream of events.
    is_stream: bool,
    /// Whether the whole body has been read.
    done: bool,
}

/// The part of a body that names the request.
#[derive(Deserialize)]
struct WithId {
    #[serde(default)]
    id: String,
}

/// The result of reading a body that is not a stream.
enum BodyResult {
    /// The whole body.
    Complete(Bytes),
    /// The body is not complete.
    Broken,
}

impl ResponseReader {
    /// Creates a reader of the response to `work`.
    pub fn new(response: Response, work: &Work) -> Self {
        let (parts, body) = response.into_parts();
        let content_type =
            parts.headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let is_stream =
            content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream"));
        Self {
            status: parts.status,
            headers: parts.headers,
            body,
            request_id: work.request.clone(),
            is_model: !work.model.is_empty(),
            splitter: EventSplitter::default(),
            parts: VecDeque::new(),
            is_stream,
            done: false,
        }
    }

    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers of the response.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.is_stream
    }

    /// Returns whether the headers name another request.
    pub fn is_crossed(&self) -> bool {
        let response_id = self.headers.get(REQUEST_HEADER);
        response_id.is_some_and(|id| id.as_bytes() != self.request_id.as_bytes())
    }

    /// Waits for the next part of the response.
    pub async fn next(&mut self) -> Result<ResponsePart, HttpError> {
        if self.is_stream { self.next_event().await } else { self.next_part().await }
    }

    /// Waits for the next event of a stream, or for its end.
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

    /// Returns the part of the response that an event is, by its data.
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

    /// Returns the next part of a body that is not a stream.
    ///
    /// The whole body is read before the first part is returned: it contains the id of the request,
    /// and no part of a response to another request may reach the caller.
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

    /// Reads the whole body. Fails if it is larger than [`MAX_RESPONSE_BYTES`].
    async fn read_body(&mut self) -> Result<BodyResult, HttpError> {
        let mut bytes = BytesMut::new();
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else { return Ok(BodyResult::Broken) };
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > MAX_RESPONSE_BYTES {
                return Err(HttpError::TooLarge(MAX_RESPONSE_BYTES));
            }
            bytes.extend_from_slice(&data);
        }
        if self.is_framed() || serde_json::from_slice::<serde_json::Value>(&bytes).is_ok() {
            return Ok(BodyResult::Complete(bytes.freeze()));
        }
        Ok(BodyResult::Broken)
    }

    /// Returns whether the HTTP layer reports an error if the body ends early.
    fn is_framed(&self) -> bool {
        let has_no_body = self.status == StatusCode::NO_CONTENT;
        let has_length = self.headers.contains_key(header::CONTENT_LENGTH);
        has_no_body || has_length || self.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns whether the response of a model names another request. Services put ids of their own
    /// into their responses, so these are not compared.
    fn names_other_request(&self, json: &[u8]) -> bool {
        if !self.is_model {
            return false;
        }
        let content = serde_json::from_slice::<WithId>(json);
        content.is_ok_and(|content| !content.id.is_empty() && content.id != self.request_id)
    }

    /// Splits a body into parts of at most [`MAX_PART_BYTES`].
    fn split_body(&mut self, mut body: Bytes) {
        while !body.is_empty() {
            let part = body.split_to(body.len().min(MAX_PART_BYTES));
            self.parts.push_back(part);
        }
    }
}

/// Returns the content of an event's `data` line; `None` if the event has none.
fn event_data(event: &[u8]) -> Option<&[u8]> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let data = lines.find_map(|line| line.strip_prefix(b"data:".as_slice()))?;
    Some(data.trim_ascii())
}
