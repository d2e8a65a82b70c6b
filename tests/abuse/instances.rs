//! The same at the addresses for other instances.

use super::{
    load::{Script, send_all},
    target::{MAX_BODY, Target, head},
};
use crate::util::block_on;

/// Guards against bodies that come by the relay without a common bound.
#[test]
fn relay_bodies_stopped_short_fit_into_memory() {
    block_on(async {
        let mut target = Target::start("relay-bodies").await;
        let begin = head("/look/1", &format!("content-length: {MAX_BODY}\r\n\r\n"));
        let mut bytes = begin.into_bytes();
        bytes.resize(bytes.len() + MAX_BODY - 1, b'x');
        let _held = send_all(target.relay, 160, &Script::once(bytes)).await;
        target.check().await;
    });
}

/// Guards against large first frames on links: each announces 4 MB and sends 3 MB.
#[test]
fn link_large_first_frames_fit_into_memory() {
    block_on(async {
        let mut target = Target::start("link-frames").await;
        let mut bytes = (4_u32 << 20).to_be_bytes().to_vec();
        bytes.resize(3 << 20, 1);
        let _held = send_all(target.peer, 80, &Script::once(bytes)).await;
        target.check().await;
    });
}

/// Guards against links that are opened without a hello, in any number.
#[test]
fn link_silent_connections_leave_room() {
    block_on(async {
        let mut target = Target::start("link-silent").await;
        let _held = send_all(target.peer, 900, &Script::once(Vec::new())).await;
        target.check().await;
    });
}
