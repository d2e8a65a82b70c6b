//! Which instance leads: a record under a lease in the platform's store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::Gateway;
use crate::{
    clock::Time,
    kernel::candidacy::candidate_wait,
    platform::store::{Event, Item, Put, StoreError, WatchResult, Written},
};

/// Prefix of the system's own keys.
const PREFIX: &str = "cardamomshore/";

/// Record of the leader, which ends with its lease.
const LEADER_KEY: &str = "cardamomshore/leader";

/// Record of the instance that led last, which stays.
const LAST_LEADER_KEY: &str = "cardamomshore/last-leader";

/// Record of the size of the fleet, which stays, so that an instance that starts while there is no
/// leader knows its part of the limits.
const SIZE_KEY: &str = "cardamomshore/size";

/// Length of the leader's lease.
const LEASE_TTL: Duration = Duration::from_millis(1_500);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(350);

/// Longest time for a renewal.
const RENEW_TIMEOUT: Duration = Duration::from_millis(400);

/// Age of the last renewal from which the leader counts as not reaching the store.
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(850);

/// Time by which the holder counts its lease as shorter than the store does.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Longest wait of a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Wait before the store is asked again after an error.
const ERROR_BACKOFF: Duration = Duration::from_millis(300);

/// Time between two looks of a candidate.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time by which orders begin later than the platform demands.
const ORDER_MARGIN: Duration = Duration::from_millis(150);

/// Time between two looks at the size of the fleet.
const SIZE_INTERVAL: Duration = Duration::from_millis(500);

/// Looks after which a smaller size is recorded.
const SHRINK_CHECKS: u32 = 60;

/// The leader as the store names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Name.
    pub instance: Arc<str>,
    /// Address for other instances.
    pub address: SocketAddr,
    /// Number that grows with each leader.
    pub term: u64,
}

#[derive(Serialize, Deserialize)]
struct RawLeader {
    instance: String,
    address: SocketAddr,
}

/// This instance's own leadership.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: u64,
    term: u64,
    /// When the last successful renewal was sent.
    renewed_at: Time,
    /// From when on engines may be given orders.
    orders_from: Time,
}

#[derive(Default)]
struct State {
    leader: Option<Leader>,
    last_leader: Option<Arc<str>>,
    fleet_size: usize,
    /// Revision of the leader's record; zero where there is none.
    revision: u64,
    /// Whether the records were read since the last error.
    synced: bool,
    held: Option<HeldLease>,
}

/// Who leads, and whether this instance does.
#[derive(Default)]
pub struct Leadership {
    state: Mutex<State>,
}

impl Leadership {
    /// Returns the leader that the store named last.
    pub fn leader(&self) -> Option<Leader> {
        self.state.lock().leader.clone()
    }

    /// Returns whether this instance leads, perhaps with a lease that it could not renew.
    pub fn leads(&self) -> bool {
        self.state.lock().held.is_some()
    }

    /// Returns the term of this instance's leadership.
    pub fn term(&self) -> u64 {
        self.state.lock().held.map_or(0, |held| held.term)
    }

    /// Returns whether the lease is surely still held.
    pub fn holds_lease(&self, now: Time) -> bool {
        self.state.lock().held.is_some_and(|held| held.is_valid(now))
    }

    /// Returns whether this instance leads and has not reached the store lately.
    pub fn is_store_lost(&self, now: Time) -> bool {
        self.state.lock().held.is_some_and(|held| now.since(held.renewed_at) > MAX_RENEWAL_AGE)
    }

    /// Returns whether engines may be given orders.
    pub fn may_order(&self, now: Time) -> bool {
        let held = self.state.lock().held;
        held.is_some_and(|held| held.is_valid(now) && now >= held.orders_from)
    }

    /// Returns the recorded size of the fleet; zero where none is known.
    pub fn fleet_size(&self) -> usize {
        self.state.lock().fleet_size
    }

