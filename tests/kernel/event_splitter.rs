//! Tests of the splitting of a streamed response into events.

use cardamomshore::kernel::event_splitter::{EventSplitter, Split};

/// Bytes that a server sends at once.
const CHUNK: [u8; 4_096] = [b'x'; 4_096];

/// Returns all events of the splitter's bytes, with their numbers.
fn events(splitter: &mut EventSplitter) -> Vec<(String, Option<u64>)> {
    let mut events = Vec::new();
    while let Split::Event(event, number) = splitter.split() {
        events.push((String::from_utf8_lossy(&event).into_owned(), number));
    }
    events
}

#[test]
fn split_events_in_any_pieces() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
    let whole = [
        ("id: 1\ndata: a\n\n".to_owned(), Some(1)),
        ("id: 2\r\ndata: b\r\n\r\n".to_owned(), Some(2)),
        ("data: c\n\n".to_owned(), None),
    ];
    for size in 1..=stream.len() {
        let mut splitter = EventSplitter::default();
        let mut seen = Vec::new();
        for piece in stream.chunks(size) {
            splitter.push(piece);
            seen.extend(events(&mut splitter));
        }
        assert_eq!(seen, whole, "in pieces of {size} bytes");
        assert!(splitter.is_empty());
    }
}

#[test]
fn split_endless_bytes_too_long() {
    // A server sends 64 MB that are no event.
    let mut splitter = EventSplitter::default();
    let chunks = (0..16_384).take_while(|_| {
        splitter.push(&CHUNK);
        splitter.split() == Split::Incomplete
    });
    let kept = chunks.count() * CHUNK.len();
    assert!(kept <= 1 << 20, "{kept} bytes are kept for one response");
}

#[test]
fn split_large_event_returned() {
    let mut splitter = EventSplitter::default();
    (0..32).for_each(|_| splitter.push(&CHUNK));
    assert_eq!(splitter.split(), Split::Incomplete);
    splitter.push(b"\n\n");
    let Split::Event(event, None) = splitter.split() else { panic!("the event is complete") };
    assert_eq!(event.len(), 32 * CHUNK.len() + 2);
}
