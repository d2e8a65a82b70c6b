//! A small HTTP/1.1 server for the stand-ins of the users' platform. It breaks its connections when it
//! is dropped, as a process does that crashes.

use std::{
    future::Future,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    os::fd::AsFd,
    sync::atomic::{AtomicU64, Ordering},
};

use bytes::Bytes;
use futures_util::stream::poll_fn;
use http::{Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use socket2::{SockFilter, SockRef};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, watch},
    task::AbortHandle,
};

/// Length of the queue of connections that are not accepted yet.
const LISTEN_QUEUE_LEN: u32 = 1_024;

/// Parts of a streamed body that may wait for the receiver.
const PART_QUEUE_LEN: usize = 64;

/// The error that breaks the connection of a response.
#[derive(Clone, Copy, Debug)]
#[derive(thiserror::Error)]
#[error("the connection is broken on purpose")]
pub struct Broken;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// Sends the parts of a streamed body; an error breaks the connection.
pub type PartSender = mpsc::Sender<Result<Bytes, Broken>>;

/// Returns a response with a whole body.
pub fn whole_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Returns a response with a streamed body, and the sender of its parts.
pub fn streamed_response(status: StatusCode) -> (PartSender, Response<Body>) {
    let (tx, mut rx) = mpsc::channel::<Result<Bytes, Broken>>(PART_QUEUE_LEN);
    let parts = poll_fn(move |cx| rx.poll_recv(cx).map(|part| part.map(|p| p.map(Frame::data))));
    let mut response = Response::new(StreamBody::new(parts).boxed_unsync());
    *response.status_mut() = status;
    (tx, response)
}

/// Which packets that arrive at a server are dropped, as by a network that is partitioned. Connections
/// hang then, and new ones get no answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PacketFilter {
    /// None.
    #[default]
    Open,
    /// Those of these hosts.
    From(Vec<Ipv4Addr>),
    /// Those of these hosts, whose connections are closed first.
    Closing(Vec<Ipv4Addr>),
    /// All.
    Closed,
}

impl PacketFilter {
    /// Applies the filter to a listener or a connection.
    fn apply(&self, socket: &SockRef<'_>) -> io::Result<()> {
        let hosts: &[Ipv4Addr] = match self {
            PacketFilter::Open => return socket.detach_filter().or(Ok(())),
            PacketFilter::From(hosts) | PacketFilter::Closing(hosts) => hosts,
            PacketFilter::Closed => &[],
        };
        let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_OFFSET)];
        for host in hosts {
            program.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, u32::from(*host)));
            program.push(SockFilter::new(RETURN, 0, 0, DROP));
        }
        let rest = if *self == PacketFilter::Closed { DROP } else { ACCEPT };
        program.push(SockFilter::new(RETURN, 0, 0, rest));
        socket.attach_filter(&program)
    }
}

/// Instructions of a packet filter, see `linux/bpf_common.h`: load a word at an offset, jump if the
/// word is equal, and return the number of bytes of the packet that are kept.
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// Offset of a packet's source address: that in the IPv4 header, from the begin of that header.
const SOURCE_OFFSET: u32 = (-0x10_0000_i32 + 12) as u32;

/// Numbers of bytes that are kept of a packet that is dropped, and of another one.
const DROP: u32 = 0;
const ACCEPT: u32 = u32::MAX;

/// The host that has sent a request, as an extension of the request.
#[derive(Clone, Copy, Debug)]
pub struct SenderHost(pub IpAddr);

/// Number of the connection of a request, as an extension of the request. It grows with each connection
/// to any server of the process.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionNumber(pub u64);

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// A running server. Dropping it closes the listener and breaks all connections.
pub struct Server {
    task: AbortHandle,
    filter: watch::Sender<PacketFilter>,
    /// Its receivers are notified when the server is dropped.
    _running: watch::Sender<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Starts a server at `address`. An error of the handler breaks the connection without a response.
    /// Fails if the address is in use.
    pub fn start<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<Response<Body>, Broken>> + Send + 'static,
    {
        let listener = listen(address)?;
        let (running, ended) = watch::channel(());
        let (filter, filters) = watch::channel(PacketFilter::default());
        let task = tokio::spawn(async move {
            let mut changes = filters.clone();
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    Ok(()) = changes.changed() => {
                        apply_filter(&changes, &SockRef::from(&listener));
                        continue;
                    }
                };
                let Ok((stream, peer)) = accepted else { return };
                let (handler, mut ended) = (handler.clone(), ended.clone());
                let filters = filters.clone();
                tokio::spawn(async move {
                    let Ok(socket) = stream.as_fd().try_clone_to_owned() else { return };
                    tokio::select! {
                        () = serve(stream, peer.ip(), handler) => {}
                        () = follow_filter(filters, SockRef::from(&socket), peer.ip()) => {}
                        _ = ended.changed() => {}
                    }
                });
            }
        });
        Ok(Self { task: task.abort_handle(), filter, _running: running })
    }

    /// Replaces the filter of the packets that arrive.
    pub fn set_filter(&self, filter: PacketFilter) {
        self.filter.send_replace(filter);
    }
}

fn apply_filter(filters: &watch::Receiver<PacketFilter>, socket: &SockRef<'_>) {
    if let Err(err) = filters.borrow().apply(socket) {
        log::error!("event=standin_filter_failed reason={err}");
    }
}

/// Applies the filter to a connection of `host`, each time that it changes. Returns when the filter
/// closes the connection.
async fn follow_filter(
    mut filters: watch::Receiver<PacketFilter>,
    socket: SockRef<'_>,
    host: IpAddr,
) {
    apply_filter(&filters, &socket);
    while filters.changed().await.is_ok() {
        let closes = |hosts: &[Ipv4Addr]| hosts.iter().any(|it| host == IpAddr::from(*it));
        if matches!(&*filters.borrow(), PacketFilter::Closing(hosts) if closes(hosts)) {
            return;
        }
        apply_filter(&filters, &socket);
    }
    std::future::pending().await
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_QUEUE_LEN)
}

/// Serves the requests of one connection until it ends.
async fn serve<H, F>(stream: TcpStream, host: IpAddr, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<Body>, Broken>>,
{
    let _ = stream.set_nodelay(true);
    let number = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(ConnectionNumber(number));
        request.extensions_mut().insert(SenderHost(host));
        handler(request)
    });
    if let Err(err) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
        log::debug!("event=standin_connection_ended reason={err}");
    }
}
