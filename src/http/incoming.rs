//! Accepts connections within the process's limit of file descriptors.

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

/// Part of the file descriptors, in percent, above which no connection is accepted.
const MAX_USED_PERCENT: u64 = 75;

/// Longest time between a connection and the end of its first request's headers.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two looks at headers that come in parts.
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes of headers after which the server reads the rest, which it bounds by itself.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Time between two counts of the open file descriptors.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Connections that wait to be served.
const QUEUE_LEN: usize = 64;

/// Connections of a listener that have sent the headers of their first request.
///
/// The server library accepts without a limit, spins where no file descriptor is left and never
/// gives up a connection on which nothing is sent. Here, accepting pauses while most descriptors
/// are in use, and a connection that stays silent is closed before it reaches the server.
#[derive(Debug)]
pub struct BoundedIncoming {
    rx: mpsc::Receiver<Conn>,
}

impl BoundedIncoming {
    /// Starts to accept.
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

async fn accept(listener: TcpListener, tx: mpsc::Sender<Conn>) {
    let mut headroom = DescriptorLimit::new();
    loop {
        headroom.wait_for_room().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = tx.closed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(forward_connection(stream, tx.clone()));
            }
            Err(err) => {
                log::warn!("accept: {err}");
                sleep(COUNT_INTERVAL).await;
            }
        }
    }
}

/// Passes a connection on when the headers of its first request have come.
async fn forward_connection(stream: TcpStream, tx: mpsc::Sender<Conn>) {
    if matches!(timeout(HEAD_TIMEOUT, wait_for_head(&stream)).await, Ok(Ok(Head::Complete))) {
        // A server that ended needs no more connections.
        let _ = tx.send(Conn::from(stream)).await;
    }
}

/// What became of the headers of a connection's first request.
enum Head {
    Complete,
    Closed,
}

async fn wait_for_head(stream: &TcpStream) -> io::Result<Head> {
    let mut buffer = vec![0; MAX_HEAD_BYTES];
    loop {
        let seen = stream.peek(&mut buffer).await?;
        if seen == 0 {
            return Ok(Head::Closed);
        }
        let ends = buffer[..seen].windows(4).any(|end| end == b"\r\n\r\n");
        if ends || seen == MAX_HEAD_BYTES {
            return Ok(Head::Complete);
        }
        sleep(HEAD_POLL_INTERVAL).await;
    }
}

/// How many file descriptors are left, counted now and then.
struct DescriptorLimit {
    limit: Option<u64>,
    counted_at: Option<Instant>,
}

impl DescriptorLimit {
    fn new() -> Self {
        Self { limit: getrlimit(Resource::Nofile).current, counted_at: None }
    }

    /// Waits while too many file descriptors are in use.
    async fn wait_for_room(&mut self) {
        let Some(limit) = self.limit else { return };
        if self.counted_at.is_some_and(|at| at.elapsed() < COUNT_INTERVAL) {
            return;
        }
        while open_descriptors().is_some_and(|open| open * 100 > limit * MAX_USED_PERCENT) {
            sleep(COUNT_INTERVAL).await;
        }
        self.counted_at = Some(Instant::now());
    }
}

fn open_descriptors() -> Option<u64> {
    let entries = std::fs::read_dir("/proc/self/fd").ok()?;
    Some(entries.count() as u64)
}
