//! Answers what other instances, or this one, ask.

use std::sync::Arc;

use crate::{
    node::{Node, config_sync, exchange::Responder, once, operator, shares, steward},
    wire::{AskBody, Body, Reply, ReplyBody},
};

/// Answers one ask in a task of its own where that takes time.
pub fn answer(node: Arc<Node>, ask: AskBody, responder: Responder) {
    match ask {
        AskBody::Work(work) => steward::submit(&node, work, responder),
        AskBody::Once(work) => {
            tokio::spawn(once::submit(node, work, responder));
        }
        AskBody::Loan(ask) => reply(responder, shares::answer(&node, &ask)),
        AskBody::Config(ask) => reply(responder, config_sync::answer(&node, &ask)),
        AskBody::Move(order) => {
            tokio::spawn(async move {
                let moved = ReplyBody::Moved(steward::carry_out(&node, order).await);
                reply(responder, moved);
            });
        }
        AskBody::Kept(ask) => {
            tokio::spawn(once::send_kept(node, ask, responder));
        }
        AskBody::Inspect(ask) => reply(responder, operator::inspect(&node, &ask)),
    }
}

fn reply(responder: Responder, body: ReplyBody) {
    tokio::spawn(async move {
        // An asker that left needs no reply.
        let _ = responder.send(Body::Reply(Reply { body: Some(body) })).await;
    });
}
