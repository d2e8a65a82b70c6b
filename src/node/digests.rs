//! Publishes digests of this instance's endpoints and demand, and applies those of its peers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::sleep;

use super::Node;
use crate::{
    clock::Time,
    kernel::{placement::Averages, routing::is_significant_change},
    names::Model,
    shards::Shards,
    wire::{Digest, EndpointDigest, ModelDemand},
};

/// Time between two checks for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time between two digests without a change.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Least demand of a model that is sent, in tokens a second.
const MIN_DEMAND: f64 = 1.0;

/// The demand that this instance sees as an entry instance.
#[derive(Default)]
pub struct DemandTracker {
    /// Number of the last digest.
    number: AtomicU64,
    models: Shards<Model, ModelLoad>,
}

/// The demand of one model.
#[derive(Default)]
struct ModelLoad {
    /// Moving averages of the requested tokens.
    averages: Averages,
    /// Number of requests that wait for a replica.
    waiting: u32,
}

/// Counts a request as waiting for a replica of its model until it is dropped.
pub struct WaitGuard<'a> {
    demand: &'a DemandTracker,
    model: Model,
}

impl DemandTracker {
    /// Records a request of `tokens` for a model.
    pub fn record(&self, model: &Model, tokens: u64) {
        let now = Time::now();
        self.models.with_or_insert(model.clone(), ModelLoad::default, |load| {
            load.averages.record(tokens, now)
        });
    }

    /// Counts a request as waiting for a replica until the returned guard is dropped.
    pub fn begin_wait(&self, model: &Model) -> WaitGuard<'_> {
        self.models.with_or_insert(model.clone(), ModelLoad::default, |load| load.waiting += 1);
        WaitGuard { demand: self, model: model.clone() }
    }

    /// Returns the demand of every model with waiting requests or at least [`MIN_DEMAND`], and removes
    /// the other models.
    fn snapshot(&self, now: Time) -> Vec<ModelDemand> {
        let mut demand = Vec::new();
        self.models.retain(|model, load| {
            let (fast, slow) = (load.averages.fast(now), load.averages.slow(now));
            let is_kept = load.waiting > 0 || fast.max(slow) >= MIN_DEMAND;
            if is_kept {
                demand.push(ModelDemand {
                    model: model.to_string(),
                    fast: fast as u64,
                    slow: slow as u64,
                    waiting: load.waiting,
                });
            }
            is_kept
        });
        demand
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.demand.models.with(&self.model, |load| {
            load.waiting = load.waiting.saturating_sub(1);
        });
    }
}

/// Publishes a digest after a significant change, and at the refresh interval.
pub async fn run(node: Arc<Node>) {
    let mut sent: Vec<EndpointDigest> = Vec::new();
    let mut last_refresh: Option<Time> = None;
    loop {
        let now = Time::now();
        let endpoints = node.stewarded.digests();
        let needs_refresh = last_refresh.is_none_or(|at| now.since(at) >= REFRESH_INTERVAL);
        if needs_refresh || is_significant_change(&sent, &endpoints) {
            sent.clone_from(&endpoints);
            last_refresh = Some(now);
            publish(&node, endpoints, now);
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Sends a digest to all peers and applies it to this instance's directory.
fn publish(node: &Node, endpoints: Vec<EndpointDigest>, now: Time) {
    let digest = Digest {
        instance: node.settings.instance.to_string(),
        incarnation: node.incarnation,
        number: node.demand.number.fetch_add(1, Ordering::Relaxed) + 1,
        endpoints,
        demand: node.demand.snapshot(now),
    };
    node.peers.send_digest(&digest);
    node.directory.write().update(digest);
}

/// Applies a digest of a peer.
pub fn apply(node: &Node, digest: Digest) {
    node.directory.write().update(digest);
}
