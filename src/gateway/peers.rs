//! The peers: instances that are linked to this one while it leads.
//!
//! The leader decides on their requests for grants, and sends them the endpoints and the members.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::codec::Framed;

use super::{
    Gateway,
    members::{Member, Members},
    messages::{
        Content, EndpointFrame, EndpointsFrame, FrameCodec, FrameError, Heartbeat, Hello, Welcome,
    },
};
use crate::{
    clock::Time,
    http::pool::set_socket_options,
    kernel::grants::{ActiveGrant, GrantKey},
};

/// Timeout for the first frame of a new link.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time without a frame before a peer counts as lost.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval at which changes of endpoints and members are sent to the peers.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(200);

/// Largest number of peers to which a change of nothing but an engine's adapters is sent. With more
/// peers, such changes wait for the next other change of the endpoint.
const MAX_ADAPTER_PEERS: usize = 16;

/// A linked instance.
struct Peer {
    /// Sender of the frames to the peer.
    tx: mpsc::UnboundedSender<Content>,
    /// Number of the link, by which the end of an old link does not remove the peer of a newer one.
    link: u64,
    member: Member,
    /// Whether the peer is ready to serve callers.
    ready: bool,
}

/// All peers, by the name of their instance.
#[derive(Default)]
pub struct Peers {
    table: Mutex<BTreeMap<Arc<str>, Peer>>,
    /// Endpoints as they were sent to the peers last.
    sent: Mutex<HashMap<Arc<str>, EndpointFrame>>,
}

impl Peers {
    /// Sends a frame to a peer. The frame is dropped if the peer is lost, since a lost peer submits
    /// its requests elsewhere.
    pub fn send(&self, instance: &str, content: Content) {
        if let Some(peer) = self.table.lock().get(instance) {
            let _ = peer.tx.send(content);
        }
    }

    /// Returns the number of peers.
    pub fn count(&self) -> usize {
        self.table.lock().len()
    }

    /// Sends a frame to all peers.
    pub fn broadcast(&self, content: &Content) {
        for peer in self.table.lock().values() {
            let _ = peer.tx.send(content.clone());
        }
    }
}

/// Accepts the links of other instances.
pub async fn run(gateway: Arc<Gateway>, listener: TcpListener) {
    tokio::spawn(run_broadcasts(gateway.clone()));
    let mut number = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                number += 1;
                tokio::spawn(serve(gateway.clone(), stream, number));
            }
            Err(err) => {
                log::warn!("event=accept_failed what=peers reason={err}");
                sleep(BROADCAST_INTERVAL).await;
            }
        }
    }
}

/// Serves a link from its first frame to its end. The link is refused if this instance does not
/// lead in the term that the peer expects.
async fn serve(gateway: Arc<Gateway>, stream: TcpStream, link: u64) {
    set_socket_options(&stream);
    let mut wire = Framed::new(stream, FrameCodec::default());
    let Ok(Some(Ok(Content::Hello(hello)))) = timeout(HELLO_TIMEOUT, wire.next()).await else {
        return;
    };
    let term = gateway.leadership.term();
    if !gateway.leadership.leads() || term != hello.term {
        return;
    }
    let Ok(callers) = hello.callers.parse() else {
        return log::warn!("event=hello_unreadable instance={}", hello.instance);
    };
    let instance: Arc<str> = hello.instance.as_str().into();
    let member = Member { instance: instance.clone(), callers };
    let (tx, rx) = mpsc::unbounded_channel();
    let _ = tx.send(Content::Welcome(Welcome { term }));
    let _ = tx.send(Content::Endpoints(gateway.all_endpoints()));
    let _ = tx.send(Content::Members(gateway.members.load().to_frame()));
    let peer = Peer { tx, link, member, ready: false };
    gateway.peers.table.lock().insert(instance.clone(), peer);
    let actions = gateway.scheduler.lock().remove_instance(&instance, Time::now());
    gateway.apply_actions(actions);
    log::info!("event=instance_joined peer={instance} term={term}");
    let result = exchange_frames(&gateway, &hello, wire, rx).await;
    if let Err(err) = result {
        log::info!("event=link_failed peer={instance} reason={err}");
    }
    gateway.remove_peer(&instance, link);
}

/// Exchanges frames with a peer until the connection fails, the peer falls silent, or this instance
/// no longer leads in the same term.
async fn exchange_frames(
    gateway: &Arc<Gateway>,
    hello: &Hello,
    wire: Framed<TcpStream, FrameCodec>,
    mut rx: mpsc::UnboundedReceiver<Content>,
) -> Result<(), FrameError> {
    let (mut sink, mut source) = wire.split();
    loop {
        tokio::select! {
            frame = timeout(PEER_TIMEOUT, source.next()) => match frame {
                Ok(Some(frame)) => handle_frame(gateway, &hello.instance, frame?),
                Ok(None) | Err(_) => return Ok(()),
            },
            content = rx.recv() => {
                let Some(content) = content else { return Ok(()) };
                sink.feed(content).await?;
                while let Ok(content) = rx.try_recv() {
                    sink.feed(content).await?;
                }
                sink.flush().await?;
            }
        }
        if !gateway.leadership.leads() || gateway.leadership.term() != hello.term {
            return Ok(());
        }
    }
}

