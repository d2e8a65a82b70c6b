//! Holds the table of endpoints, from which the scheduler chooses.
//!
//! The leader reads the endpoints' entries from the store and sends them to the other instances. An
//! instance without a leader reads the store itself.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::time::sleep;

use super::{
    Gateway,
    messages::{Content, EndpointFrame, EndpointsFrame, LeavingFrame},
};
use crate::{
    clock::Time,
    kernel::{
        endpoint_table::{EndpointTable, Presence},
        grants::{EndpointEntry, Heartbeat, Incarnation},
        leadership::Leader,
        record_age::{LoneStep, WATCH_WAIT, lone_step, max_table_age, watch_delay},
        revision::Revision,
        table_digest::{MIN_ENTRIES, TableDigest},
    },
    platform::{
        registration::{ENDPOINT_PREFIX, decode, decode_heartbeat},
        store::{Event, Item, StoreError, WatchResult},
    },
};

/// Interval at which an instance checks whether it must read the store.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Wait before the store is read again after an error.
const ERROR_BACKOFF: Duration = Duration::from_millis(200);

/// Least wait after each watch call, so that the next one returns several changes at once.
const BATCH_DELAY: Duration = Duration::from_millis(40);

/// Wait of the leader after each watch call, as a fraction of the drain time. Endpoints write their
/// entries with each heartbeat, so that each call returns at once and the store gets one call per wait. An
/// endpoint that drains is still known in time.
const LEADER_BATCH_FRACTION: f64 = 0.1;

/// Longest silence of a leader whose table counts as up to date.
const MAX_LEADER_SILENCE: Duration = Duration::from_millis(500);

/// The table of endpoints, as read last from the store or from the leader.
#[derive(Default)]
pub struct Registry {
    table: Mutex<EndpointTable>,
    /// Whether the table was filled at least once.
    initialized: AtomicBool,
    /// Locked while the table is passed to the scheduler, so that an older state does not replace a
    /// newer one there.
    passing: Mutex<()>,
}

impl Registry {
    /// Returns whether the table was filled at least once.
    pub fn is_initialized(&self) -> bool {
        self.initialized.load(Ordering::Acquire)
    }
}

impl Gateway {
    /// Applies the leader's frame about endpoints to the table.
    pub(super) fn handle_endpoints(&self, frame: EndpointsFrame) {
        let (now, parts) = (Time::now(), frame.held_parts());
        let changed = frame.changed.into_iter().filter_map(|frame| frame.into_registration());
        let mut table = self.registry.table.lock();
        let changed = if frame.full || frame.partial {
            let is_sent = |id: &str| frame.full || parts.contains_entry(id);
            table.replace_where(self.leader_era(), is_sent, changed.collect(), now)
        } else {
            let removed = frame.removed.into_iter().filter(|id| table.remove(id, now));
            let mut names: Vec<Arc<str>> = removed.map(Arc::from).collect();
            names.extend(changed.filter_map(|entry| {
                let id = entry.id.clone();
                table.put(entry).then_some(id)
            }));
            names
        };
        drop(table);
        self.apply_entries(&changed);
    }

    /// Returns the digest of the table, by which a new leader sends only what differs; `None` if the
    /// table is small.
    pub(super) fn table_digest(&self) -> Option<TableDigest> {
        let table = self.registry.table.lock();
        let frames = table.entries().map(EndpointFrame::from);
        let is_large = self.registry.is_initialized() && table.len() >= MIN_ENTRIES;
        is_large.then(|| TableDigest::new(frames.map(|it| (it.id.clone(), it.encode_known()))))
    }

    /// Returns the frame that tells a leader of a new era of the store which endpoints leave; `None` if
    /// this instance knows no earlier era, or none leaves.
    pub(super) fn leaving_content(&self, leader: &Leader) -> Option<Content> {
        let table = self.registry.table.lock();
        let era = table.era().filter(|era| *era < Revision::from_ordinal(leader.term).era())?;
        let endpoints: Vec<_> = table.leaving().into_iter().map(Into::into).collect();
        (!endpoints.is_empty()).then(|| Content::Leaving(LeavingFrame { era, endpoints }))
    }

    /// Applies what a peer knew of leaving endpoints before the store returned.
    pub(super) fn merge_leaving(&self, frame: LeavingFrame) {
        let leaving = frame.endpoints.into_iter().map(Into::into).collect();
        self.registry.table.lock().apply_leaving(frame.era, leaving, Time::now());
        self.apply_table();
    }

