//! Stand-in for a plain service: a ledger that counts what each idempotency key did.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Method;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json as value;
use tokio::{net::TcpListener, time::sleep};
use volo_http::{request::Request, response::Response};

use super::BODY_LIMIT;
use crate::http::{HttpError, json_response, read_body, serve};

/// Faults of a service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Waits before each answer, in milliseconds.
    pub late_ms: u64,
    /// Takes effect and never answers.
    pub mute: bool,
    /// Refuses everything.
    pub down: bool,
}

/// State of the stand-in.
#[derive(Default)]
pub struct Ledger {
    runs: Mutex<BTreeMap<String, u64>>,
    faults: Mutex<ServiceFaults>,
    seen: Mutex<Vec<String>>,
}

impl Ledger {
    /// Returns how often each idempotency key ran.
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

    fn note(&self, request: &Request, body: &Bytes) {
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
    let handle = move |request: Request| handle(ledger.clone(), request);
    serve(listener, handle, async {}).await
}

/// Serves a new stand-in on `address`.
pub async fn run_at(address: SocketAddr) -> Result<(), HttpError> {
    let listener =
        TcpListener::bind(address).await.map_err(|err| HttpError::Connect(err.to_string()))?;
    run(listener, Arc::new(Ledger::default())).await
}

async fn handle(ledger: Arc<Ledger>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let body = match read_body(body, BODY_LIMIT).await {
        Ok(body) => body,
        Err(err) => return json_response(400, &err.to_string()),
    };
    let request = Request::from_parts(parts, volo_http::body::Body::empty());
    match (request.method(), request.uri().path()) {
        (&Method::PUT, "/standin/faults") => set_faults(&ledger, &body),
        (&Method::GET, "/standin/runs") => json_response(200, &ledger.runs()),
        (&Method::GET, "/standin/seen") => json_response(200, &ledger.seen()),
        (&Method::GET, "/report") => json_response(200, &crate::endpoint::Report::default()),
        _ => carry_out(ledger, request, body).await,
    }
}

fn set_faults(ledger: &Ledger, body: &Bytes) -> Response {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            ledger.set_faults(faults);
            json_response(200, &"ok")
        }
        Err(err) => json_response(400, &err.to_string()),
    }
}

async fn carry_out(ledger: Arc<Ledger>, request: Request, body: Bytes) -> Response {
    ledger.note(&request, &body);
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
    let mut answer =
        json_response(200, &value!({ "id": id, "runs": runs, "path": request.uri().path() }));
    let named = request.headers().get(crate::http::REQUEST_HEADER).cloned();
    if let Some(named) = named {
        answer.headers_mut().insert(crate::http::REQUEST_HEADER, named);
    }
    answer
}
