//! Follows the leases and the endpoint records at the platform's service by watches.

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

/// Longest wait before the first read, so that the reads of a fleet that starts at once are spread.
const MAX_START_DELAY: Duration = Duration::from_millis(300);

/// Wait after a watch ended before the next read and watch, with a random factor.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// The records of all endpoints.
pub type Records = BTreeMap<EndpointId, VersionedRecord>;

/// An endpoint's record and the revision of its last write.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedRecord {
    /// The record.
    pub record: EndpointRecord,
    /// Revision of the record's last write.
    pub revision: i64,
}

/// The leases and records as last read or watched; each is `None` until the first read.
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

    /// Returns the endpoints for whose record `is_vacant` holds, with the records.
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

    /// Returns the record of an endpoint, or `None` if there is none or before the first read.
    pub fn record(&self, id: &EndpointId) -> Option<VersionedRecord> {
        self.records.read().as_ref()?.get(id).cloned()
    }

    /// Inserts a record unless one of the same or a later revision is known.
    pub fn insert_newer(&self, id: EndpointId, versioned: VersionedRecord) {
        let mut records = self.records.write();
        let records = records.get_or_insert_default();
        if records.get(&id).is_none_or(|known| known.revision < versioned.revision) {
            records.insert(id, versioned);
        }
    }

    /// Replaces all records with those that were read at one revision.
    pub fn replace_records(&self, kvs: &[Kv]) {
        let records = kvs.iter().filter_map(parse_record).collect();
        *self.records.write() = Some(records);
        self.changed.notify_one();
    }

    /// Replaces all leases with those that were read at one revision.
    fn replace_leases(&self, kvs: &[Kv]) {
        let leases = kvs.iter().filter_map(parse_lease).collect();
        *self.leases.write() = Some(Arc::new(leases));
        self.changed.notify_one();
    }

    /// Changes the known leases; they are empty before the first read.
    fn update_leases(&self, change: impl FnOnce(&mut Leases)) {
        change(Arc::make_mut(self.leases.write().get_or_insert_default()));
    }

    /// Applies one change that a watch of `prefix` reported.
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

    /// Waits until a lease or a record changes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// Parses the record of an endpoint; logs a record that cannot be read and returns `None` for it.
pub fn parse_record(kv: &Kv) -> Option<(EndpointId, VersionedRecord)> {
    let id = kv.key.strip_prefix(RECORD_PREFIX)?;
    match serde_json::from_slice(&kv.value) {
        Ok(record) => Some((id.into(), VersionedRecord { record, revision: kv.revision })),
        Err(err) => {
            log::error!("cannot parse the endpoint record {}: {err}", kv.key);
            None
        }
    }
}

/// Parses the lease of an instance, or returns `None` for one that cannot be read.
fn parse_lease(kv: &Kv) -> Option<(InstanceId, Lease)> {
    let id = kv.key.strip_prefix(LEASE_PREFIX)?;
    let incarnation = incarnation_of(kv)?;
    Some((id.into(), Lease { incarnation, revision: kv.revision }))
}

/// Reads and watches the leases and the records.
pub async fn run(node: Arc<Node>) {
    let delay = MAX_START_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
    sleep(delay).await;
    tokio::join!(run_watch(&node, LEASE_PREFIX), run_watch(&node, RECORD_PREFIX));
}

/// Reads and watches the keys with one prefix, and starts over whenever the watch ends.
async fn run_watch(node: &Node, prefix: &'static str) {
    loop {
        if let Err(err) = read_and_watch(node, prefix).await {
            log::debug!("cannot read or watch the keys of {prefix}: {err}");
        }
        let backoff = RETRY_BACKOFF.mul_f64(rand::rng().random_range(0.5..1.5));
        sleep(backoff).await;
    }
}

/// Reads all keys with one prefix and applies changes until the watch fails.
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
