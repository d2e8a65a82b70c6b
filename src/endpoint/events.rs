//! Splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes that are pushed, and splits them into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes that arrived and do not belong to a returned event.
    buffer: BytesMut,
    /// Length of the part of the buffer that contains no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes. Returns `false` if the buffered event is larger than the limit.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buffer.extend_from_slice(data);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Takes the next complete event, with the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let Some(end) = self.find_end() else {
            self.scanned = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.scanned = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Returns the length of the first event in the buffer, if it is complete.
    fn find_end(&self) -> Option<usize> {
        (self.scanned..self.buffer.len()).find_map(|start| {
            let rest = &self.buffer[start..];
            if rest.starts_with(b"\n\n") {
                Some(start + 2)
            } else if rest.starts_with(b"\r\n\r\n") {
                Some(start + 4)
            } else {
                None
            }
        })
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}
