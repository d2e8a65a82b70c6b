//! Reads the reports of the endpoints that this node stewards and closes their orders.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use rand::RngExt;
use tokio::time::sleep;

use super::{crash, orders::new_order_id, write::write_record};
use crate::{clock::Time, kernel::stewardship::Authority, names::EndpointId, node::Node};

const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time for a probe to be answered; it changes nothing, so that it may be sent again.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads every engine's report again and again.
pub async fn run(node: Arc<Node>) {
    loop {
        let ids = node.stewarded.endpoints.keys();
        join_all(ids.iter().map(|id| update_endpoint(&node, id))).await;
        let period = REPORT_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2));
        sleep(period).await;
    }
}

/// Reads one engine's report and brings its ledger and record up to date.
async fn update_endpoint(node: &Arc<Node>, id: &EndpointId) {
    let client = node
        .stewarded
        .endpoints
        .with(id, |stewarded| stewarded.is_engine().then(|| stewarded.client.clone()));
    let Some(Some(client)) = client else { return };
    if let Ok(report) = client.fetch_report().await {
        node.stewarded.endpoints.with(id, |stewarded| {
            crash::apply_report(node, stewarded, report);
        });
    }
    if node.authority() != Authority::Full {
        return;
    }
    probe(node, id).await;
    let dirty = node.stewarded.endpoints.with(id, |stewarded| {
        stewarded.ledger.remove_closed(Time::now());
        stewarded.ledger.is_dirty()
    });
    if dirty == Some(true) {
        // What was not written now is written with the next report.
        let _ = write_record(node, id, |_| {}).await;
    }
}

/// Asks for the endpoint's state where orders have outlived their life.
async fn probe(node: &Arc<Node>, id: &EndpointId) {
    let sent = Time::now();
    let wanted = node.stewarded.endpoints.with(id, |stewarded| {
        let order = stewarded.ledger.probe(new_order_id(node), sent)?;
        Some((order, stewarded.client.clone()))
    });
    let Some(Some((order, client))) = wanted else { return };
    if let Ok(reply) = client.send_order(&order, PROBE_TIMEOUT).await {
        node.stewarded
            .endpoints
            .with(id, |stewarded| stewarded.ledger.record_probe_response(&reply, sent));
    }
}
