//! The state that a leader sends to its peers: the members and the endpoints.
//!
//! Each peer gets the whole state once, paced by the rate of the leader's network link, and then
//! the changes. Changes are collected over an interval that grows with the number of peers, so that
//! the leader writes a bounded number of frames a second.

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout},
};

use super::{
    Gateway,
    members::Members,
    messages::{Content, EncodedFrame, EndpointFrame, EndpointsFrame, MembersFrame},
};
use crate::{
    clock::Time,
    kernel::{
        membership::{LinkedInstance, Member, current_members, name_members},
        pacing::OutputPacer,
        versioned::{Changes, Version, VersionedTable},
    },
};

/// Interval at which the endpoints and the members are compared with what the peers were sent.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Time for each peer over which changes are collected before they are sent.
const COLLECT_TIME_PER_PEER: Duration = Duration::from_millis(1);

/// Fraction of the rate of the network link that updates may use. The rest is for requests, grants
/// and calls to the store.
const LINK_FRACTION: f64 = 0.4;

/// Bytes a second in a megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Largest number of peers to which a change of nothing but an engine's adapters is sent. With more
/// peers, such changes wait for the next other change of the endpoint.
const MAX_ADAPTER_PEERS: usize = 16;

/// A table whose changes are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Table {
    Members,
    Endpoints,
}

/// The versions of the tables that a peer was sent last; `None` before the first time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentVersions {
    members: Option<Version>,
    endpoints: Option<Version>,
}

/// Frames that a peer must be sent, no sooner than at a certain time.
pub struct PendingUpdate {
    /// Frames in their order.
    pub frames: Vec<EncodedFrame>,
    /// When they may be sent.
    pub send_at: Instant,
}

#[derive(Default)]
struct State {
    /// Term of this leader in which the tables were filled last.
    term: u64,
    members: VersionedTable<Member>,
    endpoints: VersionedTable<EndpointFrame>,
    /// Frames that lead from a version to the newest one. Most peers have the same version, so each
    /// frame is encoded once for all of them.
    encoded: HashMap<(Table, Option<Version>), EncodedFrame>,
}

/// The tables that a leader sends to its peers.
pub struct Updates {
    state: Mutex<State>,
    pacer: Mutex<OutputPacer>,
    /// Notifies the writers of the links that a table has changed.
    changed: watch::Sender<()>,
    /// Notified when an instance has joined, left or changed its readiness.
    members_changed: Notify,
}

impl Updates {
    /// Creates empty tables for an instance with a network link of `link_mbps` megabits a second.
    pub fn new(link_mbps: f64) -> Self {
        let rate = link_mbps * BYTES_PER_MEGABIT * LINK_FRACTION;
        Self {
            state: Mutex::default(),
            pacer: Mutex::new(OutputPacer::new(rate)),
            changed: watch::Sender::new(()),
            members_changed: Notify::new(),
        }
    }

    /// Records that an instance has joined, left or changed its readiness.
    pub fn notify_members(&self) {
        self.members_changed.notify_one();
    }

    /// Returns a receiver that is notified when a table has changed.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns the frames by which a peer of the leader in `term` reaches the newest versions, and
    /// records that it has them. Returns `None` if it has them already, or if the tables were not
    /// filled in this term yet.
    pub fn take_pending(&self, term: u64, sent: &mut SentVersions) -> Option<PendingUpdate> {
        let frames = {
            let mut state = self.state.lock();
            if state.term != term {
                return None;
            }
            state.frames_after(sent)
        };
        if frames.is_empty() {
            return None;
        }
        let bytes = frames.iter().map(EncodedFrame::size).sum();
        let wait = self.pacer.lock().reserve(bytes, Time::now());
        Some(PendingUpdate { frames, send_at: Instant::now() + wait })
    }

