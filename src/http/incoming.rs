//! Accepts connections within the limit on open file descriptors of the process.

use std::{io, time::Duration};

use rustix::process::{Resource, getrlimit};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep, timeout},
};
use volo::net::{
    conn::Conn,
    incoming::{Incoming, MakeIncoming},
};

/// Percentage of the process's limit on open file descriptors above which no more connections are
/// accepted.
const MAX_USED_PERCENT: u64 = 75;

/// Timeout for the headers of a connection's first request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which headers that have arrived in part are checked.
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Length from which headers count as complete, so that the connection is passed to the server,
/// which has its own limit.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Interval at which the open file descriptors are counted; also the backoff after accepting
/// failed.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Connections with complete headers that may wait for the server.
const QUEUE_LEN: usize = 64;

/// The connections of a listener whose first request has complete headers.
///
/// The server library accepts connections without a limit, busy-loops when no file descriptors are
/// left, and keeps connections on which nothing is sent. Therefore this type stops accepting while
/// most descriptors are in use, and closes a connection that sends no headers in time.
#[derive(Debug)]
pub struct BoundedIncoming {
    rx: mpsc::Receiver<Conn>,
}

impl BoundedIncoming {
    /// Starts to accept the connections of `listener` in a task.
    pub fn new(listener: TcpListener) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(accept(listener, tx));
        Self { rx }
    }
}

impl Incoming for BoundedIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        Ok(self.rx.recv().await)
    }
}

impl MakeIncoming for BoundedIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

/// Accepts connections until the server stops receiving them.
async fn accept(listener: TcpListener, tx: mpsc::Sender<Conn>) {
    let mut descriptor_limit = DescriptorLimit::new();
    loop {
        descriptor_limit.wait_for_room().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = tx.closed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(forward_connection(stream, tx.clone()));
            }
            Err(err) => {
                log::warn!("cannot accept a connection: {err}");
                sleep(COUNT_INTERVAL).await;
            }
        }
    }
}

/// Passes a connection to the server once the headers of its first request are complete.
async fn forward_connection(stream: TcpStream, tx: mpsc::Sender<Conn>) {
    if matches!(timeout(HEAD_TIMEOUT, wait_for_head(&stream)).await, Ok(Ok(Head::Complete))) {
        // The send fails only if the server has ended.
        let _ = tx.send(Conn::from(stream)).await;
    }
}

/// State of the headers of a connection's first request.
enum Head {
    /// The headers are complete, or longer than [`MAX_HEAD_BYTES`].
    Complete,
    /// The caller closed the connection.
    Closed,
}

/// Waits for the headers of the first request, which stay in the socket for the server to read.
async fn wait_for_head(stream: &TcpStream) -> io::Result<Head> {
    let mut buffer = vec![0; MAX_HEAD_BYTES];
    loop {
        let received = stream.peek(&mut buffer).await?;
        if received == 0 {
            return Ok(Head::Closed);
        }
        let is_complete = buffer[..received].windows(4).any(|end| end == b"\r\n\r\n");
        if is_complete || received == MAX_HEAD_BYTES {
            return Ok(Head::Complete);
        }
        sleep(HEAD_POLL_INTERVAL).await;
    }
}

/// The limit on open file descriptors, which are counted from time to time.
struct DescriptorLimit {
    /// Descriptors that the process may open; `None` if there is no limit.
    limit: Option<u64>,
    /// When the descriptors were counted last.
    counted_at: Option<Instant>,
}

impl DescriptorLimit {
    fn new() -> Self {
        Self { limit: getrlimit(Resource::Nofile).current, counted_at: None }
    }

    /// Waits while too many file descriptors are open.
    async fn wait_for_room(&mut self) {
        let Some(limit) = self.limit else { return };
        if self.counted_at.is_some_and(|counted_at| counted_at.elapsed() < COUNT_INTERVAL) {
            return;
        }
        while open_descriptors().is_some_and(|open| open * 100 > limit * MAX_USED_PERCENT) {
            sleep(COUNT_INTERVAL).await;
        }
        self.counted_at = Some(Instant::now());
    }
}

/// Returns the number of open file descriptors; `None` if it cannot be read.
fn open_descriptors() -> Option<u64> {
    let entries = std::fs::read_dir("/proc/self/fd").ok()?;
    Some(entries.count() as u64)
}
