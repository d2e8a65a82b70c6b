//! Stand-in for a plain service: a ledger that counts the runs of each idempotency key.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Method;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json as json_value;
use tokio::{net::TcpListener, time::sleep};
use volo_http::{request::Request, response::Response};

use super::MAX_BODY_BYTES;
use crate::http::{HttpError, json_response, read_body, serve};

/// Faults of a service stand-in, which tests set while it runs.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Wait before each response, in milliseconds.
    pub late_ms: u64,
    /// Whether requests take effect but have no response.
    pub mute: bool,
    /// Whether all requests are refused.
    pub down: bool,
}

/// State of the stand-in.
#[derive(Default)]
pub struct Ledger {
    /// Number of runs of each idempotency key.
    runs: Mutex<BTreeMap<String, u64>>,
    faults: Mutex<ServiceFaults>,
    /// Request lines, headers and bodies that reached the service.
    seen: Mutex<Vec<String>>,
}

impl Ledger {
    /// Returns the number of runs of each idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs.lock().clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *self.faults.lock() = faults;
    }

    /// Returns every request line, header and body that reached the service.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().clone()
    }

    /// Records the request line, the headers and the body of a request.
    fn record_request(&self, request: &Request, body: &Bytes) {
        let mut seen = self.seen.lock();
        seen.push(format!("{} {}", request.method(), request.uri()));
        seen.extend(
            request.headers().iter().map(|(name, value)| {
                format!("{name}: {}", String::from_utf8_lossy(value.as_bytes()))
            }),
        );
        seen.push(String::from_utf8_lossy(body).into_owned());
    }
}

/// Serves the stand-in on `listener`.
pub async fn run(listener: TcpListener, ledger: Arc<Ledger>) -> Result<(), HttpError> {
    let handle = move |request: Request| handle_request(ledger.clone(), request);
    serve(listener, handle, async {}).await
}

/// Serves a new stand-in on `address`.
pub async fn run_at(address: SocketAddr) -> Result<(), HttpError> {
    let listener =
        TcpListener::bind(address).await.map_err(|err| HttpError::Connect(err.to_string()))?;
    run(listener, Arc::new(Ledger::default())).await
}

/// Handles a request of a test, to change the stand-in, or of an instance, to use the service.
async fn handle_request(ledger: Arc<Ledger>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(err) => return json_response(400, &err.to_string()),
    };
    let request = Request::from_parts(parts, volo_http::body::Body::empty());
    match (request.method(), request.uri().path()) {
        (&Method::PUT, "/standin/faults") => set_faults(&ledger, &body),
        (&Method::GET, "/standin/runs") => json_response(200, &ledger.runs()),
        (&Method::GET, "/standin/seen") => json_response(200, &ledger.seen()),
        (&Method::GET, "/report") => json_response(200, &crate::endpoint::Report::default()),
        _ => execute_request(ledger, request, body).await,
    }
}

/// Replaces the faults with those in a request's body.
fn set_faults(ledger: &Ledger, body: &Bytes) -> Response {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            ledger.set_faults(faults);
            json_response(200, &"ok")
        }
        Err(err) => json_response(400, &err.to_string()),
    }
}

/// Counts a run of the request's idempotency key and responds, under the faults that are set.
async fn execute_request(ledger: Arc<Ledger>, request: Request, body: Bytes) -> Response {
    ledger.record_request(&request, &body);
    let faults = ledger.faults.lock().clone();
    if faults.down {
        return json_response(503, &"down");
    }
    let id = request.headers().get("idempotency-key").and_then(|id| id.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    let runs = {
        let mut runs = ledger.runs.lock();
        let count = runs.entry(id.clone()).or_default();
        *count += 1;
        *count
    };
    if faults.mute {
        std::future::pending::<()>().await;
    }
    sleep(Duration::from_millis(faults.late_ms)).await;
    let mut response =
        json_response(200, &json_value!({ "id": id, "runs": runs, "path": request.uri().path() }));
    let request_id = request.headers().get(crate::http::REQUEST_HEADER).cloned();
    if let Some(request_id) = request_id {
        response.headers_mut().insert(crate::http::REQUEST_HEADER, request_id);
    }
    response
}
