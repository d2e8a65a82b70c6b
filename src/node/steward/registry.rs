//! What the platform's service shows of leases and endpoint records, kept by watches.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parking_lot::RwLock;
use rand::RngExt;
use tokio::{sync::Notify, time::sleep};

use crate::{
    kernel::{
        ledger::EndpointRecord,
        stewardship::{LEASE_PREFIX, Lease, Leases, RECORD_PREFIX},
    },
    names::{EndpointId, InstanceId},
    node::{Node, lease::incarnation_of},
    platform::{Change, Kv, ListedEndpoint, PlatformError},
};

/// Longest wait before the first read, so that a fleet that starts at once is spread.
const MAX_START_DELAY: Duration = Duration::from_millis(300);

/// Time between two tries to read and watch.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// Records by endpoint with their revision.
pub type Records = BTreeMap<EndpointId, VersionedRecord>;

/// A record and the revision of its last write.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedRecord {
    /// The record.
    pub record: EndpointRecord,
    /// Revision of its last write.
    pub revision: i64,
}

/// Leases and records as last seen; either is empty until it was read once.
#[derive(Default)]
pub struct Registry {
    leases: RwLock<Option<Arc<Leases>>>,
    records: RwLock<Option<Records>>,
    changed: Notify,
}

impl Registry {
    /// Returns the leases, or `None` before the first read.
    pub fn leases(&self) -> Option<Arc<Leases>> {
        self.leases.read().clone()
    }

    /// Returns the endpoints for which `is_vacant` holds, with their records.
    pub fn vacant<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a ListedEndpoint>,
        is_vacant: impl Fn(Option<&EndpointRecord>) -> bool,
    ) -> Vec<(&'a ListedEndpoint, Option<VersionedRecord>)> {
        let records = self.records.read();
        let Some(records) = records.as_ref() else { return Vec::new() };
        let known = endpoints.map(|endpoint| (endpoint, records.get(&endpoint.id)));
        let vacant = known.filter(|(_, known)| is_vacant(known.map(|known| &known.record)));
        vacant.map(|(endpoint, known)| (endpoint, known.cloned())).collect()
    }

    /// Returns the record of an endpoint.
    pub fn record(&self, id: &EndpointId) -> Option<VersionedRecord> {
        self.records.read().as_ref()?.get(id).cloned()
    }

    /// Takes in a record unless a younger one is known.
    pub fn insert_newer(&self, id: EndpointId, versioned: VersionedRecord) {
        let mut records = self.records.write();
        let records = records.get_or_insert_default();
        if records.get(&id).is_none_or(|known| known.revision < versioned.revision) {
            records.insert(id, versioned);
        }
    }

    /// Replaces all records by what was read at one revision.
    pub fn replace_records(&self, kvs: &[Kv]) {
        let read = kvs.iter().filter_map(parse_record).collect();
        *self.records.write() = Some(read);
        self.changed.notify_one();
    }

    fn replace_leases(&self, kvs: &[Kv]) {
        let read = kvs.iter().filter_map(parse_lease).collect();
        *self.leases.write() = Some(Arc::new(read));
        self.changed.notify_one();
    }

    fn update_leases(&self, change: impl FnOnce(&mut Leases)) {
        change(Arc::make_mut(self.leases.write().get_or_insert_default()));
    }

    fn apply(&self, prefix: &'static str, change: &Change) {
        match (prefix, change) {
            (LEASE_PREFIX, Change::Put(kv)) => {
                self.update_leases(|leases| leases.extend(parse_lease(kv)));
            }
            (LEASE_PREFIX, Change::Delete(key)) => {
                let id = key.strip_prefix(LEASE_PREFIX).unwrap_or(key);
                self.update_leases(|leases| _ = leases.remove(id));
            }
            (_, Change::Put(kv)) => {
                if let Some((id, versioned)) = parse_record(kv) {
                    self.insert_newer(id, versioned);
                }
            }
            (_, Change::Delete(key)) => {
                let id = key.strip_prefix(RECORD_PREFIX).unwrap_or(key);
                self.records.write().get_or_insert_default().remove(id);
            }
        }
        self.changed.notify_one();
    }

    /// Waits until something changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// Parses the record of an endpoint.
pub fn parse_record(kv: &Kv) -> Option<(EndpointId, VersionedRecord)> {
    let id = kv.key.strip_prefix(RECORD_PREFIX)?;
    match serde_json::from_slice(&kv.value) {
        Ok(record) => Some((id.into(), VersionedRecord { record, revision: kv.revision })),
        Err(err) => {
            log::error!("unreadable record {}: {err}", kv.key);
            None
        }
    }
}

fn parse_lease(kv: &Kv) -> Option<(InstanceId, Lease)> {
    let id = kv.key.strip_prefix(LEASE_PREFIX)?;
    let incarnation = incarnation_of(kv)?;
    Some((id.into(), Lease { incarnation, revision: kv.revision }))
}

/// Reads and watches leases and records.
pub async fn run(node: Arc<Node>) {
    let spread = MAX_START_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
    sleep(spread).await;
    tokio::join!(run_watch(&node, LEASE_PREFIX), run_watch(&node, RECORD_PREFIX));
}

async fn run_watch(node: &Node, prefix: &'static str) {
    loop {
        if let Err(err) = read_and_watch(node, prefix).await {
            log::debug!("watch of {prefix}: {err}");
        }
        let period = RETRY_BACKOFF.mul_f64(rand::rng().random_range(0.5..1.5));
        sleep(period).await;
    }
}

async fn read_and_watch(node: &Node, prefix: &'static str) -> Result<(), PlatformError> {
    let registry = &node.stewarded.registry;
    let snapshot = node.platform.range(prefix).await?;
    match prefix {
        LEASE_PREFIX => registry.replace_leases(&snapshot.kvs),
        _ => registry.replace_records(&snapshot.kvs),
    }
    let mut watch = node.platform.watch(prefix, snapshot.revision + 1).await?;
    loop {
        let (changes, _) = watch.next().await?;
        for change in &changes {
            registry.apply(prefix, change);
        }
    }
}
