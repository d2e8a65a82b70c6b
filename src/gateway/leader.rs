//! Elects the leader: the instance that holds the lease of a record in the platform's store.
//!
//! The leader grants all instances' requests and gives orders to engines. Its term is the ordinal of the
//! revision of its record, so it grows with each leader.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{SinkExt, StreamExt};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use super::{
    Gateway,
    messages::{Announcement, Content, EncodedFrame, FrameCodec},
    origins::COMPLETE_KEY,
};
use crate::{
    clock::Time,
    http::pool::connect,
    kernel::{
        candidacy::candidate_wait,
        leadership::{HeldLease, LEASE_TTL, LastLeader, Leader, LeaderChange, LeaseStep, StartId},
        membership::{should_hand_over, weakness},
        revision::Revision,
    },
    platform::store::{Event, Item, Put, PutResult, StoreError, WatchResult},
};

/// Prefix of the keys that belong to this system.
pub(super) const PREFIX: &str = "cardamomshore/";

/// Key of the record that names the leader. The record ends with the leader's lease.
pub(super) const LEADER_KEY: &str = "cardamomshore/leader";

/// Key of the record that names the leader which gave the last orders. The record has no lease.
const LAST_LEADER_KEY: &str = "cardamomshore/last-leader";

/// Key of the record of the number of instances. It has no lease, so that an instance that starts
/// while there is no leader knows its share of the limits.
const SIZE_KEY: &str = "cardamomshore/size";

/// Timeout of one renewal, and of other calls that must not delay renewals.
const RENEW_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which an instance that has read the leader's record expects a link to the leader before
/// it watches the record.
const JOIN_WAIT: Duration = Duration::from_millis(600);

/// Timeout of the announcement of this leader to one instance.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Announcements that are sent at once. Those to instances of a data centre that has lost power get no
/// answer until their timeout, and must not delay the others.
const CONCURRENT_ANNOUNCEMENTS: usize = 256;

/// Longest wait of one watch call to the store. A watch whose connection falls silent hides the loss of the
/// leader until then.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait before the store is called again after an error.
const ERROR_BACKOFF: Duration = Duration::from_millis(300);

/// Interval at which an instance checks whether to watch the records, and whether to renew or
/// acquire the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Additional wait of a candidate that is cut off from the engines.
const CUT_OFF_WAIT: Duration = Duration::from_millis(1_000);

/// Time beyond the platform's `order_gap` for which a new leader delays its first order.
const ORDER_MARGIN: Duration = Duration::from_millis(150);

/// Interval at which the number of instances is compared with the recorded one.
const SIZE_INTERVAL: Duration = Duration::from_millis(500);

/// Consecutive checks that must see fewer instances before the smaller number is recorded.
const SHRINK_CHECKS: u32 = 60;

/// The value of the leader's record.
#[derive(Serialize, Deserialize)]
struct RawLeader {
    instance: String,
    /// Start of the leader's process; earlier releases name none.
    #[serde(default)]
    start: Option<u64>,
    address: SocketAddr,
}

impl RawLeader {
    /// Returns the leader of a record; `None` if the record cannot be parsed.
    fn parse(item: &Item) -> Option<Leader> {
        let record: Self = serde_json::from_slice(&item.value)
            .inspect_err(|err| log::warn!("event=leader_unreadable reason={err}"))
            .ok()?;
        let term = item.revision.ordinal();
        Some(Leader {
            instance: record.instance.into(),
            start: record.start.map(StartId),
            address: record.address,
            term,
        })
    }
}

/// The value of the record that names the leader which gave the last orders.
#[derive(Serialize, Deserialize)]
struct RawLastLeader {
    instance: String,
    /// Start of the leader's process; earlier releases name none.
    #[serde(default)]
    start: Option<u64>,
    /// Era of the store in which the record was written.
    era: u64,
}

