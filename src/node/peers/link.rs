//! The outgoing connection to one peer, which is reopened whenever it fails or goes silent.

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

/// Longest wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait between the end of a connection, or a failure to connect, and the next attempt.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// Longest silence on a connection before it is closed; heartbeats arrive four times a second.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Channels to the requesters of the open exchanges, by the exchange's number.
type Streams = Mutex<HashMap<u64, mpsc::Sender<Body>>>;

/// A link to one peer.
pub struct Link {
    peer: InstanceId,
    address: SocketAddr,
    /// Whether a heartbeat arrived on the current connection.
    up: AtomicBool,
    next_stream: AtomicU64,
    streams: Arc<Streams>,
    sender: Mutex<Option<Outbox>>,
    closed: CancellationToken,
}

impl Link {
    /// Opens a link and spawns the task that keeps it connected until [`Link::close`] is called.
    pub fn open(node: Arc<Node>, peer: InstanceId, address: SocketAddr) -> Arc<Self> {
        let link = Arc::new(Self {
            peer,
            address,
            up: AtomicBool::new(false),
            next_stream: AtomicU64::new(1),
            streams: Arc::default(),
            sender: Mutex::default(),
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

    /// Returns whether the link is connected and the peer replied to a heartbeat.
    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::Acquire)
    }

    /// Closes the link; it is not reopened.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Sends a message outside any exchange; it is lost if the link is down or its queue is full.
    pub fn notify(&self, body: Body) {
        if let Some(tx) = self.outbox() {
            let _ = tx.try_send(Frame { clock: 0, stream: 0, body: Some(body) });
        }
    }

    /// Opens an exchange, or returns `None` if the request was not sent.
    pub async fn request(&self, request: PeerRequestBody) -> Option<Exchange> {
        let tx = self.outbox()?;
        let stream = self.next_stream.fetch_add(1, Ordering::Relaxed);
        let (body_tx, rx) = part_channel();
        self.streams.lock().insert(stream, body_tx);
        let streams = self.streams.clone();
        let exchange = Exchange::on_link(stream, rx, tx.clone(), move |stream| {
            streams.lock().remove(&stream);
        });
        let body = Some(Body::Request(PeerRequest { body: Some(request) }));
        tx.send(Frame { clock: 0, stream, body }).await.ok()?;
        Some(exchange)
    }

    /// Returns the queue of the current connection, or `None` while there is none.
    fn outbox(&self) -> Option<Outbox> {
        self.sender.lock().clone()
    }

    /// Connects to the peer, reconnects after each failure, and records when the connection is lost.
    async fn run_connections(&self, node: Arc<Node>) {
        loop {
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
                Ok(Ok(stream)) => {
                    let result = self.run(&node, stream).await;
                    self.drop_streams();
                    let reason =
                        result.map_or_else(|err| err.to_string(), |()| "silent".to_owned());
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

    /// Marks the link as down and drops all exchanges.
    fn drop_streams(&self) {
        self.up.store(false, Ordering::Release);
        *self.sender.lock() = None;
        self.streams.lock().clear();
    }

    /// Runs one connection; returns when it is silent or closed, or fails.
    async fn run(&self, node: &Arc<Node>, stream: TcpStream) -> Result<(), WireError> {
        stream.set_nodelay(true)?;
        let (mut sink, mut source) = Framed::new(stream, FrameCodec::default()).split();
        let (tx, mut queue) = Outbox::new();
        let hello =
            Hello { instance: node.settings.instance.to_string(), incarnation: node.incarnation };
        sink.send(Frame { clock: node.timeline.tick(), stream: 0, body: Some(Body::Hello(hello)) })
            .await?;
        *self.sender.lock() = Some(tx);
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

    /// Handles one frame of the peer.
    fn handle_frame(&self, node: &Arc<Node>, frame: Frame) {
        node.timeline.observe_clock(frame.clock);
        match frame.body {
            Some(Body::Hello(_)) => {}
            Some(Body::Heartbeat(heartbeat)) => {
                if !self.up.swap(true, Ordering::AcqRel) {
                    node.timeline.record(Event::PeerUp, self.peer.as_str(), "");
                }
                node.record_suspects(&heartbeat);
                node.handle_heartbeat(heartbeat);
            }
            Some(body) => self.forward(frame.stream, body),
            None => {}
        }
    }

    /// Forwards a part of a response or a reply to its requester.
    ///
    /// An exchange is dropped if the peer sends more parts than the requester granted.
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
