//! Records in the store at which software versions streams began.
//!
//! The leader knows all streams. It records them while a service has endpoints of several versions, so
//! that streams can be taken up again after all instances have ended at once. An instance that has not
//! run for long reads the records before it decides on such a stream alone.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use prost::Message;
use tokio::time::sleep;

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

/// Interval at which old streams are forgotten.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);

/// State of the records.
#[derive(Default)]
pub struct OriginRecords {
    /// Whether a request needs the records, which this instance has not read.
    wanted: AtomicBool,
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
        let is_wanted = leads || gateway.origin_records.wanted.swap(false, Ordering::Relaxed);
        if is_wanted && !gateway.scheduler.lock().origins().is_complete(now) {
            load(&gateway).await;
        }
        if leads {
            recorder.record_new(&gateway).await;
        }
    }
}

/// Adds the streams that the store has.
async fn load(gateway: &Gateway) {
    let page = match gateway.store.range(PREFIX).await {
        Ok(page) => page,
        Err(err) => return log::info!("event=origins_not_read reason={err}"),
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
    /// Records that a request needs the records, which this instance reads soon if it has not.
    pub(super) fn want_origin_records(&self) {
        self.origin_records.wanted.store(true, Ordering::Relaxed);
    }
}
