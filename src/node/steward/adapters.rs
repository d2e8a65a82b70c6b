//! Makes sure that a request's adapter is loaded before the request is sent to the endpoint.

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

/// Time between two checks whether an adapter was loaded for another request, or memory got free.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longest wait for the response to an adapter order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps an adapter resident until it is dropped.
pub struct AdapterPin {
    node: Arc<Node>,
    endpoint: EndpointId,
    /// The adapter, or `None` for a request without one.
    key: Option<AdapterKey>,
}

impl Drop for AdapterPin {
    fn drop(&mut self) {
        let Some(key) = &self.key else { return };
        self.node.stewarded.endpoints.with(&self.endpoint, |s| s.ledger.release_adapter(key));
    }
}

/// Waits until a request's adapter is resident, and orders the load if nobody else does.
///
/// Fails with the code for the caller if the adapter is unknown, the endpoint was lost or the
/// deadline passed.
pub async fn ensure_loaded(
    node: &Arc<Node>,
    endpoint_id: &EndpointId,
    work: &Work,
) -> Result<AdapterPin, Code> {
    let pin = |key| AdapterPin { node: node.clone(), endpoint: endpoint_id.clone(), key };
    if work.adapter.is_empty() {
        return Ok(pin(None));
    }
    let key: AdapterKey = (work.model.as_str().into(), work.adapter.as_str().into());
    let config = node.config().ok_or(Code::NoConfig)?;
    let spec = config.models.get(&key.0).ok_or(Code::ModelUnknown)?;
    let bytes = *spec.adapters.get(&key.1).ok_or(Code::ModelUnknown)?;
    let deadline = Time::now() + Duration::from_millis(work.remaining_ms);
    while Time::now() < deadline {
        let (order_id, authority) = (new_order_id(node), node.authority());
        let next = node.stewarded.endpoints.with(endpoint_id, |endpoint| {
            let step =
                endpoint.ledger.next_adapter_step(&key, bytes, order_id, authority, Time::now());
            (step, endpoint.client.clone())
        });
        let (step, client) = next.ok_or(Code::NotSteward)?;
        match step {
            AdapterStep::Ready => return Ok(pin(Some(key))),
            // A task of its own completes the order even if the caller leaves meanwhile.
            AdapterStep::Send(order) => {
                let sent =
                    tokio::spawn(send_order(node.clone(), endpoint_id.clone(), client, order));
                let _ = sent.await;
            }
            AdapterStep::Wait => sleep(POLL_INTERVAL).await,
        }
    }
    Err(Code::DeadlinePassed)
}

/// Sends an adapter order and records its outcome in the ledger.
async fn send_order(node: Arc<Node>, id: EndpointId, client: Arc<EndpointClient>, order: Order) {
    let reply = client.send_order(&order, ORDER_TIMEOUT).await.ok();
    node.stewarded.endpoints.with(&id, |endpoint| {
        endpoint.ledger.record_adapter_response(&order, reply.as_ref(), Time::now());
    });
}