    /// Returns the era of the store in which the known leader was elected.
    fn leader_era(&self) -> u64 {
        self.leader().map_or(0, |leader| Revision::from_ordinal(leader.term).era())
    }

    /// Passes the table to the scheduler and marks the registry as initialized.
    fn apply_table(&self) {
        let _passing = self.registry.passing.lock();
        let table: Vec<EndpointEntry> = self.registry.table.lock().entries().cloned().collect();
        self.scheduler.lock().set_endpoints(table, Time::now());
        self.registry.initialized.store(true, Ordering::Release);
    }

    /// Passes those entries to the scheduler that have changed, by their names, and marks the registry
    /// as initialized.
    fn apply_entries(&self, changed: &[Arc<str>]) {
        let _passing = self.registry.passing.lock();
        let (mut entries, mut lost) = (Vec::new(), Vec::new());
        {
            let table = self.registry.table.lock();
            for id in changed {
                match table.get(id) {
                    Some(entry) => entries.push(entry.clone()),
                    None => lost.push(id.clone()),
                }
            }
        }
        if !changed.is_empty() {
            self.scheduler.lock().change_endpoints(entries, &lost, Time::now());
        }
        self.registry.initialized.store(true, Ordering::Release);
    }

    /// Returns whether the table is up to date: from a leader that is in contact, or from the store.
    pub(super) fn knows_current_endpoints(&self) -> bool {
        let has_leader = self.uplink.is_open() && self.uplink.frame_age() < MAX_LEADER_SILENCE;
        (has_leader && !self.has_old_table())
            || (self.must_watch_endpoints() && self.store.is_reachable())
    }

    /// Returns what this instance knows of an incarnation of an endpoint.
    pub(super) fn presence(&self, endpoint: &str, incarnation: Incarnation) -> Presence {
        self.registry.table.lock().presence(endpoint, incarnation)
    }

    /// Returns the incarnation of an endpoint; `None` if it has no entry.
    pub(super) fn known_incarnation(&self, endpoint: &str) -> Option<Incarnation> {
        self.registry.table.lock().get(endpoint).map(|entry| entry.incarnation)
    }

    /// Returns the endpoints that do not drain, in the order of their names.
    pub(super) fn usable_endpoints(&self) -> Vec<EndpointEntry> {
        let table = self.registry.table.lock();
        let usable = table.entries().filter(|entry| !entry.draining);
        let mut all: Vec<EndpointEntry> = usable.cloned().collect();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }

    /// Returns the service and the data centre of each endpoint that drains.
    pub(super) fn draining_endpoints(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let table = self.registry.table.lock();
        let draining = table.entries().filter(|entry| entry.draining);
        draining.map(|entry| (entry.service.clone(), entry.data_centre.clone())).collect()
    }

    /// Returns the service of an endpoint; `None` if the endpoint is not known.
    pub(super) fn service_of(&self, endpoint: &str) -> Option<Arc<str>> {
        self.registry.table.lock().get(endpoint).map(|entry| entry.service.clone())
    }

    /// Returns whether this instance must read the endpoints from the store: it leads, or what a
    /// leader has told is too old.
    fn must_watch_endpoints(&self) -> bool {
        let is_lost = match self.uplink.was_linked() {
            true => self.has_old_table(),
            false => !self.expects_first_link(),
        };
        self.leads() || is_lost
    }

    /// Returns the wait after each watch call.
    fn batch_delay(&self) -> Duration {
        match self.leads() {
            true => BATCH_DELAY.max(self.settings.drain_time.mul_f64(LEADER_BATCH_FRACTION)),
            false => watch_delay(BATCH_DELAY, self.settings.drain_time, self.fleet_size()),
        }
    }

    /// Returns whether this instance is without a leader and knows too little of the endpoints to grant
    /// requests itself, while a new leader or the store can be expected to tell it.
    pub(super) fn defers_requests(&self) -> bool {
        if self.leads() || self.uplink.is_open() || !self.uplink.was_linked() {
            return false;
        }
        let now = Time::now();
        let age = self.record_age.get(now).min(self.watch_times.endpoints_age(now));
        let (failing, drain_time) = (self.store.failing_time(now), self.settings.drain_time);
        lone_step(age, failing, drain_time, self.fleet_size()) == LoneStep::Defer
    }

    /// Returns whether what the leader has told of the endpoints is too old.
    fn has_old_table(&self) -> bool {
        let (drain_time, instance) = (self.settings.drain_time, &self.settings.instance);
        let max_age = max_table_age(drain_time, instance, self.fleet_size());
        self.record_age.get(Time::now()) > max_age
    }

