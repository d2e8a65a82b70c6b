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
    messages::{Content, FrameCodec, FrameError, Hello, Ping, Welcome},
};
use crate::{clock::Time, http::pool::dial};

/// Longest time for a connection to the leader to open, and for its welcome.
const OPEN_LIMIT: Duration = Duration::from_millis(400);

/// Time between two signs of life.
pub const PING_PERIOD: Duration = Duration::from_millis(150);

/// Time without a frame after which the leader counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_millis(450);

/// Wait before the leader is dialed again.
const RETRY_WAIT: Duration = Duration::from_millis(60);

type Wire = Framed<TcpStream, FrameCodec>;

/// The link to the leader, where there is one.
#[derive(Default)]
pub struct Uplink {
    tx: Mutex<Option<mpsc::UnboundedSender<Content>>>,
    heard: AtomicU64,
    joined: AtomicBool,
    blind: AtomicBool,
}

impl Uplink {
    /// Sends a frame and returns whether there is a link.
    pub fn send(&self, content: Content) -> bool {
        self.tx.lock().as_ref().is_some_and(|tx| tx.send(content).is_ok())
    }

    /// Returns whether there was a link before.
    pub fn was_joined(&self) -> bool {
        self.joined.load(Ordering::Relaxed)
    }

    /// Returns whether the leader says that it does not reach the store.
    pub fn is_blind(&self) -> bool {
        self.blind.load(Ordering::Relaxed)
    }

    /// Returns the time since the leader was last heard, or since the start.
    pub fn silence(&self) -> Duration {
        Time::now().since(Time(self.heard.load(Ordering::Relaxed)))
    }

    /// Notes that the leader was heard, or that the process starts.
    pub fn hear(&self) {
        self.heard.store(Time::now().0, Ordering::Relaxed);
    }
}

/// Keeps a link to the leader while another instance leads.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        let known = gateway.leadership.known();
        let other = known.filter(|leader| !gateway.is_self(&leader.instance));
        if let Some(leader) = other
            && !gateway.leadership.leads()
        {
            let ended = attend(&gateway, &leader).await;
            if gateway.uplink.tx.lock().take().is_some() {
                log::warn!("event=leader_lost leader={} reason={}", leader.instance, text(&ended));
                gateway.ask_again();
            }
        }
        sleep(RETRY_WAIT).await;
    }
}

fn text(ended: &Result<(), FrameError>) -> String {
    ended.as_ref().map_or_else(|err| err.to_string(), |()| "ended".to_owned())
}

async fn attend(gateway: &Arc<Gateway>, leader: &Leader) -> Result<(), FrameError> {
    let stream = dial(leader.address, OPEN_LIMIT).await?;
    let mut wire = Framed::new(stream, FrameCodec::default());
    let hello = Hello {
        instance: gateway.settings.instance.to_string(),
        callers: gateway.settings.callers.to_string(),
        term: leader.term,
    };
    wire.send(Content::Hello(hello)).await?;
    let first = timeout(OPEN_LIMIT, wire.next()).await;
    match first {
        Ok(Some(Ok(Content::Welcome(Welcome { term })))) if term == leader.term => {}
        Ok(Some(Err(err))) => return Err(err),
        _ => return Ok(()),
    }
    let (tx, rx) = mpsc::unbounded_channel();
    for running in gateway.running() {
        let _ = tx.send(Content::Adopt(running));
    }
    gateway.uplink.hear();
    gateway.uplink.joined.store(true, Ordering::Relaxed);
    *gateway.uplink.tx.lock() = Some(tx);
    gateway.ask_again();
    log::info!("event=leader_joined leader={} term={}", leader.instance, leader.term);
    exchange(gateway, leader, wire, rx).await
}

async fn exchange(
    gateway: &Arc<Gateway>,
    leader: &Leader,
    wire: Wire,
    mut rx: mpsc::UnboundedReceiver<Content>,
) -> Result<(), FrameError> {
    let (mut sink, mut source) = wire.split();
    let mut ticks = interval(PING_PERIOD);
    loop {
        tokio::select! {
            frame = source.next() => match frame {
                Some(frame) => {
                    gateway.uplink.hear();
                    take(gateway, frame?);
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
                let superseded = gateway.leadership.known().is_some_and(|l| l.term > leader.term);
                if gateway.uplink.silence() > SILENCE_LIMIT || superseded {
                    return Ok(());
                }
                sink.send(Content::Ping(gateway.ping())).await?;
            }
        }
    }
}

/// Takes a frame of the leader.
fn take(gateway: &Arc<Gateway>, content: Content) {
    match content {
        Content::Grant(frame) => {
            let number = frame.number;
            match frame.grant() {
                Some(grant) => gateway.take_grant(number, grant),
                None => log::error!("event=grant_unreadable number={number}"),
            }
        }
        Content::Refuse(frame) => gateway.take_refusal(frame.number, frame.refusal()),
        Content::Pong(ping) => {
            gateway.uplink.blind.store(ping.blind, Ordering::Relaxed);
            if let Some(frame) = gateway.news_for(&ping) {
                gateway.uplink.send(frame);
            }
        }
        Content::Members(frame) => gateway.members.store(Arc::new(Members::read(frame))),
        Content::Endpoints(frame) => gateway.take_endpoints(frame),
        Content::Operator(frame) => gateway.take_operator(frame),
        Content::Hello(_)
        | Content::Welcome(_)
        | Content::Ask(_)
        | Content::First(_)
        | Content::Done(_)
        | Content::Adopt(_)
        | Content::Ping(_) => log::warn!("event=frame_unexpected from=leader"),
    }
}

impl Gateway {
    /// Returns this instance's sign of life.
    pub(super) fn ping(&self) -> Ping {
        let operator = self.operator.lock();
        let term = self.leadership.known().map_or(0, |leader| leader.term);
        Ping {
            ready: self.is_ready(),
            revision: operator.revision,
            hash: operator.hash,
            term,
            blind: self.leadership.is_blind(Time::now()),
        }
    }

    /// Returns the operators' records where they are news to an instance.
    pub(super) fn news_for(&self, ping: &Ping) -> Option<Content> {
        let operator = self.operator.lock();
        let news = operator.is_news_to(ping.revision, ping.hash);
        news.then(|| Content::Operator(operator.frame()))
    }
}
