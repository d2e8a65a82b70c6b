//! The link of this instance to the leader.
//!
//! Requests for grants and their outcomes go to the leader, grants and refusals come back. By the
//! heartbeats and their replies, each side detects the loss of the other.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{MissedTickBehavior, interval, sleep, timeout},
};
use tokio_util::codec::Framed;

use super::{
    Gateway,
    messages::{
        Content, FrameCodec, FrameError, Heartbeat, Hello, MemberFrame, RatesFrame, Welcome,
    },
};
use crate::{clock::Time, http::pool::connect, kernel::leadership::Leader};

/// Timeout of opening the link: for the connection, and again for the leader's welcome.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval of the heartbeats that this instance sends to the leader.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time without a frame before the leader counts as lost.
const LEADER_TIMEOUT: Duration = Duration::from_millis(450);

/// Interval at which an instance checks whether its leader is lost.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Wait before the link is opened again, and interval at which a new leader is looked for.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(60);

/// A connection to the leader that carries frames.
type Wire = Framed<TcpStream, FrameCodec>;

/// State of the link to the leader.
#[derive(Default)]
pub struct Uplink {
    /// Sender of the frames to the leader; `None` while there is no link.
    tx: Mutex<Option<mpsc::UnboundedSender<Content>>>,
    /// When the last frame of a leader arrived, or the process started.
    last_frame: AtomicU64,
    /// Whether there has been a link since the process started.
    linked: AtomicBool,
    /// Attempts to open a link that failed.
    failed_attempts: AtomicU64,
    /// Whether the leader has said on the present link that it can serve callers.
    leader_ready: AtomicBool,
}

impl Uplink {
    /// Sends a frame to the leader. Returns `false` if there is no link.
    pub fn send(&self, content: Content) -> bool {
        self.tx.lock().as_ref().is_some_and(|tx| tx.send(content).is_ok())
    }

    /// Returns whether there is a link.
    pub fn is_open(&self) -> bool {
        self.tx.lock().is_some()
    }

    /// Returns whether there is a link to a leader that can serve callers.
    pub fn has_ready_leader(&self) -> bool {
        self.leader_ready.load(Ordering::Relaxed) && self.is_open()
    }

    /// Returns whether there has been a link since the process started.
    pub fn was_linked(&self) -> bool {
        self.linked.load(Ordering::Relaxed)
    }

    /// Returns the number of attempts to open a link that failed.
    pub fn failed_attempts(&self) -> u64 {
        self.failed_attempts.load(Ordering::Relaxed)
    }

    /// Returns the time since the last frame of a leader, or since the process started.
    pub fn frame_age(&self) -> Duration {
        Time::now().since(Time(self.last_frame.load(Ordering::Relaxed)))
    }

    /// Records that a frame of a leader arrived, or that the process started.
    pub fn record_frame(&self) {
        self.last_frame.store(Time::now().0, Ordering::Relaxed);
    }
}

/// Maintains a link to the leader while another instance leads.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        let leader = gateway.leader();
        let other_leader = leader.filter(|leader| !gateway.is_self(&leader.instance));
        if let Some(leader) = other_leader
            && !gateway.leads()
        {
            let result = join_leader(&gateway, &leader).await;
            if gateway.uplink.tx.lock().take().is_some() {
                let allotments = gateway.lose_leader();
                log::warn!(
                    "event=leader_lost leader={} reason={} allotments={allotments}",
                    leader.instance,
                    describe_end(&result)
                );
                gateway.resubmit_waiting();
            } else {
                gateway.uplink.failed_attempts.fetch_add(1, Ordering::Relaxed);
            }
        }
        sleep(RECONNECT_BACKOFF).await;
    }
}

/// Returns the reason for the end of a link, for the log.
fn describe_end(result: &Result<(), FrameError>) -> String {
    result.as_ref().map_or_else(|err| err.to_string(), |()| "ended".to_owned())
}

