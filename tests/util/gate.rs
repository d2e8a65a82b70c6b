//! A TCP relay on loopback that can stop accepting connections, so that they stay half open.

use std::{net::SocketAddr, time::Duration};

use cardamomshore::soak::process::free_address;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::JoinHandle,
    time::timeout,
};

/// Connections that the operating system completes while none is accepted.
const BACKLOG: u32 = 1;

/// Timeout of a connection that is to fill the backlog.
const FILL_TIMEOUT: Duration = Duration::from_millis(200);

/// A running relay; it stops when this value is dropped.
pub struct Gate {
    /// Address at which it listens.
    pub address: SocketAddr,
    is_open: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Gate {
    /// Starts an open gate whose connections lead to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let address = free_address();
        let socket = TcpSocket::new_v4().expect("expected a socket");
        socket.bind(address).expect("expected a free address");
        let listener = socket.listen(BACKLOG).expect("expected to listen");
        let is_open = watch::Sender::new(true);
        let task = tokio::spawn(accept(listener, target, is_open.clone()));
        Self { address, is_open, task }
    }

    /// Closes all connections and leaves new ones half open. Returns the connections that fill the
    /// backlog.
    pub async fn close(&self) -> Vec<TcpStream> {
        self.is_open.send_replace(false);
        let mut fillers = Vec::new();
        while let Ok(Ok(filler)) = timeout(FILL_TIMEOUT, TcpStream::connect(self.address)).await {
            fillers.push(filler);
        }
        fillers
    }

    /// Accepts the connections that wait, and new ones.
    pub fn open(&self) {
        self.is_open.send_replace(true);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, gate: watch::Sender<bool>) {
    let mut is_open = gate.subscribe();
    loop {
        if is_open.wait_for(|is_open| *is_open).await.is_err() {
            return;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = is_open.wait_for(|is_open| !is_open) => continue,
        };
        let Ok((mut client, _)) = accepted else { continue };
        let Ok(mut server) = TcpStream::connect(target).await else { continue };
        let mut closed = gate.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                _ = copy_bidirectional(&mut client, &mut server) => {}
                _ = closed.wait_for(|is_open| !is_open) => {}
            }
        });
    }
}

/// Returns whether a connection to `address` waits for an answer, by the table of the operating
/// system.
pub fn is_half_open(address: SocketAddr) -> bool {
    /// State of a connection that has sent its first segment.
    const SYN_SENT: &str = "02";
    let SocketAddr::V4(address) = address else { return false };
    let host = u32::from_ne_bytes(address.ip().octets());
    let remote = format!("{host:08X}:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(2);
        fields.next() == Some(&*remote) && fields.next() == Some(SYN_SENT)
    })
}
