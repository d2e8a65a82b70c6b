//! Orders to endpoints, each recorded before it is sent.

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

/// Time between two looks at whether the requests for a model have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why an order was not accepted.
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

/// What to do next for an order, with its endpoint.
struct PendingOrder {
    node: Arc<Node>,
    endpoint: EndpointId,
    model: Model,
    order: String,
}

/// Records and sends the order for a move that the planner decided.
pub async fn handle_move(node: &Arc<Node>, order: Move) -> MoveReply {
    match accept_move(node, &order).await {
        Ok(()) => MoveReply { accepted: true, reason: String::new() },
        Err(reason) => {
            let detail = format!("model={} reason={reason}", order.model);
            node.timeline.record(Event::MoveRefused, order.endpoint, detail);
            MoveReply { accepted: false, reason: reason.to_string() }
        }
    }
}

/// Returns a new order id.
pub fn new_order_id(node: &Node) -> String {
    format!("{}-{:016x}", node.settings.instance, rand::random::<u64>())
}

async fn accept_move(node: &Arc<Node>, wanted: &Move) -> Result<(), Rejected> {
    let ordered = PendingOrder {
        node: node.clone(),
        endpoint: wanted.endpoint.as_str().into(),
        model: wanted.model.as_str().into(),
        order: new_order_id(node),
    };
    ordered.plan(wanted.unload)?;
    loop {
        match ordered.next_step()? {
            Step::Write => ordered.write_intent().await?,
            Step::CheckKeeper => ordered.check_keeper().await?,
            Step::Abandon => return Err(Rejected::Abandoned),
            step => {
                tokio::spawn(ordered.finish(step));
                return Ok(());
            }
        }
    }
}

impl PendingOrder {
    fn with<T>(&self, f: impl FnOnce(&mut StewardedEndpoint) -> T) -> Result<T, Rejected> {
        self.node.stewarded.endpoints.with(&self.endpoint, f).ok_or(Rejected::NotSteward)
    }

    fn plan(&self, unload: bool) -> Result<(), Rejected> {
        let config = self.node.config().ok_or(Rejected::ModelUnknown)?;
        let spec = config.models.get(&self.model).ok_or(Rejected::ModelUnknown)?;
        let (order, model) = (self.order.clone(), self.model.clone());
        self.with(|stewarded| {
            if stewarded.listed.pool != spec.pool {
                return Err(Rejected::ModelUnknown);
            }
            match unload {
                true => stewarded.ledger.plan_unload(order, model)?,
                false => stewarded.ledger.plan_load(order, model, spec.bytes)?,
            }
            Ok(())
        })?
    }

    fn next_step(&self) -> Result<Step, Rejected> {
        let duty = self.node.authority();
        self.with(|stewarded| {
            let running = stewarded.running_requests(&self.model);
            stewarded.ledger.next_step(&self.order, duty, running)
        })
    }

    async fn write_intent(&self) -> Result<(), Rejected> {
        let written = write_record(&self.node, &self.endpoint, |_| {}).await;
        if written.is_err() {
            self.cancel();
        }
        written?;
        self.record_event(Event::OrderIntent);
        Ok(())
    }

    /// Reads the plan after the intent to unload was recorded.
    async fn check_keeper(&self) -> Result<(), Rejected> {
        let plan = self.node.platform.get(PLAN_KEY).await;
        let plan = plan.ok().flatten().and_then(|kv| serde_json::from_slice(&kv.value).ok());
        let plan: PlanRecord = plan.unwrap_or_default();
        let elsewhere = plan.keepers.get(&self.model).is_some_and(|id| *id != self.endpoint);
        if elsewhere {
            return self.with(|stewarded| stewarded.ledger.approve(&self.order));
        }
        self.cancel();
        // The intent that is left in the record when this fails goes with the next write.
        let _ = write_record(&self.node, &self.endpoint, |_| {}).await;
        Err(Rejected::Kept)
    }

    fn cancel(&self) {
        // An endpoint that is lost took its orders with it.
        let _ = self.with(|stewarded| stewarded.ledger.cancel(&self.order));
    }

    /// Waits for running work, sends the order and notes what came of it.
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

    async fn send(&self, order: Order) {
        let wanted = self.with(|stewarded| (stewarded.client.clone(), stewarded.pool.order_ttl));
        let Ok((client, life)) = wanted else { return };
        if self.node.authority() != Authority::Full {
            // Nothing was sent, but the record may be another steward's by now.
            let _ = self
                .with(|stewarded| stewarded.ledger.record_no_response(&self.order, Time::now()));
            return;
        }
        self.record_event(Event::OrderSent);
        let outcome = client.send_order(&order, life).await;
        let now = Time::now();
        // The ledger of an endpoint that was lost meanwhile is its new steward's.
        let _ = self.with(|stewarded| match &outcome {
            Ok(reply) => stewarded.ledger.record_response(reply, now),
            Err(HttpError::Status(status, _)) if status.is_client_error() => {
                stewarded.ledger.record_refusal(&self.order, now);
            }
            Err(_) => stewarded.ledger.record_no_response(&self.order, now),
        });
        if let Err(err) = outcome {
            let detail = format!("endpoint={} reason={err}", self.endpoint);
            self.node.timeline.record(Event::OrderFailed, self.order.as_str(), detail);
        }
    }

    fn record_event(&self, event: Event) {
        let detail = format!("endpoint={} model={}", self.endpoint, self.model);
        self.node.timeline.record(event, self.order.as_str(), detail);
    }
}

impl StewardedEndpoint {
    /// Returns the requests for a model that run at the endpoint.
    fn running_requests(&self, model: &Model) -> usize {
        self.active.values().filter(|active| *active == model).count()
    }
}
