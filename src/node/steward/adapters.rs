//! Has a request's adapter loaded before the request is sent.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::orders::new_order_id;
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
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time for an adapter order to be answered.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// An adapter that stays resident until this is dropped.
pub struct AdapterPin {
    node: Arc<Node>,
    endpoint: EndpointId,
    key: Option<AdapterKey>,
}

impl Drop for AdapterPin {
    fn drop(&mut self) {
        let Some(key) = &self.key else { return };
        self.node.stewarded.endpoints.with(&self.endpoint, |s| s.ledger.release_adapter(key));
    }
}

/// Waits until a request's adapter is resident, having it loaded where it is not.
pub async fn ensure_loaded(
    node: &Arc<Node>,
    endpoint: &EndpointId,
    work: &Work,
) -> Result<AdapterPin, Code> {
    let pin = |key| AdapterPin { node: node.clone(), endpoint: endpoint.clone(), key };
    if work.adapter.is_empty() {
        return Ok(pin(None));
    }
    let key: AdapterKey = (work.model.as_str().into(), work.adapter.as_str().into());
    let config = node.config().ok_or(Code::NoConfig)?;
    let spec = config.models.get(&key.0).ok_or(Code::ModelUnknown)?;
    let bytes = *spec.adapters.get(&key.1).ok_or(Code::ModelUnknown)?;
    let deadline = Time::now() + Duration::from_millis(work.remaining_ms);
    while Time::now() < deadline {
        let (id, duty) = (new_order_id(node), node.authority());
        let wanted = node.stewarded.endpoints.with(endpoint, |stewarded| {
            let want = stewarded.ledger.next_adapter_step(&key, bytes, id, duty, Time::now());
            (want, stewarded.client.clone())
        });
        let (want, client) = wanted.ok_or(Code::NotSteward)?;
        match want {
            AdapterStep::Ready => return Ok(pin(Some(key))),
            // The order ends in a task of its own, also when the caller leaves meanwhile.
            AdapterStep::Send(order) => {
                let sent = tokio::spawn(send_order(node.clone(), endpoint.clone(), client, order));
                let _ = sent.await;
            }
            AdapterStep::Wait => sleep(POLL_INTERVAL).await,
        }
    }
    Err(Code::DeadlinePassed)
}

async fn send_order(
    node: Arc<Node>,
    endpoint: EndpointId,
    client: Arc<EndpointClient>,
    order: Order,
) {
    let reply = client.send_order(&order, ORDER_TIMEOUT).await.ok();
    node.stewarded.endpoints.with(&endpoint, |stewarded| {
        stewarded.ledger.record_adapter_response(&order, reply.as_ref(), Time::now());
    });
}
