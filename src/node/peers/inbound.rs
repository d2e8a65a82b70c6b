//! The connections that peers opened to this instance.

use std::{collections::HashMap, sync::Arc};

use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::codec::Framed;

use super::{Outbox, answer::handle_request, link::SILENCE_TIMEOUT};
use crate::{
    codes::{Code, Refusal},
    node::{Node, config_sync, digests, exchange::Responder, members::HEARTBEAT_INTERVAL},
    wire::{Body, End, Frame, FrameCodec, PeerRequest, PeerRequestBody, WireError},
};

/// Most exchanges that one peer may hold open.
const MAX_EXCHANGES: usize = 4_096;

/// Most bytes of request bodies that one peer may hold open.
const MAX_REQUEST_BYTES: usize = 64 << 20;

/// Accepts connections of peers.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                tokio::spawn(async move {
                    if let Err(err) = run(node, stream).await {
                        log::debug!("the connection of a peer failed: {err}");
                    }
                });
            }
            Err(err) => {
                log::warn!("cannot accept a connection of a peer: {err}");
                sleep(HEARTBEAT_INTERVAL).await;
            }
        }
    }
}

/// Runs one connection until it fails or is silent for longer than the timeout.
async fn run(node: Arc<Node>, stream: TcpStream) -> Result<(), WireError> {
    stream.set_nodelay(true)?;
    let (mut sink, mut source) = Framed::new(stream, FrameCodec::default()).split();
    let (tx, mut queue) = Outbox::new();
    let writer_node = node.clone();
    let write = async move {
        while let Some(mut frame) = queue.next().await {
            frame.clock = writer_node.timeline.tick();
            if !matches!(timeout(SILENCE_TIMEOUT, sink.send(frame)).await, Ok(Ok(()))) {
                return;
            }
        }
    };
    let mut inbound = Inbound { node, outbox: tx, streams: HashMap::new(), bytes: 0 };
    let read = async {
        while let Ok(Some(frame)) = timeout(SILENCE_TIMEOUT, source.next()).await {
            inbound.handle_frame(frame?);
        }
        Ok(())
    };
    let result = tokio::select! {
        () = write => Ok(()),
        result = read => result,
    };
    inbound.cancel_all();
    result
}

/// One connection and the exchanges that are open on it.
struct Inbound {
    node: Arc<Node>,
    outbox: Outbox,
    /// Open exchanges by their number on the connection.
    streams: HashMap<u64, OpenExchange>,
    /// Bytes of the request bodies of all open exchanges.
    bytes: usize,
}

/// An exchange that the peer opened.
struct OpenExchange {
    responder: Responder,
    bytes: usize,
}

impl Inbound {
    /// Handles one frame of the peer.
    fn handle_frame(&mut self, frame: Frame) {
        self.node.timeline.observe_clock(frame.clock);
        match frame.body {
            Some(Body::Heartbeat(heartbeat)) => {
                let mut reply = self.node.heartbeat();
                reply.echo = heartbeat.number;
                self.node.record_suspects(&heartbeat);
                self.node.handle_heartbeat(heartbeat);
                let _ = self.outbox.try_send(Frame {
                    clock: 0,
                    stream: 0,
                    body: Some(Body::Heartbeat(reply)),
                });
                self.remove_ended();
            }
            Some(Body::Config(doc)) => config_sync::apply_pushed(&self.node, &doc),
            Some(Body::Digest(digest)) => digests::apply(&self.node, digest),
            Some(Body::Request(PeerRequest { body: Some(request) })) => {
                self.open_exchange(frame.stream, request);
            }
            Some(Body::Cancel(_)) => self.close_exchange(frame.stream),
            Some(Body::Credit(credit)) => {
                if let Some(open) = self.streams.get(&frame.stream) {
                    open.responder.add_credit(credit.chunks);
                }
            }
            _ => {}
        }
    }

    /// Opens an exchange, or refuses it if the peer holds too many or too large ones open.
    fn open_exchange(&mut self, stream: u64, request: PeerRequestBody) {
        let bytes = request_bytes(&request);
        let responder = Responder::on_link(stream, self.outbox.clone());
        // An earlier exchange of the same number could no longer be cancelled by the peer.
        self.close_exchange(stream);
        if self.streams.len() >= MAX_EXCHANGES || self.bytes + bytes > MAX_REQUEST_BYTES {
            self.remove_ended();
        }
        if self.streams.len() >= MAX_EXCHANGES || self.bytes + bytes > MAX_REQUEST_BYTES {
            let full = End::from(&Refusal::not_run(Code::QueueFull));
            tokio::spawn(async move { responder.end(full).await });
            return;
        }
        self.bytes += bytes;
        self.streams.insert(stream, OpenExchange { responder: responder.clone(), bytes });
        handle_request(self.node.clone(), request, responder);
    }

    /// Removes an exchange and cancels its request.
    fn close_exchange(&mut self, stream: u64) {
        if let Some(open) = self.streams.remove(&stream) {
            self.bytes -= open.bytes;
            open.responder.cancel();
        }
    }

    /// Removes the exchanges that have ended.
    fn remove_ended(&mut self) {
        self.streams.retain(|_, open| !open.responder.is_ended());
        self.bytes = self.streams.values().map(|open| open.bytes).sum();
    }

    /// Cancels the requests of all open exchanges.
    fn cancel_all(&self) {
        for open in self.streams.values() {
            open.responder.cancel();
        }
    }
}

/// Returns the size of the body that a request holds in memory until its exchange ends.
fn request_bytes(request: &PeerRequestBody) -> usize {
    match request {
        PeerRequestBody::Work(work) | PeerRequestBody::NonRepeatable(work) => work.body.len(),
        _ => 0,
    }
}
