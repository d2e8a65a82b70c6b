//! Clients that misbehave.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{sleep, timeout},
};

/// Longest time for which one client sends.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// Receive buffer of clients that do not read, so that the system holds little for them.
const SMALL_BUFFER: u32 = 4 << 10;

/// What one client sends: parts, each written on its own, and the pause after each.
#[derive(Clone)]
pub struct Script {
    pub parts: Vec<(Vec<u8>, usize)>,
    pub pause: Duration,
}

impl Script {
    /// Returns a script that sends these bytes in one piece.
    pub fn once(bytes: Vec<u8>) -> Self {
        Self { parts: vec![(bytes, 1)], pause: Duration::ZERO }
    }
}

/// Runs `count` clients at once that send as `script` says, as far as the other side lets them, and
/// read nothing. Returns their connections, which stay open until they are dropped.
pub async fn send_all(address: SocketAddr, count: usize, script: &Script) -> Vec<TcpStream> {
    let clients = (0..count).map(|_| tokio::spawn(send(address, script.clone())));
    let clients = join_all(clients).await;
    clients.into_iter().filter_map(|client| client.ok().flatten()).collect()
}

async fn send(address: SocketAddr, script: Script) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(SMALL_BUFFER).ok()?;
    let connected = timeout(SEND_TIMEOUT, socket.connect(address)).await;
    let mut stream = connected.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let sending = async {
        for (part, times) in &script.parts {
            for _ in 0..*times {
                if stream.write_all(part).await.is_err() {
                    return;
                }
                if !script.pause.is_zero() {
                    sleep(script.pause).await;
                }
            }
        }
    };
    let _ = timeout(SEND_TIMEOUT, sending).await;
    Some(stream)
}

/// Reads up to the end of the stream, or for `time_limit`.
pub async fn read_all(stream: &mut TcpStream, time_limit: Duration) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = timeout(time_limit, stream.read_to_end(&mut bytes)).await;
    bytes
}
