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
use crate::wire::Digest;

const PERIOD: Duration = Duration::from_millis(250);

/// Demand seen by this node as an entry instance.
#[derive(Default)]
pub struct Demand {
    number: AtomicU64,
}

/// Publishes digests.
pub async fn run(node: Arc<Node>) {
    loop {
        let digest = Digest {
            instance: node.settings.instance.to_string(),
            incarnation: node.incarnation,
            number: node.demand.number.fetch_add(1, Ordering::Relaxed) + 1,
            endpoints: node.stewards.digests(),
            demand: Vec::new(),
        };
        node.peers.publish(&digest);
        node.directory.write().update(digest);
        sleep(PERIOD).await;
    }
}

/// Takes in a digest of a peer.
pub fn take(node: &Node, digest: Digest) {
    node.directory.write().update(digest);
}
