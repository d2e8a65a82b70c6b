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
        pacing::{OutputPacer, PeerPacer},
        table_digest::{Parts, TableDigest},
        versioned::{Version, VersionedTable},
    },
};

/// Interval at which the endpoints and the members are compared with what the peers were sent.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Time for each peer over which changes are collected before they are sent.
const COLLECT_TIME_PER_PEER: Duration = Duration::from_millis(1);

/// Fraction of the rate of the network link that updates may use. The rest is for requests, grants
/// and calls to the store.
const LINK_FRACTION: f64 = 0.4;

/// Fraction of the rate of the network link for the operators' records of instances that join. An instance
/// cannot serve callers without these records, so they do not wait for the tables.
const OPERATOR_LINK_FRACTION: f64 = 0.3;

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
#[derive(Clone, Debug, Default)]
pub struct SentVersions {
    members: Option<Version>,
    endpoints: Option<Version>,
    /// Digest of the endpoints that the peer knew when it joined, until it is sent the differences.
    known_endpoints: Option<TableDigest>,
    /// Whether the peer reads deflated frames.
    deflate: bool,
}

impl SentVersions {
    /// Returns what a peer has that joins with these digests of its endpoints.
    pub fn of_joining(digests: Vec<u64>, deflate: bool) -> Self {
        Self { known_endpoints: TableDigest::from_parts(digests), deflate, ..Self::default() }
    }
}

/// What a peer has of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Base {
    /// Nothing.
    Nothing,
    /// The table of this version.
    Version(Version),
    /// All but these parts of the newest version.
    AllBut(Parts),
}

impl From<Option<Version>> for Base {
    fn from(version: Option<Version>) -> Self {
        version.map_or(Self::Nothing, Self::Version)
    }
}

/// A frame that leads from what a peer has to the newest version of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Step {
    table: Table,
    base: Base,
    deflate: bool,
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
    /// Whether changes of an endpoint's adapters alone are sent, which the digests do not cover.
    include_adapters: bool,
    /// Digest of the endpoints' newest version; `None` until a peer needs it.
    digest: Option<TableDigest>,
    /// Frames that lead to the newest version. Most peers have the same version, so each frame is
    /// encoded once for all of them.
    encoded: HashMap<Step, EncodedFrame>,
}

/// The tables that a leader sends to its peers.
pub struct Updates {
    state: Mutex<State>,
    pacer: Mutex<OutputPacer>,
    /// Pacer of the operators' records.
    operator_pacer: Mutex<PeerPacer>,
    /// Notifies the writers of the links that a table has changed.
    changed: watch::Sender<()>,
    /// Notified when an instance has joined, left or changed its readiness.
    members_changed: Notify,
}

impl Updates {
    /// Creates empty tables for an instance with a network link of `link_mbps` megabits a second.
    pub fn new(link_mbps: f64) -> Self {
        let rate = |fraction| OutputPacer::link_rate(link_mbps, fraction);
        Self {
            state: Mutex::default(),
            pacer: Mutex::new(OutputPacer::new(rate(LINK_FRACTION))),
            operator_pacer: Mutex::new(PeerPacer::new(rate(OPERATOR_LINK_FRACTION))),
            changed: watch::Sender::new(()),
            members_changed: Notify::new(),
        }
    }

    /// Reserves output for the operators' records of a peer, and returns how long to wait before they
    /// are sent; `None` while output is reserved for it already.
    pub fn reserve_operator(&self, peer: &str, bytes: usize) -> Option<Duration> {
        self.operator_pacer.lock().reserve(peer, bytes, Time::now())
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
        let bytes: usize = frames.iter().map(EncodedFrame::size).sum();
        metrics::counter!("cardamomshore_update_bytes_total").increment(bytes as u64);
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
        state.include_adapters = include_adapters;
        if members_changed || endpoints_changed || is_new_term {
            state.encoded.clear();
            state.digest = None;
            drop(state);
            self.changed.send_replace(());
        }
    }
}

impl State {
    fn frames_after(&mut self, sent: &mut SentVersions) -> Vec<EncodedFrame> {
        let known = sent.known_endpoints.take().filter(|_| !self.include_adapters);
        let endpoints_base = match known {
            Some(known) => Base::AllBut(self.digest().differing(&known)),
            None => sent.endpoints.into(),
        };
        let (members_base, deflate) = (sent.members.into(), sent.deflate);
        sent.members = Some(self.members.version());
        sent.endpoints = Some(self.endpoints.version());
        let steps = [(Table::Endpoints, endpoints_base), (Table::Members, members_base)];
        let steps = steps.map(|(table, base)| Step { table, base, deflate });
        steps.into_iter().filter_map(|step| self.encode_once(step)).collect()
    }

    /// Returns the digest of the endpoints.
    fn digest(&mut self) -> &TableDigest {
        let endpoints = &self.endpoints;
        self.digest.get_or_insert_with(|| {
            TableDigest::new(endpoints.values().map(|frame| (&frame.id, frame.encode_known())))
        })
    }

    /// Returns the frame of a step; `None` if the peer has the newest version.
    fn encode_once(&mut self, step: Step) -> Option<EncodedFrame> {
        if let Some(frame) = self.encoded.get(&step) {
            return Some(frame.clone());
        }
        let content = match step.table {
            Table::Endpoints => Content::Endpoints(self.endpoints_after(step.base)?),
            Table::Members => {
                let version = match step.base {
                    Base::Version(version) => Some(version),
                    Base::Nothing | Base::AllBut(_) => None,
                };
                Content::Members(MembersFrame::from(self.members.changes_after(version)?))
            }
        };
        let frame = EncodedFrame::from(content);
        let frame = if step.deflate { frame.deflated() } else { frame };
        log::debug!("event=update_encoded base={:?} bytes={}", step.base, frame.size());
        self.encoded.insert(step, frame.clone());
        Some(frame)
    }

    fn endpoints_after(&self, base: Base) -> Option<EndpointsFrame> {
        let version = match base {
            // The frame is sent even if no part differs: the peer learns that it has the newest table.
            Base::AllBut(parts) => {
                return Some(EndpointsFrame::with_parts(&parts, self.endpoints.values()));
            }
            Base::Version(version) => Some(version),
            Base::Nothing => None,
        };
        self.endpoints.changes_after(version).map(EndpointsFrame::from)
    }
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
