//! One exchange between the requester and the responder of a request, over a link or within this
//! instance.
//!
//! The requester grants a credit for each chunk that it received, and the responder sends chunks only
//! on credit, so that the number of chunks under way is bounded.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;

use super::peers::Outbox;
use crate::wire::{Body, Cancel, Credit, End, Frame};

/// Chunks that a responder may send before the requester has received any.
const WINDOW_CHUNKS: usize = 32;

/// Parts that can wait for the requester: the chunks of the window, the head and the end.
const MAX_PARTS: usize = WINDOW_CHUNKS + 2;

/// Creates the channel on which the parts of a response wait for the requester.
pub fn part_channel() -> (mpsc::Sender<Body>, mpsc::Receiver<Body>) {
    mpsc::channel(MAX_PARTS)
}

/// The responder's side of an exchange.
#[derive(Clone)]
pub struct Responder {
    stream: u64,
    route: Route,
    /// Chunks that may be sent now.
    window: Arc<Semaphore>,
    cancelled: CancellationToken,
    /// Whether the last part was sent.
    ended: Arc<AtomicBool>,
}

/// The channel or link on which the parts of a response go to the requester.
#[derive(Clone)]
enum Route {
    Local(mpsc::Sender<Body>),
    Link(Outbox),
}

/// The requester dropped the exchange, or the link to it was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequesterGone;

impl Responder {
    /// Creates the responder's side of an exchange on a link.
    pub fn on_link(stream: u64, tx: Outbox) -> Self {
        Self::new(stream, Route::Link(tx))
    }

    fn new(stream: u64, route: Route) -> Self {
        let window = Arc::new(Semaphore::new(WINDOW_CHUNKS));
        let cancelled = CancellationToken::new();
        Self { stream, route, window, cancelled, ended: Arc::default() }
    }

    /// Sends a part of the response; a chunk waits until the responder has a
    /// credit for it.
    pub async fn send(&self, body: Body) -> Result<(), RequesterGone> {
        if matches!(body, Body::Chunk(_)) {
            tokio::select! {
                permit = self.window.acquire() => permit.map_err(|_| RequesterGone)?.forget(),
                () = self.cancelled.cancelled() => return Err(RequesterGone),
            }
        }
        if self.cancelled.is_cancelled() {
            return Err(RequesterGone);
        }
        if matches!(body, Body::End(_) | Body::Reply(_)) {
            self.ended.store(true, Ordering::Release);
        }
        match &self.route {
            Route::Local(tx) => tx.send(body).await.map_err(|_| RequesterGone),
            Route::Link(tx) => {
                let frame = Frame { clock: 0, stream: self.stream, body: Some(body) };
                tx.send(frame).await
            }
        }
    }

    /// Ends the exchange.
    pub async fn end(&self, end: End) {
        // Fails only if the requester is gone.
        let _ = self.send(Body::End(end)).await;
    }

    /// Waits until the requester drops the exchange.
    pub async fn cancelled(&self) {
        self.cancelled.cancelled().await;
    }

    /// Returns whether the requester dropped the exchange.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.is_cancelled()
    }

    /// Returns whether the last part was sent.
    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Records that the requester dropped the exchange.
    pub fn cancel(&self) {
        self.cancelled.cancel();
    }

    /// Records that the requester granted credits for more chunks.
    pub fn add_credit(&self, chunks: u32) {
        self.window.add_permits(chunks as usize);
    }
}

/// The requester's side of an exchange, which is cancelled when it is dropped before its end.
pub struct Exchange {
    rx: mpsc::Receiver<Body>,
    back: BackChannel,
    ended: bool,
}

/// The responder, or the link to it, to which credits and the cancellation are sent.
enum BackChannel {
    Local(Responder),
    Link { stream: u64, tx: Outbox, on_drop: Box<dyn Fn(u64) + Send + Sync> },
}

impl Exchange {
    /// Creates both sides of an exchange within this instance.
    pub fn local() -> (Exchange, Responder) {
        let (tx, rx) = part_channel();
        let responder = Responder::new(0, Route::Local(tx));
        let back = BackChannel::Local(responder.clone());
        (Exchange { rx, back, ended: false }, responder)
    }

    /// Creates the requester's side of an exchange on a link; `on_drop` removes it from the link.
    pub fn on_link(
        stream: u64,
        rx: mpsc::Receiver<Body>,
        tx: Outbox,
        on_drop: impl Fn(u64) + Send + Sync + 'static,
    ) -> Self {
        let back = BackChannel::Link { stream, tx, on_drop: Box::new(on_drop) };
        Exchange { rx, back, ended: false }
    }

    /// Waits for the next part of the response; `None` means that the link was lost.
    pub async fn next(&mut self) -> Option<Body> {
        let body = self.rx.recv().await;
        match &body {
            Some(Body::Chunk(_)) => self.send_credit(),
            Some(Body::End(_) | Body::Reply(_)) => self.ended = true,
            _ => {}
        }
        body
    }

    /// Grants the responder one more chunk.
    fn send_credit(&self) {
        match &self.back {
            BackChannel::Local(responder) => responder.add_credit(1),
            BackChannel::Link { stream, tx, .. } => {
                let body = Some(Body::Credit(Credit { chunks: 1 }));
                tx.send_later(Frame { clock: 0, stream: *stream, body });
            }
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        match &self.back {
            BackChannel::Local(responder) => responder.cancel(),
            BackChannel::Link { stream, tx, on_drop } => {
                on_drop(*stream);
                if !self.ended {
                    let body = Some(Body::Cancel(Cancel {}));
                    tx.send_later(Frame { clock: 0, stream: *stream, body });
                }
            }
        }
    }
}
