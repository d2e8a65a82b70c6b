//! Stand-in for a model engine: batching, memory, orders, reports, cold start and faults.

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
use self::{answer::complete, memory::Memory};
use super::BODY_LIMIT;
use crate::{
    clock::Time,
    endpoint::{Order, Report},
    http::{HttpError, json_response, read_body, serve},
};

/// What the stand-in counted.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, serde::Deserialize)]
pub struct EngineCounts {
    /// Requests that started.
    pub started: u64,
    /// Requests that were answered whole.
    pub completed: u64,
    /// Most requests that ran at once.
    pub peak: u32,
    /// Crashes.
    pub crashes: u64,
    /// Loads that did not fit into memory.
    pub overcommits: u64,
    /// Tokens generated.
    pub tokens: u64,
}

/// State of the stand-in.
pub struct Engine {
    settings: EngineSettings,
    memory: Mutex<Memory>,
    faults: Mutex<EngineFaults>,
    load: Mutex<Load>,
    counts: Mutex<EngineCounts>,
    incarnation: watch::Sender<u64>,
    seen: Mutex<Vec<String>>,
    history: Mutex<Vec<(Time, Report)>>,
}

#[derive(Default)]
struct Load {
    running: u32,
    since_start: u64,
    back_at: Time,
}

const SEEN_CAPACITY: usize = 4_096;
const HISTORY_CAPACITY: usize = 256;

impl Engine {
    /// Creates an engine.
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

    /// Returns what was counted.
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
        load.since_start = 0;
        load.back_at = Time::now() + Duration::from_millis(self.settings.restart_ms);
        *self.memory.lock() = Memory::new(&self.settings);
        self.incarnation.send_modify(|number| *number += 1);
    }

    /// Makes the engine fragile again without any sign.
    pub fn cool(&self) {
        self.load.lock().since_start = 0;
    }

    fn is_down(&self) -> bool {
        self.faults.lock().down || Time::now() < self.load.lock().back_at
    }

    fn report(&self) -> Report {
        let mut report = self.memory.lock().report();
        report.incarnation = *self.incarnation.borrow();
        report.running = self.load.lock().running;
        let lag = Duration::from_millis(self.faults.lock().lag_ms.max(self.settings.lag_ms));
        let now = Time::now();
        let mut history = self.history.lock();
        history.push((now, report.clone()));
        let excess = history.len().saturating_sub(HISTORY_CAPACITY);
        history.drain(..excess);
        let old = history.iter().rev().find(|(at, _)| now.since(*at) >= lag);
        // Before the lag has passed once, the first state is the one that shows.
        old.or(history.first()).map_or(report, |(_, report)| report.clone())
    }

    fn note(&self, request: &Request, body: &Bytes) {
        let mut seen = self.seen.lock();
        if seen.len() < SEEN_CAPACITY {
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
    let handle = move |request: Request| handle(engine.clone(), request);
    serve(listener, handle, async {}).await
}

/// Serves a new stand-in on `address`.
pub async fn run_at(address: SocketAddr, settings: EngineSettings) -> Result<(), HttpError> {
    let listener =
        TcpListener::bind(address).await.map_err(|err| HttpError::Connect(err.to_string()))?;
    run(listener, Arc::new(Engine::new(settings))).await
}

async fn handle(engine: Arc<Engine>, request: Request) -> Response {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let (parts, body) = request.into_parts();
    let body = match read_body(body, BODY_LIMIT).await {
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
            engine.cool();
            json_response(200, &"ok")
        }
        (&Method::GET, "/standin/counts") => json_response(200, &engine.counts()),
        (&Method::GET, "/standin/seen") => json_response(200, &engine.seen()),
        _ if engine.is_down() => json_response(503, &"down"),
        (&Method::GET, "/report") => json_response(200, &engine.report()),
        (&Method::POST, "/orders") => order(engine, &body).await,
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            engine.note(&request, &body);
            complete(engine, request, body).await
        }
        _ => json_response(404, &"no such path"),
    }
}

fn set_faults(engine: &Engine, body: &Bytes) -> Response {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            engine.set_faults(faults);
            json_response(200, &"ok")
        }
        Err(err) => json_response(400, &err.to_string()),
    }
}

async fn order(engine: Arc<Engine>, body: &Bytes) -> Response {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(err) => return json_response(400, &err.to_string()),
    };
    let faults = engine.faults.lock().clone();
    if faults.lose_orders {
        std::future::pending::<()>().await;
    }
    // The order takes effect in a task of its own, as in an engine whose caller went away.
    let task = tokio::spawn(carry_out(engine, order, faults));
    match task.await {
        Ok(answer) => answer,
        Err(err) => json_response(500, &err.to_string()),
    }
}

async fn carry_out(engine: Arc<Engine>, order: Order, faults: EngineFaults) -> Response {
    sleep(Duration::from_millis(faults.late_orders_ms)).await;
    let incarnation = *engine.incarnation.borrow();
    let started = engine.memory.lock().start(&order, &engine.settings);
    if let Err(reason) = started {
        if reason == memory::Denied::NoRoom {
            engine.counts.lock().overcommits += 1;
            engine.crash();
        }
        return json_response(409, &reason.to_string());
    }
    sleep(engine.settings.order_time(order.kind)).await;
    if incarnation != *engine.incarnation.borrow() {
        return json_response(503, &"restarted");
    }
    let sequence = engine.memory.lock().finish(&order);
    if faults.mute_orders {
        std::future::pending::<()>().await;
    }
    json_response(200, &crate::endpoint::OrderReply { id: order.id, sequence, incarnation })
}
