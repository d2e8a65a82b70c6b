//! The link of an instance to the leader.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{interval, sleep, timeout},
};
use tokio_util::codec::Framed;

use super::{
    Gateway,
    leader::Leader,
    members::Members,
    messages::{Content, FrameCodec, FrameError, Heartbeat, Hello, Welcome},
};
use crate::{clock::Time, http::pool::connect};

/// Longest time for a connection to the leader to open, and for its welcome.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two signs of life.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Time without a frame after which the leader counts as lost.
const LEADER_TIMEOUT: Duration = Duration::from_millis(450);

/// Wait before the leader is dialed again.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(60);

type Wire = Framed<TcpStream, FrameCodec>;

/// The link to the leader, where there is one.
#[derive(Default)]
pub struct Uplink {
    tx: Mutex<Option<mpsc::UnboundedSender<Content>>>,
    last_frame: AtomicU64,
    linked: AtomicBool,
    store_lost: AtomicBool,
}

impl Uplink {
    /// Sends a frame and returns whether there is a link.
    pub fn send(&self, content: Content) -> bool {
        self.tx.lock().as_ref().is_some_and(|tx| tx.send(content).is_ok())
    }

    /// Returns whether there was a link before.
    pub fn was_linked(&self) -> bool {
        self.linked.load(Ordering::Relaxed)
    }

    /// Returns whether the leader says that it does not reach the store.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.load(Ordering::Relaxed)
    }

    /// Returns the time since the leader was last heard, or since the start.
    pub fn frame_age(&self) -> Duration {
        Time::now().since(Time(self.last_frame.load(Ordering::Relaxed)))
    }

    /// Notes that the leader was heard, or that the process starts.
    pub fn record_frame(&self) {
        self.last_frame.store(Time::now().0, Ordering::Relaxed);
    }
}

/// Keeps a link to the leader while another instance leads.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        let known = gateway.leadership.leader();
        let other = known.filter(|leader| !gateway.is_self(&leader.instance));
        if let Some(leader) = other
            && !gateway.leadership.leads()
        {
            let ended = join_leader(&gateway, &leader).await;
            if gateway.uplink.tx.lock().take().is_some() {
                log::warn!(
                    "event=leader_lost leader={} reason={}",
                    leader.instance,
                    describe_end(&ended)
                );
                gateway.resubmit_waiting();
            }
        }
        sleep(RECONNECT_BACKOFF).await;
    }
}

fn describe_end(ended: &Result<(), FrameError>) -> String {
    ended.as_ref().map_or_else(|err| err.to_string(), |()| "ended".to_owned())
}

async fn join_leader(gateway: &Arc<Gateway>, leader: &Leader) -> Result<(), FrameError> {
    let stream = connect(leader.address, OPEN_TIMEOUT).await?;
    let mut wire = Framed::new(stream, FrameCodec::default());
    let hello = Hello {
        instance: gateway.settings.instance.to_string(),
        callers: gateway.settings.callers.to_string(),
        term: leader.term,
    };
    wire.send(Content::Hello(hello)).await?;
    let first = timeout(OPEN_TIMEOUT, wire.next()).await;
    match first {
        Ok(Some(Ok(Content::Welcome(Welcome { term })))) if term == leader.term => {}
        Ok(Some(Err(err))) => return Err(err),
        _ => return Ok(()),
    }
    let (tx, rx) = mpsc::unbounded_channel();
    for running in gateway.running_requests() {
        let _ = tx.send(Content::Adopt(running));
    }
    gateway.uplink.record_frame();
    gateway.uplink.linked.store(true, Ordering::Relaxed);
    *gateway.uplink.tx.lock() = Some(tx);
    gateway.resubmit_waiting();
    log::info!("event=leader_joined leader={} term={}", leader.instance, leader.term);
    exchange_frames(gateway, leader, wire, rx).await
}

async fn exchange_frames(
    gateway: &Arc<Gateway>,
    leader: &Leader,
    wire: Wire,
    mut rx: mpsc::UnboundedReceiver<Content>,
) -> Result<(), FrameError> {
    let (mut sink, mut source) = wire.split();
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            frame = source.next() => match frame {
                Some(frame) => {
                    gateway.uplink.record_frame();
                    handle_frame(gateway, frame?);
                }
                None => return Ok(()),
            },
            Some(content) = rx.recv() => {
                sink.feed(content).await?;
                while let Ok(content) = rx.try_recv() {
                    sink.feed(content).await?;
                }
                sink.flush().await?;
            }
            _ = ticks.tick() => {
                let superseded = gateway.leadership.leader().is_some_and(|l| l.term > leader.term);
                if gateway.uplink.frame_age() > LEADER_TIMEOUT || superseded {
                    return Ok(());
                }
                sink.send(Content::Heartbeat(gateway.heartbeat())).await?;
            }
        }
    }
}

/// Takes a frame of the leader.
fn handle_frame(gateway: &Arc<Gateway>, content: Content) {
    match content {
        Content::Grant(frame) => {
            let number = frame.number;
            match frame.into_grant() {
                Some(grant) => gateway.handle_grant(number, grant),
                None => log::error!("event=grant_unreadable number={number}"),
            }
        }
        Content::Refuse(frame) => gateway.handle_refusal(frame.number, frame.to_refusal()),
        Content::HeartbeatReply(ping) => {
            gateway.uplink.store_lost.store(ping.store_lost, Ordering::Relaxed);
            if let Some(frame) = gateway.operator_update(&ping) {
                gateway.uplink.send(frame);
            }
        }
        Content::Members(frame) => gateway.members.store(Arc::new(Members::from_frame(frame))),
        Content::Endpoints(frame) => gateway.handle_endpoints(frame),
        Content::Operator(frame) => gateway.handle_operator(frame),
        Content::Hello(_)
        | Content::Welcome(_)
        | Content::GrantRequest(_)
        | Content::FirstEvent(_)
        | Content::Ended(_)
        | Content::Adopt(_)
        | Content::Heartbeat(_) => log::warn!("event=frame_unexpected from=leader"),
    }
}

impl Gateway {
    /// Returns this instance's sign of life.
    pub(super) fn heartbeat(&self) -> Heartbeat {
        let operator = self.operator.lock();
        let term = self.leadership.leader().map_or(0, |leader| leader.term);
        Heartbeat {
            ready: self.is_ready(),
            revision: operator.revision,
            hash: operator.hash,
            term,
            store_lost: self.leadership.is_store_lost(Time::now()),
        }
    }

    /// Returns the operators' records where they are news to an instance.
    pub(super) fn operator_update(&self, ping: &Heartbeat) -> Option<Content> {
        let operator = self.operator.lock();
        let news = operator.is_newer_than(ping.revision, ping.hash);
        news.then(|| Content::Operator(operator.to_frame()))
    }
}
