//! What is left to write of the responses to callers.
//!
//! A request is over when the caller's side has its whole response, not when the HTTP library has it:
//! the library and the socket may hold megabytes for a caller that reads slowly.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use http_body::{Body, Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// Time without a byte taken by the socket after which a connection is given up. Callers that read
/// nothing for some seconds of their deadline of 10 s must get the rest; a caller whose machine is gone
/// must not hold its connection for the quarter of an hour of the operating system's retransmissions.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// State of a listening socket in the operating system's table.
const LISTENING: &str = "0A";

/// Responses of all connections that are not written yet.
#[derive(Debug, Default)]
pub struct Unwritten {
    /// Requests whose response the HTTP library does not have completely.
    requests: AtomicUsize,
    /// Connections on which the HTTP library may hold bytes that the socket has not taken.
    connections: AtomicUsize,
}

impl Unwritten {
    /// Returns whether a response is to be passed to a socket.
    pub fn has_any(&self) -> bool {
        self.requests.load(Ordering::Acquire) + self.connections.load(Ordering::Acquire) > 0
    }
}

/// What is left to write on one connection.
#[derive(Debug)]
pub struct Output {
    all: Arc<Unwritten>,
    /// Whether the HTTP library may hold bytes of a response that ended.
    is_held: AtomicBool,
    /// Whether the connection has ended, so that nothing more is written.
    is_closed: AtomicBool,
}

impl Output {
    /// Wraps the stream of a connection, and returns it with its output.
    pub fn track<S>(stream: S, all: Arc<Unwritten>) -> (TrackedStream<S>, Arc<Self>) {
        let output = Arc::new(Self { all, is_held: false.into(), is_closed: false.into() });
        (TrackedStream { stream, output: output.clone(), stall: None }, output)
    }

    /// Counts a request as unfinished until the guard is dropped with the body of its response.
    pub fn begin(self: &Arc<Self>) -> RequestGuard {
        self.all.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard(self.clone())
    }

    fn set_held(&self, is_held: bool) {
        match (self.is_held.swap(is_held, Ordering::AcqRel), is_held) {
            (false, true) => drop(self.all.connections.fetch_add(1, Ordering::AcqRel)),
            (true, false) => drop(self.all.connections.fetch_sub(1, Ordering::AcqRel)),
            _ => {}
        }
    }
}

/// Counts a request as unfinished until it is dropped. The HTTP library may then still hold the end of
/// the response.
#[derive(Debug)]
pub struct RequestGuard(Arc<Output>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.set_held(!self.0.is_closed.load(Ordering::Acquire));
        self.0.all.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A response's body, which the HTTP library drops once it has taken all of it.
pub struct TrackedBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl<B> TrackedBody<B> {
    /// Creates the body of the response to the request that `guard` counts.
    pub fn new(body: B, guard: RequestGuard) -> Self {
        Self { body, _guard: guard }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The stream of a caller's connection.
pub struct TrackedStream<S> {
    stream: S,
    output: Arc<Output>,
    /// Ends when the socket has taken nothing for [`STALL_TIMEOUT`]; `None` while it takes bytes.
    stall: Option<Pin<Box<Sleep>>>,
}

impl<S> TrackedStream<S> {
    /// Fails a write that the socket has not taken for [`STALL_TIMEOUT`].
    fn limit_stall(
        &mut self,
        written: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
        ready!(stall.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S> Drop for TrackedStream<S> {
    fn drop(&mut self) {
        self.output.is_closed.store(true, Ordering::Release);
        self.output.set_held(false);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.limit_stall(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.limit_stall(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Flushes the stream. The HTTP library calls this once the socket has taken all that it held.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.output.set_held(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Returns whether a socket that was accepted on one of `listeners` holds bytes which the other side has
/// not acknowledged. Sockets that were closed count too: the end of the process would not stop what the
/// operating system sends for them, but the end of its machine or network name space would. Returns
/// `false` where the operating system shows no table of its sockets.
pub fn has_unacknowledged(listeners: &[SocketAddr]) -> bool {
    ["/proc/net/tcp", "/proc/net/tcp6"].iter().any(|path| {
        let table = std::fs::read_to_string(path).unwrap_or_default();
        table.lines().skip(1).any(|row| is_unacknowledged(row, listeners))
    })
}

/// Returns whether a row of the operating system's table is that of a socket of `listeners` with a queue
/// of unacknowledged bytes. The addresses in the table are in hexadecimal digits and in the byte order of
/// the machine, the ports in that of numbers.
fn is_unacknowledged(row: &str, listeners: &[SocketAddr]) -> bool {
    let mut fields = row.split_ascii_whitespace().skip(1);
    let (Some(local), Some(_), Some(state)) = (fields.next(), fields.next(), fields.next()) else {
        return false;
    };
    let queue = fields.next().and_then(|queues| queues.split(':').next());
    let is_empty = queue.is_none_or(|queue| queue.bytes().all(|digit| digit == b'0'));
    let Some((address, port)) = local.split_once(':').filter(|_| state != LISTENING && !is_empty)
    else {
        return false;
    };
    let Ok(port) = u16::from_str_radix(port, 16) else { return false };
    listeners.iter().any(|listener| port == listener.port() && matches(address, listener.ip()))
}

/// Returns whether a local address of the table may belong to a listener on `ip`.
fn matches(address: &str, ip: IpAddr) -> bool {
    match (u32::from_str_radix(address, 16), ip) {
        (Ok(word), IpAddr::V4(ip)) if !ip.is_unspecified() => {
            word == u32::from_ne_bytes(ip.octets())
        }
        _ => true,
    }
}
