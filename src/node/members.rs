//! Heartbeats between instances: which peers are alive, and whether this instance is cut off from
//! the platform's service and from most peers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::time::sleep;

use super::{Node, config_sync};
use crate::{
    clock::Time,
    events::Event,
    kernel::freshness::{Contact, Contacts, Freshness, MAX_CONTACT_AGE, freshness_of},
    names::InstanceId,
    platform::ListedState,
    shards::Shards,
    wire::{Body, ConfigRequest, Heartbeat, PeerRequestBody, ReplyBody},
};

/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two pushes of the configuration to one peer.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(1_000);

/// What this instance knows of its peers.
#[derive(Default)]
pub struct Members {
    /// Last contacts with the platform's service and with each peer.
    contacts: Mutex<Contacts>,
    /// State of each peer from which a heartbeat arrived, by the peer's name.
    peers: Shards<InstanceId, PeerState>,
    /// Whether a fetch of a configuration is under way.
    fetching: AtomicBool,
    /// When the configuration was last pushed to each peer.
    last_pushes: Shards<InstanceId, Time>,
    /// Whether this instance was cut off when [`record_cut_off`] last ran.
    cut_off: AtomicBool,
}

/// What this instance knows of one peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// When the peer's last heartbeat arrived.
    pub heard_at: Time,
    /// The peer's last heartbeat.
    pub heartbeat: Heartbeat,
}

impl Members {
    /// Records a peer's heartbeat and returns when the one that it replies to was sent.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat) -> Option<Time> {
        let id = InstanceId::from(heartbeat.instance.as_str());
        let age = Duration::from_millis(heartbeat.contact_age_ms);
        let sent = self.contacts.lock().record_heartbeat_reply(&id, heartbeat.echo, age);
        self.peers.insert(id, PeerState { heard_at: Time::now(), heartbeat });
        sent
    }

    /// Records that a peer's host refused a connection.
    pub fn record_refused_connection(&self, peer: &InstanceId) {
        self.contacts.lock().record_refused_connection(peer, Time::now());
    }

    /// Returns whether a peer's host refused a connection within [`MAX_CONTACT_AGE`].
    pub fn is_refused(&self, peer: &InstanceId) -> bool {
        self.contacts.lock().is_refused(peer, Time::now())
    }

    /// Returns the state of a peer of which a heartbeat arrived within [`MAX_CONTACT_AGE`].
    pub fn peer(&self, id: &InstanceId) -> Option<PeerState> {
        let peer = self.peers.with(id, |peer| peer.clone())?;
        (Time::now().since(peer.heard_at) <= MAX_CONTACT_AGE).then_some(peer)
    }

    /// Returns the peer whose recent heartbeat says that it owns a bucket of ids.
    pub fn bucket_owner(&self, bucket: u32) -> Option<InstanceId> {
        let mut owner = None;
        let now = Time::now();
        self.peers.for_each(|id, peer| {
            let owns = peer.heartbeat.bucket_mask & (1 << bucket) != 0;
            if owns && now.since(peer.heard_at) <= MAX_CONTACT_AGE {
                owner = Some(id.clone());
            }
        });
        owner
    }
}

impl Node {
    /// Handles a peer's heartbeat and the revision of the share table that it reports.
    pub fn handle_heartbeat(&self, heartbeat: Heartbeat) {
        self.push_config(&heartbeat);
        let (revision, age) =
            (heartbeat.shares_revision, Duration::from_millis(heartbeat.shares_age_ms));
        if let Some(sent) = self.members.record_heartbeat(heartbeat) {
            self.shares.record_revision(revision, sent - age);
        }
    }

    /// Pushes the configuration to a peer whose reply shows an older version in force.
    fn push_config(&self, heartbeat: &Heartbeat) {
        if heartbeat.echo == 0 || heartbeat.config_version >= self.config_version() {
            return;
        }
        let id = InstanceId::from(heartbeat.instance.as_str());
        let now = Time::now();
        let may_push = self.members.last_pushes.with_or_insert(id.clone(), Time::default, |last| {
            let may_push = now.since(*last) >= MIN_PUSH_INTERVAL;
            *last = if may_push { now } else { *last };
            may_push
        });
        if let Some(doc) =
            config_sync::newer_than(self, heartbeat.config_version).filter(|_| may_push)
        {
            self.peers.notify(&id, Body::Config(doc));
        }
    }

