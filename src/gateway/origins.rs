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

use super::{Gateway, leader::LEADER_KEY, messages::OriginsFrame};
use crate::{
    clock::Time,
    kernel::{
        grants::{STREAM_TTL, VersionStreams},
        revision::{LeaseId, Revision},
    },
    platform::store::{Put, PutResult, StoreError},
};

/// Prefix of the keys of the records. It is not below the prefix that instances watch.
const PREFIX: &str = "cardamomshore-streams/";

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
}

/// Reads the records when they are needed, and writes them while this instance leads.
pub async fn run(gateway: Arc<Gateway>) {
    let mut recorder = Recorder { lease: None, next_number: 0, recorded_at: Time::default() };
    let mut maintained_at = Time::now();
    loop {
        sleep(RECORD_INTERVAL).await;
        let now = Time::now();
        if now.since(maintained_at) >= MAINTENANCE_INTERVAL {
            gateway.scheduler.lock().maintain_origins(now);
            maintained_at = now;
        }
        let leads = gateway.leads();
        if gateway.knows_current_endpoints() {
            gateway.scheduler.lock().origins().confirm_versions(now);
        }
        if leads {
            gateway.ensure_origins().await;
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
    let mut lists: Vec<VersionStreams> = Vec::new();
    for item in &page.items {
        match OriginsFrame::decode(item.value.clone()) {
            Ok(frame) => lists.extend(Vec::<VersionStreams>::from(frame)),
            Err(err) => log::warn!("event=origins_unreadable key={} reason={err}", item.key),
        }
    }
    let count: usize = lists.iter().map(|list| list.streams.len()).sum();
    log::info!("event=origins_read records={} streams={count}", page.items.len());
    gateway.scheduler.lock().origins().load(lists, Time::now());
    true
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
        let lists = {
            let mut scheduler = gateway.scheduler.lock();
            if self.lease.is_some_and(|(lease, _)| lease.era != gateway.store.era()) {
                self.lease = None;
                scheduler.origins().mark_all_unrecorded();
            }
            scheduler.origins().take_unrecorded(now)
        };
        let has_streams = lists.iter().any(|list| !list.streams.is_empty());
        let is_due = has_streams || now.since(self.recorded_at) >= MAX_RECORD_AGE;
        if lists.is_empty() || !is_due {
            return;
        }
        match self.write(gateway, revision, &lists).await {
            Ok(PutResult::Done(_)) => {
                self.recorded_at = now;
                return;
            }
            Ok(PutResult::NoLease) => self.lease = None,
            Ok(PutResult::Conflict) => {}
            Err(err) => log::info!("event=origins_not_recorded reason={err}"),
        }
        gateway.scheduler.lock().origins().mark_unrecorded(&lists);
    }

    async fn write(
        &mut self,
        gateway: &Gateway,
        revision: Revision,
        lists: &[VersionStreams],
    ) -> Result<PutResult, StoreError> {
        let lease = self.lease(gateway).await?;
        self.next_number += 1;
        let key = format!("{PREFIX}{}-{:08}", revision.ordinal(), self.next_number);
        let value = OriginsFrame::from(lists).encode_to_vec();
        let put = Put { key: &key, value: &value, lease: Some(lease) };
        gateway.store.put_if(LEADER_KEY, revision, &[put]).await
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
    /// until then the leader knew of streams that began elsewhere. Returns whether they have been read.
    /// Does nothing for a while after the records could not be read.
    pub(super) async fn ensure_origins(&self) -> bool {
        let mut reads = self.origin_records.reads.lock().await;
        let now = Time::now();
        let is_done = reads.done_at.is_some_and(|at| at >= self.decides_since(now));
        let has_just_failed = reads.failed_at.is_some_and(|at| now.since(at) < READ_BACKOFF);
        if is_done || has_just_failed || self.uplink.is_open() {
            return is_done;
        }
        let read = load(self).await;
        match read {
            true => reads.done_at = Some(now),
            false => reads.failed_at = Some(now),
        }
        read
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
