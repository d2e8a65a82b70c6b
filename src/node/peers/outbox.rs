//! The frames that wait to be written to one connection, bounded in number and in bytes.

use std::sync::Arc;

use prost::Message;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::{node::exchange::RequesterGone, wire::Frame};

/// Frames that may wait for one connection.
const MAX_QUEUED_FRAMES: usize = 1_024;

/// Bytes that may wait for one connection; larger than any frame.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// The sender's side.
#[derive(Clone)]
pub struct Outbox {
    tx: mpsc::Sender<Queued>,
    bytes: Arc<Semaphore>,
}

/// The writer's side.
pub struct OutboxReceiver {
    rx: mpsc::Receiver<Queued>,
}

struct Queued {
    frame: Frame,
    /// Gives the frame's bytes back when it was written.
    _bytes: OwnedSemaphorePermit,
}

impl Outbox {
    /// Creates both sides.
    pub fn new() -> (Outbox, OutboxReceiver) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
        (Outbox { tx, bytes: Arc::new(Semaphore::new(MAX_QUEUED_BYTES)) }, OutboxReceiver { rx })
    }

    /// Queues a frame and waits while there is no room for it.
    pub async fn send(&self, frame: Frame) -> Result<(), RequesterGone> {
        let permit = self.bytes.clone().acquire_many_owned(frame_bytes(&frame)).await;
        let _bytes = permit.map_err(|_| RequesterGone)?;
        self.tx.send(Queued { frame, _bytes }).await.map_err(|_| RequesterGone)
    }

    /// Queues a frame if there is room for it, or gives it back.
    pub fn try_send(&self, frame: Frame) -> Result<(), Box<Frame>> {
        let Ok(_bytes) = self.bytes.clone().try_acquire_many_owned(frame_bytes(&frame)) else {
            return Err(Box::new(frame));
        };
        self.tx.try_send(Queued { frame, _bytes }).map_err(|err| Box::new(err.into_inner().frame))
    }

    /// Queues a frame that must not be lost while the connection lives.
    pub fn send_later(&self, frame: Frame) {
        if let Err(frame) = self.try_send(frame) {
            let outbox = self.clone();
            tokio::spawn(async move { outbox.send(*frame).await });
        }
    }
}

impl OutboxReceiver {
    /// Waits for the next frame.
    pub async fn next(&mut self) -> Option<Frame> {
        Some(self.rx.recv().await?.frame)
    }
}

fn frame_bytes(frame: &Frame) -> u32 {
    frame.encoded_len().min(MAX_QUEUED_BYTES) as u32
}
