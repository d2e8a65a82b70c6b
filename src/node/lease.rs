//! This instance's lease at the platform's service, on which all its duties rest.

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

/// Time between two tries to get or renew the lease while the service does not answer.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// Time between two decisions; it stays well below the limit that tells a pause.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The lease and what its holder may count on.
#[derive(Default)]
pub struct InstanceLease {
    tenure: Mutex<LeaseTracker>,
    held: Mutex<Option<HeldLease>>,
    ended: AtomicBool,
}

/// The lease as the service knows it.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: LeaseId,
    revision: i64,
}

impl InstanceLease {
    /// Returns the revision of the lease's record, which duties expect in their transactions.
    pub fn revision(&self) -> Option<i64> {
        self.held.lock().map(|held| held.revision)
    }

    /// Returns whether the lease is surely still held.
    pub fn is_held(&self) -> bool {
        self.tenure.lock().is_held(Time::now())
    }
}

impl Node {
    /// Decides what this instance may do as a steward now.
    pub fn authority(&self) -> Authority {
        let held = self.lease.is_held();
        let freshness = if held { Freshness::Fresh } else { self.freshness() };
        self.lease.tenure.lock().next_authority(freshness, Time::now())
    }
}

/// Gets the lease and keeps it.
pub async fn run(node: Arc<Node>) {
    tokio::join!(run_renewals(&node), run_checks(&node));
}

async fn run_checks(node: &Node) {
    loop {
        node.authority();
        sleep(CHECK_INTERVAL).await;
    }
}

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
        let period = if failing { RETRY_BACKOFF } else { RENEW_INTERVAL };
        let period = period.mul_f64(rand::rng().random_range(0.8..1.0));
        sleep(period).await;
    }
}

/// Renews the lease, or gets a new one where there is none.
async fn renew_or_acquire(node: &Arc<Node>) -> Result<(), PlatformError> {
    let held = *node.lease.held.lock();
    let Some(held) = held else { return acquire(node).await };
    let sent = Time::now();
    if node.platform.renew(held.id).await? {
        if !node.lease.is_held() {
            steward::drop_substitutes(node);
        }
        node.lease.tenure.lock().record_renewal(sent);
        return Ok(());
    }
    *node.lease.held.lock() = None;
    if node.lease.is_held() {
        node.lease.tenure.lock().record_end();
    }
    acquire(node).await
}

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

/// Goes on with a lease of this process whose answer was lost.
async fn adopt(node: &Arc<Node>, kv: &Kv) -> Result<(), PlatformError> {
    let sent = Time::now();
    if !node.platform.renew(kv.lease).await? {
        return Err(PlatformError::Refused("the earlier lease just ended".to_owned()));
    }
    start_lease(node, HeldLease { id: kv.lease, revision: kv.revision }, sent).await
}

/// Starts a new lease: what others took over in the meantime is dropped before anything is done.
async fn start_lease(node: &Arc<Node>, held: HeldLease, sent: Time) -> Result<(), PlatformError> {
    steward::drop_superseded(node).await?;
    *node.lease.held.lock() = Some(held);
    node.lease.tenure.lock().record_renewal(sent);
    Ok(())
}

/// Returns the incarnation that a lease's record names.
pub fn incarnation_of(kv: &Kv) -> Option<u64> {
    std::str::from_utf8(&kv.value).ok()?.parse().ok()
}

/// Gives the lease back, after all duties were handed over.
pub async fn release(node: &Node) {
    node.lease.ended.store(true, Ordering::Release);
    node.lease.tenure.lock().record_end();
    let held = node.lease.held.lock().take();
    if let Some(held) = held {
        // A lease that cannot be given back ends by itself.
        let _ = node.platform.revoke(held.id).await;
    }
}
