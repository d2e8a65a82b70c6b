//! Who is there: heartbeats of peers, contact with the platform, and whether this node is cut off.

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

/// What is known of the other instances.
#[derive(Default)]
pub struct Members {
    contacts: Mutex<Contacts>,
    peers: Shards<InstanceId, PeerState>,
    fetching: AtomicBool,
    last_pushes: Shards<InstanceId, Time>,
    cut_off: AtomicBool,
}

/// What is known of one peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// When its last heartbeat came.
    pub heard_at: Time,
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
}

impl Members {
    /// Takes in a heartbeat and returns when the one that it answers was sent.
    pub fn record_heartbeat(&self, beat: Heartbeat) -> Option<Time> {
        let id = InstanceId::from(beat.instance.as_str());
        let age = Duration::from_millis(beat.contact_age_ms);
        let sent = self.contacts.lock().record_heartbeat_reply(&id, beat.echo, age);
        self.peers.insert(id, PeerState { heard_at: Time::now(), heartbeat: beat });
        sent
    }

    /// Notes that a peer's host refused a connection.
    pub fn record_refused_connection(&self, peer: &InstanceId) {
        self.contacts.lock().record_refused_connection(peer, Time::now());
    }

    /// Returns whether a peer's host refused a connection within the bound.
    pub fn is_refused(&self, peer: &InstanceId) -> bool {
        self.contacts.lock().is_refused(peer, Time::now())
    }

    /// Returns what is known of a peer that was heard within the bound.
    pub fn peer(&self, id: &InstanceId) -> Option<PeerState> {
        let seen = self.peers.with(id, |seen| seen.clone())?;
        (Time::now().since(seen.heard_at) <= MAX_CONTACT_AGE).then_some(seen)
    }

    /// Returns the peer that says it owns a bucket of ids.
    pub fn bucket_owner(&self, bucket: u32) -> Option<InstanceId> {
        let mut owner = None;
        let now = Time::now();
        self.peers.for_each(|id, seen| {
            let owns = seen.heartbeat.bucket_mask & (1 << bucket) != 0;
            if owns && now.since(seen.heard_at) <= MAX_CONTACT_AGE {
                owner = Some(id.clone());
            }
        });
        owner
    }
}

impl Node {
    /// Takes in a heartbeat with what it passes on.
    pub fn handle_heartbeat(&self, beat: Heartbeat) {
        self.push_config(&beat);
        let (revision, age) = (beat.shares_revision, Duration::from_millis(beat.shares_age_ms));
        if let Some(sent) = self.members.record_heartbeat(beat) {
            self.shares.record_revision(revision, sent - age);
        }
    }

    /// Pushes the configuration to a peer that answered without having it in force.
    fn push_config(&self, beat: &Heartbeat) {
        if beat.echo == 0 || beat.config_version >= self.config_version() {
            return;
        }
        let id = InstanceId::from(beat.instance.as_str());
        let now = Time::now();
        let due = self.members.last_pushes.with_or_insert(id.clone(), Time::default, |last| {
            let due = now.since(*last) >= MIN_PUSH_INTERVAL;
            *last = if due { now } else { *last };
            due
        });
        if let Some(doc) = config_sync::newer_than(self, beat.config_version).filter(|_| due) {
            self.peers.notify(&id, Body::Config(doc));
        }
    }

    /// Returns what this node knows of its contact with the rest.
    pub fn contact(&self) -> Contact {
        let list = self.list.load();
        let live = list.instances.iter().filter(|i| i.state == ListedState::Live);
        let live: Vec<InstanceId> = live.map(|i| i.id.clone()).collect();
        let mut contacts = self.members.contacts.lock();
        contacts.record_platform_contact(self.platform.last_contact());
        contacts.contact(&self.settings.instance, &live, Time::now())
    }

    /// Judges whether this node may serve keyed work.
    pub fn freshness(&self) -> Freshness {
        freshness_of(self.contact())
    }

    /// Returns this node's heartbeat.
    pub fn heartbeat(&self) -> Heartbeat {
        let contact = self.contact();
        let (shares, shares_ms) = self.shares.known_revision();
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
            shares_revision: shares,
            shares_age_ms: shares_ms,
        }
    }
}

/// Sends heartbeats and fetches configurations that peers have and this node misses.
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

/// Records when this node is cut off and when it is in contact again.
fn record_cut_off(node: &Node) {
    let contact = node.contact();
    let now = freshness_of(contact) == Freshness::CutOff;
    if node.members.cut_off.swap(now, Ordering::AcqRel) == now {
        return;
    }
    let event = if now { Event::InstanceCutOff } else { Event::InstanceRejoined };
    let age = contact.age.as_millis();
    let detail = format!("age_ms={age} heard={} listed={}", contact.heard, contact.listed);
    node.timeline.record(event, node.settings.instance.as_str(), detail);
}

fn remove_unlisted(node: &Node) {
    let list = node.list.load();
    let listed = |id: &InstanceId| list.instance(id).is_some();
    node.members.contacts.lock().retain_listed(listed);
    node.members.peers.retain(|id, _| listed(id));
    node.members.last_pushes.retain(|id, _| listed(id));
}

/// Starts a fetch from the peer with the highest version, one at a time.
fn fetch_config(node: &Arc<Node>) {
    let mut peers = Vec::new();
    node.members.peers.for_each(|id, seen| peers.push((id.clone(), seen.heartbeat.config_version)));
    let Some(peer) = node.versions.lock().best_source(peers) else { return };
    if node.members.fetching.swap(true, Ordering::AcqRel) {
        return;
    }
    let node = node.clone();
    tokio::spawn(async move {
        let ask = PeerRequestBody::Config(ConfigRequest { version: node.config_version() });
        if let Ok(ReplyBody::Config(doc)) = node.request(&peer, ask).await {
            config_sync::apply(&node, doc.version, &doc.text);
        }
        node.members.fetching.store(false, Ordering::Release);
    });
}
