//! The operators' records: the configuration document and the data centres that are out of service.
//!
//! The records are read from the store and passed on between instances, so that an instance which
//! cannot reach the store still gets them.

use std::{
    collections::HashSet,
    io::{Read, Write},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Gateway,
    messages::{Content, OperatorFrame},
};
use crate::platform::{
    catalog::{DOCUMENT_KEY, EVACUATE_PREFIX, OPERATOR_PREFIX, decode},
    store::{Event, StoreError, WatchResult},
};

/// Longest wait of one watch call to the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Largest document in bytes, which is the largest value of the store.
const MAX_DOCUMENT_BYTES: u64 = 4 << 20;

/// Interval at which an instance checks whether it must watch the store.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Wait before the store is called again after an error.
const ERROR_BACKOFF: Duration = Duration::from_millis(250);

/// The operators' records, as read last.
#[derive(Clone, Debug, Default)]
pub struct OperatorState {
    /// Revision of the store at which the records were read; zero before the first read.
    pub revision: u64,
    /// Hash of the records.
    pub hash: u64,
    /// The configuration document.
    document: Bytes,
    /// The document as it is sent to other instances.
    deflated: Bytes,
    /// Data centres that are out of service, in the order of their names.
    evacuated: Vec<String>,
}

/// Compresses the document for other instances.
fn deflate(document: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let result = encoder.write_all(document).and_then(|()| encoder.finish());
    // Writing to memory cannot fail.
    result.unwrap_or_default().into()
}

/// Decompresses the document of another instance; fails if it is not valid.
fn inflate(deflated: &[u8]) -> std::io::Result<Bytes> {
    let mut document = Vec::new();
    DeflateDecoder::new(deflated).take(MAX_DOCUMENT_BYTES).read_to_end(&mut document)?;
    Ok(document.into())
}

impl OperatorState {
    fn new(revision: u64, document: Bytes, mut evacuated: Vec<String>) -> Self {
        evacuated.sort();
        let mut content = document.to_vec();
        for data_centre in &evacuated {
            content.push(0);
            content.extend_from_slice(data_centre.as_bytes());
        }
        let deflated = deflate(&document);
        Self { revision, hash: xxh3_64(&content), document, deflated, evacuated }
    }

    /// Returns whether this state must be sent to an instance that has records of the given
    /// revision and hash.
    pub fn is_newer_than(&self, revision: u64, hash: u64) -> bool {
        self.revision > revision && self.hash != hash
    }

    /// Returns the frame that sends this state to other instances.
    pub fn to_frame(&self) -> OperatorFrame {
        OperatorFrame {
            revision: self.revision,
            document: self.deflated.clone(),
            evacuated: self.evacuated.clone(),
        }
    }
}

impl Gateway {
    /// Handles the operators' records that another instance has sent.
    pub(super) fn handle_operator(&self, frame: OperatorFrame) {
        let document = match inflate(&frame.document) {
            Ok(document) => document,
            Err(err) => return log::warn!("event=config_unreadable from=peer reason={err}"),
        };
        let state = OperatorState::new(frame.revision, document, frame.evacuated);
        if self.apply_state(state) && self.leads() {
            self.send_operator();
        }
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

    /// Applies the records if they are newer than the current ones. Returns whether the records
    /// have changed.
    fn apply_state(&self, state: OperatorState) -> bool {
        let mut current = self.operator.lock();
        if state.revision <= current.revision && current.revision > 0 {
            if state.hash != current.hash {
                let (revision, known) = (state.revision, current.revision);
                log::warn!("event=records_ignored revision={revision} known={known}");
            }
            return false;
        }
        if state.hash == current.hash && current.revision > 0 {
            current.revision = state.revision;
            return false;
        }
        let evacuated: HashSet<Arc<str>> =
            state.evacuated.iter().map(|data_centre| Arc::from(&**data_centre)).collect();
        if state.evacuated != current.evacuated {
            log::info!("event=data_centres_out list={:?}", state.evacuated);
        }
        if state.document != current.document {
            self.apply_document(&state.document);
        }
        let mut scheduler = self.scheduler.lock();
        scheduler.set_evacuated(evacuated);
        if let Some(catalog) = self.catalog.load_full() {
            scheduler.set_catalog(catalog);
        }
        *current = state;
        true
    }

    /// Applies a document, unless it is not valid or older than the current configuration.
    fn apply_document(&self, document: &[u8]) {
        let catalog = match decode(document) {
            Ok(catalog) => catalog,
            Err(err) => return log::error!("event=config_rejected reason={err}"),
        };
        let known = self.catalog.load().as_ref().map_or(0, |catalog| catalog.version);
        if catalog.version < known {
            return log::warn!("event=config_ignored version={} known={known}", catalog.version);
        }
        log::info!("event=config_applied version={} before={known}", catalog.version);
        self.catalog.store(Some(Arc::new(catalog)));
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
        sleep(ERROR_BACKOFF.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

/// Reads the records, then watches their changes; fails on the first error of the store.
async fn follow_records(gateway: &Gateway, store_lost: &mut bool) -> Result<(), StoreError> {
    let page = gateway.store.range(OPERATOR_PREFIX).await?;
    if std::mem::take(store_lost) {
        log::info!("event=store_back what=config revision={}", page.revision);
    }
    let mut document = Bytes::new();
    let mut evacuated = Vec::new();
    for item in page.items {
        if item.key == DOCUMENT_KEY {
            document = item.value;
        } else if let Some(data_centre) = item.key.strip_prefix(EVACUATE_PREFIX) {
            evacuated.push(data_centre.to_owned());
        }
    }
    let mut revision = page.revision;
    while gateway.watches_operator() {
        if !document.is_empty() {
            let state = OperatorState::new(revision, document.clone(), evacuated.clone());
            if gateway.apply_state(state) {
                gateway.send_operator();
            }
        }
        match gateway.store.watch(OPERATOR_PREFIX, revision, WATCH_TIMEOUT).await? {
            WatchResult::Missed => {
                log::info!("event=watch_restarted what=config revision={revision}");
                return Ok(());
            }
            WatchResult::Events(events, newest) => {
                for event in events {
                    apply_event(event, &mut document, &mut evacuated);
                }
                revision = newest.max(revision);
            }
        }
    }
    Ok(())
}

/// Applies a change of a record.
fn apply_event(event: Event, document: &mut Bytes, evacuated: &mut Vec<String>) {
    match event {
        Event::Put(item) if item.key == DOCUMENT_KEY => *document = item.value,
        Event::Put(item) => {
            if let Some(data_centre) = item.key.strip_prefix(EVACUATE_PREFIX) {
                evacuated.retain(|known| known != data_centre);
                evacuated.push(data_centre.to_owned());
            }
        }
        Event::Removed(key) => {
            if let Some(data_centre) = key.strip_prefix(EVACUATE_PREFIX) {
                evacuated.retain(|known| known != data_centre);
            }
        }
    }
}
