//! Elects the leader: the instance that holds the lease of a record in the platform's store.
//!
//! The leader grants all instances' requests and gives orders to engines. Its term is the revision
//! of its record, so it grows with each leader.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use super::{
    Gateway,
    messages::{Announcement, Content, EncodedFrame, FrameCodec},
};
use crate::{
    clock::Time,
    http::pool::connect,
    kernel::{candidacy::candidate_wait, membership::weakness},
    platform::store::{Event, Item, Put, PutResult, StoreError, WatchResult},
};

/// Prefix of the keys that belong to this system.
const PREFIX: &str = "cardamomshore/";

/// Key of the record that names the leader. The record ends with the leader's lease.
const LEADER_KEY: &str = "cardamomshore/leader";

/// Key of the record that names the instance which led last. The record has no lease.
const LAST_LEADER_KEY: &str = "cardamomshore/last-leader";

/// Key of the record of the number of instances. It has no lease, so that an instance that starts
/// while there is no leader knows its share of the limits.
const SIZE_KEY: &str = "cardamomshore/size";

/// TTL of the leader's lease.
const LEASE_TTL: Duration = Duration::from_millis(1_500);

/// Interval of the lease's renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(350);

/// Timeout of one renewal.
const RENEW_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which an instance that has read the leader's record expects a link to the leader before
/// it watches the record.
const JOIN_WAIT: Duration = Duration::from_millis(600);

/// Timeout of the announcement of this leader to one instance.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Announcements that are sent at once.
const CONCURRENT_ANNOUNCEMENTS: usize = 16;

/// Time before the end of the lease in the store at which the leader stops relying on it.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Longest wait of one watch call to the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Wait before the store is called again after an error.
const ERROR_BACKOFF: Duration = Duration::from_millis(300);

/// Interval at which an instance checks whether to watch the records, and whether to renew or
/// acquire the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time beyond the platform's `order_gap` for which a new leader delays its first order.
const ORDER_MARGIN: Duration = Duration::from_millis(150);

/// Interval at which the number of instances is compared with the recorded one.
const SIZE_INTERVAL: Duration = Duration::from_millis(500);

/// Consecutive checks that must see fewer instances before the smaller number is recorded.
const SHRINK_CHECKS: u32 = 60;

/// The leader that the store names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Address at which the leader accepts links of other instances.
    pub address: SocketAddr,
    /// Revision of the leader's record, which grows with each leader.
    pub term: u64,
}

/// The value of the leader's record.
#[derive(Serialize, Deserialize)]
struct RawLeader {
    instance: String,
    address: SocketAddr,
}

/// The lease by which this instance leads.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    /// Number of the lease in the store.
    lease: u64,
    term: u64,
    /// When the last successful renewal was sent; the lease lasts at least [`LEASE_TTL`] from then
    /// on.
    renewed_at: Time,
    /// When this leader may give its first order to an engine.
    orders_from: Time,
    /// When this instance was elected.
    elected_at: Time,
}

/// What is known of the records in the store, and the lease of this instance.
#[derive(Default)]
struct State {
    leader: Option<Leader>,
    /// Latest term of a leader that this instance has known.
    latest_term: u64,
    /// Name of the instance that led last.
    last_leader: Option<Arc<str>>,
    /// Name of the instance that led before this one, while this instance leads.
    former_leader: Option<Arc<str>>,
    /// Recorded number of instances; zero where none is known.
    fleet_size: usize,
    /// Revision of the leader's record; zero if there is none.
    revision: u64,
    /// Whether the records have been read since the last error.
    synced: bool,
    /// Lease of this instance; `None` if it does not lead.
    held: Option<HeldLease>,
}

impl State {
    /// Sets the leader. Another leader ends this instance's leadership.
    fn set_leader(&mut self, leader: Option<Leader>, own_name: &str) {
        let name = leader.as_ref().map(|leader| &*leader.instance);
        let term = leader.as_ref().map_or(0, |leader| leader.term);
        if self.leader != leader {
            log::info!("event=leader_known leader={} term={term}", name.unwrap_or("none"));
        }
        if let Some(held) = self.held
            && name.is_some_and(|name| name != own_name)
        {
            log::warn!("event=leadership_lost term={} reason=another", held.term);
            self.held = None;
        }
        self.latest_term = self.latest_term.max(term);
        self.leader = leader;
    }
}

/// The leader that this instance knows, and this instance's own lease while it leads.
#[derive(Default)]
pub struct Leadership {
    state: Mutex<State>,
}

impl Leadership {
    /// Returns the leader that the store named last.
    pub fn leader(&self) -> Option<Leader> {
        self.state.lock().leader.clone()
    }

