//! Stand-in for the metadata store of the users' platform: records with revisions, conditional
//! writes, leases, watches and faults.

mod calls;

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{HeaderName, HeaderValue, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use parking_lot::Mutex;
use rand::RngExt;
use tokio::{sync::watch, time::sleep};

use super::http1::{Broken, ConnectionNumber, Server};
use crate::clock::Time;

/// Changes that are remembered for watches.
const MAX_LOG_LEN: usize = 4_096;

/// Interval at which ended leases are looked for.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Header of all responses that carries the era.
const ERA_HEADER: &str = "store-era";

/// Path of watch calls.
const WATCH_PATH: &str = "/api/kv-watch";

/// How a store treats the calls that arrive at one of its addresses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreFaults {
    /// Whether calls get no response, and are not carried out.
    pub silent: bool,
    /// Whether calls are refused with status 503.
    pub refusing: bool,
    /// Fraction of the writes that are carried out and get no response.
    pub lost: f64,
    /// Time that each call takes.
    pub delay: Duration,
}

/// A record.
#[derive(Clone, Debug)]
struct Record {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A lease.
#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Time,
}

/// A change of a record; `None` if it was deleted.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: String,
    record: Option<Record>,
}

/// Records, leases and changes.
#[derive(Clone, Debug, Default)]
struct State {
    records: BTreeMap<String, Record>,
    leases: HashMap<u64, Lease>,
    changes: VecDeque<Change>,
    /// Revision of the latest change that is forgotten.
    forgotten: u64,
    revision: u64,
    last_lease: u64,
}

/// A copy of a store, from which the store may return.
#[derive(Clone, Debug)]
pub struct StoreCopy(State);

impl State {
    /// Writes a record; returns the revision.
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.records.get(key).map_or(self.revision, |record| record.created);
        let record = Record { value, revision: self.revision, created, lease };
        self.records.insert(key.to_owned(), record.clone());
        self.record_change(key, Some(record));
    }

    fn delete(&mut self, key: &str) {
        if self.records.remove(key).is_some() {
            self.record_change(key, None);
        }
    }

    fn record_change(&mut self, key: &str, record: Option<Record>) {
        let change = Change { revision: self.revision, key: key.to_owned(), record };
        self.changes.push_back(change);
        while self.changes.len() > MAX_LOG_LEN {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(change) = self.changes.pop_front() {
            self.forgotten = change.revision;
        }
    }

    /// Deletes the records of leases that have ended.
    fn end_leases(&mut self, now: Time) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        ended.iter().for_each(|id| self.end_lease(*id));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        self.revision += 1;
        let held = self.records.iter().filter(|(_, record)| record.lease == id);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.delete(key));
    }
}

/// A store that runs in this process.
pub struct MetadataStore {
    state: Mutex<State>,
    /// Revision of the last change, for watches.
    changed: watch::Sender<u64>,
    /// Era of the store, which grows with each return from a copy.
    era: watch::Sender<u64>,
}

impl MetadataStore {
    /// Creates an empty store, and starts the task that ends its leases.
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            era: watch::Sender::new(1),
        });
        let weak = Arc::downgrade(&store);
        tokio::spawn(async move {
            while let Some(store) = weak.upgrade() {
                store.update(|state| state.end_leases(Time::now()));
                drop(store);
                sleep(LEASE_CHECK_INTERVAL).await;
            }
        });
        store
    }

    /// Changes the state and notifies the watches of changes.
    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock();
        let before = state.revision;
        let result = change(&mut state);
        let revision = state.revision;
        drop(state);
        if revision != before {
            self.changed.send_replace(revision);
        }
        result
    }

    /// Writes a record, as the operator or an endpoint does.
    pub fn put(&self, key: &str, value: &str) {
        use base64::{Engine, engine::general_purpose::STANDARD};
        self.update(|state| {
            state.revision += 1;
            state.put(key, STANDARD.encode(value), 0);
        });
    }

    /// Deletes a record.
    pub fn delete(&self, key: &str) {
        self.update(|state| {
            state.revision += 1;
            state.delete(key);
        });
    }

    /// Returns a copy of the records, the leases and the changes.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().clone())
    }

    /// Returns to an earlier copy, in a new era: what was written since is lost, and revisions and
    /// the numbers of leases are given out again. The leases of the copy begin anew.
    pub fn restore(&self, copy: StoreCopy) {
        let now = Time::now();
        let StoreCopy(mut state) = copy;
        state.leases.values_mut().for_each(|lease| lease.ends_at = now + lease.ttl);
        *self.state.lock() = state;
        self.era.send_modify(|era| *era += 1);
    }

    /// Returns a receiver of the era.
    pub fn era(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock();
        state.records.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns the value of a record as text; `None` if there is no such record.
    pub fn value(&self, key: &str) -> Option<String> {
        use base64::{Engine, engine::general_purpose::STANDARD};
        let state = self.state.lock();
        let value = STANDARD.decode(&state.records.get(key)?.value).ok()?;
        String::from_utf8(value).ok()
    }

    /// Forgets all changes, so that watches must read everything again.
    pub fn forget_history(&self) {
        self.update(|state| {
            while !state.changes.is_empty() {
                state.forget_oldest();
            }
        });
    }
}

