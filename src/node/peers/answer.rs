//! Answers what other instances, or this one, ask.

use std::sync::Arc;

use crate::{
    node::{Node, config_sync, exchange::Responder, once, operator, shares, steward},
    wire::{Body, PeerRequestBody, Reply, ReplyBody},
};

/// Answers one ask in a task of its own where that takes time.
pub fn handle_request(node: Arc<Node>, ask: PeerRequestBody, responder: Responder) {
    match ask {
        PeerRequestBody::Work(work) => steward::submit(&node, work, responder),
        PeerRequestBody::NonRepeatable(work) => {
            tokio::spawn(once::submit(node, work, responder));
        }
        PeerRequestBody::Loan(ask) => send_reply(responder, shares::handle_request(&node, &ask)),
        PeerRequestBody::Config(ask) => {
            send_reply(responder, config_sync::handle_request(&node, &ask))
        }
        PeerRequestBody::Move(order) => {
            tokio::spawn(async move {
                let moved = ReplyBody::Move(steward::handle_move(&node, order).await);
                send_reply(responder, moved);
            });
        }
        PeerRequestBody::StoredResponse(ask) => {
            tokio::spawn(once::handle_stored_request(node, ask, responder));
        }
        PeerRequestBody::Document(ask) => {
            send_reply(responder, operator::handle_request(&node, &ask))
        }
    }
}

fn send_reply(responder: Responder, body: ReplyBody) {
    tokio::spawn(async move {
        // An asker that left needs no reply.
        let _ = responder.send(Body::Reply(Reply { body: Some(body) })).await;
    });
}
