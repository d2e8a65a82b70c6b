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
const STREAM_QUEUE: usize = 32;

/// A stream that ended before its last event.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the answer is not complete")]
pub struct Cut;

/// Sends the parts of a streamed answer; an error cuts it.
pub type PartSender = mpsc::Sender<Result<Bytes, Cut>>;

/// Body of an answer.
pub enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Parts as they come.
    Stream(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl AnswerBody {
    /// Creates a streamed body.
    pub fn stream() -> (PartSender, Self) {
        let (tx, rx) = mpsc::channel(STREAM_QUEUE);
        (tx, AnswerBody::Stream(rx))
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        AnswerBody::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            AnswerBody::Stream(rx) => {
                rx.poll_recv(cx).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Stream(_) => SizeHint::default(),
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
const UNREADY_RETRY: Duration = Duration::from_millis(300);

/// Wait of callers that meet an instance that ends; others serve at once.
const STOPPING_RETRY: Duration = Duration::from_millis(20);

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
    fn retry(&self) -> Option<Duration> {
        match self {
            Rejection::NotRun(refusal) => Some(refusal.retry),
            Rejection::NoCatalog => Some(UNREADY_RETRY),
            Rejection::Stopping => Some(STOPPING_RETRY),
            _ => None,
        }
    }

    /// Builds the answer.
    pub fn answer(&self) -> Response<AnswerBody> {
        let mut answer = plain(self.status());
        if let Some(retry) = self.retry()
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry.as_secs_f64()))
        {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
        answer
    }
}

/// Builds an answer without a body.
pub fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::Whole(None));
    *answer.status_mut() = status;
    answer
}

/// Builds a JSON answer.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<AnswerBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(AnswerBody::from(Bytes::from(body)));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}
