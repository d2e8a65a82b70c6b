//! Pool of HTTP connections to endpoints and to the platform's store.
//!
//! The pool never retries. A [`SendError`] says whether the failed request may have reached the
//! other side, and the caller decides about a retry.

use std::{
    collections::HashMap,
    future::poll_fn,
    io::ErrorKind,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
    time::{Instant, timeout},
};

use super::reset_stream::ResetStream;

/// Longest time without acknowledgement of sent bytes or probes before a connection counts as broken.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval of the TCP probes on an idle connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// TCP probes without response before a connection counts as broken. The kernel ignores it where a
/// timeout of the acknowledgement is set, which then ends the probes too.
const MAX_PROBES: u32 = 2;

/// Idle connections that are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Largest read buffer of a connection. A response that waits for memory leaves the rest of its bytes to
/// the system; with the default of 400 kB, some hundred such responses fill a small machine.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Why a request could not be sent or has no response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SendError {
    /// The other side accepts no connections, so nothing was sent.
    #[error("not sent: connection refused")]
    Refused,
    /// Nothing of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have arrived.
    #[error("connection broke, the request may have arrived: {0}")]
    Unknown(String),
}

/// A connection, which is closed when dropped.
pub struct Connection {
    /// Address of the other side.
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Task that reads from and writes to the connection.
    task: AbortHandle,
    /// Whether no request has been sent on the connection.
    fresh: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection that waits for its next request.
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// How connections are opened.
#[derive(Clone, Copy, Debug)]
pub struct ConnectOptions {
    /// Address from which they are opened; `None` if the operating system chooses it.
    pub source: Option<IpAddr>,
    /// Longest time without acknowledgement of sent bytes or probes before a connection counts as
    /// broken.
    pub ack_timeout: Duration,
}

impl Default for ConnectOptions {
    fn default() -> Self {
        Self { source: None, ack_timeout: ACK_TIMEOUT }
    }
}

/// Idle connections by their address.
#[derive(Default)]
pub struct Pool {
    options: ConnectOptions,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

/// Sets the socket options by which the loss of the other side is detected soon.
pub fn set_socket_options(stream: &TcpStream) {
    set_options(stream, Some(ACK_TIMEOUT));
}

/// Sets the socket options of a connection to a caller. It has no timeout of acknowledgements, which
/// Linux also applies to a side that acknowledges everything but has no room for more bytes, as a caller
/// that does not read for a while. The probes find an idle side that is lost.
pub fn set_caller_options(stream: &TcpStream) {
    set_options(stream, None);
}

fn set_options(stream: &TcpStream, ack_timeout: Option<Duration>) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    let result = stream.set_nodelay(true);
    let result = result.and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(err) = result.and_then(|()| socket.set_tcp_user_timeout(ack_timeout)) {
        log::debug!("event=socket_option_failed reason={err}");
    }
}

/// Opens a TCP connection within `time_limit`.
pub async fn connect(address: SocketAddr, time_limit: Duration) -> std::io::Result<TcpStream> {
    connect_with(address, time_limit, &ConnectOptions::default()).await
}

/// Opens a TCP connection as `options` say, within `time_limit`.
async fn connect_with(
    address: SocketAddr,
    time_limit: Duration,
    options: &ConnectOptions,
) -> std::io::Result<TcpStream> {
    let open = async {
        let Some(source) = options.source else { return TcpStream::connect(address).await };
        let socket = if source.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(address).await
    };
    let stream = timeout(time_limit, open).await.map_err(|_| ErrorKind::TimedOut)??;
    set_options(&stream, Some(options.ack_timeout));
    Ok(stream)
}

impl Pool {
    /// Creates a pool without connections, which opens them as `options` say.
    pub fn new(options: ConnectOptions) -> Self {
        Self { options, idle: Mutex::default() }
    }

    /// Returns whether a connection to `address` can be opened within `time_limit`.
    pub async fn can_connect(&self, address: SocketAddr, time_limit: Duration) -> bool {
        connect_with(address, time_limit, &self.options).await.is_ok()
    }

    /// Returns an idle connection, or opens a new one within `time_limit`.
    pub async fn acquire(
        self: &Arc<Self>,
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<Connection, SendError> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let stream = connect_with(address, time_limit, &self.options).await;
        let stream = stream.map_err(|err| match err.kind() {
            ErrorKind::ConnectionRefused => SendError::Refused,
            _ => SendError::NotSent(err.to_string()),
        })?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(ResetStream::from(stream))).await;
        let (sender, driver) = handshake.map_err(|err| SendError::NotSent(err.to_string()))?;
        metrics::counter!("cardamomshore_connections_opened_total").increment(1);
        log::debug!("event=connection_opened address={address}");
        let task = tokio::spawn(async move {
            if let Err(err) = driver.await {
                log::debug!("event=connection_ended address={address} reason={err}");
            }
        });
        Ok(Connection { address, sender, task: task.abort_handle(), fresh: true })
    }

    /// Takes the idle connection that was used last.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&address)?;
        list.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        let position = list.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        Some(list.remove(position).connection)
    }

    /// Returns a connection, whose last response was read completely, to the pool, which keeps it
    /// idle for at most `keep_alive`.
    pub fn release(&self, mut connection: Connection, keep_alive: Duration) {
        connection.fresh = false;
        let mut idle = self.idle.lock();
        let list = idle.entry(connection.address).or_default();
        if list.len() < MAX_IDLE_PER_ADDRESS && !connection.sender.is_closed() {
            list.push(IdleConnection { connection, expires_at: Instant::now() + keep_alive });
        }
    }

    /// Closes the idle connections to an address. Where one has fallen silent, the others may have too.
    pub fn remove_idle(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }

    /// Closes the idle connections that have expired.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        for list in idle.values_mut() {
            list.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, list| !list.is_empty());
    }
}

impl Connection {
    /// Returns whether no request has been sent on the connection.
    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let sender = &mut self.sender;
        let ready = poll_fn(|cx| sender.poll_ready(cx)).await;
        ready.map_err(|err| SendError::NotSent(err.to_string()))?;
        self.sender.try_send_request(request).await.map_err(|mut err| {
            let text = err.error().to_string();
            match err.take_message() {
                Some(_) => SendError::NotSent(text),
                None => SendError::Unknown(text),
            }
        })
    }
}
