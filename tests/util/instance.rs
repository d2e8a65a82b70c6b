//! An instance that only counts runs, whose clock and link to the leader the test sets.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicI64, Ordering},
    },
    time::Duration,
};

use cardamomshore::{
    clock::wall_millis,
    gateway::messages::{
        Announcement, Content, FrameCodec, FrameError, Heartbeat, Hello, MemberFrame, StartFrame,
        UsageFrame,
    },
    kernel::duties::counts::{StartId, StartUsage, Window},
    standin::metadata::MetadataStore,
};
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{interval, sleep, timeout},
};
use tokio_util::codec::Framed;

use super::gateways::leader_address;

/// Interval of the heartbeats, and of the counts.
const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Wait before the link is opened again.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(50);

/// Timeout of opening the link.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

type Wire = Framed<TcpStream, FrameCodec>;

/// What the test sets, and what the instance has counted.
struct Shared {
    member: MemberFrame,
    step_ms: AtomicI64,
    is_cut: AtomicBool,
    usage: Mutex<StartUsage>,
}

/// An instance with a link to the leader. It ends when this value is dropped.
pub struct CountingInstance {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for CountingInstance {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CountingInstance {
    /// Starts an instance that begins to count in the window `since`.
    pub fn start(name: &str, store: Arc<MetadataStore>, since: Window) -> Self {
        // Nothing connects to it, since it is not ready.
        let address = "127.0.0.1:9".to_owned();
        let member = MemberFrame {
            instance: name.to_owned(),
            data_centre: "dc-a".to_owned(),
            callers: address.clone(),
            peer: address.clone(),
            relay: address,
            ..MemberFrame::default()
        };
        let usage = Mutex::new(StartUsage::new(StartId(rand::random()), since));
        let (step_ms, is_cut) = (AtomicI64::default(), AtomicBool::default());
        let shared = Arc::new(Shared { member, step_ms, is_cut, usage });
        let task = tokio::spawn(run(shared.clone(), store));
        Self { shared, task }
    }

    /// Steps the instance's wall clock to this distance from the true one.
    pub fn step_clock(&self, step_ms: i64) {
        self.shared.step_ms.store(step_ms, Ordering::Relaxed);
    }

    /// Cuts the link to the leader, or lets it be opened again.
    pub fn set_cut(&self, is_cut: bool) {
        self.shared.is_cut.store(is_cut, Ordering::Relaxed);
    }

    /// Counts runs of a team.
    pub fn count(&self, window: Window, team: &str, runs: u64) {
        let mut usage = self.shared.usage.lock();
        (0..runs).for_each(|_| usage.count(window, team.into()));
    }

    /// Completes all windows before `window`.
    pub fn open(&self, window: Window) {
        let mut usage = self.shared.usage.lock();
        usage.open = usage.open.max(window);
    }
}

impl Shared {
    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }

    fn usage_frame(&self) -> UsageFrame {
        let wall_ms = wall_millis().saturating_add_signed(self.step_ms.load(Ordering::Relaxed));
        let usage = self.usage.lock();
        UsageFrame {
            wall_ms,
            sender: usage.start.0,
            starts: vec![StartFrame::new(&usage, |_| true)],
        }
    }
}

/// Keeps a link to the leader.
async fn run(shared: Arc<Shared>, store: Arc<MetadataStore>) {
    loop {
        if !shared.is_cut()
            && let Some(address) = leader_address(&store)
            && let Some((wire, term)) = join(&shared, address).await
        {
            let _ = exchange_frames(&shared, wire, term).await;
        }
        sleep(RECONNECT_BACKOFF).await;
    }
}

/// Opens a link. The first attempt learns the term from the leader's refusal.
async fn join(shared: &Shared, address: SocketAddr) -> Option<(Wire, u64)> {
    let mut term = 0;
    for _ in 0..2 {
        let stream = TcpStream::connect(address).await.ok()?;
        let mut wire = Framed::new(stream, FrameCodec::default());
        let hello = Hello { member: Some(shared.member.clone()), term, ..Hello::default() };
        wire.send(Content::Hello(hello)).await.ok()?;
        match timeout(OPEN_TIMEOUT, wire.next()).await.ok()??.ok()? {
            Content::Announcement(Announcement { term: later, .. }) => term = later,
            Content::Welcome(_) => return Some((wire, term)),
            _ => return None,
        }
    }
    None
}

/// Sends heartbeats and counts until the link ends or is cut.
async fn exchange_frames(shared: &Shared, mut wire: Wire, term: u64) -> Result<(), FrameError> {
    let mut sends = interval(SEND_INTERVAL);
    while !shared.is_cut() {
        tokio::select! {
            _ = sends.tick() => {
                wire.feed(Content::Heartbeat(Heartbeat { term, ..Heartbeat::default() })).await?;
                wire.send(Content::Usage(shared.usage_frame())).await?;
            }
            frame = wire.next() => match frame {
                Some(frame) => drop(frame?),
                None => return Ok(()),
            }
        }
    }
    Ok(())
}