    fn apply_record(&self, item: Option<&Item>, own: &str) {
        let leader = item.and_then(|item| {
            let raw: RawLeader = serde_json::from_slice(&item.value).ok()?;
            let term = item.revision;
            Some(Leader { instance: raw.instance.into(), address: raw.address, term })
        });
        let mut state = self.state.lock();
        if state.leader != leader {
            let name = leader.as_ref().map_or("none", |leader| &*leader.instance);
            let term = leader.as_ref().map_or(0, |leader| leader.term);
            log::info!("event=leader_known leader={name} term={term}");
        }
        let other = leader.as_ref().is_some_and(|leader| &*leader.instance != own);
        if let Some(held) = state.held
            && other
        {
            log::warn!("event=leadership_lost term={} reason=another", held.term);
            state.held = None;
        }
        state.leader = leader;
        state.revision = item.map_or(0, |item| item.revision);
    }

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
    fn is_valid(&self, now: Time) -> bool {
        now.since(self.renewed_at) + LEASE_MARGIN < LEASE_TTL
    }
}

/// Follows the records of the leader.
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

async fn follow_records(gateway: &Gateway) -> Result<(), StoreError> {
    let own = &*gateway.settings.instance;
    let page = gateway.store.range(PREFIX).await?;
    let find = |key: &str| page.items.iter().find(|item| item.key == key);
    gateway.leadership.apply_record(find(LEADER_KEY), own);
    {
        let mut state = gateway.leadership.state.lock();
        state.last_leader = find(LAST_LEADER_KEY).map(parse_last_leader);
        state.fleet_size = find(SIZE_KEY).map_or(0, parse_fleet_size);
        state.synced = true;
    }
    let mut revision = page.revision;
    while gateway.watches_store() {
        match gateway.store.watch(PREFIX, revision, WATCH_TIMEOUT).await? {
            WatchResult::Missed => return Ok(()),
            WatchResult::Events(events, at) => {
                events.iter().for_each(|event| apply_event(gateway, event));
                revision = at.max(revision);
            }
        }
    }
    Ok(())
}

fn parse_last_leader(item: &Item) -> Arc<str> {
    String::from_utf8_lossy(&item.value).as_ref().into()
}

fn parse_fleet_size(item: &Item) -> usize {
    String::from_utf8_lossy(&item.value).parse().unwrap_or_else(|err| {
        log::warn!("event=size_unreadable reason={err}");
        0
    })
}

fn apply_event(gateway: &Gateway, event: &Event) {
    let own = &*gateway.settings.instance;
    match event {
        Event::Put(item) if item.key == LEADER_KEY => {
            gateway.leadership.apply_record(Some(item), own);
        }
        Event::Put(item) if item.key == LAST_LEADER_KEY => {
            gateway.leadership.state.lock().last_leader = Some(parse_last_leader(item));
        }
        Event::Put(item) if item.key == SIZE_KEY => {
            gateway.leadership.state.lock().fleet_size = parse_fleet_size(item);
        }
        Event::Removed(key) if key == LEADER_KEY => gateway.leadership.apply_record(None, own),
        Event::Put(_) | Event::Removed(_) => {}
    }
}

/// What the campaign does next.
enum Step {
    Renew(HeldLease),
    /// Write the record of the leader, which has this revision.
    Acquire(u64),
    Wait,
}

/// Renews the own lease, or stands for leader where there is none.
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

fn next_step(gateway: &Gateway) -> Step {
    let now = Time::now();
    let state = gateway.leadership.state.lock();
    match &state.held {
        Some(held) if now.since(held.renewed_at) >= RENEW_INTERVAL => Step::Renew(*held),
        Some(_) => Step::Wait,
        None if gateway.shutdown.has_begun() => Step::Wait,
        None if !state.synced => Step::Wait,
        // A record of this instance that it does not hold is from before its restart.
        None => match &state.leader {
            Some(leader) if !gateway.is_self(&leader.instance) => Step::Wait,
            _ => Step::Acquire(state.revision),
        },
    }
}

