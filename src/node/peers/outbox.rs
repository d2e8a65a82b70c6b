//! The frames that wait to be written to one connection, bounded in number and in bytes.

use std::sync::Arc;

use prost::Message;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::{node::exchange::Gone, wire::Frame};

/// Frames that may wait for one connection.
const QUEUE_FRAMES: usize = 1_024;

/// Bytes that may wait for one connection; larger than any frame.
const QUEUE_BYTES: usize = 16 << 20;

/// The sender's side.
#[derive(Clone)]
pub struct Outbox {
    tx: mpsc::Sender<Queued>,
    bytes: Arc<Semaphore>,
}

/// The writer's side.
pub struct OutQueue {
    rx: mpsc::Receiver<Queued>,
}

struct Queued {
    frame: Frame,
    /// Gives the frame's bytes back when it was written.
    _bytes: OwnedSemaphorePermit,
}

impl Outbox {
    /// Creates both sides.
    pub fn new() -> (Outbox, OutQueue) {
        let (tx, rx) = mpsc::channel(QUEUE_FRAMES);
        (Outbox { tx, bytes: Arc::new(Semaphore::new(QUEUE_BYTES)) }, OutQueue { rx })
    }

    /// Queues a frame and waits while there is no room for it.
    pub async fn send(&self, frame: Frame) -> Result<(), Gone> {
        let permit = self.bytes.clone().acquire_many_owned(weight(&frame)).await;
        let _bytes = permit.map_err(|_| Gone)?;
        self.tx.send(Queued { frame, _bytes }).await.map_err(|_| Gone)
    }

    /// Queues a frame if there is room for it, or gives it back.
    pub fn try_send(&self, frame: Frame) -> Result<(), Box<Frame>> {
        let Ok(_bytes) = self.bytes.clone().try_acquire_many_owned(weight(&frame)) else {
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

impl OutQueue {
    /// Waits for the next frame.
    pub async fn next(&mut self) -> Option<Frame> {
        Some(self.rx.recv().await?.frame)
    }
}

fn weight(frame: &Frame) -> u32 {
    frame.encoded_len().min(QUEUE_BYTES) as u32
}
