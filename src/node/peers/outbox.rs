//! The queue of frames to be written to one connection, bounded in frames and in bytes.

use std::sync::Arc;

use prost::Message;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::{node::exchange::RequesterGone, wire::Frame};

/// Most frames in the queue of one connection.
const MAX_QUEUED_FRAMES: usize = 1_024;

/// Most bytes in the queue of one connection; more than the largest frame.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// The sending side of the queue.
#[derive(Clone)]
pub struct Outbox {
    tx: mpsc::Sender<Queued>,
    bytes: Arc<Semaphore>,
}

/// The receiving side of the queue, from which the frames are written to the connection.
pub struct OutboxReceiver {
    rx: mpsc::Receiver<Queued>,
}

/// A frame in the queue.
struct Queued {
    frame: Frame,
    /// Releases the frame's bytes when the frame is taken from the queue.
    _bytes: OwnedSemaphorePermit,
}

impl Outbox {
    /// Creates both sides of a queue.
    pub fn new() -> (Outbox, OutboxReceiver) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
        (Outbox { tx, bytes: Arc::new(Semaphore::new(MAX_QUEUED_BYTES)) }, OutboxReceiver { rx })
    }

    /// Queues a frame, waiting while the queue is full; fails if the connection is gone.
    pub async fn send(&self, frame: Frame) -> Result<(), RequesterGone> {
        let permit = self.bytes.clone().acquire_many_owned(frame_bytes(&frame)).await;
        let _bytes = permit.map_err(|_| RequesterGone)?;
        self.tx.send(Queued { frame, _bytes }).await.map_err(|_| RequesterGone)
    }

    /// Queues a frame, or returns it if the queue is full or the connection is gone.
    pub fn try_send(&self, frame: Frame) -> Result<(), Box<Frame>> {
        let Ok(_bytes) = self.bytes.clone().try_acquire_many_owned(frame_bytes(&frame)) else {
            return Err(Box::new(frame));
        };
        self.tx.try_send(Queued { frame, _bytes }).map_err(|err| Box::new(err.into_inner().frame))
    }

    /// Queues a frame in a task of its own if the queue is full, so that it is not lost.
    pub fn send_later(&self, frame: Frame) {
        if let Err(frame) = self.try_send(frame) {
            let outbox = self.clone();
            tokio::spawn(async move { outbox.send(*frame).await });
        }
    }
}

impl OutboxReceiver {
    /// Waits for the next frame; `None` means that no sender is left.
    pub async fn next(&mut self) -> Option<Frame> {
        Some(self.rx.recv().await?.frame)
    }
}

/// Returns the bytes by which a frame counts, which never exceed the bound.
fn frame_bytes(frame: &Frame) -> u32 {
    frame.encoded_len().min(MAX_QUEUED_BYTES) as u32
}
