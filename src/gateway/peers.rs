//! The instances that are linked to this one while it leads.

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

/// Longest time for an instance to introduce itself.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a frame after which an instance counts as gone.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between two looks for changed endpoints and members.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(200);

/// Linked instances up to which a change of an engine's adapters alone is told.
const MAX_ADAPTER_PEERS: usize = 16;

struct Peer {
    tx: mpsc::UnboundedSender<Content>,
    /// Number of its link, so that the end of an old link does not remove a new one.
    link: u64,
    member: Member,
    ready: bool,
}

/// The linked instances by name.
#[derive(Default)]
pub struct Peers {
    table: Mutex<BTreeMap<Arc<str>, Peer>>,
    sent: Mutex<HashMap<Arc<str>, EndpointFrame>>,
}

impl Peers {
    /// Sends a frame to an instance; one that is gone asks again elsewhere.
    pub fn send(&self, instance: &str, content: Content) {
        if let Some(peer) = self.table.lock().get(instance) {
            let _ = peer.tx.send(content);
        }
    }

    /// Returns how many instances are linked.
    pub fn count(&self) -> usize {
        self.table.lock().len()
    }

    /// Sends a frame to all linked instances.
    pub fn broadcast(&self, content: &Content) {
        for peer in self.table.lock().values() {
            let _ = peer.tx.send(content.clone());
        }
    }
}

/// Accepts links of other instances.
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
    let ended = exchange_frames(&gateway, &hello, wire, rx).await;
    if let Err(err) = ended {
        log::info!("event=link_failed peer={instance} reason={err}");
    }
    gateway.remove_peer(&instance, link);
}

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

/// Takes a frame of a linked instance.
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
            let Some(ask) = frame.request else { return };
            let key = key(ask.number);
            let granted =
                ActiveGrant { request: ask.into_request(now), endpoint: frame.endpoint.into() };
            gateway.scheduler.lock().adopt(key, granted, now);
        }
        Content::Heartbeat(ping) => gateway.handle_heartbeat(instance, &ping),
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
    fn handle_heartbeat(&self, instance: &str, ping: &Heartbeat) {
        let changed = match self.peers.table.lock().get_mut(instance) {
            Some(peer) => std::mem::replace(&mut peer.ready, ping.ready) != ping.ready,
            None => false,
        };
        self.peers.send(instance, Content::HeartbeatReply(self.heartbeat()));
        if let Some(news) = self.operator_update(ping) {
            self.peers.send(instance, news);
        }
        if changed {
            self.broadcast_members();
        }
    }

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

    /// Tells all linked instances who serves callers, where that has changed.
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

    fn all_endpoints(&self) -> EndpointsFrame {
        let told = self.peers.sent.lock();
        EndpointsFrame {
            full: true,
            changed: told.values().cloned().collect(),
            removed: Vec::new(),
        }
    }

    /// Tells all linked instances which endpoints have changed.
    fn broadcast_endpoints(&self) {
        let now = Time::now();
        let current: HashMap<Arc<str>, EndpointFrame> = {
            let scheduler = self.scheduler.lock();
            let all = scheduler.endpoints().map(|endpoint| endpoint.snapshot(now));
            all.map(|info| (info.id.clone(), EndpointFrame::from(&info))).collect()
        };
        let adapters = self.peers.count() <= MAX_ADAPTER_PEERS;
        let mut told = self.peers.sent.lock();
        let gone: Vec<String> =
            told.keys().filter(|id| !current.contains_key(*id)).map(|id| id.to_string()).collect();
        let changed: Vec<EndpointFrame> = current
            .iter()
            .filter(|(id, frame)| told.get(*id).is_none_or(|told| told.differs(frame, adapters)))
            .map(|(_, frame)| frame.clone())
            .collect();
        told.retain(|id, _| current.contains_key(id));
        told.extend(changed.iter().map(|frame| (frame.id.as_str().into(), frame.clone())));
        drop(told);
        if !changed.is_empty() || !gone.is_empty() {
            let frame = EndpointsFrame { full: false, changed, removed: gone };
            self.peers.broadcast(&Content::Endpoints(frame));
        }
    }
}

/// Tells the linked instances again and again what has changed.
async fn run_broadcasts(gateway: Arc<Gateway>) {
    loop {
        sleep(BROADCAST_INTERVAL).await;
        if gateway.leadership.leads() {
            gateway.broadcast_members();
            gateway.broadcast_endpoints();
        }
    }
}
