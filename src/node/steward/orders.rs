//! Sends load and unload orders to endpoints, after recording the intent of each.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::{StewardedEndpoint, write::write_record};
use crate::{
    clock::Time,
    endpoint::Order,
    events::Event,
    http::HttpError,
    kernel::{
        ledger::{Denial, Step},
        placement::{PLAN_KEY, PlanRecord},
        stewardship::Authority,
    },
    names::{EndpointId, Model},
    node::Node,
    wire::{Move, MoveReply},
};

/// Time between two checks whether the requests for a model have ended before its unload.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why a move was not accepted; the text goes to the planner.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum Rejected {
    #[error("not the steward of this endpoint")]
    NotSteward,
    #[error("no such model is configured for this endpoint")]
    ModelUnknown,
    #[error("{0}")]
    Denied(#[from] Denial),
    #[error("{0}")]
    NotRecorded(#[from] super::write::WriteError),
    #[error("the plan keeps the model here")]
    Kept,
    #[error("the steward may not send orders now")]
    Abandoned,
}

/// An order of this steward that is being carried out.
struct PendingOrder {
    node: Arc<Node>,
    endpoint: EndpointId,
    model: Model,
    /// Id of the order.
    order: String,
}

/// Records the intent of a move that the planner decided, and sends its order in the background.
pub async fn handle_move(node: &Arc<Node>, request: Move) -> MoveReply {
    match accept_move(node, &request).await {
        Ok(()) => MoveReply { accepted: true, reason: String::new() },
        Err(reason) => {
            let detail = format!("model={} reason={reason}", request.model);
            node.timeline.record(Event::MoveRefused, request.endpoint, detail);
            MoveReply { accepted: false, reason: reason.to_string() }
        }
    }
}

/// Returns a new order id.
pub fn new_order_id(node: &Node) -> String {
    format!("{}-{:016x}", node.settings.instance, rand::random::<u64>())
}

/// Plans an order for a move, records its intent, and spawns the task that sends it.
async fn accept_move(node: &Arc<Node>, request: &Move) -> Result<(), Rejected> {
    let pending = PendingOrder {
        node: node.clone(),
        endpoint: request.endpoint.as_str().into(),
        model: request.model.as_str().into(),
        order: new_order_id(node),
    };
    pending.plan(request.unload)?;
    loop {
        match pending.next_step()? {
            Step::Write => pending.write_intent().await?,
            Step::CheckKeeper => pending.check_keeper().await?,
            Step::Abandon => return Err(Rejected::Abandoned),
            step => {
                tokio::spawn(pending.finish(step));
                return Ok(());
            }
        }
    }
}

impl PendingOrder {
    /// Runs `f` on the endpoint's state, or fails if this instance is no longer its steward.
    fn with<T>(&self, f: impl FnOnce(&mut StewardedEndpoint) -> T) -> Result<T, Rejected> {
        self.node.stewarded.endpoints.with(&self.endpoint, f).ok_or(Rejected::NotSteward)
    }

    /// Plans the order in the ledger.
    fn plan(&self, unload: bool) -> Result<(), Rejected> {
        let config = self.node.config().ok_or(Rejected::ModelUnknown)?;
        let spec = config.models.get(&self.model).ok_or(Rejected::ModelUnknown)?;
        let (order, model) = (self.order.clone(), self.model.clone());
        self.with(|endpoint| {
            if endpoint.listed.pool != spec.pool {
                return Err(Rejected::ModelUnknown);
            }
            match unload {
                true => endpoint.ledger.plan_unload(order, model)?,
                false => endpoint.ledger.plan_load(order, model, spec.bytes)?,
            }
            Ok(())
        })?
    }

    /// Returns the next step for the order.
    fn next_step(&self) -> Result<Step, Rejected> {
        let authority = self.node.authority();
        self.with(|endpoint| {
            let running = endpoint.running_requests(&self.model);
            endpoint.ledger.next_step(&self.order, authority, running)
        })
    }

    /// Writes the intent to the endpoint's record; cancels the order if the write fails.
    async fn write_intent(&self) -> Result<(), Rejected> {
        let written = write_record(&self.node, &self.endpoint, |_| {}).await;
        if written.is_err() {
            self.cancel();
        }
        written?;
        self.record_event(Event::OrderIntent);
        Ok(())
    }

    /// Reads the plan after the intent to unload was recorded, and approves the unload only if the
    /// plan's keeper of the model is another endpoint.
    async fn check_keeper(&self) -> Result<(), Rejected> {
        let plan = self.node.platform.get(PLAN_KEY).await;
        let plan = plan.ok().flatten().and_then(|kv| serde_json::from_slice(&kv.value).ok());
        let plan: PlanRecord = plan.unwrap_or_default();
        let kept_elsewhere = plan.keepers.get(&self.model).is_some_and(|id| *id != self.endpoint);
        if kept_elsewhere {
            return self.with(|endpoint| endpoint.ledger.approve(&self.order));
        }
        self.cancel();
        // If this fails, the next write removes the intent from the record.
        let _ = write_record(&self.node, &self.endpoint, |_| {}).await;
        Err(Rejected::Kept)
    }

    /// Removes the order from the ledger unless it was already sent.
    fn cancel(&self) {
        // Fails only if the endpoint was lost; its orders were then dropped with it.
        let _ = self.with(|endpoint| endpoint.ledger.cancel(&self.order));
    }

    /// Waits until the model's requests have ended, sends the order and records its outcome.
    async fn finish(self, mut step: Step) {
        loop {
            match step {
                Step::Drain => sleep(DRAIN_CHECK_INTERVAL).await,
                Step::Send(order) => return self.send(order).await,
                _ => return,
            }
            match self.next_step() {
                Ok(next) => step = next,
                Err(_) => return,
            }
        }
    }

    /// Sends the order and records its outcome in the ledger.
    async fn send(&self, order: Order) {
        let target = self.with(|endpoint| (endpoint.client.clone(), endpoint.pool.order_ttl));
        let Ok((client, ttl)) = target else { return };
        if self.node.authority() != Authority::Full {
            // Nothing was sent, but the record may belong to another steward by now.
            let _ =
                self.with(|endpoint| endpoint.ledger.record_no_response(&self.order, Time::now()));
            return;
        }
        self.record_event(Event::OrderSent);
        let outcome = client.send_order(&order, ttl).await;
        let now = Time::now();
        // Fails only if the endpoint was lost; its new steward has a ledger of its own.
        let _ = self.with(|endpoint| match &outcome {
            Ok(reply) => endpoint.ledger.record_response(reply, now),
            Err(HttpError::Status(status, _)) if status.is_client_error() => {
                endpoint.ledger.record_refusal(&self.order, now);
            }
            Err(_) => endpoint.ledger.record_no_response(&self.order, now),
        });
        if let Err(err) = outcome {
            let detail = format!("endpoint={} reason={err}", self.endpoint);
            self.node.timeline.record(Event::OrderFailed, self.order.as_str(), detail);
        }
    }

    /// Records an event of the order in the time line.
    fn record_event(&self, event: Event) {
        let detail = format!("endpoint={} model={}", self.endpoint, self.model);
        self.node.timeline.record(event, self.order.as_str(), detail);
    }
}

impl StewardedEndpoint {
    /// Returns the number of requests for a model that run at the endpoint.
    fn running_requests(&self, model: &Model) -> usize {
        self.running_models.values().filter(|running| *running == model).count()
    }
}
