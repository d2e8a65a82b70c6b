//! Stand-in for the platform: key-value service and instance list, with switches for faults.

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
use super::BODY_LIMIT;
use crate::{
    http::{BodySender, HttpError, channel_body, json_response, read_body, serve},
    platform::InstanceList,
};

/// How the stand-in behaves.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every call.
    pub down: bool,
    /// Accepts calls and never answers them; they take no effect.
    pub hang: bool,
    /// Writes take effect and are never answered.
    pub mute: bool,
    /// Waits this long before each answer, in milliseconds.
    pub slow_ms: u64,
    /// Watches end and skip what happens while this is set.
    pub gap: bool,
    /// The list shows what was set this long ago, in milliseconds.
    pub lag_ms: u64,
}

/// State of the stand-in.
#[derive(Default)]
pub struct Platform {
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    list: Mutex<InstanceList>,
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
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
        self.changed.notify_waiters();
    }

    fn faults(&self) -> Faults {
        self.faults.lock().clone()
    }
}

/// Serves the stand-in on `listener`.
pub async fn run(listener: TcpListener, platform: Arc<Platform>) -> Result<(), HttpError> {
    tokio::spawn(expire_leases(platform.clone()));
    let handle = move |request: Request| handle(platform.clone(), request);
    serve(listener, handle, async {}).await
}

/// Serves a new stand-in on `address`.
pub async fn run_at(address: SocketAddr) -> Result<(), HttpError> {
    let listener =
        TcpListener::bind(address).await.map_err(|err| HttpError::Connect(err.to_string()))?;
    run(listener, Arc::new(Platform::default())).await
}

async fn expire_leases(platform: Arc<Platform>) {
    loop {
        sleep(Duration::from_millis(50)).await;
        if platform.store.lock().expire() {
            platform.changed.notify_waiters();
        }
    }
}

async fn handle(platform: Arc<Platform>, request: Request) -> Response {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let body = match read_body(request.into_body(), BODY_LIMIT).await {
        Ok(body) => body,
        Err(err) => return json_response(400, &err.to_string()),
    };
    match (&method, path.as_str()) {
        (&Method::PUT, "/standin/faults") => set(&body, |faults| platform.set_faults(faults)),
        (&Method::PUT, "/standin/list") => set_list(platform, &body),
        (&Method::GET, "/standin/counts") => json_response(200, &platform.store.lock().counts),
        _ => call(platform, &path, body).await,
    }
}

fn set<T: serde::de::DeserializeOwned>(body: &Bytes, apply: impl FnOnce(T)) -> Response {
    match serde_json::from_slice(body) {
        Ok(value) => {
            apply(value);
            json_response(200, &"ok")
        }
        Err(err) => json_response(400, &err.to_string()),
    }
}

fn set_list(platform: Arc<Platform>, body: &Bytes) -> Response {
    let lag = Duration::from_millis(platform.faults().lag_ms);
    set(body, |list| {
        tokio::spawn(async move {
            sleep(lag).await;
            platform.set_list(list);
        });
    })
}

async fn call(platform: Arc<Platform>, path: &str, body: Bytes) -> Response {
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
        return watch(platform, &body);
    }
    let answer = platform.store.lock().call(path, &body);
    platform.changed.notify_waiters();
    if faults.mute && path != "/v3/kv/range" {
        std::future::pending::<()>().await;
    }
    match answer {
        Ok(value) => json_response(200, &value),
        Err(text) => json_response(400, &text),
    }
}

fn watch(platform: Arc<Platform>, body: &Bytes) -> Response {
    platform.store.lock().count("watch");
    let Ok(request) = serde_json::from_slice(body) else {
        return json_response(400, &"not a watch");
    };
    let (tx, body) = channel_body();
    tokio::spawn(feed_watch(platform, request, tx));
    Response::new(body)
}

const WATCH_BEAT: Duration = Duration::from_secs(2);

async fn feed_watch(platform: Arc<Platform>, request: store::WatchRequest, tx: BodySender) {
    let mut cursor = platform.store.lock().open_watch(&request);
    loop {
        let notified = platform.changed.notified();
        let faults = platform.faults();
        if faults.down || faults.hang || faults.gap {
            return;
        }
        let line = platform.store.lock().read_watch(&mut cursor);
        if let Some(line) = line
            && tx.send(Ok(Frame::data(line))).await.is_err()
        {
            return;
        }
        if tokio::time::timeout(WATCH_BEAT, notified).await.is_err() {
            let beat = platform.store.lock().beat_watch();
            if tx.send(Ok(Frame::data(beat))).await.is_err() {
                return;
            }
        }
    }
}
