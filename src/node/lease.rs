//! This instance's lease at the platform's service.
//!
//! An instance may act as a steward or as the planner only while it holds its lease.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use rand::RngExt;
use tokio::time::sleep;

use super::{Node, steward};
use crate::{
    clock::Time,
    events::Event,
    kernel::{
        freshness::Freshness,
        stewardship::{Authority, LEASE_TTL, LeaseTracker, RENEW_INTERVAL, lease_key},
    },
    platform::{Kv, LeaseId, PlatformError, Put, Txn},
};

/// Wait after a failed attempt to acquire or renew the lease, with a random factor.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// Time between two decisions on the authority, well below the limit that detects a pause.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The lease of this instance.
#[derive(Default)]
pub struct InstanceLease {
    /// Renewals and outages of the lease, on which the authority depends.
    tracker: Mutex<LeaseTracker>,
    /// The lease at the service, or `None` before it was acquired and after it was lost.
    held: Mutex<Option<HeldLease>>,
    /// Whether the lease was released because the instance shuts down.
    ended: AtomicBool,
}

/// A lease that the service granted.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: LeaseId,
    revision: i64,
}

impl InstanceLease {
    /// Returns the revision of the lease's record.
    ///
    /// Transactions of the steward and the planner expect it, so that they fail without the lease.
    pub fn revision(&self) -> Option<i64> {
        self.held.lock().map(|held| held.revision)
    }

    /// Returns whether the lease is certainly still held.
    pub fn is_held(&self) -> bool {
        self.tracker.lock().is_held(Time::now())
    }
}

impl Node {
    /// Decides what this instance may do as a steward now.
    pub fn authority(&self) -> Authority {
        let held = self.lease.is_held();
        let freshness = if held { Freshness::Fresh } else { self.freshness() };
        self.lease.tracker.lock().next_authority(freshness, Time::now())
    }
}

/// Acquires the lease and renews it until it is released.
pub async fn run(node: Arc<Node>) {
    tokio::join!(run_renewals(&node), run_checks(&node));
}

/// Updates the authority at an interval, so that a pause of the process is detected.
async fn run_checks(node: &Node) {
    loop {
        node.authority();
        sleep(CHECK_INTERVAL).await;
    }
}

/// Renews or acquires the lease at an interval, and records the first of several failures in a row.
async fn run_renewals(node: &Arc<Node>) {
    let mut failing = false;
    while !node.lease.ended.load(Ordering::Acquire) {
        let outcome = renew_or_acquire(node).await;
        if let Err(err) = &outcome
            && !failing
        {
            let instance = node.settings.instance.as_str();
            node.timeline.record(Event::LeaseRenewFailed, instance, err.to_string());
        }
        failing = outcome.is_err();
        let wait = if failing { RETRY_BACKOFF } else { RENEW_INTERVAL };
        let wait = wait.mul_f64(rand::rng().random_range(0.8..1.0));
        sleep(wait).await;
    }
}

/// Renews the lease, or acquires a new one if there is none or it has expired.
async fn renew_or_acquire(node: &Arc<Node>) -> Result<(), PlatformError> {
    let held = *node.lease.held.lock();
    let Some(held) = held else { return acquire(node).await };
    let sent = Time::now();
    if node.platform.renew(held.id).await? {
        if !node.lease.is_held() {
            steward::drop_substitutes(node);
        }
        node.lease.tracker.lock().record_renewal(sent);
        return Ok(());
    }
    *node.lease.held.lock() = None;
    if node.lease.is_held() {
        node.lease.tracker.lock().record_end();
    }
    acquire(node).await
}

/// Acquires a lease and writes its record; fails while an earlier process holds one.
async fn acquire(node: &Arc<Node>) -> Result<(), PlatformError> {
    let sent = Time::now();
    let id = node.platform.grant(LEASE_TTL).await?;
    let key = lease_key(&node.settings.instance);
    let value = node.incarnation.to_string().into_bytes();
    let put = Put { key: key.clone(), value, lease: id };
    let txn = Txn { expect: vec![(key, 0)], puts: vec![put], deletes: Vec::new() };
    let reply = node.platform.commit(&txn).await?;
    if reply.succeeded {
        return start_lease(node, HeldLease { id, revision: reply.revision }, sent).await;
    }
    node.platform.revoke(id).await?;
    match reply.current.first() {
        Some(kv) if incarnation_of(kv) == Some(node.incarnation) => adopt(node, kv).await,
        _ => Err(PlatformError::Refused("an earlier process holds the lease".to_owned())),
    }
}

/// Adopts a lease of this process whose record was written although the response was lost.
async fn adopt(node: &Arc<Node>, kv: &Kv) -> Result<(), PlatformError> {
    let sent = Time::now();
    if !node.platform.renew(kv.lease).await? {
        return Err(PlatformError::Refused("the earlier lease just ended".to_owned()));
    }
    start_lease(node, HeldLease { id: kv.lease, revision: kv.revision }, sent).await
}

/// Starts to use a new lease, after dropping the endpoints that other instances took over.
async fn start_lease(node: &Arc<Node>, held: HeldLease, sent: Time) -> Result<(), PlatformError> {
    steward::drop_superseded(node).await?;
    *node.lease.held.lock() = Some(held);
    node.lease.tracker.lock().record_renewal(sent);
    Ok(())
}

/// Returns the incarnation in a lease's record, or `None` if it cannot be parsed.
pub fn incarnation_of(kv: &Kv) -> Option<u64> {
    std::str::from_utf8(&kv.value).ok()?.parse().ok()
}

/// Releases the lease, after the endpoints were handed over.
pub async fn release(node: &Node) {
    node.lease.ended.store(true, Ordering::Release);
    node.lease.tracker.lock().record_end();
    let held = node.lease.held.lock().take();
    if let Some(held) = held {
        // A lease that cannot be revoked expires.
        let _ = node.platform.revoke(held.id).await;
    }
}