/// Opens a link to the leader and exchanges frames until it ends.
async fn join_leader(gateway: &Arc<Gateway>, leader: &Leader) -> Result<(), FrameError> {
    let stream = connect(leader.address, OPEN_TIMEOUT).await?;
    let mut wire = Framed::new(stream, FrameCodec::default());
    let hello = Hello {
        member: Some(MemberFrame::from(&gateway.own_member())),
        term: leader.term,
        digests: gateway.table_digest().map_or(Vec::new(), |digest| digest.as_slice().to_vec()),
        deflate: true,
    };
    wire.send(Content::Hello(hello)).await?;
    let first_frame = timeout(OPEN_TIMEOUT, wire.next()).await;
    match first_frame {
        Ok(Some(Ok(Content::Welcome(Welcome { term })))) if term == leader.term => {}
        Ok(Some(Ok(Content::Announcement(later)))) => {
            gateway.handle_announcement(&later);
            return Ok(());
        }
        Ok(Some(Err(err))) => return Err(err),
        _ => return Ok(()),
    }
    let (tx, rx) = mpsc::unbounded_channel();
    for content in handover(gateway, leader) {
        let _ = tx.send(content);
    }
    gateway.uplink.record_frame();
    gateway.uplink.linked.store(true, Ordering::Relaxed);
    gateway.uplink.leader_ready.store(false, Ordering::Relaxed);
    *gateway.uplink.tx.lock() = Some(tx);
    gateway.resubmit_waiting();
    log::info!("event=leader_joined leader={} term={}", leader.instance, leader.term);
    exchange_frames(gateway, leader, wire, rx).await
}

/// Returns what a new leader must know of this instance: its running requests, what it has left of the
/// teams' rates, what it has used of the retry budgets, and what it knows of endpoints and streams.
fn handover(gateway: &Gateway, leader: &Leader) -> Vec<Content> {
    let now = Time::now();
    let mut contents: Vec<Content> =
        gateway.running_requests().into_iter().map(Content::Adopt).collect();
    contents.extend(gateway.leaving_content(leader));
    contents.extend(gateway.earlier_operator_content(leader));
    contents.extend(gateway.usage_handover());
    contents.push(gateway.held_allotments_content());
    let mut scheduler = gateway.scheduler.lock();
    let origins = scheduler.origins().all();
    if !origins.is_empty() {
        contents.push(Content::Origins(origins.as_slice().into()));
    }
    contents.push(Content::Rates(RatesFrame::from(scheduler.release_rates(now))));
    contents.push(Content::Retries(scheduler.retry_usage(now).into()));
    let crashes = scheduler.crash_handover(now);
    if !crashes.is_empty() {
        contents.push(Content::Crashes(crashes.into()));
    }
    let limits = scheduler.rate_limits();
    if !limits.is_empty() {
        contents.push(Content::RateLimits(limits.as_slice().into()));
    }
    contents
}

/// Exchanges frames with the leader until the connection fails, the leader falls silent, or another
/// leader follows.
async fn exchange_frames(
    gateway: &Arc<Gateway>,
    leader: &Leader,
    wire: Wire,
    rx: mpsc::UnboundedReceiver<Content>,
) -> Result<(), FrameError> {
    let (sink, source) = wire.split();
    // Reading goes on while a write is blocked, or two instances that write to each other could
    // both wait forever.
    tokio::select! {
        result = read_frames(gateway, source) => result,
        result = write_frames(gateway, sink, rx) => result,
        () = wait_for_loss(gateway, leader) => Ok(()),
    }
}

/// Reads and handles the leader's frames.
async fn read_frames(
    gateway: &Arc<Gateway>,
    mut source: SplitStream<Wire>,
) -> Result<(), FrameError> {
    while let Some(frame) = source.next().await {
        gateway.uplink.record_frame();
        handle_frame(gateway, frame?)?;
    }
    Ok(())
}