/// An address of a store, with faults of its own, so that single instances can be cut off.
pub struct StoreAddress {
    /// Address at which the store is served.
    pub address: SocketAddr,
    faults: Arc<Mutex<StoreFaults>>,
    redirects: Arc<Mutex<Vec<Redirect>>>,
    channels: Arc<Channels>,
    _server: Server,
}

/// An address in records that reads as another one.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Redirect {
    from: SocketAddr,
    to: SocketAddr,
}

impl Redirect {
    /// Replaces the address in all values of a response, which are in Base64.
    fn apply(&self, json: &mut serde_json::Value) {
        use base64::{Engine, engine::general_purpose::STANDARD};
        match json {
            serde_json::Value::Array(all) => all.iter_mut().for_each(|it| self.apply(it)),
            serde_json::Value::Object(all) => all.values_mut().for_each(|it| self.apply(it)),
            serde_json::Value::String(text) => {
                let decoded =
                    STANDARD.decode(&*text).ok().and_then(|it| String::from_utf8(it).ok());
                let from = self.from.to_string();
                if let Some(value) = decoded.filter(|value| value.contains(&from)) {
                    *text = STANDARD.encode(value.replace(&from, &self.to.to_string()));
                }
            }
            _ => {}
        }
    }
}

/// Connections to an address, by their number.
#[derive(Debug, Default)]
struct Channels {
    /// Bytes of the bodies of all responses.
    sent_bytes: AtomicU64,
    /// Those on which a watch waits.
    watching: Mutex<HashSet<u64>>,
    /// Those on which no call gets a response any more.
    silent: Mutex<HashSet<u64>>,
}

impl StoreAddress {
    /// Serves a store at `address`.
    pub fn start(store: Arc<MetadataStore>, address: SocketAddr) -> io::Result<Self> {
        let faults: Arc<Mutex<StoreFaults>> = Arc::default();
        let redirects: Arc<Mutex<Vec<Redirect>>> = Arc::default();
        let channels: Arc<Channels> = Arc::default();
        let shared = (faults.clone(), channels.clone(), redirects.clone());
        let server = Server::start(address, move |request| {
            let (store, (faults, channels, redirects)) = (store.clone(), shared.clone());
            async move {
                let response = respond(&store, &faults, &channels, request).await?;
                let redirects = redirects.lock().clone();
                if redirects.is_empty() {
                    Ok(response)
                } else {
                    redirect(&redirects, response).await
                }
            }
        })?;
        Ok(Self { address, faults, redirects, channels, _server: server })
    }

    /// Lets records show the address `to` in place of `from`, so that the instance that reads them
    /// here connects there.
    pub fn redirect(&self, from: SocketAddr, to: SocketAddr) {
        self.redirects.lock().push(Redirect { from, to });
    }

    /// Lets the connections fall silent on which watches wait now. All others work.
    pub fn silence_watches(&self) {
        self.channels.silent.lock().extend(self.channels.watching.lock().drain());
    }

    /// Returns the bytes of the bodies of all responses at this address.
    pub fn sent_bytes(&self) -> u64 {
        self.channels.sent_bytes.load(Ordering::Relaxed)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        *self.faults.lock() = faults;
    }
}

/// Replaces addresses in the values of a response.
async fn redirect(
    redirects: &[Redirect],
    response: http::Response<super::http1::Body>,
) -> Result<http::Response<super::http1::Body>, Broken> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    let Ok(mut json) = serde_json::from_slice(&body) else { return Err(Broken) };
    redirects.iter().for_each(|it| it.apply(&mut json));
    let mut response = super::http1::whole_response(parts.status, json.to_string());
    *response.headers_mut() = parts.headers;
    Ok(response)
}

/// Carries out a call, subject to the faults of its address. An address that is silent when a call
/// ends, such as a watch that has waited, sends no response either.
async fn respond(
    store: &MetadataStore,
    shared: &Mutex<StoreFaults>,
    channels: &Channels,
    request: http::Request<hyper::body::Incoming>,
) -> Result<http::Response<super::http1::Body>, Broken> {
    let faults = *shared.lock();
    sleep(faults.delay).await;
    let number = request.extensions().get::<ConnectionNumber>().map_or(0, |number| number.0);
    if request.uri().path() == WATCH_PATH {
        channels.watching.lock().insert(number);
    }
    let is_silent =
        |faults: &StoreFaults| faults.silent || channels.silent.lock().contains(&number);
    if is_silent(&faults) {
        return std::future::pending().await;
    }
    if faults.refusing {
        return Ok(super::http1::whole_response(StatusCode::SERVICE_UNAVAILABLE, "{}"));
    }
    let is_lost = request.method() == http::Method::POST && rand::rng().random_bool(faults.lost);
    let mut response = store.call(request).await?;
    channels.watching.lock().remove(&number);
    let size = response.body().size_hint().exact().unwrap_or(0);
    channels.sent_bytes.fetch_add(size, Ordering::Relaxed);
    let era = HeaderValue::from(*store.era.borrow());
    response.headers_mut().insert(HeaderName::from_static(ERA_HEADER), era);
    if is_lost || is_silent(&shared.lock()) {
        return std::future::pending().await;
    }
    Ok(response)
}
