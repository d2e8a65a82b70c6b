//! The outgoing connection to one peer, which is opened again whenever it fails or goes silent.

use std::{
    collections::HashMap,
    io::ErrorKind::ConnectionRefused,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::{codec::Framed, sync::CancellationToken};

use super::Outbox;
use crate::{
    events::Event,
    names::InstanceId,
    node::{
        Node,
        exchange::{Exchange, part_channel},
    },
    wire::{Body, Frame, FrameCodec, Hello, PeerRequest, PeerRequestBody, WireError},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// Silence after which a connection is given up; heartbeats come four times a second.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

type Streams = Mutex<HashMap<u64, mpsc::Sender<Body>>>;

/// A link to one peer.
pub struct Link {
    peer: InstanceId,
    address: SocketAddr,
    up: AtomicBool,
    next_stream: AtomicU64,
    streams: Arc<Streams>,
    tx: Mutex<Option<Outbox>>,
    closed: CancellationToken,
}

impl Link {
    /// Opens a link and keeps it open until it is closed.
    pub fn open(node: Arc<Node>, peer: InstanceId, address: SocketAddr) -> Arc<Self> {
        let link = Arc::new(Self {
            peer,
            address,
            up: AtomicBool::new(false),
            next_stream: AtomicU64::new(1),
            streams: Arc::default(),
            tx: Mutex::default(),
            closed: CancellationToken::new(),
        });
        let task = link.clone();
        tokio::spawn(async move {
            let closed = task.closed.clone();
            tokio::select! {
                () = task.run_connections(node) => {}
                () = closed.cancelled() => task.drop_streams(),
            }
        });
        link
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection works.
    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::Acquire)
    }

    /// Closes the link for good.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Sends a message outside any exchange if the connection works and its queue has room.
    pub fn notify(&self, body: Body) {
        if let Some(tx) = self.outbox() {
            let _ = tx.try_send(Frame { clock: 0, stream: 0, body: Some(body) });
        }
    }

    /// Opens an exchange, or returns `None` when nothing was sent.
    pub async fn request(&self, ask: PeerRequestBody) -> Option<Exchange> {
        let tx = self.outbox()?;
        let stream = self.next_stream.fetch_add(1, Ordering::Relaxed);
        let (body_tx, rx) = part_channel();
        self.streams.lock().insert(stream, body_tx);
        let streams = self.streams.clone();
        let exchange = Exchange::on_link(stream, rx, tx.clone(), move |stream| {
            streams.lock().remove(&stream);
        });
        let body = Some(Body::Request(PeerRequest { body: Some(ask) }));
        tx.send(Frame { clock: 0, stream, body }).await.ok()?;
        Some(exchange)
    }

    fn outbox(&self) -> Option<Outbox> {
        self.tx.lock().clone()
    }

    async fn run_connections(&self, node: Arc<Node>) {
        loop {
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
                Ok(Ok(stream)) => {
                    let ended = self.run(&node, stream).await;
                    self.drop_streams();
                    let reason = ended.map_or_else(|err| err.to_string(), |()| "silent".to_owned());
                    node.timeline().record(Event::PeerDown, self.peer.as_str(), reason);
                }
                Ok(Err(err)) if err.kind() == ConnectionRefused => {
                    node.members.record_refused_connection(&self.peer);
                }
                _ => {}
            }
            sleep(RECONNECT_BACKOFF).await;
        }
    }

    fn drop_streams(&self) {
        self.up.store(false, Ordering::Release);
        *self.tx.lock() = None;
        self.streams.lock().clear();
    }

    /// Runs one connection and returns when it went silent.
    async fn run(&self, node: &Arc<Node>, stream: TcpStream) -> Result<(), WireError> {
        stream.set_nodelay(true)?;
        let (mut sink, mut source) = Framed::new(stream, FrameCodec::default()).split();
        let (tx, mut queue) = Outbox::new();
        let hello =
            Hello { instance: node.settings.instance.to_string(), incarnation: node.incarnation };
        sink.send(Frame { clock: node.timeline.tick(), stream: 0, body: Some(Body::Hello(hello)) })
            .await?;
        *self.tx.lock() = Some(tx);
        let write = async {
            while let Some(mut frame) = queue.next().await {
                frame.clock = node.timeline.tick();
                timeout(SILENCE_TIMEOUT, sink.send(frame)).await.map_err(|_| timed_out())??;
            }
            Ok(())
        };
        let read = async {
            while let Ok(frame) = timeout(SILENCE_TIMEOUT, source.next()).await {
                let Some(frame) = frame else { return Ok(()) };
                self.handle_frame(node, frame?);
            }
            Ok(())
        };
        tokio::select! {
            ended = write => ended,
            ended = read => ended,
        }
    }

    fn handle_frame(&self, node: &Arc<Node>, frame: Frame) {
        node.timeline.observe_clock(frame.clock);
        match frame.body {
            Some(Body::Hello(_)) => {}
            Some(Body::Heartbeat(beat)) => {
                if !self.up.swap(true, Ordering::AcqRel) {
                    node.timeline.record(Event::PeerUp, self.peer.as_str(), "");
                }
                node.record_suspects(&beat);
                node.handle_heartbeat(beat);
            }
            Some(body) => self.forward(frame.stream, body),
            None => {}
        }
    }

    /// Passes a part of an answer to its asker, and drops the exchange of a peer that sends more
    /// than the asker granted.
    fn forward(&self, stream: u64, body: Body) {
        let mut streams = self.streams.lock();
        let Some(tx) = streams.get(&stream) else { return };
        if tx.try_send(body).is_err() {
            streams.remove(&stream);
        }
    }
}

fn timed_out() -> WireError {
    WireError::Io(std::io::ErrorKind::TimedOut.into())
}