impl RawLastLeader {
    /// Returns the value of the record that this instance writes in `era`.
    fn encode(gateway: &Gateway, era: u64) -> Vec<u8> {
        let start = Some(gateway.leadership.lock().start().0);
        let record = Self { instance: gateway.settings.instance.to_string(), start, era };
        serde_json::to_vec(&record).unwrap_or_default()
    }

    /// Returns the last leader of a record. An earlier release wrote the name alone.
    fn parse(item: &Item) -> LastLeader {
        match serde_json::from_slice::<Self>(&item.value) {
            Ok(record) => LastLeader {
                instance: record.instance.into(),
                start: record.start.map(StartId),
                is_current: record.era == item.revision.era(),
            },
            Err(_) => LastLeader {
                instance: String::from_utf8_lossy(&item.value).as_ref().into(),
                start: None,
                is_current: false,
            },
        }
    }
}

impl Gateway {
    /// Returns the leader that is known.
    pub(super) fn leader(&self) -> Option<Leader> {
        self.leadership.lock().leader().cloned()
    }

    /// Returns whether this instance leads.
    pub(super) fn leads(&self) -> bool {
        self.leadership.lock().leads()
    }

    /// Applies the leader's record; `None` if there is none.
    fn apply_leader_record(&self, item: Option<&Item>) {
        let change = self.leadership.lock().apply_record(item.and_then(RawLeader::parse));
        self.log_change(change);
    }

    /// Handles the announcement of a new leader.
    pub(super) fn handle_announcement(&self, frame: &Announcement) {
        let Ok(address) = frame.address.parse() else {
            return log::warn!("event=announcement_unreadable leader={}", frame.instance);
        };
        let instance = frame.instance.as_str().into();
        let start = (frame.start > 0).then_some(StartId(frame.start));
        let leader = Leader { instance, start, address, term: frame.term };
        let change = self.leadership.lock().apply_announcement(leader);
        self.log_change(change);
    }

    /// Returns whether this instance leads without reaching the engines and lets another one lead.
    fn should_hand_over(&self) -> bool {
        let Some(cut_off_for) = self.cut_off_for().filter(|_| self.leads()) else { return false };
        let (_, led_for) = self.leadership.lock().succession(Time::now());
        let members = self.members.load();
        should_hand_over(&members.list, &self.settings.instance, cut_off_for, led_for)
    }

    /// Returns the number of instances that may try to become leader together with this one: those that
    /// watch the store, or all if this one has just started, since then others may have as well.
    fn candidate_count(&self) -> usize {
        let is_alone = self.leadership.lock().is_sole_candidate();
        match is_alone || (self.uplink.was_linked() && self.is_watcher()) {
            true => 1,
            false => self.fleet_size(),
        }
    }

