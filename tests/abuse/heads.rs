//! Heads of very many fields, and requests that are pipelined.

use super::{
    load::{Script, send_all},
    target::{Target, head},
};
use crate::util::block_on;

/// Guards against heads that need much more memory than bytes: 2,000 fields, 90 fields before a body
/// that does not come, and thousands of parts in one field.
#[test]
fn heads_of_many_fields_fit_into_memory() {
    block_on(async {
        let mut target = Target::start("heads-fields").await;
        let fields: String = (0..2_000).map(|number| format!("{number}:\r\n")).collect();
        let many = head("/look/1", &format!("{fields}\r\n"));
        let _many = send_all(target.callers, 150, &Script::once(many.into_bytes())).await;
        let fields: String = (0..90).map(|number| format!("{number}:\r\n")).collect();
        let legal = head("/look/1", &format!("content-length: 4\r\n{fields}\r\n"));
        let _legal = send_all(target.callers, 150, &Script::once(legal.into_bytes())).await;
        let parts = "a:1,".repeat(3_800);
        let fields =
            format!("x-model: m0\r\nx-prompt-prefix: {parts}\r\ncontent-length: 4\r\n\r\n");
        let prompt = Script::once(head("/look/1", &fields).into_bytes());
        let _prompt = send_all(target.callers, 150, &prompt).await;
        target.check().await;
    });
}

/// Guards against requests that are read on while responses wait: each of 60 clients pipelines
/// thousands and reads nothing.
#[test]
fn heads_pipelined_fit_into_memory() {
    block_on(async {
        let mut target = Target::start("heads-pipelined").await;
        let mut held = Vec::new();
        for address in [target.callers, target.directory, target.readiness, target.metrics] {
            for path in ["/none", "/api/resolve"] {
                let request = format!("GET {path} HTTP/1.1\r\nhost: abuse.example\r\n\r\n");
                let parts = vec![(request.repeat(20).into_bytes(), 200)];
                let script = Script { parts, pause: std::time::Duration::ZERO };
                held.extend(send_all(address, 15, &script).await);
            }
        }
        let request = head("/look/big", "content-length: 0\r\n\r\n");
        let script = Script::once(request.repeat(50).into_bytes());
        held.extend(send_all(target.callers, 60, &script).await);
        target.check().await;
    });
}
