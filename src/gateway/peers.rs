//! The peers: instances that are linked to this one while it leads.
//!
//! The leader decides on their requests for grants. The updates of their tables are written in
//! [`updates`](super::updates).

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::{
    FutureExt, SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use parking_lot::Mutex;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, mpsc::error::TrySendError},
    task::yield_now,
    time::{sleep, sleep_until, timeout},
};
use tokio_util::codec::Framed;

use super::{
    Gateway,
    intake::OpenConnection,
    messages::{
        Announcement, Content, EncodedFrame, FrameCodec, FrameError, Heartbeat, Hello, Welcome,
    },
    updates::{PendingUpdate, SentVersions},
};
use crate::{
    clock::Time,
    http::pool::set_socket_options,
    kernel::{
        grants::{Action, ActiveGrant, GrantKey, GrantRequest, Reason, Refusal, UnusedRate},
        intake::Listener,
        membership::{LinkedInstance, Member},
        overload::{Intake, LinkBacklog, intake},
        pacing::Resend,
    },
};

/// Timeout for the first frame of a new link.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time without a frame before a peer counts as lost.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Frames that wait for one peer. A peer that lets more wait reads too slowly, so its link ends and
/// it starts again from the current state.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// Frames of one peer that are handled, or written, before other tasks run. Heartbeats, the renewal of
/// the lease and the other links must not wait for all frames that one peer has sent.
const FRAMES_PER_BATCH: usize = 32;

/// Wait after accepting failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(200);

/// Wait while too many connections have not sent their hello.
const ADMIT_BACKOFF: Duration = Duration::from_millis(10);

/// A connection to a peer that carries frames.
type Wire = Framed<TcpStream, FrameCodec>;

/// A linked instance.
struct Peer {
    /// Sender of the frames to the peer; `None` once too many wait.
    tx: Option<mpsc::Sender<Content>>,
    /// Number of the link, by which the end of an old link does not remove the peer of a newer one.
    link: u64,
    member: Member,
    /// Whether the peer is ready to serve callers.
    ready: bool,
    /// Operators' records that are on their way to the peer.
    operator: Resend,
}

impl Peer {
    /// Queues a frame, or ends the link if too many frames wait.
    fn send(&mut self, content: Content) {
        let Some(tx) = &self.tx else { return };
        if let Err(TrySendError::Full(_)) = tx.try_send(content) {
            log::warn!("event=peer_too_slow peer={}", self.member.instance);
            self.tx = None;
        }
    }
}

/// All peers, by the name of their instance.
#[derive(Default)]
pub struct Peers {
    table: Mutex<BTreeMap<Arc<str>, Peer>>,
}

impl Peers {
    /// Sends a frame to a peer. The frame is dropped if the peer is lost, since a lost peer submits
    /// its requests elsewhere.
    pub fn send(&self, instance: &str, content: Content) {
        if let Some(peer) = self.table.lock().get_mut(instance) {
            peer.send(content);
        }
    }

    /// Sends a frame to a peer if its link still has the number `link`.
    fn send_on_link(&self, instance: &str, link: u64, content: Content) {
        if let Some(peer) = self.table.lock().get_mut(instance).filter(|peer| peer.link == link) {
            peer.send(content);
        }
    }

    /// Returns the number of peers.
    pub fn count(&self) -> usize {
        self.table.lock().len()
    }

    /// Sends a frame to all peers.
    pub fn broadcast(&self, content: &Content) {
        for peer in self.table.lock().values_mut() {
            peer.send(content.clone());
        }
    }

    /// Returns the peers with their readiness.
    pub fn linked_instances(&self) -> Vec<LinkedInstance> {
        let table = self.table.lock();
        let linked = table
            .values()
            .map(|peer| LinkedInstance { member: peer.member.clone(), ready: peer.ready });
        linked.collect()
    }
}

