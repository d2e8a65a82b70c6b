//! Claims of non-repeatable requests whose buckets this node owns.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use super::{Node, exchange::Responder};
use crate::{
    codes::{Code, Refusal},
    wire::{End, Work},
};

/// Buckets owned by this node.
#[derive(Default)]
pub struct Claims {
    owned: AtomicUsize,
}

impl Claims {
    /// Returns the number of owned buckets.
    pub fn owned(&self) -> usize {
        self.owned.load(Ordering::Relaxed)
    }
}

/// Takes and keeps the buckets that belong to this node.
pub async fn run(_: Arc<Node>) {
    std::future::pending::<()>().await;
}

/// Claims the id of a request, runs it and answers.
pub async fn submit(node: Arc<Node>, work: Work, responder: Responder) {
    let key = format!("cardamomshore/once/{}/{}", work.team, blake3::hash(work.once.as_bytes()));
    let put = crate::platform::Put { key, value: work.request.clone().into_bytes(), lease: 0 };
    match node.platform.put_if(put, 0).await {
        Ok(reply) if reply.done => super::steward::submit(&node, work, responder),
        Ok(_) => responder.end(End::from(&Refusal::unknown(Code::OutcomeUnknown))).await,
        Err(_) => responder.end(End::from(&Refusal::not_run(Code::PlatformDown))).await,
    }
}
