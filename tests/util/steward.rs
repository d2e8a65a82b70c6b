//! Looks at stewardships through the platform's records and asks stewards for moves.

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

use super::{eventually, fleet::Fleet};

const REPLY_LIMIT: Duration = Duration::from_secs(5);

impl Fleet {
    /// Reads an endpoint's record.
    pub async fn record(&self, endpoint: &str) -> EndpointRecord {
        let client = Client::new(vec![self.platform], self.platform);
        let kv = client.get(&record_key(&endpoint.into())).await.ok().flatten();
        kv.and_then(|kv| serde_json::from_slice(&kv.value).ok()).unwrap_or_default()
    }

    /// Returns the position of an endpoint's steward among the instances.
    pub async fn steward(&self, endpoint: &str) -> Option<usize> {
        let holder = self.record(endpoint).await.holder?;
        self.list.instances.iter().position(|listed| listed.id == holder)
    }

    /// Waits until an instance other than `former` stewards an endpoint, and returns it.
    pub async fn next_steward(&self, endpoint: &str, former: usize, limit: Duration) -> usize {
        eventually("another steward", limit, || async {
            self.steward(endpoint).await.is_some_and(|steward| steward != former)
        })
        .await;
        self.steward(endpoint).await.expect("a steward")
    }

    /// Asks a steward for a move, as the planner does.
    pub async fn ask_move(
        &self,
        steward: usize,
        endpoint: &str,
        model: &str,
        unload: bool,
    ) -> MoveReply {
        let peer = self.list.instances[steward].peer;
        let order =
            Move { endpoint: endpoint.to_owned(), model: model.to_owned(), unload, plan: 1 };
        let asked = timeout(REPLY_LIMIT, ask(peer, PeerRequestBody::Move(order))).await;
        match asked {
            Ok(Some(ReplyBody::Move(moved))) => moved,
            other => MoveReply { accepted: false, reason: format!("{other:?}") },
        }
    }
}

async fn ask(peer: SocketAddr, body: PeerRequestBody) -> Option<ReplyBody> {
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
