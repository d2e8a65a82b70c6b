//! Bodies that fill the memory: all but the last byte of many, in small pieces, in short chunks, and
//! far over the limit.

use std::time::Duration;

use super::{
    load::{Script, send_all},
    target::{MAX_BODY, Target, head},
};
use crate::util::block_on;

/// Returns a request of which all but the last byte of the body is sent.
fn stopped_short(path: &str) -> Script {
    let mut bytes = head(path, &format!("content-length: {MAX_BODY}\r\n\r\n")).into_bytes();
    bytes.resize(bytes.len() + MAX_BODY - 1, b'x');
    Script::once(bytes)
}

/// Guards against bodies that are kept without a common bound: 160 of a legal size need 160 MB.
#[test]
fn bodies_stopped_short_fit_into_memory() {
    block_on(async {
        let mut target = Target::start("bodies-short").await;
        let _held = send_all(target.callers, 160, &stopped_short("/look/1")).await;
        target.check().await;
    });
}

/// Guards against a read buffer that is kept for each piece of a body: 8 kB for each byte.
#[test]
fn bodies_in_small_pieces_fit_into_memory() {
    block_on(async {
        let mut target = Target::start("bodies-pieces").await;
        let begin = head("/look/1", &format!("content-length: {MAX_BODY}\r\n\r\n"));
        let parts = vec![(begin.into_bytes(), 1), (b"x".to_vec(), 600)];
        let script = Script { parts, pause: Duration::from_millis(5) };
        let _held = send_all(target.callers, 40, &script).await;
        target.check().await;
    });
}

/// Guards against an entry of a list that is kept for each chunk: 32 bytes and more for each byte.
#[test]
fn bodies_in_short_chunks_fit_into_memory() {
    block_on(async {
        let mut target = Target::start("bodies-chunks").await;
        let begin = head("/look/1", "transfer-encoding: chunked\r\n\r\n");
        let parts = vec![(begin.into_bytes(), 1), (b"1\r\nx\r\n".repeat(270), 1_000)];
        let script = Script { parts, pause: Duration::ZERO };
        let _held = send_all(target.callers, 40, &script).await;
        // A debug build decodes the chunks slowly.
        tokio::time::sleep(Duration::from_secs(6)).await;
        target.check().await;
    });
}

/// Guards against bodies over the limit that are read nevertheless, with and without a length.
#[test]
fn bodies_over_the_limit_fit_into_memory() {
    block_on(async {
        let mut target = Target::start("bodies-over").await;
        let block = vec![b'x'; 64 << 10];
        let begin = head("/look/1", "content-length: 100000000\r\n\r\n").into_bytes();
        let parts = vec![(begin, 1), (block.clone(), 256)];
        let sized = Script { parts, pause: Duration::ZERO };
        let _sized = send_all(target.callers, 40, &sized).await;
        let begin = head("/look/1", "transfer-encoding: chunked\r\n\r\n").into_bytes();
        let chunk = [b"10000\r\n", &*block, b"\r\n"].concat();
        let parts = vec![(begin, 1), (chunk, 256)];
        let chunked = Script { parts, pause: Duration::ZERO };
        let _chunked = send_all(target.callers, 40, &chunked).await;
        target.check().await;
    });
}

/// Guards against bodies that are kept at paths without a route and at the other listeners.
#[test]
fn bodies_at_other_paths_fit_into_memory() {
    block_on(async {
        let mut target = Target::start("bodies-paths").await;
        let mut held = send_all(target.callers, 60, &stopped_short("/none")).await;
        for address in [target.directory, target.readiness, target.metrics] {
            held.extend(send_all(address, 60, &stopped_short("/api/readyz")).await);
        }
        target.check().await;
    });
}

/// Guards against responses that wait in memory for callers who read nothing.
#[test]
fn responses_not_read_fit_into_memory() {
    block_on(async {
        let mut target = Target::start("responses-unread").await;
        let request = head("/look/big", "content-length: 0\r\n\r\n").into_bytes();
        let held = send_all(target.callers, 160, &Script::once(request)).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        target.check().await;
        drop(held);
    });
}
