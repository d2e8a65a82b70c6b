//! Sends the leader's orders to engines and fetches the engines' reports.

use std::{
    fmt::{self, Display},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use super::Gateway;
use crate::{
    clock::Time,
    http::pool::SendError,
    kernel::grants::{EngineReport, Holdings, Order, OrderResult},
    platform::engine::{self, Answers, CallTarget, OrderResponse},
};

/// Timeout of opening a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Timeout of a whole call. Engines respond to orders and send reports without delay.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Largest response of an engine, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Time for which an idle connection to an engine is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(3);

/// Response of an engine to a call.
struct EngineResponse {
    status: StatusCode,
    /// Which call the response answers.
    answers: Answers,
    body: Bytes,
}

/// Sends an order and passes its result to the scheduler.
pub async fn send(gateway: Arc<Gateway>, endpoint: Arc<str>, address: SocketAddr, order: Order) {
    let Order { command, expected, .. } = &order;
    let (holder, term) = (&gateway.settings.instance, gateway.leadership.lock().term());
    let target = CallTarget::new(endpoint.clone());
    let request = engine::order_request(&target, command, *expected, holder, term);
    let response = call(&gateway, term, &target, address, request).await;
    let result = match &response {
        Ok(response) => order_result(response),
        Err(SendError::Refused) => {
            gateway.report_refused(&endpoint);
            OrderResult::Conflict
        }
        Err(SendError::NotSent(_)) => OrderResult::Conflict,
        Err(SendError::Unknown(_)) => OrderResult::Lost,
    };
    let now = Time::now();
    let holdings = {
        let mut scheduler = gateway.scheduler.lock();
        scheduler.handle_order_result(&endpoint, &order, result, now);
        scheduler.holdings(&endpoint)
    };
    let answered = response.as_ref().map(|response| (response.status.as_u16(), response.answers));
    log::info!(
        "event=order endpoint={endpoint} call={} command={command:?} expected={expected} \
         term={term} result={result:?} answered={answered:?} {}",
        target.id,
        OrEmpty(holdings),
    );
    gateway.poll_endpoint(&endpoint);
}

/// Displays a value, or nothing where there is none.
struct OrEmpty<T>(Option<T>);

impl<T: Display> Display for OrEmpty<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.as_ref().map_or(Ok(()), |value| value.fmt(f))
    }
}

/// Returns the result of an order by the response that arrived for it.
fn order_result(response: &EngineResponse) -> OrderResult {
    match OrderResponse::new(response.status, response.answers) {
        OrderResponse::Accepted => OrderResult::Accepted,
        OrderResponse::Holds => OrderResult::Holds,
        OrderResponse::Conflict => OrderResult::Conflict,
        OrderResponse::Refused(_) => OrderResult::Refused,
        OrderResponse::OfOther => OrderResult::Lost,
    }
}

/// Fetches the report of an engine and passes it to the scheduler.
pub async fn fetch_report(gateway: Arc<Gateway>, endpoint: Arc<str>, address: SocketAddr) {
    let term = gateway.leadership.lock().term();
    let target = CallTarget::new(endpoint.clone());
    let request = engine::report_request(&target);
    let result = call(&gateway, term, &target, address, request).await;
    let report = match result {
        Ok(EngineResponse { answers: Answers::Other, .. }) => {
            log::info!("event=report_of_other_call endpoint={endpoint}");
            None
        }
        Ok(EngineResponse { status: StatusCode::OK, body, .. }) => engine::decode_report(&body)
            .inspect_err(|err| {
                log::warn!("event=report_unreadable endpoint={endpoint} reason={err}")
            })
            .ok(),
        Ok(EngineResponse { status, .. }) => {
            log::info!("event=report_refused endpoint={endpoint} status={status}");
            None
        }
        Err(err) => {
            log::info!("event=report_failed endpoint={endpoint} reason={err}");
            if let SendError::Refused = err {
                gateway.report_refused(&endpoint);
            }
            None
        }
    };
    {
        let mut scheduler = gateway.scheduler.lock();
        let known = scheduler.holdings(&endpoint);
        if let (Some(report), Some(known)) = (&report, known) {
            log_difference(&endpoint, report, &known);
        }
        scheduler.handle_report(&endpoint, report, Time::now());
    }
    gateway.poll_endpoint(&endpoint);
}

/// Logs a report that shows something else than what the scheduler knew.
fn log_difference(endpoint: &str, report: &EngineReport, known: &Holdings) {
    if !known.matches(report) {
        log::info!(
            "event=report_differs endpoint={endpoint} reported_orders={} reported_models={} \
             reported_adapters={} reported_loading={} busy={} {known}",
            report.orders,
            report.models.len(),
            report.adapter_count(),
            report.loading_adapters.len(),
            report.busy,
        );
    }
}

/// Sends a request that was decided in `term` to an engine and reads the whole response. Nothing is
/// sent if this instance may give no orders in that term.
async fn call(
    gateway: &Gateway,
    term: u64,
    target: &CallTarget,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<EngineResponse, SendError> {
    let endpoint = &target.endpoint;
    let exchange = async {
        let acquired = gateway.pool.acquire(address, CONNECT_TIMEOUT).await;
        let mut connection = acquired.inspect_err(|_| gateway.record_reached(endpoint, false))?;
        // The lease may have ended while the connection was opened or the process was paused.
        if !gateway.leadership.lock().may_order_in(term, Time::now()) {
            return Err(SendError::NotSent("not the leader, or may give no orders yet".to_owned()));
        }
        let response = connection.send(request).await?;
        gateway.record_reached(endpoint, true);
        let status = response.status();
        let answers = engine::answers(response.headers(), &target.id);
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|err| SendError::Unknown(err.to_string()))?.to_bytes();
        // A connection with another call's response on it may bring the own one to the next call.
        if answers != Answers::Other {
            gateway.pool.release(connection, KEEP_ALIVE);
        }
        Ok(EngineResponse { status, answers, body })
    };
    let result = timeout(CALL_TIMEOUT, exchange).await;
    result.unwrap_or_else(|_| Err(SendError::Unknown("no answer in time".to_owned())))
}
