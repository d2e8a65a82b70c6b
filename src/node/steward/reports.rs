//! Reads the reports of the engines of this instance and closes the orders that reports confirm.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use rand::RngExt;
use tokio::time::sleep;

use super::{crash, orders::new_order_id, write::write_record};
use crate::{clock::Time, kernel::stewardship::Authority, names::EndpointId, node::Node};

/// Time between two reads of every report, with a random factor.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for the response to a probe, which changes nothing and may be repeated.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the report of every engine at an interval.
pub async fn run(node: Arc<Node>) {
    loop {
        let ids = node.stewarded.endpoints.keys();
        join_all(ids.iter().map(|id| update_endpoint(&node, id))).await;
        let interval = REPORT_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2));
        sleep(interval).await;
    }
}

/// Reads one engine's report, and updates its ledger and its record.
async fn update_endpoint(node: &Arc<Node>, id: &EndpointId) {
    let client = node
        .stewarded
        .endpoints
        .with(id, |endpoint| endpoint.is_engine().then(|| endpoint.client.clone()));
    let Some(Some(client)) = client else { return };
    if let Ok(report) = client.fetch_report().await {
        node.stewarded.endpoints.with(id, |endpoint| {
            crash::apply_report(node, endpoint, report);
        });
    }
    if node.authority() != Authority::Full {
        return;
    }
    probe(node, id).await;
    let dirty = node.stewarded.endpoints.with(id, |endpoint| {
        endpoint.ledger.remove_closed(Time::now());
        endpoint.ledger.is_dirty()
    });
    if dirty == Some(true) {
        // After a failed write the record stays dirty and is written with the next report.
        let _ = write_record(node, id, |_| {}).await;
    }
}

/// Sends a probe for the endpoint's state if the TTL of an order expired without an outcome.
async fn probe(node: &Arc<Node>, id: &EndpointId) {
    let sent = Time::now();
    let probe = node.stewarded.endpoints.with(id, |endpoint| {
        let order = endpoint.ledger.probe(new_order_id(node), sent)?;
        Some((order, endpoint.client.clone()))
    });
    let Some(Some((order, client))) = probe else { return };
    if let Ok(reply) = client.send_order(&order, PROBE_TIMEOUT).await {
        node.stewarded
            .endpoints
            .with(id, |endpoint| endpoint.ledger.record_probe_response(&reply, sent));
    }
}
