//! Reads the platform's list of instances and endpoints.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use tokio::time::sleep;

use super::Node;

/// Time between two reads of the list, with a random factor.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the list at an interval; while the platform is down, the last list stays in use.
pub async fn run(node: Arc<Node>) {
    loop {
        if let Ok(list) = node.platform.fetch_list().await
            && list != **node.list.load()
        {
            node.list.store(Arc::new(list));
            node.peers.apply_list(&node);
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(POLL_INTERVAL.mul_f64(jitter)).await;
    }
}
