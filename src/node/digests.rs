//! Publishes what this node stewards and takes in what the others do.

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

/// Time between two looks for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a digest is sent without a change.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Tokens a second below which a model's demand is not sent.
const MIN_DEMAND: f64 = 1.0;

/// Demand seen by this node as an entry instance.
#[derive(Default)]
pub struct DemandTracker {
    number: AtomicU64,
    models: Shards<Model, ModelLoad>,
}

/// Demand for one model.
#[derive(Default)]
struct ModelLoad {
    averages: Averages,
    waiting: u32,
}

/// A request that waits because no copy of its model is resident.
pub struct WaitGuard<'a> {
    demand: &'a DemandTracker,
    model: Model,
}

impl DemandTracker {
    /// Counts a request of so many tokens for a model.
    pub fn record(&self, model: &Model, tokens: u64) {
        let now = Time::now();
        self.models.with_or_insert(model.clone(), ModelLoad::default, |wanted| {
            wanted.averages.record(tokens, now)
        });
    }

    /// Counts a request as waiting for a copy until the returned guard is dropped.
    pub fn begin_wait(&self, model: &Model) -> WaitGuard<'_> {
        self.models.with_or_insert(model.clone(), ModelLoad::default, |wanted| wanted.waiting += 1);
        WaitGuard { demand: self, model: model.clone() }
    }

    fn snapshot(&self, now: Time) -> Vec<ModelDemand> {
        let mut demand = Vec::new();
        self.models.retain(|model, wanted| {
            let (fast, slow) = (wanted.averages.fast(now), wanted.averages.slow(now));
            let kept = wanted.waiting > 0 || fast.max(slow) >= MIN_DEMAND;
            if kept {
                demand.push(ModelDemand {
                    model: model.to_string(),
                    fast: fast as u64,
                    slow: slow as u64,
                    waiting: wanted.waiting,
                });
            }
            kept
        });
        demand
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.demand.models.with(&self.model, |wanted| {
            wanted.waiting = wanted.waiting.saturating_sub(1);
        });
    }
}

/// Publishes digests where something changed, and a refresh from time to time.
pub async fn run(node: Arc<Node>) {
    let mut sent: Vec<EndpointDigest> = Vec::new();
    let mut refreshed: Option<Time> = None;
    loop {
        let now = Time::now();
        let endpoints = node.stewarded.digests();
        let due = refreshed.is_none_or(|at| now.since(at) >= REFRESH_INTERVAL);
        if due || is_significant_change(&sent, &endpoints) {
            sent.clone_from(&endpoints);
            refreshed = Some(now);
            publish(&node, endpoints, now);
        }
        sleep(CHECK_INTERVAL).await;
    }
}

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

/// Takes in a digest of a peer.
pub fn apply(node: &Node, digest: Digest) {
    node.directory.write().update(digest);
}
