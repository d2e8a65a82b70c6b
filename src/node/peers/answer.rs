//! Dispatches the requests of other instances, and of this one, to the modules that handle them.

use std::sync::Arc;

use crate::{
    node::{Node, config_sync, exchange::Responder, once, operator, shares, steward},
    wire::{Body, PeerRequestBody, Reply, ReplyBody},
};

/// Handles one request; those that take time run in a task of their own.
pub fn handle_request(node: Arc<Node>, request: PeerRequestBody, responder: Responder) {
    match request {
        PeerRequestBody::Work(work) => steward::submit(&node, work, responder),
        PeerRequestBody::NonRepeatable(work) => {
            tokio::spawn(once::submit(node, work, responder));
        }
        PeerRequestBody::Loan(request) => {
            send_reply(responder, shares::handle_request(&node, &request))
        }
        PeerRequestBody::Config(request) => {
            send_reply(responder, config_sync::handle_request(&node, &request))
        }
        PeerRequestBody::Move(order) => {
            tokio::spawn(async move {
                let moved = ReplyBody::Move(steward::handle_move(&node, order).await);
                send_reply(responder, moved);
            });
        }
        PeerRequestBody::StoredResponse(request) => {
            tokio::spawn(once::handle_stored_request(node, request, responder));
        }
        PeerRequestBody::Document(request) => {
            send_reply(responder, operator::handle_request(&node, &request))
        }
    }
}

/// Sends a reply in a task of its own.
fn send_reply(responder: Responder, body: ReplyBody) {
    tokio::spawn(async move {
        // Fails only if the requester is gone.
        let _ = responder.send(Body::Reply(Reply { body: Some(body) })).await;
    });
}
