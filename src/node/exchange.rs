//! One exchange between the asker and the answerer of a request, over a link or within a node.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;

use super::peers::Outbox;
use crate::wire::{Body, Cancel, Credit, End, Frame};

/// Chunks that an answerer may send before the asker has taken any.
const WINDOW_CHUNKS: usize = 32;

/// Parts of an answer that can wait for the asker: the window, the head and the end.
const MAX_PARTS: usize = WINDOW_CHUNKS + 2;

/// Creates the channel on which the parts of an answer wait for the asker.
pub fn part_channel() -> (mpsc::Sender<Body>, mpsc::Receiver<Body>) {
    mpsc::channel(MAX_PARTS)
}

/// The answerer's end.
#[derive(Clone)]
pub struct Responder {
    stream: u64,
    route: Route,
    window: Arc<Semaphore>,
    cancelled: CancellationToken,
    ended: Arc<AtomicBool>,
}

#[derive(Clone)]
enum Route {
    Local(mpsc::Sender<Body>),
    Link(Outbox),
}

/// The asker is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequesterGone;

impl Responder {
    /// Creates the answerer's end of an exchange on a link.
    pub fn on_link(stream: u64, tx: Outbox) -> Self {
        Self::new(stream, Route::Link(tx))
    }

    fn new(stream: u64, route: Route) -> Self {
        let window = Arc::new(Semaphore::new(WINDOW_CHUNKS));
        let cancelled = CancellationToken::new();
        Self { stream, route, window, cancelled, ended: Arc::default() }
    }

    /// Sends a part of the answer; chunks wait until the asker can take them.
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
        // An asker that left needs no end.
        let _ = self.send(Body::End(end)).await;
    }

    /// Waits until the asker drops the exchange.
    pub async fn cancelled(&self) {
        self.cancelled.cancelled().await;
    }

    /// Returns whether the asker dropped the exchange.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.is_cancelled()
    }

    /// Returns whether the last part was sent.
    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Notes that the asker dropped the exchange.
    pub fn cancel(&self) {
        self.cancelled.cancel();
    }

    /// Notes that the asker can take more chunks.
    pub fn add_credit(&self, chunks: u32) {
        self.window.add_permits(chunks as usize);
    }
}

/// The asker's end.
pub struct Exchange {
    rx: mpsc::Receiver<Body>,
    back: BackChannel,
    ended: bool,
}

enum BackChannel {
    Local(Responder),
    Link { stream: u64, tx: Outbox, on_drop: Box<dyn Fn(u64) + Send + Sync> },
}

impl Exchange {
    /// Creates both ends of an exchange within this node.
    pub fn local() -> (Exchange, Responder) {
        let (tx, rx) = part_channel();
        let responder = Responder::new(0, Route::Local(tx));
        let back = BackChannel::Local(responder.clone());
        (Exchange { rx, back, ended: false }, responder)
    }

    /// Creates the asker's end of an exchange on a link.
    pub fn on_link(
        stream: u64,
        rx: mpsc::Receiver<Body>,
        tx: Outbox,
        on_drop: impl Fn(u64) + Send + Sync + 'static,
    ) -> Self {
        let back = BackChannel::Link { stream, tx, on_drop: Box::new(on_drop) };
        Exchange { rx, back, ended: false }
    }

    /// Waits for the next part of the answer; `None` means that the answerer was lost.
    pub async fn next(&mut self) -> Option<Body> {
        let body = self.rx.recv().await;
        match &body {
            Some(Body::Chunk(_)) => self.send_credit(),
            Some(Body::End(_) | Body::Reply(_)) => self.ended = true,
            _ => {}
        }
        body
    }

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
