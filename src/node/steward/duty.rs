//! Takes, keeps and hands over stewardships.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::{Stewarded, reports::read_reports};
use crate::{
    endpoint::EndpointClient,
    events::Event,
    kernel::{ledger::EndpointRecord, stewardship, warmup::Warmth},
    node::Node,
    platform::{Kv, ListedEndpoint, ListedState, Put},
};

const PERIOD: Duration = Duration::from_millis(250);

/// Takes the endpoints that belong to this node and reads their reports.
pub async fn run(node: Arc<Node>) {
    loop {
        take_missing(&node).await;
        read_reports(&node).await;
        sleep(PERIOD).await;
    }
}

async fn take_missing(node: &Arc<Node>) {
    let list = node.list.load_full();
    let mine = |endpoint: &&ListedEndpoint| {
        let ranked = stewardship::ranked(endpoint, &list);
        endpoint.state == ListedState::Live && ranked.first() == Some(&node.settings.instance)
    };
    for endpoint in list.endpoints.iter().filter(mine) {
        if node.stewards.endpoints.with(&endpoint.id, |_| ()).is_none() {
            take(node, endpoint).await;
        }
    }
}

async fn take(node: &Node, endpoint: &ListedEndpoint) {
    let Some(config) = node.config() else { return };
    let Some(pool) = config.pools.get(&endpoint.pool).cloned() else { return };
    let key = stewardship::record_key(&endpoint.id);
    let Ok(current) = node.platform.get(&key).await else { return };
    let revision = current.as_ref().map_or(0, |kv| kv.revision);
    let previous = current.as_ref().map(parse).unwrap_or_default();
    let record = EndpointRecord {
        holder: Some(node.settings.instance.clone()),
        incarnation: node.incarnation,
        fence: previous.fence + 1,
        nonce: rand::random(),
        ..previous
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let Ok(reply) = node.platform.put_if(Put { key, value, lease: 0 }, revision).await else {
        return;
    };
    if !reply.done {
        return;
    }
    let detail = format!("fence={}", record.fence);
    let stewarded = Stewarded {
        listed: endpoint.clone(),
        client: Arc::new(EndpointClient::new(endpoint.address)),
        warmth: Warmth::cold(&pool),
        pool,
        record,
        revision: reply.revision,
        queue: Default::default(),
        running: 0,
        report: None,
        flow: Default::default(),
    };
    node.stewards.endpoints.insert(endpoint.id.clone(), stewarded);
    node.timeline.record(Event::StewardTaken, endpoint.id.as_str(), detail);
}

fn parse(kv: &Kv) -> EndpointRecord {
    serde_json::from_slice(&kv.value).unwrap_or_default()
}

/// Gives every stewardship back.
pub async fn hand_over(node: &Node) {
    for id in node.stewards.endpoints.keys() {
        let Some(stewarded) = node.stewards.endpoints.remove(&id) else { continue };
        let record = EndpointRecord { holder: None, nonce: rand::random(), ..stewarded.record };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let put = Put { key: stewardship::record_key(&id), value, lease: 0 };
        if node.platform.put_if(put, stewarded.revision).await.is_ok_and(|reply| reply.done) {
            node.timeline.record(Event::StewardHandedOver, id.as_str(), "");
        }
    }
}
