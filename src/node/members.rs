//! Who is there: heartbeats of peers, contact with the platform, and whether this node is cut off.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::time::sleep;

use super::{Node, config_sync};
use crate::{
    clock::Time,
    kernel::freshness::{CONTACT_BOUND, Contact, Freshness, judge},
    names::InstanceId,
    platform::ListedState,
    shards::Shards,
    wire::{AskBody, Beat, ConfigAsk, ReplyBody},
};

/// Time between two heartbeats.
pub const BEAT_PERIOD: Duration = Duration::from_millis(250);

/// What is known of the other instances.
#[derive(Default)]
pub struct Members {
    contact: Mutex<Time>,
    seen: Shards<InstanceId, Seen>,
}

/// What is known of one peer.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When its last heartbeat came.
    pub heard: Time,
    /// Its last heartbeat.
    pub beat: Beat,
}

impl Members {
    /// Notes a contact with the platform's service that was made just now.
    pub fn contacted(&self) {
        self.contacted_at(Time::now());
    }

    fn contacted_at(&self, at: Time) {
        let mut contact = self.contact.lock();
        *contact = contact.max(at);
    }

    /// Takes in a heartbeat.
    pub fn hear(&self, beat: Beat) {
        let now = Time::now();
        self.contacted_at(now - Duration::from_millis(beat.contact_ms));
        self.seen.insert(beat.instance.as_str().into(), Seen { heard: now, beat });
    }

    /// Returns what is known of a peer that was heard within the bound.
    pub fn peer(&self, id: &InstanceId) -> Option<Seen> {
        let seen = self.seen.with(id, |seen| seen.clone())?;
        (Time::now().since(seen.heard) <= CONTACT_BOUND).then_some(seen)
    }

    /// Returns the peer that says it owns a bucket of ids.
    pub fn bucket_owner(&self, bucket: u32) -> Option<InstanceId> {
        let mut owner = None;
        let now = Time::now();
        self.seen.for_each(|id, seen| {
            let owns = seen.beat.buckets & (1 << bucket) != 0;
            if owns && now.since(seen.heard) <= CONTACT_BOUND {
                owner = Some(id.clone());
            }
        });
        owner
    }

    fn contact_age(&self) -> Duration {
        Time::now().since(*self.contact.lock())
    }
}

impl Node {
    /// Judges whether this node may serve keyed work.
    pub fn freshness(&self) -> Freshness {
        let list = self.list.load();
        let live = || list.instances.iter().filter(|i| i.state == ListedState::Live);
        let heard =
            |id: &InstanceId| *id == self.settings.instance || self.members.peer(id).is_some();
        let contact = Contact {
            age: self.members.contact_age(),
            listed: live().count().max(1),
            heard: live().filter(|i| heard(&i.id)).count(),
        };
        judge(contact)
    }

    /// Returns this node's heartbeat.
    pub fn beat(&self) -> Beat {
        Beat {
            instance: self.settings.instance.to_string(),
            incarnation: self.incarnation,
            version: self.version(),
            contact_ms: self.members.contact_age().as_millis() as u64,
            leaving: self.drain.is_draining(),
            cut_off: self.freshness() == Freshness::CutOff,
            echo: 0,
            number: 0,
            suspects: self.suspect_news(),
            buckets: self.once.mask(),
        }
    }
}

/// Sends heartbeats and fetches configurations that peers have and this node misses.
pub async fn run(node: Arc<Node>) {
    loop {
        node.peers.beat(&node.beat());
        fetch_newer(&node).await;
        tokio::select! {
            () = sleep(BEAT_PERIOD) => {}
            () = node.peers.beat_wanted() => {}
        }
    }
}

async fn fetch_newer(node: &Arc<Node>) {
    let mine = node.version();
    let mut ahead = None;
    node.members.seen.for_each(|id, seen| {
        if seen.beat.version > mine {
            ahead = Some(id.clone());
        }
    });
    let Some(peer) = ahead else { return };
    let ask = AskBody::Config(ConfigAsk { version: mine });
    if let Ok(ReplyBody::Config(doc)) = node.ask(&peer, ask).await
        && doc.version > mine
    {
        config_sync::take(node, doc.version, &doc.text);
    }
}
