//! The platform's metadata store and the gateway processes.

use std::{
    collections::BTreeMap,
    fs::File,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::base::{Json, Reader, base64, free_address, free_addresses, respond, sleep_ms};

#[derive(Clone)]
struct Item {
    /// Value as base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes; `None` for a removal.
    changes: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.delete(&key);
        }
    }
}

/// The platform's metadata store. All calls are answered at once.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let address = free_address(0);
        let listener = TcpListener::bind(address)?;
        let state = Mutex::new(State { revision: 10, ..State::default() });
        let store = Arc::new(Self { state, changed: Condvar::new(), address });
        let (accepting, ending) = (store.clone(), store.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        std::thread::spawn(move || {
            loop {
                sleep_ms(20);
                let mut state = ending.state.lock().unwrap();
                let before = state.revision;
                state.end_leases();
                if state.revision > before {
                    ending.changed.notify_all();
                }
            }
        });
        Ok(store)
    }

    /// Writes a record of the operator or of a server.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.delete(key);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.request() {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let body = Json::parse(&body).unwrap_or(Json::Null);
            let id = request.path().rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
            let (status, text) = match (request.method.as_str(), request.path()) {
                ("GET", "/api/kv-key") => self.key(&request.parameter("key")),
                ("GET", "/api/kv-range") => {
                    self.range(&request.parameter("path_prefix"), &request.parameter("after"))
                }
                ("GET", "/api/kv-watch") => {
                    let number = |name: &str| request.parameter(name).parse().unwrap_or(0);
                    self.watch(
                        &request.parameter("path_prefix"),
                        number("after"),
                        number("wait_ms"),
                    )
                }
                ("POST", "/api/kv-txn") => self.transact(&body),
                ("POST", "/api/kv-lease") => self.grant(body.number("ttl_ms").unwrap_or(1_000)),
                ("POST", path) if path.starts_with("/api/kv-keep/") => self.keep(id),
                ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                    self.state.lock().unwrap().end_lease(id);
                    self.changed.notify_all();
                    (200, "{}".to_owned())
                }
                _ => (404, "{}".to_owned()),
            };
            let kind = [("Content-Type", "application/json".to_owned())];
            if respond(&mut writer, status, &kind, &text).is_err() {
                return;
            }
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => (200, text(key, item, Some(state.revision))),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let found = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let found = found.filter(|(key, _)| key.as_str() > after);
        let items: Vec<String> = found.map(|(key, item)| text(key, item, None)).collect();
        let (items, as_of) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"truncated\":false,\"as_of\":{as_of}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.changes.iter().filter(|(revision, ..)| *revision > after);
            let changes = changes.filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, item)| match item {
                    Some(item) => text(key, item, None),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.end_leases();
        for row in body.list("precondition") {
            let revision = state.items.get(&row.text("key")).map_or(0, |item| item.revision);
            if row.number("revision") != Some(revision) {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        let lease = |put: &Json| put.number("lease").unwrap_or(0);
        let puts = body.list("puts");
        if puts.iter().any(|put| lease(put) > 0 && !state.leases.contains_key(&lease(put))) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for put in puts {
            state.put(&put.text("key"), put.text("value"), lease(&put));
        }
        for key in body.list("delete") {
            if let Json::Text(key) = key {
                state.delete(&key);
            }
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, ttl_ms: u64) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let ttl = Duration::from_millis(ttl_ms.max(1_000));
        state.last_lease += 1;
        let id = state.last_lease;
        state.leases.insert(id, (Instant::now() + ttl, ttl));
        (200, format!("{{\"lease\":{id},\"ttl_ms\":{}}}", ttl.as_millis()))
    }

    fn keep(&self, id: u64) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.end_leases();
        match state.leases.get_mut(&id) {
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

fn text(key: &str, item: &Item, as_of: Option<u64>) -> String {
    let Item { value, revision, created, lease } = item;
    let as_of = as_of.map_or(String::new(), |as_of| format!(",\"as_of\":{as_of}"));
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"create_rev\":{created},\"lease\":{lease}{as_of}}}"
    )
}

/// A gateway process, started as the deploy file says.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    /// Number of its process.
    pid: u32,
}

/// Memory of the machine of a gateway, as its settings say.
pub const MEMORY_MB: u64 = 260;

/// All gateway processes.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all gateway processes.
pub fn end_gateways() {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Gateway {
    /// Starts gateway number `index` with settings made from the template of the deploy file.
    pub fn start(index: usize, zone: &str, store: &Store, folder: &str) -> io::Result<Self> {
        let host = 1 + index as u8;
        let name = format!("edge-{zone}-{index}");
        let [peer, callers, directory, readiness, metrics] = free_addresses(host);
        let fields = [
            ("node", name.clone()),
            ("zone", zone.to_owned()),
            ("ip", peer.ip().to_string()),
            ("listen.front", callers.to_string()),
            ("listen.directory", directory.to_string()),
            ("listen.ready", readiness.to_string()),
            ("internal_ports.0", peer.port().to_string()),
            ("internal_ports.1", metrics.port().to_string()),
            ("platform.address", store.address.to_string()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("limits.memory_mb", MEMORY_MB.to_string()),
            ("limits.max_fds", "4100".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", "58".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.ceiling_window_s", "5".to_owned()),
            ("bounds.quota_slack", "110000".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
        ];
        let template = std::fs::read_to_string("deploy/gateway.yaml")?;
        // This deployment has no API for duties, so that the section is left out.
        let (before, rest) = template.split_once("{{#cloud.address}}").unwrap_or((&template, ""));
        let after = rest.split_once("{{/cloud.address}}").map_or("", |(_, after)| after);
        let mut settings = format!("{before}{after}");
        for (field, value) in fields {
            settings = settings.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let path = format!("{folder}/{name}.yaml");
        std::fs::write(&path, settings)?;
        let log = File::create(format!("{folder}/{name}.log"))?;
        let child = Command::new("target/release/cardamomshore")
            .arg("gateway")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CARDAMOMSHORE_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        let pid = child.id();
        CHILDREN.lock().unwrap().push(child);
        Ok(Self { name, callers, readiness, pid })
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        for _ in 0..200 {
            if self.is_ready() {
                return Ok(());
            }
            sleep_ms(50);
        }
        Err(io::Error::other("a gateway is not ready after 10 s"))
    }

    /// Returns the resident memory of the process.
    pub fn resident_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kib.unwrap_or(0) >> 10
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        if io::Write::write_all(&mut stream, request).is_err() {
            return false;
        }
        Reader::new(stream).head().is_ok_and(|(first, _)| first.contains(" 200"))
    }
}
