//! Reads endpoints' records from the platform and sends move requests to stewards.

use std::{net::SocketAddr, time::Duration};

use cardamomshore::{
    kernel::{ledger::EndpointRecord, stewardship::record_key},
    platform::Client,
    wire::{
        Body, Frame, FrameCodec, Hello, Move, MoveReply, PeerRequest, PeerRequestBody, ReplyBody,
    },
};
use futures_util::{SinkExt, StreamExt};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::Framed;

use super::{fleet::Fleet, wait_until};

/// Longest wait for a reply of a steward.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

impl Fleet {
    /// Returns an endpoint's record, or an empty one if the platform returns none.
    pub async fn fetch_record(&self, endpoint: &str) -> EndpointRecord {
        let client = Client::new(vec![self.platform], self.platform);
        let entry = client.get(&record_key(&endpoint.into())).await.ok().flatten();
        entry.and_then(|entry| serde_json::from_slice(&entry.value).ok()).unwrap_or_default()
    }

    /// Returns the index of an endpoint's steward among the fleet's instances.
    pub async fn steward_index(&self, endpoint: &str) -> Option<usize> {
        let holder = self.fetch_record(endpoint).await.holder?;
        self.list.instances.iter().position(|listed| listed.id == holder)
    }

    /// Waits until an instance other than `former` is an endpoint's steward and returns its
    /// index.
    pub async fn wait_next_steward(&self, endpoint: &str, former: usize, limit: Duration) -> usize {
        wait_until("the endpoint has another steward", limit, || async {
            self.steward_index(endpoint).await.is_some_and(|steward| steward != former)
        })
        .await;
        self.steward_index(endpoint).await.expect("expected the endpoint to have a steward")
    }

    /// Requests the load or unload of a model from a steward, as the planner does.
    ///
    /// Without a reply the move counts as not accepted.
    pub async fn request_move(
        &self,
        steward: usize,
        endpoint: &str,
        model: &str,
        unload: bool,
    ) -> MoveReply {
        let peer = self.list.instances[steward].peer;
        let request =
            Move { endpoint: endpoint.to_owned(), model: model.to_owned(), unload, plan: 1 };
        let reply =
            timeout(REPLY_TIMEOUT, send_request(peer, PeerRequestBody::Move(request))).await;
        match reply {
            Ok(Some(ReplyBody::Move(move_reply))) => move_reply,
            other => MoveReply { accepted: false, reason: format!("{other:?}") },
        }
    }
}

/// Sends a request over a new link and returns the reply, or `None` if the link fails first.
async fn send_request(peer: SocketAddr, body: PeerRequestBody) -> Option<ReplyBody> {
    let stream = TcpStream::connect(peer).await.ok()?;
    let mut framed = Framed::new(stream, FrameCodec::default());
    let hello = Hello { instance: "test".to_owned(), incarnation: 1 };
    let frame = |stream, body| Frame { clock: 1, stream, body: Some(body) };
    framed.send(frame(0, Body::Hello(hello))).await.ok()?;
    framed.send(frame(1, Body::Request(PeerRequest { body: Some(body) }))).await.ok()?;
    while let Some(Ok(frame)) = framed.next().await {
        if let Some(Body::Reply(reply)) = frame.body {
            return reply.body;
        }
    }
    None
}