/// Writes queued frames and heartbeats to the leader.
async fn write_frames(
    gateway: &Arc<Gateway>,
    mut sink: SplitSink<Wire, Content>,
    mut rx: mpsc::UnboundedReceiver<Content>,
) -> Result<(), FrameError> {
    let mut heartbeats = interval(HEARTBEAT_INTERVAL);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(content) = rx.recv() => {
                sink.feed(content).await?;
                while let Ok(content) = rx.try_recv() {
                    sink.feed(content).await?;
                }
            }
            _ = heartbeats.tick() => sink.feed(Content::Heartbeat(gateway.heartbeat())).await?,
        }
        sink.flush().await?;
    }
}

/// Waits until the leader is silent for too long, or another one leads in a later term.
async fn wait_for_loss(gateway: &Gateway, leader: &Leader) {
    let mut checks = interval(LOSS_CHECK_INTERVAL);
    loop {
        checks.tick().await;
        let superseded = gateway.leader().is_some_and(|l| l.term > leader.term);
        if superseded || gateway.uplink.frame_age() > LEADER_TIMEOUT {
            return;
        }
    }
}

/// Handles a frame from the leader. Fails if a deflated frame cannot be read: the leader has recorded that
/// this instance has the table in it, and sends it again only on a new link.
fn handle_frame(gateway: &Arc<Gateway>, content: Content) -> Result<(), FrameError> {
    match content {
        Content::Grant(frame) => {
            let number = frame.number;
            match frame.into_grant() {
                Some(grant) => gateway.handle_grant(number, grant),
                None => log::error!("event=grant_unreadable number={number}"),
            }
        }
        Content::Refuse(frame) => gateway.handle_refusal(frame.number, frame.to_refusal()),
        Content::HeartbeatReply(heartbeat) => {
            let response_age = Duration::from_millis(heartbeat.response_age.into());
            gateway.record_age.record(response_age, Time::now());
            gateway.uplink.leader_ready.store(heartbeat.ready, Ordering::Relaxed);
            if let Some(frame) = gateway.operator_update(&heartbeat) {
                gateway.uplink.send(frame);
            }
        }
        Content::Members(frame) => {
            let members = gateway.members.load().with_changes(frame);
            gateway.members.store(Arc::new(members));
        }
        Content::Endpoints(frame) => gateway.handle_endpoints(frame),
        Content::Operator(frame) => gateway.handle_operator(frame),
        Content::Crashes(frame) => gateway.handle_crashes(frame),
        Content::RateLimits(frame) => gateway.handle_rate_limits(frame),
        Content::Duties(frame) => gateway.handle_duties(frame),
        Content::Allotments(frame) => gateway.handle_allotments(frame),
        Content::Deflated(deflated) => {
            return handle_frame(gateway, Content::inflate(&deflated)?);
        }
        Content::Hello(_)
        | Content::HeldAllotments(_)
        | Content::Announcement(_)
        | Content::Welcome(_)
        | Content::GrantRequest(_)
        | Content::FirstEvent(_)
        | Content::Ended(_)
        | Content::Adopt(_)
        | Content::Rates(_)
        | Content::Retries(_)
        | Content::Leaving(_)
        | Content::Origins(_)
        | Content::Usage(_)
        | Content::Heartbeat(_) => log::warn!("event=frame_unexpected from=leader"),
    }
    Ok(())
}

impl Gateway {
    /// Returns the heartbeat of this instance.
    pub(super) fn heartbeat(&self) -> Heartbeat {
        let now = Time::now();
        let response_age = self.watch_times.source_age(self.store.response_age(now), now);
        let operator = self.operator.lock();
        Heartbeat {
            ready: self.is_ready(),
            revision: operator.revision(),
            hash: operator.hash(),
            term: self.leader().map_or(0, |leader| leader.term),
            version: operator.version(),
            cut_off: self.is_cut_off(),
            response_age: u32::try_from(response_age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}
