//! A TCP relay on loopback that connects two processes and shows faults on demand.

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

/// Fault that the relay applies to the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Whether bytes from the side that opened the connection are held back.
    pub hold_forward: bool,
    /// Whether bytes to the side that opened the connection are held back.
    pub hold_backward: bool,
    /// Delay of every read in both directions, in milliseconds.
    pub delay_ms: u64,
    /// Whether bytes pass on connections that were opened after the fault was set.
    pub spare_new: bool,
}

/// A running relay; it stops when this value is dropped.
pub struct Relay {
    /// Address at which the relay listens.
    pub address: SocketAddr,
    /// Fault in force, with the number of times that one was set.
    fault: watch::Sender<(u64, Fault)>,
    /// Number of times that all connections were closed.
    cut: watch::Sender<u64>,
    /// Number of connections accepted.
    accepted: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay whose connections lead to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("expected a free port");
        let address = listener.local_addr().expect("expected a local address");
        let fault = watch::Sender::new((0, Fault::default()));
        let cut = watch::Sender::new(0);
        let accepted = Arc::new(AtomicUsize::new(0));
        let task =
            tokio::spawn(accept(listener, target, fault.clone(), cut.clone(), accepted.clone()));
        Self { address, fault, cut, accepted, task }
    }

    /// Replaces the fault in force.
    pub fn set(&self, fault: Fault) {
        self.fault.send_modify(|(number, old)| {
            *number += 1;
            *old = fault;
        });
    }

    /// Closes every open connection.
    pub fn cut(&self) {
        self.cut.send_modify(|number| *number += 1);
    }

    /// Returns how many connections the relay has accepted.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections and starts a task for each that copies its bytes in both directions.
async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    fault: watch::Sender<(u64, Fault)>,
    cut: watch::Sender<u64>,
    accepted: Arc<AtomicUsize>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        accepted.fetch_add(1, Ordering::Relaxed);
        let Ok(server) = TcpStream::connect(target).await else { continue };
        // A fault that spares new connections does not hold bytes back on this one if it was set
        // before.
        let opened_under = fault.borrow().0;
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let forward =
            copy(client_read, server_write, fault.subscribe(), opened_under, |f| f.hold_forward);
        let backward =
            copy(server_read, client_write, fault.subscribe(), opened_under, |f| f.hold_backward);
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

/// Copies bytes in one direction until an end closes, subject to the fault in force.
async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut fault: watch::Receiver<(u64, Fault)>,
    opened_under: u64,
    is_held: impl Fn(&Fault) -> bool,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let Ok(read) = from.read(&mut buffer).await else { return };
        if read == 0 {
            return;
        }
        let delay = fault.borrow().1.delay_ms;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let may_pass = |(number, fault): &(u64, Fault)| {
            !is_held(fault) || fault.spare_new && opened_under >= *number
        };
        if fault.wait_for(may_pass).await.is_err() || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
