//! Has a request's adapter loaded before the request is sent.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::orders::next_order;
use crate::{
    clock::Time,
    codes::Code,
    endpoint::{EndpointClient, Order},
    kernel::ledger::{AdapterKey, AdapterStep},
    names::EndpointId,
    node::Node,
    wire::Work,
};

/// Time between two looks for an adapter that others load, or for room.
const LOOK_PERIOD: Duration = Duration::from_millis(5);

/// Longest time for an adapter order to be answered.
const ORDER_LIMIT: Duration = Duration::from_secs(2);

/// An adapter that stays resident until this is dropped.
pub struct Pin {
    node: Arc<Node>,
    endpoint: EndpointId,
    key: Option<AdapterKey>,
}

impl Drop for Pin {
    fn drop(&mut self) {
        let Some(key) = &self.key else { return };
        self.node.stewards.endpoints.with(&self.endpoint, |s| s.ledger.release_adapter(key));
    }
}

/// Waits until a request's adapter is resident, having it loaded where it is not.
pub async fn ensure(node: &Arc<Node>, endpoint: &EndpointId, work: &Work) -> Result<Pin, Code> {
    let pin = |key| Pin { node: node.clone(), endpoint: endpoint.clone(), key };
    if work.adapter.is_empty() {
        return Ok(pin(None));
    }
    let key: AdapterKey = (work.model.as_str().into(), work.adapter.as_str().into());
    let config = node.config().ok_or(Code::NoConfig)?;
    let spec = config.models.get(&key.0).ok_or(Code::ModelUnknown)?;
    let bytes = *spec.adapters.get(&key.1).ok_or(Code::ModelUnknown)?;
    let deadline = Time::now() + Duration::from_millis(work.left_ms);
    while Time::now() < deadline {
        let (id, duty) = (next_order(node), node.duty());
        let wanted = node.stewards.endpoints.with(endpoint, |stewarded| {
            let want = stewarded.ledger.next_adapter_step(&key, bytes, id, duty, Time::now());
            (want, stewarded.client.clone())
        });
        let (want, client) = wanted.ok_or(Code::NotSteward)?;
        match want {
            AdapterStep::Ready => return Ok(pin(Some(key))),
            // The order ends in a task of its own, also when the caller leaves meanwhile.
            AdapterStep::Send(order) => {
                let sent = tokio::spawn(send(node.clone(), endpoint.clone(), client, order));
                let _ = sent.await;
            }
            AdapterStep::Wait => sleep(LOOK_PERIOD).await,
        }
    }
    Err(Code::DeadlinePassed)
}

async fn send(node: Arc<Node>, endpoint: EndpointId, client: Arc<EndpointClient>, order: Order) {
    let reply = client.send_order(&order, ORDER_LIMIT).await.ok();
    node.stewards.endpoints.with(&endpoint, |stewarded| {
        stewarded.ledger.record_adapter_response(&order, reply.as_ref(), Time::now());
    });
}
