//! Connections that peers opened.

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

/// Exchanges that one peer may hold open.
const MAX_EXCHANGES: usize = 4_096;

/// Bytes of asks that one peer may hold open.
const MAX_REQUEST_BYTES: usize = 64 << 20;

/// Accepts connections of peers.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                tokio::spawn(async move {
                    if let Err(err) = run(node, stream).await {
                        log::debug!("inbound link: {err}");
                    }
                });
            }
            Err(err) => {
                log::warn!("accept: {err}");
                sleep(HEARTBEAT_INTERVAL).await;
            }
        }
    }
}

/// Runs one connection until it fails or goes silent.
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
    let mut inbound = Inbound { node, tx, streams: HashMap::new(), bytes: 0 };
    let read = async {
        while let Ok(Some(frame)) = timeout(SILENCE_TIMEOUT, source.next()).await {
            inbound.handle_frame(frame?);
        }
        Ok(())
    };
    let ended = tokio::select! {
        () = write => Ok(()),
        ended = read => ended,
    };
    inbound.cancel_all();
    ended
}

struct Inbound {
    node: Arc<Node>,
    tx: Outbox,
    streams: HashMap<u64, OpenExchange>,
    bytes: usize,
}

/// An exchange that the peer opened.
struct OpenExchange {
    responder: Responder,
    bytes: usize,
}

impl Inbound {
    fn handle_frame(&mut self, frame: Frame) {
        self.node.timeline.observe_clock(frame.clock);
        match frame.body {
            Some(Body::Heartbeat(beat)) => {
                let mut own = self.node.heartbeat();
                own.echo = beat.number;
                self.node.record_suspects(&beat);
                self.node.handle_heartbeat(beat);
                let _ = self.tx.try_send(Frame {
                    clock: 0,
                    stream: 0,
                    body: Some(Body::Heartbeat(own)),
                });
                self.remove_ended();
            }
            Some(Body::Config(doc)) => config_sync::apply_pushed(&self.node, &doc),
            Some(Body::Digest(digest)) => digests::apply(&self.node, digest),
            Some(Body::Request(PeerRequest { body: Some(ask) })) => {
                self.open_exchange(frame.stream, ask);
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

    fn open_exchange(&mut self, stream: u64, ask: PeerRequestBody) {
        let bytes = request_bytes(&ask);
        let responder = Responder::on_link(stream, self.tx.clone());
        // A number that is used twice would leave the first exchange without its cancel.
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
        handle_request(self.node.clone(), ask, responder);
    }

    fn close_exchange(&mut self, stream: u64) {
        if let Some(open) = self.streams.remove(&stream) {
            self.bytes -= open.bytes;
            open.responder.cancel();
        }
    }

    fn remove_ended(&mut self) {
        self.streams.retain(|_, open| !open.responder.is_ended());
        self.bytes = self.streams.values().map(|open| open.bytes).sum();
    }

    fn cancel_all(&self) {
        for open in self.streams.values() {
            open.responder.cancel();
        }
    }
}

/// Returns the bytes that an ask holds until it ends.
fn request_bytes(ask: &PeerRequestBody) -> usize {
    match ask {
        PeerRequestBody::Work(work) | PeerRequestBody::NonRepeatable(work) => work.body.len(),
        _ => 0,
    }
}
