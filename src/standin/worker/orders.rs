//! Orders and reports of the stand-in for an engine.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use rand::RngExt;
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;

use super::{
    Order, Shared,
    inventory::{ArrivedOrder, OrderAnswer, Snapshot},
};
use crate::{
    clock::Time,
    standin::http1::{Body, whole_response},
};

/// Time that an engine needs to load a model.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Longest time in milliseconds that an engine needs to fetch an adapter.
const MAX_FETCH_MS: u64 = 10;

/// Oldest state in milliseconds that a report shows.
const MAX_REPORT_AGE_MS: u64 = 300;

/// Times in milliseconds after which an order without an answer is carried out.
const LATE_MS: std::ops::Range<u64> = 200..6_000;

/// Interval at which an engine goes on with its orders.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Deserialize)]
struct RawOrder {
    operation: String,
    model: String,
    #[serde(default)]
    adapter: Option<String>,
    #[serde(default)]
    precondition: Option<u64>,
    holder: String,
}

/// Responds with a report of a state that is a little old.
pub(super) fn report(shared: &Shared) -> Response<Body> {
    let age = Duration::from_millis(rand::rng().random_range(0..MAX_REPORT_AGE_MS));
    let state = shared.state.lock();
    let Snapshot { orders, is_busy, models, coming } = state.inventory.report(age, Time::now());
    let models = models
        .iter()
        .map(|(name, adapters)| json!({ "name": name, "version": 1, "adapters": adapters }));
    let coming = coming.iter().map(|(model, adapter)| format!("{model}/{adapter}@1"));
    let body = json!({
        "stage": "unified", "models": models.collect::<Vec<_>>(), "busy": is_busy, "seq": orders,
        "coming": coming.collect::<Vec<_>>(), "queued_requests": 0, "running": state.running(),
        "kv_used": 0, "kv_total": 100_000, "handles": 0, "born": state.born,
    });
    whole_response(StatusCode::OK, body.to_string())
}

/// Responds to an order, or leaves it unanswered and carries it out later.
pub(super) async fn respond(shared: Arc<Shared>, body: &Bytes) -> Response<Body> {
    let Ok(raw) = serde_json::from_slice::<RawOrder>(body) else {
        return whole_response(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let late = shared.faults.lock().late_orders;
    if rand::rng().random_bool(late) {
        let delay = Duration::from_millis(rand::rng().random_range(LATE_MS));
        let born = shared.state.lock().born;
        tokio::spawn(carry_out_late(shared, raw, born, delay));
        return std::future::pending().await;
    }
    let status = match carry_out(&shared, &raw) {
        OrderAnswer::Accepted { .. } => StatusCode::ACCEPTED,
        OrderAnswer::Done | OrderAnswer::Holds => StatusCode::OK,
        OrderAnswer::Conflict => StatusCode::CONFLICT,
        OrderAnswer::Invalid => StatusCode::BAD_REQUEST,
    };
    whole_response(status, Bytes::new())
}

/// Carries an order out after a while, unless the engine has restarted.
async fn carry_out_late(shared: Arc<Shared>, order: RawOrder, born: u64, delay: Duration) {
    sleep(delay).await;
    if shared.state.lock().born == born {
        carry_out(&shared, &order);
    }
}

/// Carries out an order and records it if it is accepted.
fn carry_out(shared: &Shared, raw: &RawOrder) -> OrderAnswer {
    let order = ArrivedOrder {
        is_load: raw.operation == "load",
        model: raw.model.clone(),
        adapter: raw.adapter.clone(),
        expected: raw.precondition,
    };
    let load_time = match raw.adapter {
        Some(_) => Duration::from_millis(rand::rng().random_range(1..MAX_FETCH_MS)),
        None => LOAD_TIME,
    };
    let now = Time::now();
    let mut state = shared.state.lock();
    let is_used = state.usage();
    let answer = state.inventory.apply(&order, load_time, is_used, now);
    let fits = match answer {
        OrderAnswer::Accepted { fits } => fits,
        OrderAnswer::Done => true,
        _ => return answer,
    };
    let (endpoint, holder) = (state.id.clone(), raw.holder.clone());
    shared.log.record_order(Order { endpoint, holder, at: now, what: order, fits });
    answer
}

/// Goes on with the orders of an engine, and registers it again when its models have changed. Does not
/// end.
pub(super) async fn advance(shared: &Shared) {
    loop {
        sleep(ADVANCE_INTERVAL).await;
        let has_changed = {
            let mut state = shared.state.lock();
            let is_used = state.usage();
            state.inventory.advance(is_used, Time::now())
        };
        if has_changed {
            shared.register();
        }
    }
}
