//! Reads the reports of the endpoints that this node stewards.

use std::sync::Arc;

use crate::{config::PoolKind, node::Node};

/// Reads every engine's report once.
pub async fn read_reports(node: &Arc<Node>) {
    for id in node.stewards.endpoints.keys() {
        let client = node.stewards.endpoints.with(&id, |stewarded| {
            (stewarded.pool.kind == PoolKind::Engine).then(|| stewarded.client.clone())
        });
        let Some(Some(client)) = client else { continue };
        if let Ok(report) = client.report().await {
            node.stewards.endpoints.with(&id, |stewarded| {
                super::crash::take_report(node, stewarded, &report);
                stewarded.report = Some(report);
            });
        }
    }
}