    fn log_change(&self, change: LeaderChange) {
        if let Some(term) = change.lost_term {
            log::warn!("event=leadership_lost term={term} reason=another");
        }
        if change.is_new {
            let leader = self.leader();
            let name = leader.as_ref().map_or("none", |leader| &*leader.instance);
            let term = leader.as_ref().map_or(0, |leader| leader.term);
            log::info!("event=leader_known leader={name} term={term}");
        }
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
            gateway.leadership.lock().synced = false;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads the records, then watches their changes; fails on the first error of the store.
async fn follow_records(gateway: &Gateway) -> Result<(), StoreError> {
    let page = gateway.store.range(PREFIX).await?;
    let find = |key: &str| page.items.iter().find(|item| item.key == key);
    gateway.apply_leader_record(find(LEADER_KEY));
    page.items.iter().for_each(|item| gateway.apply_crashes_record(item));
    {
        let mut state = gateway.leadership.lock();
        state.last_leader = find(LAST_LEADER_KEY).map(RawLastLeader::parse);
        let size = find(SIZE_KEY).map_or(0, parse_fleet_size);
        state.apply_fleet_size(size, page.revision.era());
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
/// leader may have ended, so the wait ends when an attempt to open the link fails.
async fn wait_for_link(gateway: &Gateway) {
    let read_at = Time::now();
    let failed_attempts = gateway.uplink.failed_attempts();
    let has_other_leader = || {
        let leader = gateway.leader();
        leader.is_some_and(|leader| !gateway.is_self(&leader.instance))
    };
    while Time::now().since(read_at) < JOIN_WAIT
        && has_other_leader()
        && !gateway.uplink.is_open()
        && gateway.uplink.failed_attempts() == failed_attempts
    {
        sleep(POLL_INTERVAL).await;
    }
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
    match event {
        Event::Put(item) if item.key == LEADER_KEY => gateway.apply_leader_record(Some(item)),
        Event::Put(item) if item.key == LAST_LEADER_KEY => {
            gateway.leadership.lock().last_leader = Some(RawLastLeader::parse(item));
        }
        Event::Put(item) if item.key == SIZE_KEY => {
            let (size, era) = (parse_fleet_size(item), item.revision.era());
            gateway.leadership.lock().apply_fleet_size(size, era);
        }
        Event::Removed(key) if key == LEADER_KEY => gateway.apply_leader_record(None),
        Event::Put(item) => gateway.apply_crashes_record(item),
        Event::Removed(_) => {}
    }
}

/// Renews the lease of this instance, or tries to acquire it while no other instance leads.
pub async fn maintain_lease(gateway: Arc<Gateway>) {
    loop {
        if gateway.should_hand_over() {
            log::warn!("event=handing_over reason=cut_off");
            resign(&gateway).await;
        }
        match next_step(&gateway) {
            LeaseStep::Renew(held) => renew(&gateway, held).await,
            LeaseStep::RecordOrders(held) => record_orders(&gateway, held).await,
            LeaseStep::Acquire(_) => acquire(&gateway).await,
            LeaseStep::Wait => {}
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn next_step(gateway: &Gateway) -> LeaseStep {
    gateway.leadership.lock().next_step(gateway.shutdown.has_begun(), Time::now())
}

/// Renews the lease; steps down if the lease no longer exists in the store.
async fn renew(gateway: &Gateway, held: HeldLease) {
    let sent_at = Time::now();
    let result = timeout(RENEW_TIMEOUT, gateway.store.renew(held.lease)).await;
    match result.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".to_owned()))) {
        Ok(true) => gateway.leadership.lock().renew(held.lease, sent_at),
        Ok(false) => {
            if let Some(term) = gateway.leadership.lock().step_down() {
                log::warn!("event=leadership_lost term={term} reason=lapsed");
            }
        }
        Err(StoreError::Returned) => {
            if let Some(term) = gateway.leadership.lock().step_down_after_return(Time::now()) {
                log::warn!("event=leadership_lost term={term} reason=store_returned");
            }
        }
        Err(err) => {
            log::info!("event=lease_not_renewed term={} reason={err}", held.term);
        }
    }
}

/// Waits as long as [`candidate_wait`] says, then tries to become leader if there still is none.
async fn acquire(gateway: &Arc<Gateway>) {
    let weakness = weakness(gateway.settings.resources.strength(), &gateway.members.load().list);
    if gateway.is_cut_off() {
        // Another instance, which reaches the engines, should lead.
        sleep(CUT_OFF_WAIT).await;
    }
    let candidates = gateway.candidate_count();
    sleep(candidate_wait(weakness, gateway.uptime(), rand::random(), candidates)).await;
    let LeaseStep::Acquire(revision) = next_step(gateway) else { return };
    if let Err(err) = try_acquire(gateway, revision).await {
        log::info!("event=candidacy_failed reason={err}");
        sleep(ERROR_BACKOFF).await;
    }
}

/// Writes the leader's record under a new lease, unless another instance has written it first.
async fn try_acquire(gateway: &Arc<Gateway>, revision: Revision) -> Result<(), StoreError> {
    let settings = &gateway.settings;
    let sent_at = Time::now();
    let lease = gateway.store.grant(LEASE_TTL).await?;
    let start = gateway.leadership.lock().start();
    let instance = settings.instance.to_string();
    let record = RawLeader { instance, start: Some(start.0), address: settings.peer };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let last_leader = RawLastLeader::encode(gateway, lease.era);
    let mut puts = vec![Put { key: LEADER_KEY, value: &value, lease: Some(lease) }];
    let recorded = gateway.leadership.lock().ordered_last(settings.order_gap, Time::now());
    // A leader that must wait names itself only once its wait is over: it may end before.
    if recorded {
        puts.push(Put { key: LAST_LEADER_KEY, value: &last_leader, lease: None });
    }
    let era = lease.era.to_string();
    if gateway.is_first_leader().await {
        puts.push(Put { key: COMPLETE_KEY, value: era.as_bytes(), lease: None });
    }
    match gateway.store.put_if(LEADER_KEY, revision, &puts).await? {
        PutResult::Done(revision) => {
            let (term, now) = (revision.ordinal(), Time::now());
            // The platform demands a gap only between orders of different leaders.
            let delay = if recorded { Duration::ZERO } else { settings.order_gap + ORDER_MARGIN };
            let held = HeldLease {
                lease,
                term,
                renewed_at: sent_at,
                orders_from: now + delay,
                recorded,
                elected_at: now,
            };
            gateway.leadership.lock().elect(held, settings.peer);
            // Peers that join ask for streams that began before this instance started.
            gateway.ensure_origins().await;
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

/// Records that this leader gives orders from now on.
async fn record_orders(gateway: &Gateway, held: HeldLease) {
    let value = RawLastLeader::encode(gateway, held.lease.era);
    let put = Put { key: LAST_LEADER_KEY, value: &value, lease: None };
    let revision = Revision::from_ordinal(held.term);
    let puts = [put];
    let written = timeout(RENEW_TIMEOUT, gateway.store.put_if(LEADER_KEY, revision, &puts)).await;
    match written.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".to_owned()))) {
        Ok(PutResult::Done(_)) => gateway.leadership.lock().set_orders_recorded(held.term),
        Ok(written) => log::info!("event=orders_not_recorded answer={written:?}"),
        Err(err) => log::info!("event=orders_not_recorded reason={err}"),
    }
}

/// Announces this leader to the members that it knows, which then open their links.
async fn announce(gateway: Arc<Gateway>, term: u64) {
    let members = gateway.members.load_full();
    let others = members.list.iter().filter(|member| !gateway.is_self(&member.instance));
    let mut addresses: Vec<SocketAddr> = others.map(|member| member.peer).collect();
    // The members are in the order of their names, so those of one data centre follow each other.
    addresses.shuffle(&mut rand::rng());
    let (instance, address) = (gateway.settings.instance.clone(), gateway.settings.peer);
    let start = Some(gateway.leadership.lock().start());
    let announcement = Announcement::from(&Leader { instance, start, address, term });
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

/// Revokes the lease of this instance, so that another instance can lead at once.
pub async fn resign(gateway: &Gateway) {
    let held = gateway.leadership.lock().resign();
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
        let seen = gateway.members.load().list.len();
        let (recorded, is_lost, revision, holds_lease) = {
            let state = gateway.leadership.lock();
            let holds_lease = state.holds_lease(Time::now());
            (state.fleet_size(), state.is_size_lost(), state.revision(), holds_lease)
        };
        smaller_checks = if seen < recorded { smaller_checks + 1 } else { 0 };
        let is_smaller = smaller_checks >= SHRINK_CHECKS;
        if !holds_lease || seen == 0 || !(seen > recorded || is_smaller || is_lost) {
            continue;
        }
        let size = if is_smaller { seen } else { seen.max(recorded) };
        let value = size.to_string();
        let put = Put { key: SIZE_KEY, value: value.as_bytes(), lease: None };
        match gateway.store.put_if(LEADER_KEY, revision, &[put]).await {
            Ok(PutResult::Done(_)) => gateway.leadership.lock().set_fleet_size(size),
            Ok(written) => log::info!("event=size_not_recorded size={size} answer={written:?}"),
            Err(err) => log::info!("event=size_not_recorded size={size} reason={err}"),
        }
    }
}
