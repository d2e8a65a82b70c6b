//! Connections that peers opened.

use std::{collections::HashMap, sync::Arc};

use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::codec::Framed;

use super::{answer::answer, link::SILENCE_LIMIT};
use crate::{
    node::{Node, digests, exchange::Responder, members::BEAT_PERIOD},
    wire::{Ask, Body, Frame, FrameCodec, WireError},
};

const QUEUE_LENGTH: usize = 1_024;

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
                sleep(BEAT_PERIOD).await;
            }
        }
    }
}

/// Runs one connection until it fails or goes silent.
async fn run(node: Arc<Node>, stream: TcpStream) -> Result<(), WireError> {
    stream.set_nodelay(true)?;
    let (mut sink, mut source) = Framed::new(stream, FrameCodec::default()).split();
    let (tx, mut rx) = mpsc::channel::<Frame>(QUEUE_LENGTH);
    let writer_node = node.clone();
    let write = async move {
        while let Some(mut frame) = rx.recv().await {
            frame.clock = writer_node.timeline.tick();
            if !matches!(timeout(SILENCE_LIMIT, sink.send(frame)).await, Ok(Ok(()))) {
                return;
            }
        }
    };
    let mut inbound = Inbound { node, tx, streams: HashMap::new() };
    let read = async {
        while let Ok(Some(frame)) = timeout(SILENCE_LIMIT, source.next()).await {
            inbound.take(frame?);
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
    tx: mpsc::Sender<Frame>,
    streams: HashMap<u64, Responder>,
}

impl Inbound {
    fn take(&mut self, frame: Frame) {
        self.node.timeline.witness(frame.clock);
        match frame.body {
            Some(Body::Beat(beat)) => {
                let mut own = self.node.beat();
                own.echo = beat.number;
                self.node.hear_suspects(&beat);
                self.node.members.hear(beat);
                let _ =
                    self.tx.try_send(Frame { clock: 0, stream: 0, body: Some(Body::Beat(own)) });
                self.streams.retain(|_, responder| !responder.is_over());
            }
            Some(Body::Digest(digest)) => digests::take(&self.node, digest),
            Some(Body::Ask(Ask { body: Some(ask) })) => {
                let responder = Responder::on_link(frame.stream, self.tx.clone());
                self.streams.insert(frame.stream, responder.clone());
                answer(self.node.clone(), ask, responder);
            }
            Some(Body::Cancel(_)) => {
                if let Some(responder) = self.streams.remove(&frame.stream) {
                    responder.cancel();
                }
            }
            Some(Body::Credit(credit)) => {
                if let Some(responder) = self.streams.get(&frame.stream) {
                    responder.credit(credit.chunks);
                }
            }
            _ => {}
        }
    }

    fn cancel_all(&self) {
        for responder in self.streams.values() {
            responder.cancel();
        }
    }
}
