//! Responses to callers.

use std::{
    pin::Pin,
    sync::{Arc, OnceLock},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use serde::Serialize;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use super::intake::Account;
use crate::kernel::grants::{Reason, Refusal};

/// Events of a stream that may wait for a caller that reads slowly.
const STREAM_QUEUE_LEN: usize = 32;

/// The error that ends a streamed body before its last event.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the answer is not complete")]
pub struct Truncated;

/// Bytes of a stream that may wait for a caller that reads slowly.
const STREAM_QUEUE_BYTES: usize = 64 << 10;

/// A part of a streamed body, and its room in the queue.
type QueuedPart = (Result<Bytes, Truncated>, Option<OwnedSemaphorePermit>);

/// Sends the parts of a streamed body; an error closes the caller's connection.
pub struct PartSender {
    tx: mpsc::Sender<QueuedPart>,
    /// Bytes that may still be queued.
    room: Arc<Semaphore>,
    /// The caller's connection, once the response has reached it.
    account: Arc<OnceLock<Account>>,
}

impl PartSender {
    /// Queues a part as soon as there is room for it. Fails if the caller has left.
    pub async fn send(&self, part: Result<Bytes, Truncated>) -> Result<(), Truncated> {
        let length = part.as_ref().map_or(0, Bytes::len);
        let needed = length.min(STREAM_QUEUE_BYTES) as u32;
        let permit = match self.room.clone().try_acquire_many_owned(needed) {
            Ok(permit) => Some(permit),
            Err(_) => tokio::select! {
                permit = self.room.clone().acquire_many_owned(needed) => permit.ok(),
                () = self.tx.closed() => return Err(Truncated),
            },
        };
        if let Some(account) = self.account.get() {
            account.record_output(length);
        }
        self.tx.send((part, permit)).await.map_err(|_| Truncated)
    }

    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// The receiving side of a streamed body.
pub struct PartReceiver {
    rx: mpsc::Receiver<QueuedPart>,
    account: Arc<OnceLock<Account>>,
}

/// Body of a response to a caller.
pub enum ResponseBody {
    /// A body in one piece; `None` if the body is empty or has been sent.
    Whole(Option<Bytes>),
    /// A streamed body, whose parts are sent as they arrive.
    Stream(PartReceiver),
}

impl ResponseBody {
    /// Creates a streamed body and the sender of its parts.
    pub fn stream() -> (PartSender, Self) {
        let (tx, rx) = mpsc::channel(STREAM_QUEUE_LEN);
        let room = Arc::new(Semaphore::new(STREAM_QUEUE_BYTES));
        let account: Arc<OnceLock<Account>> = Arc::default();
        let sender = PartSender { tx, room, account: account.clone() };
        (sender, ResponseBody::Stream(PartReceiver { rx, account }))
    }

    /// Counts the body for the connection on which it is sent.
    pub fn attach(&self, account: &Account) {
        match self {
            ResponseBody::Whole(bytes) => {
                account.record_output(bytes.as_ref().map_or(0, Bytes::len));
            }
            ResponseBody::Stream(parts) => drop(parts.account.set(account.clone())),
        }
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
            ResponseBody::Stream(parts) => {
                parts.rx.poll_recv(cx).map(|part| part.map(|(part, _)| part.map(Frame::data)))
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

/// Why a request gets no response of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// The instance has not read the operators' configuration yet.
    NoCatalog,
    /// No route matches the host and path.
    NoRoute,
    /// The request has no key, or an unknown one.
    NoKey,
    /// The body is larger than the limit.
    TooLarge,
    /// The body ended early or is not valid.
    BadBody,
    /// The head is larger than the limit.
    HeadTooLarge,
    /// Clients occupy all that the process may give them, so the request was not sent.
    Overloaded,
    /// The body stopped arriving, so the request was not sent.
    Stalled,
    /// The request got no grant, so it was not sent.
    NotRun(Refusal),
    /// The process is stopping, so the request was not sent.
    Stopping,
    /// The kind of the route has changed since the request arrived, so it was not sent.
    Changed,
    /// No instance that could be asked reaches the endpoints, so the request was not sent.
    CutOff,
    /// The request was sent, and it is not known whether it ran.
    Unknown,
    /// The deadline has passed; the request may have run.
    TimedOut,
}

/// `Retry-After` of an instance that has no configuration yet.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` of an instance that stops, or whose configuration has just changed. It is short because
/// the request can be served at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// `Retry-After` of an instance that is cut off from the endpoints, as others are.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` of an instance whose budget for clients is used up. Stalled clients lose theirs after a
/// second.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Rejection {
    /// Returns whether another instance may serve the request, which has not run.
    pub fn is_local(&self) -> bool {
        matches!(
            self,
            Rejection::NoCatalog
                | Rejection::NoRoute
                | Rejection::NoKey
                | Rejection::Stopping
                | Rejection::Changed
                | Rejection::CutOff
                | Rejection::Overloaded
        )
    }

    /// Returns whether the budget for clients or their own body is the cause. Such rejections come in
    /// floods, and are logged together.
    pub fn is_of_client(&self) -> bool {
        matches!(
            self,
            Rejection::TooLarge
                | Rejection::BadBody
                | Rejection::HeadTooLarge
                | Rejection::Overloaded
                | Rejection::Stalled
        )
    }

    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::NoKey => StatusCode::UNAUTHORIZED,
            Rejection::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::BadBody => StatusCode::BAD_REQUEST,
            Rejection::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Rejection::Stalled => StatusCode::REQUEST_TIMEOUT,
            Rejection::NotRun(Refusal { reason: Reason::OverRate, .. }) => {
                StatusCode::TOO_MANY_REQUESTS
            }
            Rejection::NotRun(_)
            | Rejection::NoCatalog
            | Rejection::Stopping
            | Rejection::Changed
            | Rejection::CutOff
            | Rejection::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            Rejection::Unknown => StatusCode::BAD_GATEWAY,
            Rejection::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns how long the caller should wait before a retry, or `None` where a retry is
    /// pointless.
    fn retry_after(&self) -> Option<Duration> {
        match self {
            Rejection::NotRun(refusal) => Some(refusal.retry),
            Rejection::NoCatalog => Some(UNREADY_RETRY_AFTER),
            Rejection::Stopping | Rejection::Changed => Some(STOPPING_RETRY_AFTER),
            Rejection::CutOff => Some(CUT_OFF_RETRY_AFTER),
            Rejection::Overloaded => Some(OVERLOADED_RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns the response of the rejection.
    pub fn response(&self) -> Response<ResponseBody> {
        let mut response = empty_response(self.status());
        if let Some(retry_after) = self.retry_after()
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
        {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// Returns a response without a body.
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(None));
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(ResponseBody::from(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