    /// Returns whether this instance leads. Its lease may have ended if the store cannot be
    /// reached.
    pub fn leads(&self) -> bool {
        self.state.lock().held.is_some()
    }

    /// Returns the term of this instance as leader; zero if it does not lead.
    pub fn term(&self) -> u64 {
        self.state.lock().held.map_or(0, |held| held.term)
    }

    /// Returns whether this instance leads and certainly still has the lease.
    pub fn holds_lease(&self, now: Time) -> bool {
        self.state.lock().held.is_some_and(|held| held.is_valid(now))
    }

    /// Returns whether this instance leads and may give orders to engines.
    pub fn may_order(&self, now: Time) -> bool {
        let held = self.state.lock().held;
        held.is_some_and(|held| held.is_valid(now) && now >= held.orders_from)
    }

    /// Returns the name of the instance that led before this one, if it is known, and the time since
    /// this instance was elected.
    pub fn succession(&self, now: Time) -> (Option<Arc<str>>, Duration) {
        let state = self.state.lock();
        let led_for = state.held.map_or(Duration::ZERO, |held| now.since(held.elected_at));
        (state.former_leader.clone(), led_for)
    }

    /// Returns the recorded number of instances; zero where none is known.
    pub fn fleet_size(&self) -> usize {
        self.state.lock().fleet_size
    }

    /// Applies the leader's record; `None` if there is none. A record of another instance ends this
    /// instance's leadership.
    fn apply_record(&self, item: Option<&Item>, own_name: &str) {
        let leader = item.and_then(|item| {
            let record: RawLeader = serde_json::from_slice(&item.value).ok()?;
            let term = item.revision;
            Some(Leader { instance: record.instance.into(), address: record.address, term })
        });
        let mut state = self.state.lock();
        state.set_leader(leader, own_name);
        state.revision = item.map_or(0, |item| item.revision);
    }

    /// Applies the announcement of a new leader, unless this instance knows a later one.
    fn apply_announcement(&self, leader: Leader, own_name: &str) {
        let mut state = self.state.lock();
        if leader.term > state.latest_term {
            state.set_leader(Some(leader), own_name);
        }
    }

    /// Ends this instance's leadership for the given reason.
    fn step_down(&self, reason: &str) {
        let mut state = self.state.lock();
        if let Some(held) = state.held.take() {
            log::warn!("event=leadership_lost term={} reason={reason}", held.term);
            state.leader = None;
            state.revision = 0;
        }
    }
}

impl HeldLease {
    /// Returns whether the store still holds the lease at `now`, with [`LEASE_MARGIN`] to spare.
    fn is_valid(&self, now: Time) -> bool {
        now.since(self.renewed_at) + LEASE_MARGIN < LEASE_TTL
    }
}