/// Accepts the links of other instances.
pub async fn run(gateway: Arc<Gateway>, listener: TcpListener) {
    let mut number = 0;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                number += 1;
                let connection = loop {
                    match gateway.budget.open(Listener::Hellos, peer.ip()) {
                        Some(connection) => break connection,
                        None => sleep(ADMIT_BACKOFF).await,
                    }
                };
                tokio::spawn(serve(gateway.clone(), stream, number, connection));
            }
            Err(err) => {
                log::warn!("event=accept_failed what=peers reason={err}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// What the frames on a link depend on.
#[derive(Clone, Debug)]
struct PeerLink {
    /// Term in which this instance leads.
    term: u64,
    /// What the peer knows of the tables.
    known: SentVersions,
}

/// Serves a connection of another instance: its link while this instance leads, or the announcement
/// of a new leader.
async fn serve(gateway: Arc<Gateway>, stream: TcpStream, link: u64, connection: OpenConnection) {
    set_socket_options(&stream);
    let account = connection.account();
    let mut wire = Framed::new(stream, FrameCodec::before_hello());
    let first = tokio::select! {
        first = timeout(HELLO_TIMEOUT, wire.next()) => first,
        () = account.closing() => return,
    };
    match first {
        Ok(Some(Ok(Content::Hello(hello)))) if account.establish_link() => {
            wire.codec_mut().allow_all();
            serve_link(&gateway, hello, wire, link).await;
        }
        Ok(Some(Ok(Content::Hello(_)))) => account.refuse_link(),
        Ok(Some(Ok(Content::Announcement(frame)))) => gateway.handle_announcement(&frame),
        _ => account.refuse_link(),
    }
}

/// Serves a link from its first frame to its end. If this instance does not lead in the term that
/// the peer expects, the link is refused by the announcement of the leader, where it is a later one.
async fn serve_link(gateway: &Arc<Gateway>, hello: Hello, mut wire: Wire, link: u64) {
    let term = gateway.leadership.lock().term();
    if !gateway.leads() || term != hello.term {
        if let Some(later) = gateway.leader().filter(|leader| leader.term > hello.term) {
            let announcement =
                EncodedFrame::from(Content::Announcement(Announcement::from(&later)));
            let _ = timeout(HELLO_TIMEOUT, wire.send(announcement)).await;
        }
        return;
    }
    let member = match hello.member.unwrap_or_default().try_into() {
        Ok(member) => member,
        Err(err) => return log::warn!("event=hello_unreadable reason={err}"),
    };
    let member: Member = member;
    let instance = member.instance.clone();
    let welcome = EncodedFrame::from(Content::Welcome(Welcome { term }));
    if !matches!(timeout(HELLO_TIMEOUT, wire.send(welcome)).await, Ok(Ok(()))) {
        return;
    }
    let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
    let mut peer = Peer { tx: Some(tx), link, member, ready: false, operator: Resend::default() };
    if gateway.scheduler.lock().crash_version() > 0 {
        peer.send(gateway.crashes_content());
    }
    if gateway.scheduler.lock().limit_version() > 0 {
        peer.send(gateway.rate_limits_content());
    }
    gateway.peers.table.lock().insert(instance.clone(), peer);
    gateway.forget_demand(&instance);
    let actions = gateway.scheduler.lock().remove_instance(&instance, Time::now());
    gateway.apply_actions(actions);
    log::info!("event=instance_joined peer={instance} term={term}");
    let known = SentVersions::of_joining(hello.digests, hello.deflate);
    let result = exchange_frames(gateway, &instance, PeerLink { term, known }, wire, rx).await;
    if let Err(err) = result {
        log::info!("event=link_failed peer={instance} reason={err}");
    }
    gateway.remove_peer(&instance, link);
}

/// Exchanges frames with a peer until the connection fails, the peer falls silent or reads too
/// slowly, or this instance no longer leads in the same term.
async fn exchange_frames(
    gateway: &Arc<Gateway>,
    instance: &str,
    link: PeerLink,
    wire: Wire,
    rx: mpsc::Receiver<Content>,
) -> Result<(), FrameError> {
    let (sink, source) = wire.split();
    // Reading goes on while a write is blocked, or two instances that write to each other could
    // both wait forever.
    tokio::select! {
        result = read_frames(gateway, instance, link.term, source) => result,
        result = write_frames(gateway, link, sink, rx) => result,
    }
}

/// Reads and handles the frames of a peer.
async fn read_frames(
    gateway: &Arc<Gateway>,
    instance: &str,
    term: u64,
    mut source: SplitStream<Wire>,
) -> Result<(), FrameError> {
    let mut backlog = LinkBacklog::default();
    let mut batch_len = 0;
    while gateway.leads() && gateway.leadership.lock().term() == term {
        let frame = match source.next().now_or_never() {
            Some(frame) => frame,
            None => {
                backlog.record_empty();
                batch_len = 0;
                let Ok(frame) = timeout(PEER_TIMEOUT, source.next()).await else { return Ok(()) };
                frame
            }
        };
        let Some(frame) = frame else { return Ok(()) };
        let age = backlog.record_frame(Time::now());
        handle_frame(gateway, instance, frame?, age);
        batch_len += 1;
        if batch_len >= FRAMES_PER_BATCH {
            batch_len = 0;
            yield_now().await;
        }
    }
    Ok(())
}

/// Writes queued frames and updates to a peer.
async fn write_frames(
    gateway: &Arc<Gateway>,
    link: PeerLink,
    mut sink: SplitSink<Wire, EncodedFrame>,
    mut rx: mpsc::Receiver<Content>,
) -> Result<(), FrameError> {
    let PeerLink { term, known: mut sent } = link;
    let mut changes = gateway.updates.subscribe();
    changes.mark_changed();
    let mut update: Option<PendingUpdate> = None;
    loop {
        tokio::select! {
            content = rx.recv() => {
                let Some(content) = content else { return Ok(()) };
                sink.feed(content.into()).await?;
                for _ in 1..FRAMES_PER_BATCH {
                    let Ok(content) = rx.try_recv() else { break };
                    sink.feed(content.into()).await?;
                }
            }
            Ok(()) = changes.changed(), if update.is_none() => {
                update = gateway.updates.take_pending(term, &mut sent);
                continue;
            }
            frames = take_due(&mut update), if update.is_some() => {
                for frame in frames {
                    sink.feed(frame).await?;
                }
                // The tables may have changed while the update waited.
                changes.mark_changed();
            }
        }
        sink.flush().await?;
    }
}

/// Waits until the update may be sent and takes its frames. Does not end without an update.
async fn take_due(update: &mut Option<PendingUpdate>) -> Vec<EncodedFrame> {
    match update {
        Some(pending) => sleep_until(pending.send_at).await,
        None => std::future::pending().await,
    }
    update.take().map(|pending| pending.frames).unwrap_or_default()
}

/// Handles a frame from a peer.
///
/// `age` is an upper bound of the time for which it has waited.
fn handle_frame(gateway: &Arc<Gateway>, instance: &str, content: Content, age: Duration) {
    let now = Time::now();
    let key = |number| GrantKey { instance: instance.into(), number };
    match content {
        Content::GrantRequest(frame) => {
            let (key, request) = (key(frame.number), frame.into_request(now));
            gateway.record_demand(&key, &request);
            gateway.decide_request(key, request, age, now);
        }
        Content::FirstEvent(frame) => {
            let (key, load) = (key(frame.number), frame.load.and_then(|load| load.to_load(now)));
            {
                let mut scheduler = gateway.scheduler.lock();
                scheduler.record_load(&key, load, now);
                scheduler.record_first_event(&key, now);
            }
            gateway.record_demand_begun(&key);
        }
        Content::Ended(frame) => {
            let key = key(frame.number);
            let actions = {
                let mut scheduler = gateway.scheduler.lock();
                let outcome = frame.to_outcome();
                scheduler.record_max_refusals(&key, frame.max_refusals, outcome);
                if let Some(ms) = frame.longest_pause_ms {
                    scheduler.record_pause(&key, Duration::from_millis(ms.into()));
                }
                let load = frame.load.as_ref().and_then(|load| load.to_load(now));
                scheduler.record_load(&key, load, now);
                scheduler.handle_outcome(&key, outcome, now)
            };
            gateway.record_demand_ended(&key, Some(frame.to_outcome()));
            gateway.apply_actions(actions);
        }
        Content::Adopt(frame) => {
            let Some(request) = frame.request else { return };
            let key = key(request.number);
            let active =
                ActiveGrant { request: request.into_request(now), endpoint: frame.endpoint.into() };
            gateway.adopt_demand(&key, &active.request);
            gateway.scheduler.lock().adopt(key, active, now);
        }
        Content::Rates(frame) => {
            let unused: Vec<UnusedRate> = frame.into();
            gateway.scheduler.lock().add_rates(&unused, now);
        }
        Content::Heartbeat(heartbeat) => gateway.handle_heartbeat(instance, &heartbeat),
        Content::Operator(frame) => gateway.handle_operator(frame),
        Content::Crashes(frame) => gateway.merge_crashes(frame),
        Content::RateLimits(frame) => gateway.merge_rate_limits(frame),
        Content::Retries(frame) => {
            gateway.scheduler.lock().add_retry_usage(frame.into(), now);
        }
        Content::Leaving(frame) => gateway.merge_leaving(frame),
        Content::Origins(frame) => {
            gateway.scheduler.lock().origins().merge(frame.into(), now);
        }
        Content::Usage(frame) => gateway.merge_usage(instance, frame),
        Content::HeldAllotments(frame) => gateway.record_held_allotments(instance, frame),
        Content::Hello(_)
        | Content::Allotments(_)
        | Content::Announcement(_)
        | Content::Welcome(_)
        | Content::Grant(_)
        | Content::Refuse(_)
        | Content::HeartbeatReply(_)
        | Content::Members(_)
        | Content::Endpoints(_)
        | Content::Deflated(_)
        | Content::Duties(_) => {
            log::warn!("event=frame_unexpected from={instance}");
        }
    }
}

impl Gateway {
    /// Decides on a request of a peer that has waited for `age`, or refuses it because the leader falls
    /// behind.
    fn decide_request(
        self: &Arc<Self>,
        key: GrantKey,
        request: GrantRequest,
        age: Duration,
        now: Time,
    ) {
        if let Intake::Shed(retry) = intake(age, request.due, request.deadline, now) {
            self.shedding.record(&key.instance, age, now);
            let refusal = Refusal { reason: Reason::NoRoom, retry };
            return self.apply_actions(vec![Action::Refuse(key, refusal)]);
        }
        let mode = self.scheduler_mode();
        let actions = {
            let mut scheduler = self.scheduler.lock();
            scheduler.set_mode(mode, now);
            scheduler.handle_request(key, request, now)
        };
        self.apply_actions(actions);
    }

    /// Replies to a heartbeat, with the operators' records if those of the peer are older.
    fn handle_heartbeat(self: &Arc<Self>, instance: &str, heartbeat: &Heartbeat) {
        let changed = match self.peers.table.lock().get_mut(instance) {
            Some(peer) => {
                let before = (peer.ready, peer.member.cut_off);
                (peer.ready, peer.member.cut_off) = (heartbeat.ready, heartbeat.cut_off);
                before != (heartbeat.ready, heartbeat.cut_off)
            }
            None => false,
        };
        self.peers.send(instance, Content::HeartbeatReply(self.heartbeat()));
        self.update_operator(instance, heartbeat);
        if changed {
            self.updates.notify_members();
        }
    }

    /// Sends the operators' records to a peer that has older ones, paced by the link, unless they are on
    /// their way to it.
    fn update_operator(self: &Arc<Self>, instance: &str, heartbeat: &Heartbeat) {
        let Some(state) = self.newer_operator(heartbeat) else { return };
        let now = Time::now();
        let link = match self.peers.table.lock().get(instance) {
            Some(peer) if peer.operator.is_due(state, now) => peer.link,
            _ => return,
        };
        let Some(update) = self.operator_update(heartbeat) else { return };
        // Encoding copies the document, so the table of peers is not locked meanwhile.
        let bytes = EncodedFrame::from(update.clone()).size();
        let Some(wait) = self.updates.reserve_operator(instance, bytes) else { return };
        if let Some(peer) = self.peers.table.lock().get_mut(instance)
            && peer.link == link
        {
            peer.operator.record(state, wait, now);
        }
        if wait.is_zero() {
            return self.peers.send_on_link(instance, link, update);
        }
        let (gateway, instance) = (self.clone(), Arc::<str>::from(instance));
        tokio::spawn(async move {
            sleep(wait).await;
            gateway.peers.send_on_link(&instance, link, update);
        });
    }

    /// Removes a peer and its grants after the end of its link, unless the peer has opened a newer
    /// link.
    fn remove_peer(self: &Arc<Self>, instance: &str, link: u64) {
        {
            let mut table = self.peers.table.lock();
            if table.get(instance).is_none_or(|peer| peer.link != link) {
                return;
            }
            table.remove(instance);
        }
        log::info!("event=instance_left peer={instance}");
        self.forget_demand(instance);
        let now = Time::now();
        let actions = {
            let mut scheduler = self.scheduler.lock();
            scheduler.leave_allotments(instance, now);
            scheduler.remove_instance(instance, now)
        };
        self.apply_actions(actions);
        self.updates.notify_members();
    }
}
