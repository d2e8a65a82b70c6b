//! What operators have put in force: read from the store, and passed on between instances.

use std::{collections::HashSet, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::{Gateway, messages::OperatorFrame};
use crate::platform::{
    catalog::{DOCUMENT, EVACUATE_PREFIX, OPERATOR_PREFIX, decode},
    store::{Event, StoreError, Watched},
};

/// Longest wait of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Wait before the store is asked again after an error.
const ERROR_WAIT: Duration = Duration::from_millis(250);

/// The operators' records as they were last read.
#[derive(Clone, Debug, Default)]
pub struct OperatorState {
    /// Revision of the store at which they were read; zero before the first reading.
    pub revision: u64,
    /// Hash of their content.
    pub hash: u64,
    document: Bytes,
    evacuated: Vec<String>,
}

impl OperatorState {
    fn new(revision: u64, document: Bytes, mut evacuated: Vec<String>) -> Self {
        evacuated.sort();
        let mut content = document.to_vec();
        for zone in &evacuated {
            content.push(0);
            content.extend_from_slice(zone.as_bytes());
        }
        Self { revision, hash: xxh3_64(&content), document, evacuated }
    }

    /// Returns whether another instance that told its revision and hash needs this state.
    pub fn is_news_to(&self, revision: u64, hash: u64) -> bool {
        self.revision > revision && self.hash != hash
    }

    /// Returns the frame for other instances.
    pub fn frame(&self) -> OperatorFrame {
        OperatorFrame {
            revision: self.revision,
            document: self.document.clone(),
            evacuated: self.evacuated.clone(),
        }
    }
}

impl Gateway {
    /// Takes what another instance knows.
    pub(super) fn take_operator(&self, frame: OperatorFrame) {
        self.put_in_force(OperatorState::new(frame.revision, frame.document, frame.evacuated));
    }

    /// Puts newer records in force; older ones change nothing.
    fn put_in_force(&self, state: OperatorState) {
        let mut current = self.operator.lock();
        if state.revision <= current.revision && current.revision > 0 {
            return;
        }
        if state.hash == current.hash && current.revision > 0 {
            current.revision = state.revision;
            return;
        }
        let evacuated: HashSet<Arc<str>> =
            state.evacuated.iter().map(|zone| Arc::from(&**zone)).collect();
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
    }

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

/// Follows the operators' records.
pub async fn run(gateway: Arc<Gateway>) {
    let mut lost = false;
    loop {
        match follow(&gateway, &mut lost).await {
            Ok(()) => {}
            Err(err) if lost => log::debug!("event=store_lost what=config reason={err}"),
            Err(err) => {
                log::warn!("event=store_lost what=config reason={err}");
                lost = true;
            }
        }
        sleep(ERROR_WAIT.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

async fn follow(gateway: &Gateway, lost: &mut bool) -> Result<(), StoreError> {
    let page = gateway.store.range(OPERATOR_PREFIX).await?;
    if std::mem::take(lost) {
        log::info!("event=store_back what=config revision={}", page.revision);
    }
    let mut document = Bytes::new();
    let mut evacuated = Vec::new();
    for item in page.items {
        if item.key == DOCUMENT {
            document = item.value;
        } else if let Some(zone) = item.key.strip_prefix(EVACUATE_PREFIX) {
            evacuated.push(zone.to_owned());
        }
    }
    let mut revision = page.revision;
    loop {
        if !document.is_empty() {
            let state = OperatorState::new(revision, document.clone(), evacuated.clone());
            gateway.put_in_force(state);
        }
        match gateway.store.watch(OPERATOR_PREFIX, revision, WATCH_WAIT).await? {
            Watched::Lost => return Ok(()),
            Watched::Events(events, at) => {
                for event in events {
                    note(event, &mut document, &mut evacuated);
                }
                revision = at.max(revision);
            }
        }
    }
}

fn note(event: Event, document: &mut Bytes, evacuated: &mut Vec<String>) {
    match event {
        Event::Put(item) if item.key == DOCUMENT => *document = item.value,
        Event::Put(item) => {
            if let Some(zone) = item.key.strip_prefix(EVACUATE_PREFIX) {
                evacuated.retain(|known| known != zone);
                evacuated.push(zone.to_owned());
            }
        }
        Event::Removed(key) => {
            if let Some(zone) = key.strip_prefix(EVACUATE_PREFIX) {
                evacuated.retain(|known| known != zone);
            }
        }
    }
}