    /// Records the heartbeats of all entries, if they are awaited. The versions of the entries must be
    /// known already.
    fn read_heartbeats(&self, era: u64, items: &[Item], began_at: Time) {
        let now = Time::now();
        let mut scheduler = self.scheduler.lock();
        if scheduler.origins().awaits_heartbeats(now) {
            let heartbeats = items.iter().filter_map(heartbeat_of);
            scheduler.origins().read_heartbeats(era, heartbeats, began_at, now);
        }
    }

    /// Records the heartbeats of entries that have changed, if they are awaited. The versions of the
    /// entries must be known already.
    fn record_heartbeats(&self, events: &[Event]) {
        let now = Time::now();
        let mut scheduler = self.scheduler.lock();
        let origins = scheduler.origins();
        if !origins.awaits_heartbeats(now) {
            return;
        }
        for event in events {
            match event {
                Event::Put(item) => {
                    if let Some((id, number)) = heartbeat_of(item) {
                        origins.record_heartbeat(&id, number, now);
                    }
                }
                Event::Removed(key) => {
                    let id = key.strip_prefix(ENDPOINT_PREFIX).unwrap_or(key);
                    origins.end_heartbeats(id, now);
                }
            }
        }
    }
}

/// Reads the endpoints' entries from the store while [`Gateway::must_watch_endpoints`] says so.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        if gateway.must_watch_endpoints()
            && let Err(err) = follow_entries(&gateway).await
        {
            log::debug!("event=store_lost what=endpoints reason={err}");
            sleep(gateway.read_backoff(ERROR_BACKOFF)).await;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Lets entries hold that are in doubt after a return of the store, once their time has come.
pub async fn settle(gateway: Arc<Gateway>) {
    loop {
        sleep(POLL_INTERVAL).await;
        if gateway.registry.table.lock().settle(Time::now()) {
            gateway.apply_table();
        }
    }
}

/// Reads all entries, then watches their changes; fails on the first error of the store.
async fn follow_entries(gateway: &Gateway) -> Result<(), StoreError> {
    let began_at = Time::now();
    let page = gateway.store.range(ENDPOINT_PREFIX).await?;
    gateway.watch_times.record_endpoints(began_at);
    let entries = page.items.iter().filter_map(|item| decode_entry(&item.key, &item.value));
    log::info!("event=endpoints_read count={}", page.items.len());
    gateway.registry.table.lock().load(page.revision.era(), entries, Time::now());
    gateway.apply_table();
    gateway.read_heartbeats(page.revision.era(), &page.items, began_at);
    let mut revision = page.revision;
    while gateway.must_watch_endpoints() {
        match gateway.store.watch(ENDPOINT_PREFIX, revision, WATCH_WAIT).await? {
            WatchResult::Missed => return Ok(()),
            WatchResult::Events(events, newest) => {
                gateway.watch_times.record_endpoints(Time::now());
                let changed = events.iter().filter_map(|event| apply_event(gateway, event));
                let changed: Vec<Arc<str>> = changed.collect();
                gateway.apply_entries(&changed);
                if !events.is_empty() {
                    gateway.record_heartbeats(&events);
                }
                revision = newest.max(revision);
                sleep(gateway.batch_delay()).await;
            }
        }
    }
    Ok(())
}

/// Decodes the record of an entry; `None` if it names no usable endpoint.
pub(super) fn decode_entry(key: &str, value: &[u8]) -> Option<EndpointEntry> {
    decode(key.strip_prefix(ENDPOINT_PREFIX)?, value)
}

/// Applies a change of an entry to the table. Returns the name of the endpoint if that changes what is
/// known of it.
fn apply_event(gateway: &Gateway, event: &Event) -> Option<Arc<str>> {
    let mut table = gateway.registry.table.lock();
    match event {
        Event::Put(item) => {
            let Some(entry) = decode_entry(&item.key, &item.value) else {
                log::debug!("event=endpoint_ignored key={}", item.key);
                return None;
            };
            let id = entry.id.clone();
            table.put(entry).then_some(id)
        }
        Event::Removed(key) => {
            let id = key.strip_prefix(ENDPOINT_PREFIX)?;
            table.remove(id, Time::now()).then(|| id.into())
        }
    }
}

/// Returns the endpoint of an entry and the number of its heartbeat.
fn heartbeat_of(item: &Item) -> Option<Heartbeat> {
    let id = item.key.strip_prefix(ENDPOINT_PREFIX)?;
    Some((id.into(), decode_heartbeat(&item.value)?))
}
