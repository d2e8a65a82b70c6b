//! Bodies of requests and responses whose bytes are counted.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{
    super::response::{Rejection, ResponseBody, Truncated},
    Account, RequestGuard,
};
use crate::kernel::intake::READ_BUFFER_BYTES;

/// Least bytes that are reserved for a body.
const MIN_CAPACITY: usize = 4 << 10;

/// Body of a response; its request counts until it has been handed over.
pub struct CountedBody {
    body: ResponseBody,
    /// `None` for a response to a request that was not admitted.
    _guard: Option<RequestGuard>,
}

impl CountedBody {
    /// Counts a body for the connection on which it is sent.
    pub fn new(body: ResponseBody, account: &Account, guard: Option<RequestGuard>) -> Self {
        body.attach(account);
        Self { body, _guard: guard }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Reads the body of a caller's request, which fails if it is larger than `max_bytes`, slower than
/// `time_limit`, or if there is no room for it.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    time_limit: Duration,
    account: &Account,
) -> Result<Bytes, Rejection> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(account.refuse("large_body", Rejection::TooLarge));
    }
    timeout(time_limit, collect(body, max_bytes, account)).await.unwrap_or(Err(Rejection::TimedOut))
}

/// Collects a body in memory of its own. The frames of the HTTP layer cannot be kept: each holds the
/// read buffer from which it was taken, 8 kB or more also for a single byte.
async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    account: &Account,
) -> Result<Bytes, Rejection> {
    let most = body.size_hint().exact().map_or(max_bytes, |length| length as usize);
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = account.closing() => return Err(account.close_rejection()),
        };
        let data = match frame {
            None => return Ok(bytes.into()),
            Some(Err(_)) => return Err(account.refuse("bad_body", Rejection::BadBody)),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(account.refuse("large_body", Rejection::TooLarge));
        }
        if length > bytes.capacity() {
            // Doubling follows what arrived, whatever length was announced.
            let capacity = length.max(bytes.capacity() * 2).max(MIN_CAPACITY).min(most.max(length));
            account.grow_body(cost(capacity) - cost(bytes.capacity())).await?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
}

/// Reads the body of an endpoint's response, as soon as there is room for it. Returns `None` if it is
/// larger than `max_bytes` or breaks off.
pub async fn read_response(
    mut body: Incoming,
    max_bytes: usize,
    account: &Account,
) -> Option<Bytes> {
    // Endpoints keep to the length that they announce. With all of it reserved at once, responses that
    // wait for room hold none.
    let length = body.size_hint().exact().unwrap_or(0);
    let length = usize::try_from(length).ok().filter(|length| *length <= max_bytes)?;
    account.grow_response(cost(length)).await;
    let mut bytes = Vec::with_capacity(length);
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return None;
        }
        if length > bytes.capacity() {
            let capacity = length.max(bytes.capacity() * 2).max(MIN_CAPACITY).min(max_bytes);
            account.grow_response(cost(capacity) - cost(bytes.capacity())).await;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Some(bytes.into())
}

/// Returns the memory that a body with this capacity needs, with the connection's read buffer.
fn cost(capacity: usize) -> usize {
    capacity + capacity.min(READ_BUFFER_BYTES)
}
