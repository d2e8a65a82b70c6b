//! A relay on loopback that stands between two processes and fails on demand.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// What the relay does to the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Holds the bytes from the opener back.
    pub forward: bool,
    /// Holds the bytes to the opener back.
    pub backward: bool,
    /// Delays every piece in both directions, in milliseconds.
    pub delay_ms: u64,
    /// Whether new connections are spared.
    pub spare_new: bool,
}

/// A relay, which ends with this value.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    fault: watch::Sender<(u64, Fault)>,
    cut: watch::Sender<u64>,
    accepted: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let fault = watch::Sender::new((0, Fault::default()));
        let cut = watch::Sender::new(0);
        let accepted = Arc::new(AtomicUsize::new(0));
        let task =
            tokio::spawn(accept(listener, target, fault.clone(), cut.clone(), accepted.clone()));
        Self { address, fault, cut, accepted, task }
    }

    /// Sets what happens to connections from now on.
    pub fn set(&self, fault: Fault) {
        self.fault.send_modify(|(number, old)| {
            *number += 1;
            *old = fault;
        });
    }

    /// Closes every connection.
    pub fn cut(&self) {
        self.cut.send_modify(|number| *number += 1);
    }

    /// Returns how many connections were opened.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    fault: watch::Sender<(u64, Fault)>,
    cut: watch::Sender<u64>,
    accepted: Arc<AtomicUsize>,
) {
    loop {
        let Ok((inner, _)) = listener.accept().await else { continue };
        accepted.fetch_add(1, Ordering::Relaxed);
        let Ok(outer) = TcpStream::connect(target).await else { continue };
        // A fault that was set before this connection and spares new ones does not concern it.
        let born = fault.borrow().0;
        let (inner_read, inner_write) = inner.into_split();
        let (outer_read, outer_write) = outer.into_split();
        let forward = pump(inner_read, outer_write, fault.subscribe(), born, |f| f.forward);
        let backward = pump(outer_read, inner_write, fault.subscribe(), born, |f| f.backward);
        let mut cut = cut.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                () = forward => {}
                () = backward => {}
                _ = cut.changed() => {}
            }
        });
    }
}

async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut fault: watch::Receiver<(u64, Fault)>,
    born: u64,
    held: impl Fn(&Fault) -> bool,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let Ok(read) = from.read(&mut buffer).await else { return };
        if read == 0 {
            return;
        }
        let delay = fault.borrow().1.delay_ms;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let free =
            |(number, fault): &(u64, Fault)| !held(fault) || fault.spare_new && born >= *number;
        if fault.wait_for(free).await.is_err() || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
