//! Sends the leader's orders to engines and fetches the engines' reports.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use super::Gateway;
use crate::{
    clock::Time,
    http::pool::SendError,
    kernel::grants::{Command, OrderResult},
    platform::engine::{self, OrderResponse},
};

/// Timeout of opening a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Timeout of a whole call. Engines respond to orders and send reports without delay.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Largest response of an engine, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Time for which an idle connection to an engine is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(3);

/// An order to an engine.
pub struct Order {
    /// Name of the engine's endpoint.
    pub endpoint: Arc<str>,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// What the engine must do.
    pub command: Command,
    /// Number of orders that the engine must have accepted before this one.
    pub expected: u64,
}

/// Sends an order and passes its result to the scheduler.
pub async fn send(gateway: Arc<Gateway>, order: Order) {
    let Order { endpoint, address, command, expected } = order;
    let (holder, term) = (&gateway.settings.instance, gateway.leadership.lock().term());
    let request = engine::order_request(&endpoint, &command, expected, holder, term);
    let result = match call(&gateway, term, &endpoint, address, request).await {
        Ok((status, _)) => order_result(status),
        Err(SendError::Refused) => {
            gateway.report_refused(&endpoint);
            OrderResult::Conflict
        }
        Err(SendError::NotSent(_)) => OrderResult::Conflict,
        Err(SendError::Unknown(_)) => OrderResult::Lost,
    };
    log::info!(
        "event=order endpoint={endpoint} command={command:?} expected={expected} term={term} \
         result={result:?}"
    );
    gateway.scheduler.lock().handle_order_result(&endpoint, &command, result, Time::now());
    gateway.tick_scheduler();
}

/// Returns the result of an order by the status of the engine's response.
fn order_result(status: StatusCode) -> OrderResult {
    match OrderResponse::from(status) {
        OrderResponse::Accepted => OrderResult::Accepted,
        OrderResponse::Holds => OrderResult::Holds,
        OrderResponse::Conflict => OrderResult::Conflict,
        OrderResponse::Refused(_) => OrderResult::Refused,
    }
}

/// Fetches the report of an engine and passes it to the scheduler.
pub async fn fetch_report(gateway: Arc<Gateway>, endpoint: Arc<str>, address: SocketAddr) {
    let term = gateway.leadership.lock().term();
    let request = engine::report_request(&endpoint);
    let result = call(&gateway, term, &endpoint, address, request).await;
    let report = match result {
        Ok((StatusCode::OK, body)) => engine::decode_report(&body)
            .inspect_err(|err| {
                log::warn!("event=report_unreadable endpoint={endpoint} reason={err}")
            })
            .ok(),
        Ok((status, _)) => {
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
    gateway.scheduler.lock().handle_report(&endpoint, report, Time::now());
    gateway.tick_scheduler();
}

/// Sends a request that was decided in `term` to an engine and reads the whole response. Nothing is
/// sent if this instance may give no orders in that term.
async fn call(
    gateway: &Gateway,
    term: u64,
    endpoint: &Arc<str>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), SendError> {
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
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|err| SendError::Unknown(err.to_string()))?.to_bytes();
        gateway.pool.release(connection, KEEP_ALIVE);
        Ok((status, body))
    };
    let result = timeout(CALL_TIMEOUT, exchange).await;
    result.unwrap_or_else(|_| Err(SendError::Unknown("no answer in time".to_owned())))
}
