//! The operators' records: the configuration document and the data centres that are out of service.
//!
//! The records are read from the store and passed on between instances, so that an instance which
//! cannot reach the store still gets them.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::sleep;
use xxhash_rust::xxh3::Xxh3;

use super::{
    Gateway,
    deflate::{deflate, inflate},
    messages::{Content, Heartbeat, OperatorFrame},
};
use crate::{
    catalog::Catalog,
    clock::Time,
    kernel::{
        evacuation::Evacuations, leadership::Leader, record_age::WATCH_WAIT, revision::Revision,
    },
    platform::{
        catalog::{DOCUMENT_KEY, EVACUATE_PREFIX, OPERATOR_PREFIX, decode},
        store::{Event, StoreError, WatchResult},
    },
};

/// Largest document in bytes, which is the largest value of the store.
const MAX_DOCUMENT_BYTES: u64 = 4 << 20;

/// Interval at which an instance checks whether it must watch the store.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Wait before the store is called again after an error.
const ERROR_BACKOFF: Duration = Duration::from_millis(250);

/// The operators' records, as read last.
///
/// The documents are ordered by the version that the operators give them: the store may return from
/// an older copy, whose document is an older one. Other records have no version and are ordered by
/// the revision at which they were read.
#[derive(Debug, Default)]
pub struct OperatorState {
    /// Version of the document; zero before the first one.
    version: u64,
    /// The configuration document.
    document: Bytes,
    /// The document as it is sent to other instances.
    deflated: Bytes,
    evacuations: Evacuations,
    /// Data centres that the scheduler was told are out of service.
    applied: BTreeSet<String>,
}

/// Records that were read together, from the store or from another instance.
struct Records {
    /// Revision of the store at which they were read.
    revision: Revision,
    /// The configuration document; empty if there is none.
    document: Bytes,
    /// Data centres that are out of service.
    evacuated: BTreeSet<String>,
}

impl OperatorState {
    /// Returns the version of the document; zero before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the ordinal of the revision at which the records were read.
    pub fn revision(&self) -> u64 {
        self.evacuations.revision().ordinal()
    }

    /// Returns the hash of the records that have no version.
    pub fn hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        for data_centre in self.evacuations.listed() {
            hash.update(data_centre.as_bytes());
            hash.update(&[0]);
        }
        hash.digest()
    }

    /// Returns a number that differs for states which differ in what a peer may lack.
    pub fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(&self.version.to_le_bytes());
        hash.update(&self.hash().to_le_bytes());
        hash.digest()
    }

    /// Returns whether this state must be sent to the instance that sent `heartbeat`.
    fn is_newer_than(&self, heartbeat: &Heartbeat) -> bool {
        let has_newer_list = self.revision() > heartbeat.revision && self.hash() != heartbeat.hash;
        self.version > heartbeat.version || (self.version > 0 && has_newer_list)
    }

    /// Returns the frame that sends this state to other instances.
    fn to_frame(&self) -> OperatorFrame {
        OperatorFrame {
            revision: self.revision(),
            document: self.deflated.clone(),
            evacuated: self.evacuations.listed().map(str::to_owned).collect(),
        }
    }

    /// Returns the frame that tells a leader of `era` what was known before the store returned; `None`
    /// if there is nothing that it may lack.
    fn to_earlier_frame(&self, era: u64, now: Time) -> Option<OperatorFrame> {
        let is_earlier = self.version > 0 && self.evacuations.revision().era() < era;
        (is_earlier || self.evacuations.holds_any(now)).then(|| OperatorFrame {
            revision: Revision::new(era.saturating_sub(1), 0).ordinal(),
            document: self.deflated.clone(),
            evacuated: self.evacuations.in_force(now).into_iter().collect(),
        })
    }

    /// Takes a document that is newer than the known one. Returns its configuration.
    fn take_document(&mut self, document: &Bytes) -> Option<Catalog> {
        if document.is_empty() || *document == self.document {
            return None;
        }
        let catalog = match decode(document) {
            Ok(catalog) => catalog,
            Err(err) => {
                log::error!("event=config_rejected reason={err}");
                return None;
            }
        };
        let (version, known) = (catalog.version, self.version);
        if version <= known {
            log::info!("event=config_ignored version={version} known={known}");
            return None;
        }
        self.version = version;
        self.document = document.clone();
        self.deflated = deflate(document);
        Some(catalog)
    }
}

impl Gateway {
    /// Handles the operators' records that another instance has sent.
    pub(super) fn handle_operator(&self, frame: OperatorFrame) {
        let document = match inflate(&frame.document, MAX_DOCUMENT_BYTES) {
            Ok(document) => document,
            Err(err) => return log::warn!("event=config_unreadable from=peer reason={err}"),
        };
        let revision = Revision::from_ordinal(frame.revision);
        let evacuated = frame.evacuated.into_iter().collect();
        let changed = self.apply_records(&Records { revision, document, evacuated });
        if changed && self.leads() {
            self.send_operator();
        }
    }

    /// Returns the fingerprint of the operators' records if they are newer than those of the instance that
    /// sent `heartbeat`.
    pub(super) fn newer_operator(&self, heartbeat: &Heartbeat) -> Option<u64> {
        let operator = self.operator.lock();
        operator.is_newer_than(heartbeat).then(|| operator.fingerprint())
    }

