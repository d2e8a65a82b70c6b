//! Answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::kernel::grants::{Reason, Refusal};

/// Events that may wait for a caller that reads slowly.
const STREAM_QUEUE_LEN: usize = 32;

/// A stream that ended before its last event.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the answer is not complete")]
pub struct Truncated;

/// Sends the parts of a streamed answer; an error cuts it.
pub type PartSender = mpsc::Sender<Result<Bytes, Truncated>>;

/// Body of an answer.
pub enum ResponseBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Parts as they come.
    Stream(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl ResponseBody {
    /// Creates a streamed body.
    pub fn stream() -> (PartSender, Self) {
        let (tx, rx) = mpsc::channel(STREAM_QUEUE_LEN);
        (tx, ResponseBody::Stream(rx))
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        ResponseBody::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            ResponseBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Stream(rx) => {
                rx.poll_recv(cx).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// Why a request gets no answer of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// Nothing is known of what operators have put in force.
    NoCatalog,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not come as announced.
    BadBody,
    /// It may not be sent, and was not.
    NotRun(Refusal),
    /// The process is about to end, and it was not sent.
    Stopping,
    /// It was sent, and whether it ran is not known.
    Unknown,
    /// Its time is over, and it may have run.
    TimedOut,
}

/// Wait of callers that meet an instance that knows nothing yet.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Wait of callers that meet an instance that ends; others serve at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

impl Rejection {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        match self {
            Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::NoKey => StatusCode::UNAUTHORIZED,
            Rejection::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::BadBody => StatusCode::BAD_REQUEST,
            Rejection::NotRun(Refusal { reason: Reason::OverRate, .. }) => {
                StatusCode::TOO_MANY_REQUESTS
            }
            Rejection::NotRun(_) | Rejection::NoCatalog | Rejection::Stopping => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Rejection::Unknown => StatusCode::BAD_GATEWAY,
            Rejection::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns when the caller should come back, where that is worthwhile.
    fn retry_after(&self) -> Option<Duration> {
        match self {
            Rejection::NotRun(refusal) => Some(refusal.retry),
            Rejection::NoCatalog => Some(UNREADY_RETRY_AFTER),
            Rejection::Stopping => Some(STOPPING_RETRY_AFTER),
            _ => None,
        }
    }

    /// Builds the answer.
    pub fn response(&self) -> Response<ResponseBody> {
        let mut answer = empty_response(self.status());
        if let Some(retry) = self.retry_after()
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry.as_secs_f64()))
        {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
        answer
    }
}

/// Builds an answer without a body.
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::Whole(None));
    *answer.status_mut() = status;
    answer
}

/// Builds a JSON answer.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(ResponseBody::from(Bytes::from(body)));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}
