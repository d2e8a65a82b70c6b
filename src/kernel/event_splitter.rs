//! Splits the bytes of a streamed response into events.

use bytes::{Bytes, BytesMut};

/// Largest event in bytes. A server in trouble may send bytes without end that are no event; they
/// must not fill the memory of the instance.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The next part of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Split {
    /// A complete event, and the number in its `id` field if it has one.
    Event(Bytes, Option<u64>),
    /// More bytes are needed.
    Incomplete,
    /// The bytes are longer than any event may be.
    TooLong,
}

/// Collects the bytes of a streamed response until they form events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer in which no event ends.
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes that have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether all bytes have been returned in events.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next part of the response.
    pub fn split(&mut self) -> Split {
        let Some(end) = self.event_end() else {
            // The end of an event may have arrived in part.
            self.scanned = self.buffer.len().saturating_sub(CRLF_END.len() - 1);
            return match self.buffer.len() > MAX_EVENT_BYTES {
                true => Split::TooLong,
                false => Split::Incomplete,
            };
        };
        let event = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let number = event_number(&event);
        Split::Event(event, number)
    }

    /// Returns the length of the first event of the buffer, with the empty line that ends it.
    fn event_end(&self) -> Option<usize> {
        let new_bytes = &self.buffer[self.scanned..];
        let find = |end: &[u8]| {
            let at = new_bytes.windows(end.len()).position(|bytes| bytes == end);
            at.map(|at| self.scanned + at + end.len())
        };
        find(LF_END).into_iter().chain(find(CRLF_END)).min()
    }
}

/// End of an event whose lines end with a line feed.
const LF_END: &[u8] = b"\n\n";

/// End of an event whose lines end with a carriage return and a line feed.
const CRLF_END: &[u8] = b"\r\n\r\n";

/// Returns the number in the `id` field of an event.
fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:".as_slice()))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
