//! Records in the store at which software versions streams began.
//!
//! The leader knows all streams. It records them while a service has endpoints of several versions, so
//! that streams can be taken up again after the instances that knew them have ended. An instance reads the
//! records before it announces itself as leader, and before it decides on such a stream alone.

use std::{sync::Arc, time::Duration};

use prost::Message;
use tokio::{
    sync::Mutex,
    time::{sleep, timeout},
};

use super::{Gateway, leader::LEADER_KEY, messages::OriginsFrame, registry::decode_entry};
use crate::{
    clock::Time,
    kernel::{
        grants::{Decider, STREAM_TTL, VersionStreams},
        revision::{LeaseId, Revision},
    },
    platform::{
        registration::ENDPOINT_PREFIX,
        store::{Page, Put, PutResult, StoreError},
    },
};

/// Prefix of the keys of the records. It is not below the prefix that instances watch.
const PREFIX: &str = "cardamomshore-streams/";

/// Key of the record of the era in which a leader has confirmed that the records lack nothing. It has no
/// lease, and lies below the same prefix so that it is read together with them.
pub(super) const COMPLETE_KEY: &str = "cardamomshore-streams/complete";

/// Interval at which new streams are recorded.
const RECORD_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time without a record while a service has several versions, so that an instance that reads
/// the records knows of all versions.
const MAX_RECORD_AGE: Duration = Duration::from_secs(10);

/// Time for which the records are written with the same lease.
const LEASE_USE_TIME: Duration = Duration::from_secs(15);

/// Timeout of reading the records, for which take-ups and the announcement of a leader wait.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Wait before the records are read again that could not be read.
const READ_BACKOFF: Duration = Duration::from_millis(300);

/// Interval at which old streams are forgotten.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);

/// State of the records.
#[derive(Default)]
pub struct OriginRecords {
    /// Locked during a read, for which all requests that need it wait.
    reads: Mutex<Reads>,
}

/// When the records were read.
#[derive(Default)]
struct Reads {
    /// When the last read began that succeeded; `None` before the first one.
    done_at: Option<Time>,
    /// When the last read failed; `None` if none has.
    failed_at: Option<Time>,
}

/// The records that this leader writes.
struct Recorder {
    /// Lease with which the records end, and since when it is used.
    lease: Option<(LeaseId, Time)>,
    /// Number of the next record.
    next_number: u64,
    recorded_at: Time,
    /// Era in which this leader has confirmed that the records lack nothing.
    confirmed_era: Option<u64>,
}

/// Reads the records when they are needed, and writes them while this instance leads.
pub async fn run(gateway: Arc<Gateway>) {
    let mut recorder =
        Recorder { lease: None, next_number: 0, recorded_at: Time::default(), confirmed_era: None };
    let mut maintained_at = Time::now();
    let mut was_settling = false;
    loop {
        sleep(RECORD_INTERVAL).await;
        let now = Time::now();
        if now.since(maintained_at) >= MAINTENANCE_INTERVAL {
            gateway.scheduler.lock().maintain_origins(now);
            maintained_at = now;
        }
        let (is_settling, held) = {
            let mut scheduler = gateway.scheduler.lock();
            (scheduler.origins().awaits_versions(now), scheduler.held_streams())
        };
        if was_settling && !is_settling {
            log::info!("event=origins_settled");
        }
        was_settling = is_settling;
        let leads = gateway.leads();
        if leads && gateway.knows_current_endpoints() {
            gateway.scheduler.lock().origins().confirm_versions(now);
        }
        if leads || held > 0 {
            gateway.ensure_origins().await;
        }
        if leads {
            recorder.record_new(&gateway).await;
        }
    }
}

/// Adds the streams that the store has. Returns whether they could be read.
async fn load(gateway: &Gateway) -> bool {
    let read = timeout(READ_TIMEOUT, gateway.store.range(PREFIX)).await;
    let page = match read.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".into()))) {
        Ok(page) => page,
        Err(err) => {
            log::info!("event=origins_not_read reason={err}");
            return false;
        }
    };
    let (era, is_complete) = (page.revision.era(), is_complete(&page));
    let mut lists: Vec<VersionStreams> = Vec::new();
    for item in page.items.iter().filter(|item| item.key != COMPLETE_KEY) {
        match OriginsFrame::decode(item.value.clone()) {
            Ok(frame) => lists.extend(Vec::<VersionStreams>::from(frame)),
            Err(err) => log::warn!("event=origins_unreadable key={} reason={err}", item.key),
        }
    }
    let count: usize = lists.iter().map(|list| list.streams.len()).sum();
    let records = page.items.len();
    log::info!("event=origins_read records={records} streams={count} complete={is_complete}");
    gateway.scheduler.lock().origins().load(lists, era, is_complete, Time::now());
    true
}

/// Returns whether a leader has confirmed in the store's current era that the records lack nothing.
fn is_complete(page: &Page) -> bool {
    let record = page.items.iter().find(|item| item.key == COMPLETE_KEY);
    let era = record.and_then(|item| String::from_utf8_lossy(&item.value).parse::<u64>().ok());
    era == Some(page.revision.era())
}

