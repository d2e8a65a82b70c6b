//! Answers what other instances, or this one, ask.

use std::sync::Arc;

use crate::{
    node::{Node, config_sync, exchange::Responder, once, operator, shares, steward},
    wire::{Body, PeerRequestBody, Reply, ReplyBody},
};

/// Answers one ask in a task of its own where that takes time.
pub fn answer(node: Arc<Node>, ask: PeerRequestBody, responder: Responder) {
    match ask {
        PeerRequestBody::Work(work) => steward::submit(&node, work, responder),
        PeerRequestBody::Once(work) => {
            tokio::spawn(once::submit(node, work, responder));
        }
        PeerRequestBody::Loan(ask) => reply(responder, shares::answer(&node, &ask)),
        PeerRequestBody::Config(ask) => reply(responder, config_sync::answer(&node, &ask)),
        PeerRequestBody::Move(order) => {
            tokio::spawn(async move {
                let moved = ReplyBody::Move(steward::carry_out(&node, order).await);
                reply(responder, moved);
            });
        }
        PeerRequestBody::Kept(ask) => {
            tokio::spawn(once::send_kept(node, ask, responder));
        }
        PeerRequestBody::Inspect(ask) => reply(responder, operator::inspect(&node, &ask)),
    }
}

fn reply(responder: Responder, body: ReplyBody) {
    tokio::spawn(async move {
        // An asker that left needs no reply.
        let _ = responder.send(Body::Reply(Reply { body: Some(body) })).await;
    });
}
