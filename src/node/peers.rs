//! Links to the other instances, over which heartbeats, digests and exchanges go.

mod answer;
mod inbound;
mod link;
mod outbox;

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::sync::Notify;

use self::link::Link;
pub use self::{inbound::listen, outbox::Outbox};
use super::{Node, exchange::Exchange};
use crate::{
    codes::{Code, Refusal},
    names::InstanceId,
    wire::{Body, Digest, Heartbeat, PeerRequestBody, ReplyBody},
};

/// Longest wait for the reply to a request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// The outgoing links to all peers.
#[derive(Default)]
pub struct Peers {
    links: Mutex<HashMap<InstanceId, Arc<Link>>>,
    heartbeat_wanted: Notify,
}

impl Peers {
    /// Opens links to newly listed instances, and closes links to instances that left the list or
    /// changed their address.
    pub fn apply_list(&self, node: &Arc<Node>) {
        let list = node.list.load();
        let mut links = self.links.lock();
        links.retain(|id, link| {
            let is_current = list.instance(id).is_some_and(|listed| listed.peer == link.address());
            if !is_current {
                link.close();
            }
            is_current
        });
        for peer in list.instances.iter().filter(|peer| peer.id != node.settings.instance) {
            links
                .entry(peer.id.clone())
                .or_insert_with(|| Link::open(node.clone(), peer.id.clone(), peer.peer));
        }
    }

    /// Sends a heartbeat on every link.
    pub fn send_heartbeat(&self, heartbeat: &Heartbeat) {
        self.broadcast(|| Body::Heartbeat(heartbeat.clone()));
    }

    /// Sends a digest on every link.
    pub fn send_digest(&self, digest: &Digest) {
        self.broadcast(|| Body::Digest(digest.clone()));
    }

    /// Sends a message outside any exchange to one peer; it is lost if the link does not work.
    pub fn notify(&self, peer: &InstanceId, body: Body) {
        if let Some(link) = self.link(peer) {
            link.notify(body);
        }
    }

    /// Sends a message on every link; links that do not work lose it.
    fn broadcast(&self, body: impl Fn() -> Body) {
        for link in self.links.lock().values() {
            link.notify(body());
        }
    }

    /// Requests a heartbeat before the end of the interval.
    pub fn request_heartbeat(&self) {
        self.heartbeat_wanted.notify_one();
    }

    /// Waits until a heartbeat before the end of the interval is requested.
    pub async fn heartbeat_requested(&self) {
        self.heartbeat_wanted.notified().await;
    }

    /// Returns whether the link to a peer works.
    pub fn is_up(&self, peer: &InstanceId) -> bool {
        self.links.lock().get(peer).is_some_and(|link| link.is_up())
    }

    /// Returns the link to a peer, or `None` if no link to it was opened.
    fn link(&self, peer: &InstanceId) -> Option<Arc<Link>> {
        self.links.lock().get(peer).cloned()
    }
}

impl Node {
    /// Opens an exchange with an instance, which may be this one.
    ///
    /// Fails if the request could not be sent.
    pub async fn open_exchange(
        self: &Arc<Self>,
        peer: &InstanceId,
        request: PeerRequestBody,
    ) -> Result<Exchange, Refusal> {
        if *peer == self.settings.instance {
            let (exchange, responder) = Exchange::local();
            answer::handle_request(self.clone(), request, responder);
            return Ok(exchange);
        }
        let link = self.peers.link(peer).filter(|link| link.is_up());
        let link = link.ok_or(Refusal::not_run(Code::PeerUnreachable))?;
        link.request(request).await.ok_or(Refusal::not_run(Code::PeerUnreachable))
    }

    /// Sends a request to an instance and waits for its reply.
    ///
    /// Fails if the request could not be sent, was refused, or the reply did not arrive in time.
    pub async fn request(
        self: &Arc<Self>,
        peer: &InstanceId,
        request: PeerRequestBody,
    ) -> Result<ReplyBody, Refusal> {
        let mut exchange = self.open_exchange(peer, request).await?;
        let lost = Refusal::unknown(Code::PeerUnreachable);
        match tokio::time::timeout(REPLY_TIMEOUT, exchange.next()).await {
            Ok(Some(Body::Reply(reply))) => reply.body.ok_or(lost),
            Ok(Some(Body::End(end))) => Err(end.refusal().unwrap_or(lost)),
            _ => Err(lost),
        }
    }
}
