//! Stand-in for a model engine, with concurrent requests, memory, orders, reports, a cold state
//! after its start, and faults that a test can set.

mod answer;
mod memory;
mod settings;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Method;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::{net::TcpListener, sync::watch, time::sleep};
use volo_http::{request::Request, response::Response};

pub use self::settings::{EngineFaults, EngineSettings};
use self::{answer::handle_completion, memory::Memory};
use super::MAX_BODY_BYTES;
use crate::{
    clock::Time,
    endpoint::{Order, Report},
    http::{HttpError, json_response, read_body, serve},
};

/// Counts of a stand-in's requests, tokens and failures.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, serde::Deserialize)]
pub struct EngineCounts {
    /// Number of requests that started.
    pub started: u64,
    /// Number of requests whose response was complete.
    pub completed: u64,
    /// Largest number of requests that ran at once.
    pub peak: u32,
    /// Number of crashes.
    pub crashes: u64,
    /// Number of load orders that did not fit into memory.
    pub overcommits: u64,
    /// Number of output tokens generated.
    pub tokens: u64,
}

/// State of the stand-in.
pub struct Engine {
    settings: EngineSettings,
    memory: Mutex<Memory>,
    faults: Mutex<EngineFaults>,
    load: Mutex<LoadState>,
    counts: Mutex<EngineCounts>,
    /// Incarnation, which grows by one with each restart.
    incarnation: watch::Sender<u64>,
    /// Request lines, headers and bodies that reached the engine.
    seen: Mutex<Vec<String>>,
    /// Past reports with their times, from which a lagging report is taken.
    history: Mutex<Vec<(Time, Report)>>,
}

/// Running requests and warm-up of the stand-in.
#[derive(Default)]
struct LoadState {
    /// Number of running requests.
    running: u32,
    /// Number of completed requests since the last start.
    completed: u64,
    /// When the current restart ends; in the past while the engine is up.
    down_until: Time,
}

/// Number of recorded lines at which the stand-in stops recording requests.
const MAX_SEEN_ENTRIES: usize = 4_096;

/// Largest number of past reports that are kept.
const MAX_PAST_REPORTS: usize = 256;

impl Engine {
    /// Creates an engine that has just started.
    pub fn new(settings: EngineSettings) -> Self {
        let memory = Memory::new(&settings);
        Self {
            memory: Mutex::new(memory),
            faults: Mutex::default(),
            load: Mutex::default(),
            counts: Mutex::default(),
            incarnation: watch::Sender::new(rand::random::<u32>().into()),
            seen: Mutex::default(),
            history: Mutex::default(),
            settings,
        }
    }

    /// Returns the counts.
    pub fn counts(&self) -> EngineCounts {
        self.counts.lock().clone()
    }

    /// Returns every request line, header and body that reached the engine.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.faults.lock() = faults;
    }

    /// Ends every request and restarts with a new incarnation.
    pub fn crash(&self) {
        self.counts.lock().crashes += 1;
        let mut load = self.load.lock();
        load.completed = 0;
        load.down_until = Time::now() + Duration::from_millis(self.settings.restart_ms);
        *self.memory.lock() = Memory::new(&self.settings);
        self.incarnation.send_modify(|number| *number += 1);
    }

    /// Makes the engine cold without a restart, which no report shows.
    pub fn reset_warmup(&self) {
        self.load.lock().completed = 0;
    }

    /// Returns whether the engine is restarting or has the fault that it is down.
    fn is_down(&self) -> bool {
        self.faults.lock().down || Time::now() < self.load.lock().down_until
    }

    /// Returns the current report, or an earlier one if reports lag.
    fn report(&self) -> Report {
        let mut report = self.memory.lock().report();
        report.incarnation = *self.incarnation.borrow();
        report.running = self.load.lock().running;
        let lag = Duration::from_millis(self.faults.lock().lag_ms.max(self.settings.lag_ms));
        let now = Time::now();
        let mut history = self.history.lock();
        history.push((now, report.clone()));
        let excess = history.len().saturating_sub(MAX_PAST_REPORTS);
        history.drain(..excess);
        let old = history.iter().rev().find(|(at, _)| now.since(*at) >= lag);
        // Until the lag has passed for the first time, the first report is returned.
        old.or(history.first()).map_or(report, |(_, report)| report.clone())
    }

    /// Records the request line, the headers and the body of a request.
    fn record_request(&self, request: &Request, body: &Bytes) {
        let mut seen = self.seen.lock();
        if seen.len() < MAX_SEEN_ENTRIES {
            seen.push(format!("{} {}", request.method(), request.uri()));
            seen.extend(request.headers().iter().map(|(name, value)| {
                format!("{name}: {}", String::from_utf8_lossy(value.as_bytes()))
            }));
            seen.push(String::from_utf8_lossy(body).into_owned());
        }
    }
}

