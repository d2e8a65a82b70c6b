//! Connections that fill the table of descriptors: without a request, with a part of one, and slow.

use std::time::Duration;

use super::{
    load::{Script, send_all},
    target::{Target, head},
};
use crate::util::block_on;

/// More connections than the process may have descriptors.
const COUNT: usize = 900;

/// Guards against connections without a common bound: 900 clients stop within the head.
#[test]
fn connections_with_half_a_head_leave_room() {
    block_on(async {
        let mut target = Target::start("connections-half").await;
        let begin = Script::once(head("/look/1", "x-rest").into_bytes());
        let _held = send_all(target.callers, COUNT, &begin).await;
        target.check().await;
    });
}

/// Guards against connections on which nothing is sent.
#[test]
fn connections_that_are_silent_leave_room() {
    block_on(async {
        let mut target = Target::start("connections-silent").await;
        let _held = send_all(target.callers, COUNT, &Script::once(Vec::new())).await;
        target.check().await;
    });
}

/// Guards against heads that arrive for ever, a byte at a time.
#[test]
fn connections_with_slow_heads_leave_room() {
    block_on(async {
        let mut target = Target::start("connections-slow").await;
        let begin = head("/look/1", "x-slow: ").into_bytes();
        let parts = vec![(begin, 1), (b"x".to_vec(), 20)];
        let script = Script { parts, pause: Duration::from_millis(200) };
        let _held = send_all(target.callers, COUNT, &script).await;
        target.check().await;
    });
}

/// Guards against slow bodies that occupy all connections.
#[test]
fn connections_with_slow_bodies_leave_room() {
    block_on(async {
        let mut target = Target::start("connections-bodies").await;
        let begin = head("/look/1", "content-length: 1000\r\n\r\n").into_bytes();
        let parts = vec![(begin, 1), (b"x".to_vec(), 20)];
        let script = Script { parts, pause: Duration::from_millis(200) };
        let _held = send_all(target.callers, COUNT, &script).await;
        target.check().await;
    });
}

/// Guards against the directory, the readiness checks and the metrics as a way round the bound.
#[test]
fn connections_at_other_listeners_leave_room() {
    block_on(async {
        let mut target = Target::start("connections-others").await;
        let begin = Script::once(b"GET /api/readyz HTTP/1.1\r\nx-rest".to_vec());
        let mut held = Vec::new();
        for address in [target.directory, target.readiness, target.metrics] {
            held.extend(send_all(address, COUNT / 3, &begin).await);
        }
        target.check().await;
    });
}