    /// Returns the state of this instance's contact with the platform's service and its peers.
    pub fn contact(&self) -> Contact {
        let list = self.list.load();
        let live = list.instances.iter().filter(|i| i.state == ListedState::Live);
        let live: Vec<InstanceId> = live.map(|i| i.id.clone()).collect();
        let mut contacts = self.members.contacts.lock();
        contacts.record_platform_contact(self.platform.last_contact());
        contacts.contact(&self.settings.instance, &live, Time::now())
    }

    /// Returns whether what this instance knows is fresh enough to serve requests with a key.
    pub fn freshness(&self) -> Freshness {
        freshness_of(self.contact())
    }

    /// Returns this instance's next heartbeat; the caller sets its number or its echo.
    pub fn heartbeat(&self) -> Heartbeat {
        let contact = self.contact();
        let (shares_revision, shares_age_ms) = self.shares.known_revision();
        Heartbeat {
            instance: self.settings.instance.to_string(),
            incarnation: self.incarnation,
            config_version: self.config_version(),
            contact_age_ms: contact.age.as_micros().div_ceil(1_000) as u64,
            leaving: self.drain.is_draining(),
            cut_off: freshness_of(contact) == Freshness::CutOff,
            echo: 0,
            number: 0,
            suspects: self.recent_suspects(),
            bucket_mask: self.once.owned_mask(),
            shares_revision,
            shares_age_ms,
        }
    }
}

/// Sends heartbeats at an interval, and fetches newer configurations from peers.
pub async fn run(node: Arc<Node>) {
    loop {
        let number = node.members.contacts.lock().begin_round(Time::now());
        node.peers.send_heartbeat(&Heartbeat { number, ..node.heartbeat() });
        record_cut_off(&node);
        fetch_config(&node);
        remove_unlisted(&node);
        tokio::select! {
            () = sleep(HEARTBEAT_INTERVAL) => {}
            () = node.peers.heartbeat_requested() => {}
        }
    }
}

/// Records in the time line when this instance is cut off and when it is in contact again.
fn record_cut_off(node: &Node) {
    let contact = node.contact();
    let cut_off = freshness_of(contact) == Freshness::CutOff;
    if node.members.cut_off.swap(cut_off, Ordering::AcqRel) == cut_off {
        return;
    }
    let event = if cut_off { Event::InstanceCutOff } else { Event::InstanceRejoined };
    let age = contact.age.as_millis();
    let detail = format!("age_ms={age} heard={} listed={}", contact.heard, contact.listed);
    node.timeline.record(event, node.settings.instance.as_str(), detail);
}

/// Removes the state of instances that are no longer listed.
fn remove_unlisted(node: &Node) {
    let list = node.list.load();
    let listed = |id: &InstanceId| list.instance(id).is_some();
    node.members.contacts.lock().retain_listed(listed);
    node.members.peers.retain(|id, _| listed(id));
    node.members.last_pushes.retain(|id, _| listed(id));
}

/// Fetches a newer configuration from the peer with the highest version, unless a fetch is under way.
fn fetch_config(node: &Arc<Node>) {
    let mut peers = Vec::new();
    node.members.peers.for_each(|id, peer| peers.push((id.clone(), peer.heartbeat.config_version)));
    let Some(peer) = node.versions.lock().best_source(peers) else { return };
    if node.members.fetching.swap(true, Ordering::AcqRel) {
        return;
    }
    let node = node.clone();
    tokio::spawn(async move {
        let request = PeerRequestBody::Config(ConfigRequest { version: node.config_version() });
        if let Ok(ReplyBody::Config(doc)) = node.request(&peer, request).await {
            config_sync::apply(&node, doc.version, &doc.text);
        }
        node.members.fetching.store(false, Ordering::Release);
    });
}
