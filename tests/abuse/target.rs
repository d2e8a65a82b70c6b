//! The gateway process that the tests put under load, with a store and an endpoint.

use std::{
    convert::identity,
    fs::File,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use cardamomshore::{
    soak::process::free_address,
    standin::{
        http1::{Body, Server, streamed_response, whole_response},
        metadata::{MetadataStore, StoreAddress},
    },
};
use http::StatusCode;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::util::{run_folder, wait_until};

/// Memory in megabytes that the settings grant the process, and the bound of its resident memory.
const MEMORY_MB: u64 = 96;

/// Descriptors that the settings grant the process, and the bound of those that are open.
const MAX_FDS: usize = 700;

/// Limits of the configuration document.
pub const MAX_BODY: usize = 1 << 20;
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);
const HEADER_TIMEOUT: Duration = Duration::from_millis(1_500);
const MAX_HEADERS: usize = 16_384;

/// Time within which an ordinary caller, which repeats a request that was refused, must be served.
const SERVED_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which the load's connections are held, so that the process reads what was sent, before it
/// is checked.
const HOLD_TIME: Duration = Duration::from_secs(4);

/// Time between the measurements of the process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The tests run one at a time, since each needs the machine's loopback and memory for its load.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// A gateway process under load. It is killed when it is dropped.
pub struct Target {
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub relay: SocketAddr,
    pub peer: SocketAddr,
    child: Child,
    name: &'static str,
    /// Largest number of open descriptors that was seen.
    max_open: Arc<Mutex<usize>>,
    _sampler: tokio::task::JoinHandle<()>,
    _store: StoreAddress,
    _endpoint: Server,
    _turn: Option<tokio::sync::MutexGuard<'static, ()>>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self._sampler.abort();
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn route(name: &str, kind: &str) -> serde_json::Value {
    json!({
        "name": name, "host": "abuse.example", "path_prefix": format!("/{name}/"), "type": kind,
        "timeout_ms": 12_000, "target_latency_ms": 500, "priority": 1, "service": "desk",
        "max_attempts": 2,
    })
}

/// Returns the operators' document: two routes to one plain service.
fn document() -> String {
    json!({
        "version": 1,
        "routes": [route("look", "idempotent"), route("flow", "streaming")],
        "services": [{ "name": "desk", "health_path": "/h", "max_conns": 2_000 }],
        "tenants": [{ "name": "kites", "api_keys": ["abuse-key"], "unit": "tokens",
            "plain_tokens": 10, "rate_per_s": 10_000_000, "burst": 10_000_000 }],
        "limits": { "max_header_bytes": MAX_HEADERS, "max_body_bytes": MAX_BODY,
            "header_timeout_ms": HEADER_TIMEOUT.as_millis() as u64,
            "idle_timeout_ms": IDLE_TIMEOUT.as_millis() as u64 },
    })
    .to_string()
}

/// Events of each stream.
pub const EVENT_COUNT: usize = 2_000;

/// Returns a stream whose events are sent as fast as they are taken.
fn stream() -> http::Response<Body> {
    let (tx, response) = streamed_response(StatusCode::OK);
    tokio::spawn(async move {
        for number in 1..=EVENT_COUNT {
            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(180));
            if tx.send(Ok(event.into())).await.is_err() {
                return;
            }
        }
    });
    response
}

/// Starts an endpoint and registers it. Its response to `/look/big` is as large as a body may be.
fn start_endpoint(store: &MetadataStore) -> Server {
    let address = free_address();
    let big = Bytes::from(vec![b'x'; MAX_BODY]);
    let server = Server::start(address, move |request| {
        let big = big.clone();
        async move {
            let is_big = request.uri().path() == "/look/big";
            let is_stream = request.uri().path().starts_with("/flow/");
            let body = request.into_body().collect().await;
            let length = body.map(|body| body.to_bytes().len()).unwrap_or(0);
            let body = if is_big { big } else { Bytes::from(format!("{length} bytes")) };
            let mut response = match is_stream {
                true => stream(),
                false => whole_response(StatusCode::OK, body),
            };
            let stamp = http::HeaderValue::from_static("stamp.desk-1");
            response.headers_mut().insert("x-server-stamp", stamp);
            Ok(response)
        }
    });
    let entry = json!({
        "service": "desk", "address": address, "zone": "dc-a", "version": "v1", "slots": 2_000,
        "state": "ready", "cold_remaining_ms": 0, "seq": 0, "born": 1, "models": [],
        "at_hand": { "in_memory": [], "on_disk": [] },
    });
    store.put("servers/desk-1", &entry.to_string());
    server.expect("expected the endpoint to start")
}