    /// Replaces the content of both tables in `term`. Adapters of an endpoint alone count as a change
    /// only if `include_adapters` is set.
    pub fn replace(
        &self,
        term: u64,
        members: &[Member],
        endpoints: Vec<EndpointFrame>,
        include_adapters: bool,
    ) {
        let mut state = self.state.lock();
        let members = members.iter().map(|member| (member.instance.clone(), member.clone()));
        let members_changed = state.members.replace(members, |old, new| old != new);
        let endpoints = endpoints.into_iter().map(|frame| (frame.id.as_str().into(), frame));
        let differs = |old: &EndpointFrame, new: &EndpointFrame| old.differs(new, include_adapters);
        let endpoints_changed = state.endpoints.replace(endpoints, differs);
        let is_new_term = std::mem::replace(&mut state.term, term) != term;
        if members_changed || endpoints_changed || is_new_term {
            state.encoded.clear();
            drop(state);
            self.changed.send_replace(());
        }
    }
}

impl State {
    fn frames_after(&mut self, sent: &mut SentVersions) -> Vec<EncodedFrame> {
        let (members, endpoints) = (sent.members, sent.endpoints);
        sent.members = Some(self.members.version());
        sent.endpoints = Some(self.endpoints.version());
        let encoded = &mut self.encoded;
        let endpoints = encode_once(encoded, Table::Endpoints, &self.endpoints, endpoints, |it| {
            Content::Endpoints(EndpointsFrame::from(it))
        });
        let members = encode_once(encoded, Table::Members, &self.members, members, |it| {
            Content::Members(MembersFrame::from(it))
        });
        endpoints.into_iter().chain(members).collect()
    }
}

/// Returns the frame with the changes of a table after `version`; `None` if there are none.
fn encode_once<V: Clone>(
    encoded: &mut HashMap<(Table, Option<Version>), EncodedFrame>,
    table: Table,
    values: &VersionedTable<V>,
    version: Option<Version>,
    to_content: impl FnOnce(Changes<V>) -> Content,
) -> Option<EncodedFrame> {
    if let Some(frame) = encoded.get(&(table, version)) {
        return Some(frame.clone());
    }
    let frame = EncodedFrame::from(to_content(values.changes_after(version)?));
    encoded.insert((table, version), frame.clone());
    Some(frame)
}

impl Gateway {
    /// Returns the members: the instances that are ready, as far as this leader knows.
    fn collect_members(&self) -> Vec<Member> {
        let mut linked = self.peers.linked_instances();
        linked.push(LinkedInstance { member: self.own_member(), ready: self.is_ready() });
        let now = Time::now();
        let (former, led_for) = self.leadership.lock().succession(now);
        let known = self.members.load();
        let mut members = current_members(&linked, &known.list, former.as_deref(), led_for);
        let peak_rate = self.scheduler.lock().peak_request_rate(now);
        let leader = &self.settings.instance;
        name_members(&mut members, &known.list, peak_rate, leader, led_for);
        members
    }

    /// Sends the members and the endpoints that have changed to all peers.
    fn send_updates(&self) {
        let now = Time::now();
        let endpoints: Vec<EndpointFrame> = {
            let scheduler = self.scheduler.lock();
            let all = scheduler.endpoints().map(|endpoint| endpoint.snapshot(now));
            all.map(|entry| EndpointFrame::from(&entry)).collect()
        };
        let members = self.collect_members();
        let include_adapters = self.peers.count() <= MAX_ADAPTER_PEERS;
        let term = self.leadership.lock().term();
        self.updates.replace(term, &members, endpoints, include_adapters);
        if self.members.load().list != members {
            let named = members.iter().filter(|member| member.named).count();
            log::info!("event=members_changed count={} named={named}", members.len());
            self.members.store(Arc::new(Members { list: members }));
        }
    }
}

/// Sends changes to the peers while this instance leads: periodically, and soon after the members
/// have changed. A leader that has just started first reads the endpoints: an empty table would
/// replace what its peers know.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        let _ = timeout(ROUND_INTERVAL, gateway.updates.members_changed.notified()).await;
        sleep(COLLECT_TIME_PER_PEER * gateway.peers.count() as u32).await;
        if gateway.leads() && gateway.registry.is_initialized() {
            gateway.send_updates();
        }
    }
}