/// Follows the leader's records in the store while this instance must watch them.
pub async fn watch(gateway: Arc<Gateway>) {
    loop {
        if gateway.watches_store() {
            if let Err(err) = follow_records(&gateway).await {
                log::debug!("event=leader_watch_ended reason={err}");
                sleep(ERROR_BACKOFF.mul_f64(rand::random_range(0.5..1.5))).await;
            }
            gateway.leadership.state.lock().synced = false;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads the records, then watches their changes; fails on the first error of the store.
async fn follow_records(gateway: &Gateway) -> Result<(), StoreError> {
    let own_name = &*gateway.settings.instance;
    let page = gateway.store.range(PREFIX).await?;
    let find = |key: &str| page.items.iter().find(|item| item.key == key);
    gateway.leadership.apply_record(find(LEADER_KEY), own_name);
    {
        let mut state = gateway.leadership.state.lock();
        state.last_leader = find(LAST_LEADER_KEY).map(parse_last_leader);
        state.fleet_size = find(SIZE_KEY).map_or(0, parse_fleet_size);
        state.synced = true;
    }
    wait_for_link(gateway).await;
    let mut revision = page.revision;
    while gateway.watches_store() {
        match gateway.store.watch(PREFIX, revision, WATCH_TIMEOUT).await? {
            WatchResult::Missed => return Ok(()),
            WatchResult::Events(events, newest) => {
                events.iter().for_each(|event| apply_event(gateway, event));
                revision = newest.max(revision);
            }
        }
    }
    Ok(())
}

/// Waits for the link to the leader that was read from the store, if this instance has none. The
/// leader may have ended, so the wait is limited.
async fn wait_for_link(gateway: &Gateway) {
    let read_at = Time::now();
    let has_other_leader = || {
        let leader = gateway.leadership.leader();
        leader.is_some_and(|leader| !gateway.is_self(&leader.instance))
    };
    while Time::now().since(read_at) < JOIN_WAIT && has_other_leader() && !gateway.uplink.is_open()
    {
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the name in the record of the last leader.
fn parse_last_leader(item: &Item) -> Arc<str> {
    String::from_utf8_lossy(&item.value).as_ref().into()
}

/// Returns the number of instances in its record; zero if it cannot be parsed.
fn parse_fleet_size(item: &Item) -> usize {
    String::from_utf8_lossy(&item.value).parse().unwrap_or_else(|err| {
        log::warn!("event=size_unreadable reason={err}");
        0
    })
}

/// Applies a change of one of the records.
fn apply_event(gateway: &Gateway, event: &Event) {
    let own_name = &*gateway.settings.instance;
    match event {
        Event::Put(item) if item.key == LEADER_KEY => {
            gateway.leadership.apply_record(Some(item), own_name);
        }
        Event::Put(item) if item.key == LAST_LEADER_KEY => {
            gateway.leadership.state.lock().last_leader = Some(parse_last_leader(item));
        }
        Event::Put(item) if item.key == SIZE_KEY => {
            gateway.leadership.state.lock().fleet_size = parse_fleet_size(item);
        }
        Event::Removed(key) if key == LEADER_KEY => gateway.leadership.apply_record(None, own_name),
        Event::Put(_) | Event::Removed(_) => {}
    }
}

/// The next step of [`maintain_lease`].
enum Step {
    /// Renew this lease.
    Renew(HeldLease),
    /// Write the leader's record in place of the one with this revision; zero if there is none.
    Acquire(u64),
    /// Do nothing.
    Wait,
}

/// Renews the lease of this instance, or tries to acquire it while no other instance leads.
pub async fn maintain_lease(gateway: Arc<Gateway>) {
    loop {
        match next_step(&gateway) {
            Step::Renew(held) => renew(&gateway, held).await,
            Step::Acquire(_) => acquire(&gateway).await,
            Step::Wait => {}
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Decides what to do with the lease now.
fn next_step(gateway: &Gateway) -> Step {
    let now = Time::now();
    let state = gateway.leadership.state.lock();
    match &state.held {
        Some(held) if now.since(held.renewed_at) >= RENEW_INTERVAL => Step::Renew(*held),
        Some(_) => Step::Wait,
        None if gateway.shutdown.has_begun() => Step::Wait,
        None if !state.synced => Step::Wait,
        // If the record names this instance, which holds no lease, it was written before a restart.
        None => match &state.leader {
            Some(leader) if !gateway.is_self(&leader.instance) => Step::Wait,
            _ => Step::Acquire(state.revision),
        },
    }
}

/// Renews the lease; steps down if the lease no longer exists in the store.
async fn renew(gateway: &Gateway, held: HeldLease) {
    let sent_at = Time::now();
    let result = timeout(RENEW_TIMEOUT, gateway.store.renew(held.lease)).await;
    match result.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".to_owned()))) {
        Ok(true) => {
            let mut state = gateway.leadership.state.lock();
            if let Some(current) = state.held.as_mut().filter(|current| current.lease == held.lease)
            {
                current.renewed_at = sent_at;
            }
        }
        Ok(false) => gateway.leadership.step_down("lapsed"),
        Err(err) => {
            log::info!("event=lease_not_renewed term={} reason={err}", held.term);
        }
    }
}

/// Waits as long as [`candidate_wait`] says, then tries to become leader if there still is none.
async fn acquire(gateway: &Arc<Gateway>) {
    let weakness = weakness(gateway.settings.resources.strength(), &gateway.members.load().list);
    sleep(candidate_wait(weakness, gateway.uptime(), rand::random())).await;
    let Step::Acquire(revision) = next_step(gateway) else { return };
    if let Err(err) = try_acquire(gateway, revision).await {
        log::info!("event=candidacy_failed reason={err}");
        sleep(ERROR_BACKOFF).await;
    }
}

/// Writes the leader's record under a new lease, unless another instance has written it first.
async fn try_acquire(gateway: &Arc<Gateway>, revision: u64) -> Result<(), StoreError> {
    let settings = &gateway.settings;
    let sent_at = Time::now();
    let lease = gateway.store.grant(LEASE_TTL).await?;
    let record = RawLeader { instance: settings.instance.to_string(), address: settings.peer };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let puts = [
        Put { key: LEADER_KEY, value: &value, lease },
        Put { key: LAST_LEADER_KEY, value: settings.instance.as_bytes(), lease: 0 },
    ];
    match gateway.store.put_if(LEADER_KEY, revision, &puts).await? {
        PutResult::Done(term) => {
            let now = Time::now();
            let mut state = gateway.leadership.state.lock();
            // The platform demands a gap only between orders of different leaders. The first
            // leader, and one that led last itself, need not wait.
            let led_last = state.last_leader.as_ref().is_none_or(|last| *last == settings.instance);
            let delay = if led_last { Duration::ZERO } else { settings.order_gap + ORDER_MARGIN };
            let orders_from = now + delay;
            state.former_leader = state.last_leader.take();
            state.held =
                Some(HeldLease { lease, term, renewed_at: sent_at, orders_from, elected_at: now });
            state.leader =
                Some(Leader { instance: settings.instance.clone(), address: settings.peer, term });
            state.revision = term;
            state.latest_term = term;
            state.last_leader = Some(settings.instance.clone());
            drop(state);
            tokio::spawn(announce(gateway.clone(), term));
            log::info!("event=leading term={term} orders_in_ms={}", delay.as_millis());
        }
        PutResult::Conflict | PutResult::NoLease => {
            log::info!("event=candidacy_lost");
            // The watch delivers the record of the instance that wrote it first.
            sleep(ERROR_BACKOFF).await;
        }
    }
    Ok(())
}

/// Announces this leader to the members that it knows, which then open their links.
async fn announce(gateway: Arc<Gateway>, term: u64) {
    let members = gateway.members.load_full();
    let others = members.list.iter().filter(|member| !gateway.is_self(&member.instance));
    let addresses: Vec<SocketAddr> = others.map(|member| member.peer).collect();
    let announcement = Announcement {
        instance: gateway.settings.instance.to_string(),
        address: gateway.settings.peer.to_string(),
        term,
    };
    let frame = EncodedFrame::from(Content::Announcement(announcement));
    let sends = addresses.into_iter().map(|address| send_frame(address, frame.clone()));
    let sends = futures_util::stream::iter(sends).buffer_unordered(CONCURRENT_ANNOUNCEMENTS);
    sends.for_each(|()| async {}).await;
}

/// Sends a frame to an instance on a connection of its own. An instance that cannot be reached finds
/// the leader in the store.
async fn send_frame(address: SocketAddr, frame: EncodedFrame) {
    let send = async {
        let stream = connect(address, ANNOUNCE_TIMEOUT).await?;
        let mut wire = Framed::new(stream, FrameCodec::default());
        wire.send(frame).await
    };
    if let Ok(Err(err)) = timeout(ANNOUNCE_TIMEOUT, send).await {
        log::debug!("event=announcement_failed address={address} reason={err}");
    }
}

impl Gateway {
    /// Handles the announcement of a new leader.
    pub(super) fn handle_announcement(&self, frame: &Announcement) {
        let Ok(address) = frame.address.parse() else {
            return log::warn!("event=announcement_unreadable leader={}", frame.instance);
        };
        let instance = frame.instance.as_str().into();
        let leader = Leader { instance, address, term: frame.term };
        self.leadership.apply_announcement(leader, &self.settings.instance);
    }
}

/// Revokes the lease of this instance, so that another instance can lead at once.
pub async fn resign(gateway: &Gateway) {
    let held = gateway.leadership.state.lock().held.take();
    let Some(held) = held else { return };
    match gateway.store.revoke(held.lease).await {
        Ok(()) => log::info!("event=resigned term={}", held.term),
        Err(err) => log::warn!("event=resign_failed term={} reason={err}", held.term),
    }
}

/// Records the number of members while this instance leads: when it has grown, or has been smaller
/// for [`SHRINK_CHECKS`] checks.
pub async fn record_fleet_size(gateway: Arc<Gateway>) {
    let mut smaller_checks = 0;
    loop {
        sleep(SIZE_INTERVAL).await;
        let (seen, recorded) = (gateway.members.load().list.len(), gateway.leadership.fleet_size());
        smaller_checks = if seen < recorded { smaller_checks + 1 } else { 0 };
        let changed = seen > recorded || smaller_checks >= SHRINK_CHECKS;
        if !gateway.leadership.holds_lease(Time::now()) || !changed || seen == 0 {
            continue;
        }
        let value = seen.to_string();
        let put = Put { key: SIZE_KEY, value: value.as_bytes(), lease: 0 };
        let revision = gateway.leadership.state.lock().revision;
        match gateway.store.put_if(LEADER_KEY, revision, &[put]).await {
            Ok(PutResult::Done(_)) => gateway.leadership.state.lock().fleet_size = seen,
            Ok(written) => log::info!("event=size_not_recorded size={seen} answer={written:?}"),
            Err(err) => log::info!("event=size_not_recorded size={seen} reason={err}"),
        }
    }
}