fn spawn(name: &str, binary: &str, settings: &serde_json::Value) -> Child {
    let folder = run_folder(name);
    std::fs::create_dir_all(&folder).expect("expected to create the folder");
    let path: PathBuf = folder.join(format!("{name}.yaml"));
    std::fs::write(&path, settings.to_string()).expect("expected to write the settings");
    let log = File::create(folder.join(format!("{name}.log"))).expect("expected to create the log");
    Command::new(binary)
        .args(["gateway", "--settings"])
        .arg(&path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .expect("expected the gateway to start")
}

impl Target {
    /// Starts the gateway with the lowered limits and waits until it serves an ordinary request.
    pub async fn start(name: &'static str) -> Self {
        let turn = TURN.lock().await;
        let target = Self::start_binary(name, env!("CARGO_BIN_EXE_cardamomshore")).await;
        target.with_turn(turn)
    }

    fn with_turn(mut self, turn: tokio::sync::MutexGuard<'static, ()>) -> Self {
        self._turn = Some(turn);
        self
    }

    /// Starts the same with another binary, beside other gateways.
    pub async fn start_binary(name: &'static str, binary: &str) -> Self {
        let store = MetadataStore::start();
        store.put("op/config", &document());
        let endpoint = start_endpoint(&store);
        let store = StoreAddress::start(store, free_address()).expect("expected the store");
        let [callers, directory, readiness, peer, relay, metrics] =
            std::array::from_fn(|_| free_address());
        let settings = json!({
            "instance": "gateway-1", "data_centre": "dc-a", "callers": callers,
            "directory": directory, "readiness": readiness, "peer": peer, "relay": relay,
            "metrics": metrics, "store": store.address,
            "machine": { "cores": 0.25, "link_mbps": 1_000.0 },
            "limits": {
                "repeat_ratio": 0.2, "repeat_slack": 50.0, "repeat_window_s": 10.0,
                "load_window_s": 5.0, "rate_slack": 100_000.0, "order_gap_ms": 3_000.0,
                "stop_s": 8.0, "address_ttl_s": 5.0, "drain_ms": 2_000.0,
                "memory_mb": MEMORY_MB, "max_fds": MAX_FDS,
            },
            "log": "info",
        });
        let child = spawn(name, binary, &settings);
        let max_open = Arc::new(Mutex::new(0));
        let sampler = tokio::spawn(sample_descriptors(child.id(), max_open.clone()));
        let target = Self {
            callers,
            directory,
            readiness,
            metrics,
            relay,
            peer,
            child,
            name,
            max_open,
            _sampler: sampler,
            _store: store,
            _endpoint: endpoint,
            _turn: None,
        };
        target.wait_served().await;
        target
    }

    /// Checks that the process lives within its limits and serves an ordinary caller.
    pub async fn check(&mut self) {
        sleep(HOLD_TIME).await;
        let peak = self.peak_bytes();
        let open = *self.max_open.lock();
        println!("{}: peak {} MB, {open} descriptors", self.name, peak >> 20);
        let ended = self.child.try_wait().expect("expected the state of the process");
        assert!(ended.is_none(), "the process has ended: {ended:?}");
        self.wait_served().await;
        let peak = self.peak_bytes().max(peak);
        let open = open.max(*self.max_open.lock());
        println!("{}: served; peak {} MB, {open} descriptors", self.name, peak >> 20);
        assert!(peak <= MEMORY_MB << 20, "{} MB of memory, bound {MEMORY_MB}", peak >> 20);
        assert!(open <= MAX_FDS, "{open} open descriptors, bound {MAX_FDS}");
    }

    /// Returns the processor time that the process has used, in clock ticks of 10 ms.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        // The name of the process, which may contain spaces, ends with the last parenthesis.
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
    }

    /// Waits until an ordinary request is answered.
    async fn wait_served(&self) {
        let served = || async { ordinary_status(self.callers).await == Some(200) };
        wait_until("an ordinary request is answered", SERVED_TIMEOUT, served).await;
    }

    /// Returns the largest resident memory so far in bytes; zero if the process has ended.
    fn peak_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kib.unwrap_or(0) << 10
    }
}

/// Records the largest number of open descriptors of a process. Does not end.
async fn sample_descriptors(id: u32, max_open: Arc<Mutex<usize>>) {
    loop {
        let open = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        {
            let mut max_open = max_open.lock();
            *max_open = open.max(*max_open);
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns the head of a request to the route up to its last field, without the empty line.
pub fn head(path: &str, fields: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: abuse.example\r\nx-request-id: {:016x}\r\n\
         x-deadline-ms: 10000\r\nauthorization: Token abuse-key\r\n{fields}",
        rand::random::<u64>()
    )
}

/// Sends an ordinary request on a new connection and returns the status of the response; `None`
/// without a response in time.
async fn ordinary_status(address: SocketAddr) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = head("/look/1", "content-length: 4\r\nconnection: close\r\n\r\nbody");
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.ok()?;
        status(&response)
    };
    timeout(Duration::from_secs(3), exchange).await.ok().and_then(identity)
}

/// Returns the status of a response.
pub fn status(response: &[u8]) -> Option<u16> {
    let line = response.split(|byte| *byte == b'\r').next()?;
    std::str::from_utf8(line).ok()?.split(' ').nth(1)?.parse().ok()
}