/// Handles a frame from a peer.
fn handle_frame(gateway: &Arc<Gateway>, instance: &str, content: Content) {
    let now = Time::now();
    let key = |number| GrantKey { instance: instance.into(), number };
    match content {
        Content::GrantRequest(frame) => {
            let key = key(frame.number);
            let mode = gateway.scheduler_mode();
            let actions = {
                let mut scheduler = gateway.scheduler.lock();
                scheduler.set_mode(mode, now);
                scheduler.handle_request(key, frame.into_request(now), now)
            };
            gateway.apply_actions(actions);
        }
        Content::FirstEvent(frame) => {
            gateway.scheduler.lock().record_first_event(&key(frame.number), now)
        }
        Content::Ended(frame) => {
            let actions = gateway.scheduler.lock().handle_outcome(
                &key(frame.number),
                frame.to_outcome(),
                now,
            );
            gateway.apply_actions(actions);
        }
        Content::Adopt(frame) => {
            let Some(request) = frame.request else { return };
            let key = key(request.number);
            let active =
                ActiveGrant { request: request.into_request(now), endpoint: frame.endpoint.into() };
            gateway.scheduler.lock().adopt(key, active, now);
        }
        Content::Heartbeat(heartbeat) => gateway.handle_heartbeat(instance, &heartbeat),
        Content::Operator(frame) => gateway.handle_operator(frame),
        Content::Hello(_)
        | Content::Welcome(_)
        | Content::Grant(_)
        | Content::Refuse(_)
        | Content::HeartbeatReply(_)
        | Content::Members(_)
        | Content::Endpoints(_) => {
            log::warn!("event=frame_unexpected from={instance}");
        }
    }
}

impl Gateway {
    /// Replies to a heartbeat, with the operators' records if those of the peer are older.
    fn handle_heartbeat(&self, instance: &str, heartbeat: &Heartbeat) {
        let changed = match self.peers.table.lock().get_mut(instance) {
            Some(peer) => std::mem::replace(&mut peer.ready, heartbeat.ready) != heartbeat.ready,
            None => false,
        };
        self.peers.send(instance, Content::HeartbeatReply(self.heartbeat()));
        if let Some(update) = self.operator_update(heartbeat) {
            self.peers.send(instance, update);
        }
        if changed {
            self.broadcast_members();
        }
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
        let actions = self.scheduler.lock().remove_instance(instance, Time::now());
        self.apply_actions(actions);
        self.broadcast_members();
    }

    /// Sends the members to all peers if they have changed.
    fn broadcast_members(&self) {
        if !self.leadership.leads() {
            return;
        }
        let mut list: Vec<Member> = {
            let table = self.peers.table.lock();
            table.values().filter(|peer| peer.ready).map(|peer| peer.member.clone()).collect()
        };
        if self.is_ready() {
            list.push(self.own_member());
        }
        list.sort();
        let members = Members { list };
        if **self.members.load() == members {
            return;
        }
        log::info!("event=members_changed count={}", members.list.len());
        self.peers.broadcast(&Content::Members(members.to_frame()));
        self.members.store(Arc::new(members));
    }

    /// Returns the frame with all endpoints that the peers know.
    fn all_endpoints(&self) -> EndpointsFrame {
        let sent = self.peers.sent.lock();
        EndpointsFrame {
            full: true,
            changed: sent.values().cloned().collect(),
            removed: Vec::new(),
        }
    }

    /// Sends the endpoints that have changed to all peers.
    fn broadcast_endpoints(&self) {
        let now = Time::now();
        let current: HashMap<Arc<str>, EndpointFrame> = {
            let scheduler = self.scheduler.lock();
            let all = scheduler.endpoints().map(|endpoint| endpoint.snapshot(now));
            all.map(|entry| (entry.id.clone(), EndpointFrame::from(&entry))).collect()
        };
        let include_adapters = self.peers.count() <= MAX_ADAPTER_PEERS;
        let mut sent = self.peers.sent.lock();
        let removed: Vec<String> =
            sent.keys().filter(|id| !current.contains_key(*id)).map(|id| id.to_string()).collect();
        let changed: Vec<EndpointFrame> = current
            .iter()
            .filter(|(id, frame)| {
                sent.get(*id).is_none_or(|sent| sent.differs(frame, include_adapters))
            })
            .map(|(_, frame)| frame.clone())
            .collect();
        sent.retain(|id, _| current.contains_key(id));
        sent.extend(changed.iter().map(|frame| (frame.id.as_str().into(), frame.clone())));
        drop(sent);
        if !changed.is_empty() || !removed.is_empty() {
            let frame = EndpointsFrame { full: false, changed, removed };
            self.peers.broadcast(&Content::Endpoints(frame));
        }
    }
}

/// Sends changes to the peers periodically while this instance leads.
async fn run_broadcasts(gateway: Arc<Gateway>) {
    loop {
        sleep(BROADCAST_INTERVAL).await;
        if gateway.leadership.leads() {
            gateway.broadcast_members();
            gateway.broadcast_endpoints();
        }
    }
}