async fn renew(gateway: &Gateway, held: HeldLease) {
    let sent = Time::now();
    let renewed = timeout(RENEW_TIMEOUT, gateway.store.renew(held.lease)).await;
    match renewed.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".to_owned()))) {
        Ok(true) => {
            let mut state = gateway.leadership.state.lock();
            if let Some(now) = state.held.as_mut().filter(|now| now.lease == held.lease) {
                now.renewed_at = sent;
            }
        }
        Ok(false) => gateway.leadership.step_down("lapsed"),
        Err(err) => {
            log::info!("event=lease_not_renewed term={} reason={err}", held.term);
        }
    }
}

async fn acquire(gateway: &Gateway) {
    let (weakness, age) = (gateway.settings.resources.shortfall(), gateway.uptime());
    sleep(candidate_wait(weakness, age, rand::random())).await;
    let Step::Acquire(revision) = next_step(gateway) else { return };
    if let Err(err) = try_acquire(gateway, revision).await {
        log::info!("event=candidacy_failed reason={err}");
        sleep(ERROR_BACKOFF).await;
    }
}

async fn try_acquire(gateway: &Gateway, revision: u64) -> Result<(), StoreError> {
    let settings = &gateway.settings;
    let sent = Time::now();
    let lease = gateway.store.grant(LEASE_TTL).await?;
    let raw = RawLeader { instance: settings.instance.to_string(), address: settings.peer };
    let value = serde_json::to_vec(&raw).unwrap_or_default();
    let puts = [
        Put { key: LEADER_KEY, value: &value, lease },
        Put { key: LAST_LEADER_KEY, value: settings.instance.as_bytes(), lease: 0 },
    ];
    match gateway.store.put_if(LEADER_KEY, revision, &puts).await? {
        Written::Done(term) => {
            let now = Time::now();
            let mut state = gateway.leadership.state.lock();
            // Orders of one machine are orders of one holder, and the first leader follows nobody.
            let alone = state.last_leader.as_ref().is_none_or(|last| *last == settings.instance);
            let wait = if alone { Duration::ZERO } else { settings.order_gap + ORDER_MARGIN };
            state.held = Some(HeldLease { lease, term, renewed_at: sent, orders_from: now + wait });
            state.leader =
                Some(Leader { instance: settings.instance.clone(), address: settings.peer, term });
            state.revision = term;
            state.last_leader = Some(settings.instance.clone());
            log::info!("event=leading term={term} orders_in_ms={}", wait.as_millis());
        }
        Written::Conflict | Written::NoLease => {
            log::info!("event=candidacy_lost");
            // The watch brings the record of the one that won.
            sleep(ERROR_BACKOFF).await;
        }
    }
    Ok(())
}

/// Gives the leadership up, so that another instance can lead at once.
pub async fn resign(gateway: &Gateway) {
    let held = gateway.leadership.state.lock().held.take();
    let Some(held) = held else { return };
    match gateway.store.revoke(held.lease).await {
        Ok(()) => log::info!("event=resigned term={}", held.term),
        Err(err) => log::warn!("event=resign_failed term={} reason={err}", held.term),
    }
}

/// Records the size of the fleet where it has grown, or has shrunk for long.
pub async fn record_fleet_size(gateway: Arc<Gateway>) {
    let mut smaller = 0;
    loop {
        sleep(SIZE_INTERVAL).await;
        let (seen, recorded) = (gateway.members.load().list.len(), gateway.leadership.fleet_size());
        smaller = if seen < recorded { smaller + 1 } else { 0 };
        let changed = seen > recorded || smaller >= SHRINK_CHECKS;
        if !gateway.leadership.holds_lease(Time::now()) || !changed || seen == 0 {
            continue;
        }
        let value = seen.to_string();
        let put = Put { key: SIZE_KEY, value: value.as_bytes(), lease: 0 };
        let revision = gateway.leadership.state.lock().revision;
        match gateway.store.put_if(LEADER_KEY, revision, &[put]).await {
            Ok(Written::Done(_)) => gateway.leadership.state.lock().fleet_size = seen,
            Ok(written) => log::info!("event=size_not_recorded size={seen} answer={written:?}"),
            Err(err) => log::info!("event=size_not_recorded size={seen} reason={err}"),
        }
    }
}
