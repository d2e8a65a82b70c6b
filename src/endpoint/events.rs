//! Cuts a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes that arrived and are not yet passed on.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes and returns whether the event that they belong to is within the limit.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buffer.extend_from_slice(data);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Takes the next complete event with its closing blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let Some(end) = self.find_end() else {
            self.scanned = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.scanned = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    fn find_end(&self) -> Option<usize> {
        (self.scanned..self.buffer.len()).find_map(|at| {
            let rest = &self.buffer[at..];
            if rest.starts_with(b"\n\n") {
                Some(at + 2)
            } else if rest.starts_with(b"\r\n\r\n") {
                Some(at + 4)
            } else {
                None
            }
        })
    }

    /// Returns whether an incomplete event is left.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}
