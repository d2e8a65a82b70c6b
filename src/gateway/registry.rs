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
    messages::{Content, EndpointsFrame, LeavingFrame},
};
use crate::{
    clock::Time,
    kernel::{
        endpoint_table::{EndpointTable, Presence},
        grants::{EndpointEntry, Incarnation},
        leadership::Leader,
        record_age::WATCH_WAIT,
        revision::Revision,
    },
    platform::{
        registration::{ENDPOINT_PREFIX, decode},
        store::{Event, StoreError, WatchResult},
    },
};

/// Interval at which an instance checks whether it must read the store.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Wait before the store is read again after an error.
const ERROR_BACKOFF: Duration = Duration::from_millis(200);

/// Wait after each watch call, so that the next one returns several changes at once.
const BATCH_DELAY: Duration = Duration::from_millis(40);

/// Fraction of the drain time for which an instance relies on a table that the leader has told. The
/// rest is for reading the store.
const TABLE_AGE_FRACTION: f64 = 0.5;

/// Longest silence of a leader whose table counts as up to date.
const MAX_LEADER_SILENCE: Duration = Duration::from_millis(500);

/// The table of endpoints, as read last from the store or from the leader.
#[derive(Default)]
pub struct Registry {
    table: Mutex<EndpointTable>,
    /// Whether the table was filled at least once.
    initialized: AtomicBool,
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
        let now = Time::now();
        let changed = frame.changed.into_iter().filter_map(|frame| frame.into_registration());
        {
            let mut table = self.registry.table.lock();
            if frame.full {
                table.replace(self.leader_era(), changed.collect(), now);
            } else {
                frame.removed.iter().for_each(|id| table.remove(id, now));
                changed.for_each(|entry| table.put(entry));
            }
        }
        self.apply_table();
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
        let table: Vec<EndpointEntry> = self.registry.table.lock().entries().cloned().collect();
        self.scheduler.lock().set_endpoints(table, Time::now());
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

    /// Returns whether what the leader has told of the endpoints is too old.
    fn has_old_table(&self) -> bool {
        self.has_old_records(self.settings.drain_time.mul_f64(TABLE_AGE_FRACTION))
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
    gateway.registry.table.lock().load(page.revision.era(), entries, Time::now());
    gateway.apply_table();
    let mut revision = page.revision;
    while gateway.must_watch_endpoints() {
        match gateway.store.watch(ENDPOINT_PREFIX, revision, WATCH_WAIT).await? {
            WatchResult::Missed => return Ok(()),
            WatchResult::Events(events, newest) => {
                gateway.watch_times.record_endpoints(Time::now());
                let changed = !events.is_empty();
                events.into_iter().for_each(|event| apply_event(gateway, event));
                if changed {
                    gateway.apply_table();
                }
                revision = newest.max(revision);
                sleep(BATCH_DELAY).await;
            }
        }
    }
    Ok(())
}

/// Decodes the record of an entry; `None` if it names no usable endpoint.
pub(super) fn decode_entry(key: &str, value: &[u8]) -> Option<EndpointEntry> {
    decode(key.strip_prefix(ENDPOINT_PREFIX)?, value)
}

/// Applies a change of an entry to the table.
fn apply_event(gateway: &Gateway, event: Event) {
    let mut table = gateway.registry.table.lock();
    match event {
        Event::Put(item) => match decode_entry(&item.key, &item.value) {
            Some(entry) => table.put(entry),
            None => log::debug!("event=endpoint_ignored key={}", item.key),
        },
        Event::Removed(key) => {
            if let Some(id) = key.strip_prefix(ENDPOINT_PREFIX) {
                table.remove(id, Time::now());
            }
        }
    }
}