/// Reads which versions the endpoints in the store have. An instance without a leader may not have heard
/// of one at which a stream began meanwhile.
async fn confirm_versions(gateway: &Gateway) {
    let began_at = Time::now();
    let read = timeout(READ_TIMEOUT, gateway.store.range(ENDPOINT_PREFIX)).await;
    let page = match read.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".into()))) {
        Ok(page) => page,
        Err(err) => return log::info!("event=versions_not_read reason={err}"),
    };
    let entries = page.items.iter().filter_map(|item| decode_entry(&item.key, &item.value));
    let mut scheduler = gateway.scheduler.lock();
    let origins = scheduler.origins();
    entries.for_each(|entry| origins.record_version(&entry.service, &entry.version, began_at));
    origins.confirm_versions(began_at);
}

impl Recorder {
    /// Records the streams that the store does not have yet.
    async fn record_new(&mut self, gateway: &Gateway) {
        let now = Time::now();
        let (holds_lease, revision) = {
            let state = gateway.leadership.lock();
            (state.holds_lease(now), state.revision())
        };
        if !holds_lease {
            return;
        }
        let era = revision.era();
        if self.lease.is_some_and(|(lease, _)| lease.era != era) {
            self.lease = None;
        }
        let (lists, is_complete) = {
            let mut scheduler = gateway.scheduler.lock();
            let origins = scheduler.origins();
            (origins.take_unrecorded(era, now), origins.is_complete(now))
        };
        let has_streams = lists.iter().any(|list| !list.streams.is_empty());
        let is_due = has_streams || now.since(self.recorded_at) >= MAX_RECORD_AGE;
        let confirms = is_complete && self.confirmed_era != Some(era);
        let lists = if is_due { lists } else { Vec::new() };
        if lists.is_empty() && !confirms {
            return;
        }
        match self.write(gateway, revision, &lists, confirms).await {
            Ok(PutResult::Done(_)) => {
                if !lists.is_empty() {
                    self.recorded_at = now;
                }
                if confirms {
                    self.confirmed_era = Some(era);
                }
                return;
            }
            Ok(PutResult::NoLease) => self.lease = None,
            Ok(PutResult::Conflict) => {}
            Err(err) => log::info!("event=origins_not_recorded reason={err}"),
        }
        gateway.scheduler.lock().origins().mark_unrecorded(&lists);
    }

    /// Writes streams, and with `confirms` that the records lack nothing.
    async fn write(
        &mut self,
        gateway: &Gateway,
        revision: Revision,
        lists: &[VersionStreams],
        confirms: bool,
    ) -> Result<PutResult, StoreError> {
        let mut puts = Vec::new();
        self.next_number += 1;
        let key = format!("{PREFIX}{}-{:08}", revision.ordinal(), self.next_number);
        let value = OriginsFrame::from(lists).encode_to_vec();
        if !lists.is_empty() {
            puts.push(Put { key: &key, value: &value, lease: Some(self.lease(gateway).await?) });
        }
        let era = revision.era().to_string();
        if confirms {
            puts.push(Put { key: COMPLETE_KEY, value: era.as_bytes(), lease: None });
        }
        gateway.store.put_if(LEADER_KEY, revision, &puts).await
    }

    /// Returns the lease of the next record, which ends after [`STREAM_TTL`] at the earliest.
    async fn lease(&mut self, gateway: &Gateway) -> Result<LeaseId, StoreError> {
        let now = Time::now();
        match self.lease {
            Some((lease, since)) if now.since(since) < LEASE_USE_TIME => Ok(lease),
            _ => {
                let lease = gateway.store.grant(STREAM_TTL + LEASE_USE_TIME).await?;
                self.lease = Some((lease, now));
                Ok(lease)
            }
        }
    }
}

impl Gateway {
    /// Reads the records, unless they were read since this instance has decided on streams itself:
    /// until then the leader knew of streams that began elsewhere. Without a leader, also reads which
    /// versions serve. Returns whether the records have been read. Does nothing for a while after the
    /// records could not be read.
    pub(super) async fn ensure_origins(&self) -> bool {
        let mut reads = self.origin_records.reads.lock().await;
        let now = Time::now();
        let is_done = reads.done_at.is_some_and(|at| at >= self.decides_since(now));
        let has_just_failed = reads.failed_at.is_some_and(|at| now.since(at) < READ_BACKOFF);
        if has_just_failed || self.uplink.is_open() {
            return is_done;
        }
        let is_confirmed = || {
            let mut scheduler = self.scheduler.lock();
            scheduler.origins().is_confirmed(Decider::Lone, Time::now())
        };
        if !self.leads() && !is_confirmed() {
            confirm_versions(self).await;
        }
        if is_done {
            return true;
        }
        let read = load(self).await;
        match read {
            true => reads.done_at = Some(now),
            false => reads.failed_at = Some(now),
        }
        read
    }

    /// Returns whether the store has no sign of an earlier leader, so that no stream can have begun
    /// before the leader that is elected now.
    pub(super) async fn is_first_leader(&self) -> bool {
        if self.leadership.lock().last_leader.is_some() {
            return false;
        }
        let read = timeout(READ_TIMEOUT, self.store.range(COMPLETE_KEY)).await;
        matches!(read, Ok(Ok(page)) if page.items.is_empty())
    }

    /// Returns since when this instance decides on streams itself: its election, or the last frame of a
    /// leader.
    fn decides_since(&self, now: Time) -> Time {
        let leadership = self.leadership.lock();
        match leadership.leads() {
            true => now - leadership.succession(now).1,
            false => now - self.uplink.frame_age(),
        }
    }
}