    /// Returns the operators' records if they are newer than those of the instance that sent
    /// `heartbeat`.
    pub(super) fn operator_update(&self, heartbeat: &Heartbeat) -> Option<Content> {
        let operator = self.operator.lock();
        operator.is_newer_than(heartbeat).then(|| Content::Operator(operator.to_frame()))
    }

    /// Returns the content that tells a new leader what was known before the store returned.
    pub(super) fn earlier_operator_content(&self, leader: &Leader) -> Option<Content> {
        let era = Revision::from_ordinal(leader.term).era();
        self.operator.lock().to_earlier_frame(era, Time::now()).map(Content::Operator)
    }

    /// Sends the operators' records: from the leader to all peers, from another instance to the
    /// leader.
    fn send_operator(&self) {
        let content = Content::Operator(self.operator.lock().to_frame());
        if self.leads() {
            self.peers.broadcast(&content);
        } else {
            self.uplink.send(content);
        }
    }

    /// Applies the records that are newer than the known ones. Returns whether there were any.
    fn apply_records(&self, records: &Records) -> bool {
        let mut current = self.operator.lock();
        let catalog = current.take_document(&records.document);
        let has_document = catalog.is_some();
        if let Some(catalog) = catalog {
            let before = self.catalog.load().as_ref().map_or(0, |catalog| catalog.version);
            log::info!("event=config_applied version={} before={before}", catalog.version);
            let catalog = Arc::new(catalog);
            self.catalog.store(Some(catalog.clone()));
            self.scheduler.lock().set_catalog(catalog);
        }
        let (revision, evacuated) = (records.revision, records.evacuated.clone());
        let has_list = current.evacuations.apply(revision, evacuated, Time::now());
        self.apply_evacuations(&mut current);
        has_document || has_list
    }

    /// Tells the scheduler which data centres are out of service, if that has changed.
    fn apply_evacuations(&self, current: &mut OperatorState) {
        let in_force = current.evacuations.in_force(Time::now());
        if in_force == current.applied {
            return;
        }
        let list: Vec<&str> = in_force.iter().map(|name| &**name).collect();
        log::info!("event=data_centres_out list={}", list.join(","));
        let names = list.iter().map(|name| Arc::from(*name)).collect();
        self.scheduler.lock().set_evacuated(names);
        current.applied = in_force;
    }
}

/// Returns data centres to service that are held out of it for a while after a return of the store.
pub async fn end_evacuations(gateway: Arc<Gateway>) {
    loop {
        sleep(POLL_INTERVAL).await;
        gateway.apply_evacuations(&mut gateway.operator.lock());
    }
}

/// Follows the operators' records in the store while this instance must watch them.
pub async fn run(gateway: Arc<Gateway>) {
    let mut store_lost = false;
    loop {
        if !gateway.watches_operator() {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        match follow_records(&gateway, &mut store_lost).await {
            Ok(()) => {}
            Err(err) if store_lost => log::debug!("event=store_lost what=config reason={err}"),
            Err(err) => {
                log::warn!("event=store_lost what=config reason={err}");
                store_lost = true;
            }
        }
        sleep(gateway.read_backoff(ERROR_BACKOFF)).await;
    }
}

/// Reads the records, then watches their changes; fails on the first error of the store.
async fn follow_records(gateway: &Gateway, store_lost: &mut bool) -> Result<(), StoreError> {
    let began_at = Time::now();
    let page = gateway.store.range(OPERATOR_PREFIX).await?;
    gateway.watch_times.record_operator(began_at);
    if std::mem::take(store_lost) {
        log::info!("event=store_back what=config revision={}", page.revision);
    }
    let mut records =
        Records { revision: page.revision, document: Bytes::new(), evacuated: BTreeSet::new() };
    for item in page.items {
        apply_event(Event::Put(item), &mut records);
    }
    while gateway.watches_operator() {
        if gateway.apply_records(&records) {
            gateway.send_operator();
        }
        let revision = records.revision;
        match gateway.store.watch(OPERATOR_PREFIX, revision, WATCH_WAIT).await? {
            WatchResult::Missed => {
                log::info!("event=watch_restarted what=config revision={revision}");
                return Ok(());
            }
            WatchResult::Events(events, newest) => {
                gateway.watch_times.record_operator(Time::now());
                for event in events {
                    apply_event(event, &mut records);
                }
                records.revision = newest.max(revision);
            }
        }
    }
    Ok(())
}

/// Applies a change of a record.
fn apply_event(event: Event, records: &mut Records) {
    match event {
        Event::Put(item) if item.key == DOCUMENT_KEY => records.document = item.value,
        Event::Put(item) => {
            if let Some(data_centre) = item.key.strip_prefix(EVACUATE_PREFIX) {
                records.evacuated.insert(data_centre.to_owned());
            }
        }
        Event::Removed(key) => {
            if let Some(data_centre) = key.strip_prefix(EVACUATE_PREFIX) {
                records.evacuated.remove(data_centre);
            }
        }
    }
}
