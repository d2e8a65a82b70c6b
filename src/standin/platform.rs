//! Stand-in for the platform: a key-value store and an instance list, with faults that a test can
//! set.

mod store;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Method;
use http_body::Frame;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::Notify, time::sleep};
use volo_http::{request::Request, response::Response};

use self::store::Store;
use super::MAX_BODY_BYTES;
use crate::{
    http::{BodySender, HttpError, channel_body, json_response, read_body, serve},
    platform::InstanceList,
};

/// Faults of the stand-in, which tests set while it runs.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether all calls are refused.
    pub down: bool,
    /// Whether calls are accepted but have no effect and no response.
    pub hang: bool,
    /// Whether writes take effect but have no response.
    pub mute: bool,
    /// Wait before each response, in milliseconds.
    pub slow_ms: u64,
    /// Whether watches end and miss the changes that happen meanwhile.
    pub gap: bool,
    /// Time until a new instance list becomes visible, in milliseconds.
    pub lag_ms: u64,
}

/// State of the stand-in.
#[derive(Default)]
pub struct Platform {
    store: Mutex<Store>,
    faults: Mutex<PlatformFaults>,
    list: Mutex<InstanceList>,
    /// Wakes the watches after a change of the store or of the faults.
    changed: Notify,
}

impl Platform {
    /// Replaces the instance list, without lag.
    pub fn set_list(&self, list: InstanceList) {
        *self.list.lock() = list;
    }

    /// Returns the instance list.
    pub fn list(&self) -> InstanceList {
        self.list.lock().clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.faults.lock() = faults;
        self.changed.notify_waiters();
    }

    fn faults(&self) -> PlatformFaults {
        self.faults.lock().clone()
    }
}

/// Serves the stand-in on `listener`.
pub async fn run(listener: TcpListener, platform: Arc<Platform>) -> Result<(), HttpError> {
    tokio::spawn(expire_leases(platform.clone()));
    let handle = move |request: Request| handle_request(platform.clone(), request);
    serve(listener, handle, async {}).await
}

/// Serves a new stand-in on `address`.
pub async fn run_at(address: SocketAddr) -> Result<(), HttpError> {
    let listener =
        TcpListener::bind(address).await.map_err(|err| HttpError::Connect(err.to_string()))?;
    run(listener, Arc::new(Platform::default())).await
}

/// Ends the leases that expire, for as long as the stand-in runs.
async fn expire_leases(platform: Arc<Platform>) {
    loop {
        sleep(Duration::from_millis(50)).await;
        if platform.store.lock().expire_leases() {
            platform.changed.notify_waiters();
        }
    }
}

/// Handles a request of a test, to change the stand-in, or of an instance, to use the platform.
async fn handle_request(platform: Arc<Platform>, request: Request) -> Response {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let body = match read_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(err) => return json_response(400, &err.to_string()),
    };
    match (&method, path.as_str()) {
        (&Method::PUT, "/standin/faults") => {
            apply_json(&body, |faults| platform.set_faults(faults))
        }
        (&Method::PUT, "/standin/list") => set_list(platform, &body),
        (&Method::GET, "/standin/counts") => json_response(200, &platform.store.lock().counts),
        _ => handle_call(platform, &path, body).await,
    }
}

/// Parses a body and applies its value; responds with the outcome.
fn apply_json<T: serde::de::DeserializeOwned>(body: &Bytes, apply: impl FnOnce(T)) -> Response {
    match serde_json::from_slice(body) {
        Ok(value) => {
            apply(value);
            json_response(200, &"ok")
        }
        Err(err) => json_response(400, &err.to_string()),
    }
}

/// Replaces the instance list after the time that the `lag_ms` fault sets.
fn set_list(platform: Arc<Platform>, body: &Bytes) -> Response {
    let lag = Duration::from_millis(platform.faults().lag_ms);
    apply_json(body, |list| {
        tokio::spawn(async move {
            sleep(lag).await;
            platform.set_list(list);
        });
    })
}

/// Handles a call of the store or the instance list under the faults that are set.
async fn handle_call(platform: Arc<Platform>, path: &str, body: Bytes) -> Response {
    let faults = platform.faults();
    if faults.hang {
        std::future::pending::<()>().await;
    }
    sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.down {
        return json_response(503, &"down");
    }
    if path == "/list" {
        return json_response(200, &platform.list());
    }
    if path == "/v3/watch" {
        return start_watch(platform, &body);
    }
    let result = platform.store.lock().call(path, &body);
    platform.changed.notify_waiters();
    if faults.mute && path != "/v3/kv/range" {
        std::future::pending::<()>().await;
    }
    match result {
        Ok(value) => json_response(200, &value),
        Err(text) => json_response(400, &text),
    }
}

/// Starts a watch and returns a response whose body streams the changes.
fn start_watch(platform: Arc<Platform>, body: &Bytes) -> Response {
    platform.store.lock().record_call("watch");
    let Ok(request) = serde_json::from_slice(body) else {
        return json_response(400, &"not a watch");
    };
    let (tx, body) = channel_body();
    tokio::spawn(send_watch(platform, request, tx));
    Response::new(body)
}

/// Time without changes after which a watch sends a line without changes.
const WATCH_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Sends the lines of a watch until the receiver is gone or a fault ends the watch.
async fn send_watch(platform: Arc<Platform>, request: store::WatchRequest, tx: BodySender) {
    let mut cursor = platform.store.lock().open_watch(&request);
    loop {
        let notified = platform.changed.notified();
        let faults = platform.faults();
        if faults.down || faults.hang || faults.gap {
            return;
        }
        let line = platform.store.lock().next_watch_line(&mut cursor);
        if let Some(line) = line
            && tx.send(Ok(Frame::data(line))).await.is_err()
        {
            return;
        }
        if tokio::time::timeout(WATCH_HEARTBEAT_INTERVAL, notified).await.is_err() {
            let heartbeat = platform.store.lock().heartbeat_line();
            if tx.send(Ok(Frame::data(heartbeat))).await.is_err() {
                return;
            }
        }
    }
}