/// Serves the stand-in on `listener`.
pub async fn run(listener: TcpListener, engine: Arc<Engine>) -> Result<(), HttpError> {
    let handle = move |request: Request| handle_request(engine.clone(), request);
    serve(listener, handle, async {}).await
}

/// Serves a new stand-in on `address`.
pub async fn run_at(address: SocketAddr, settings: EngineSettings) -> Result<(), HttpError> {
    let listener =
        TcpListener::bind(address).await.map_err(|err| HttpError::Connect(err.to_string()))?;
    run(listener, Arc::new(Engine::new(settings))).await
}

/// Handles a request of a test, to change the stand-in, or of an instance, to use the engine.
async fn handle_request(engine: Arc<Engine>, request: Request) -> Response {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let (parts, body) = request.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(err) => return json_response(400, &err.to_string()),
    };
    let request = Request::from_parts(parts, volo_http::body::Body::empty());
    match (&method, path.as_str()) {
        (&Method::PUT, "/standin/faults") => set_faults(&engine, &body),
        (&Method::PUT, "/standin/crash") => {
            engine.crash();
            json_response(200, &"ok")
        }
        (&Method::PUT, "/standin/cool") => {
            engine.reset_warmup();
            json_response(200, &"ok")
        }
        (&Method::GET, "/standin/counts") => json_response(200, &engine.counts()),
        (&Method::GET, "/standin/seen") => json_response(200, &engine.seen()),
        _ if engine.is_down() => json_response(503, &"down"),
        (&Method::GET, "/report") => json_response(200, &engine.report()),
        (&Method::POST, "/orders") => handle_order(engine, &body).await,
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            engine.record_request(&request, &body);
            handle_completion(engine, request, body).await
        }
        _ => json_response(404, &"no such path"),
    }
}

/// Replaces the faults with those in a request's body.
fn set_faults(engine: &Engine, body: &Bytes) -> Response {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            engine.set_faults(faults);
            json_response(200, &"ok")
        }
        Err(err) => json_response(400, &err.to_string()),
    }
}

/// Handles an order under the faults that are set.
async fn handle_order(engine: Arc<Engine>, body: &Bytes) -> Response {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(err) => return json_response(400, &err.to_string()),
    };
    let faults = engine.faults.lock().clone();
    if faults.lose_orders {
        std::future::pending::<()>().await;
    }
    // The order runs in a task of its own, so that it takes effect even if the caller disconnects.
    let task = tokio::spawn(execute_order(engine, order, faults));
    match task.await {
        Ok(response) => response,
        Err(err) => json_response(500, &err.to_string()),
    }
}

/// Executes an order and returns the reply. An order that does not fit into memory crashes the
/// engine.
async fn execute_order(engine: Arc<Engine>, order: Order, faults: EngineFaults) -> Response {
    sleep(Duration::from_millis(faults.late_orders_ms)).await;
    let incarnation = *engine.incarnation.borrow();
    let started = engine.memory.lock().start_order(&order, &engine.settings);
    if let Err(reason) = started {
        if reason == memory::OrderError::NoRoom {
            engine.counts.lock().overcommits += 1;
            engine.crash();
        }
        return json_response(409, &reason.to_string());
    }
    sleep(engine.settings.order_time(order.kind)).await;
    // An order that was under way at a restart has no effect.
    if incarnation != *engine.incarnation.borrow() {
        return json_response(503, &"restarted");
    }
    let sequence = engine.memory.lock().finish_order(&order);
    if faults.mute_orders {
        std::future::pending::<()>().await;
    }
    json_response(200, &crate::endpoint::OrderReply { id: order.id, sequence, incarnation })
}
