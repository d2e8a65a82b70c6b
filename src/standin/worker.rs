//! Stand-in for an endpoint of the users' platform: an engine, or a server of a plain service. It
//! registers in the stand-in for the store and restarts under another name after a crash.

mod answer;
pub mod inventory;
mod orders;
mod record;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use serde_json::json;
use tokio::{
    sync::{Notify, watch},
    task::AbortHandle,
    time::{sleep, timeout},
};

use self::inventory::Inventory;
pub use self::{
    answer::{EVENT_INTERVAL, LAST_EVENT, event_text, plain_body},
    record::{Mark, Order, Run, Sign, Told, WorkerLog},
};
use super::{
    http1::{PacketFilter, Server},
    metadata::MetadataStore,
    operator::ENGINE_ROOM,
};
use crate::clock::wall_millis;

/// Interval of the endpoint's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time from a crash until the endpoint's entry is removed.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Time from a crash to the next start.
const RESTART_TIME: Duration = Duration::from_millis(3_000);

/// Time for which an endpoint that drains goes on serving.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// What an endpoint is like.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Name of the service.
    pub service: String,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Version of the software.
    pub version: String,
    /// Address at which it serves.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Models that are loaded at the start; empty for a plain service.
    pub models: Vec<String>,
    /// Hash of a prompt part that crashes it.
    pub fatal_part: String,
}

/// Faults of an endpoint that is up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerFaults {
    /// Fraction of the requests that fail with status 500.
    pub failing: f64,
    /// Fraction of the responses that are broken off.
    pub breaking: f64,
    /// Fraction of the streams that send bytes without end.
    pub endless: f64,
    /// Limit of the request rate that its responses name.
    pub limit: Option<f64>,
    /// Fraction of the orders that get no answer and are carried out later.
    pub late_orders: f64,
    /// Whether its responses say that it leaves, although its entry does not.
    pub leaving: bool,
    /// Bytes that are added to the answers to plain requests.
    pub added_bytes: usize,
    /// Pause in the middle of each stream, which then goes on.
    pub stream_pause: Duration,
    /// Pause before the first event of each stream.
    pub start_pause: Duration,
    /// Fraction of the requests that are refused, and for how long their senders must pause.
    pub refusing: Option<(f64, Duration)>,
}

/// State of one incarnation.
#[derive(Debug)]
struct State {
    id: Arc<str>,
    /// Wall-clock time of the start in milliseconds, which is the incarnation.
    born: u64,
    /// Version of the software.
    version: String,
    is_draining: bool,
    /// Number of the last heartbeat.
    heartbeats: u64,
    inventory: Inventory,
    /// Number of requests that run, by their model and adapter.
    running: HashMap<(String, Option<String>), u32>,
}

impl State {
    fn new(settings: &WorkerSettings, version: String, models: Vec<String>) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let mut inventory = Inventory::new(ENGINE_ROOM, models);
        inventory.ignores_numbers = rand::random();
        Self {
            id: format!("{}-{number}", settings.service).into(),
            // Each start is a new incarnation, also two in the same millisecond.
            born: wall_millis() + number,
            version,
            is_draining: false,
            heartbeats: 0,
            inventory,
            running: HashMap::new(),
        }
    }

    /// Returns the number of requests that run.
    fn running(&self) -> u32 {
        self.running.values().sum()
    }

    /// Returns what tells whether a request uses a model, or one of its adapters.
    fn usage(&self) -> impl Fn(&str, Option<&str>) -> bool + use<> {
        let used: Vec<(String, Option<String>)> = self.running.keys().cloned().collect();
        move |model, adapter| {
            used.iter().any(|(used_model, used_adapter)| {
                used_model == model && (adapter.is_none() || used_adapter.as_deref() == adapter)
            })
        }
    }
}

/// An endpoint, with what its tasks share.
struct Shared {
    settings: WorkerSettings,
    store: Arc<MetadataStore>,
    log: Arc<WorkerLog>,
    state: Mutex<State>,
    faults: Mutex<WorkerFaults>,
    /// Filter of the packets that arrive.
    filter: watch::Sender<PacketFilter>,
    /// Version of the software from the next start on.
    next_version: Mutex<String>,
    crash: Notify,
    leave: Notify,
}

/// An endpoint that runs in this process until it is dropped.
pub struct Worker {
    shared: Arc<Shared>,
    task: AbortHandle,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Worker {
    /// Starts an endpoint that registers in `store` and records its runs in `log`.
    pub fn start(settings: WorkerSettings, store: Arc<MetadataStore>, log: Arc<WorkerLog>) -> Self {
        let models = settings.models.clone();
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(&settings, settings.version.clone(), models)),
            next_version: Mutex::new(settings.version.clone()),
            settings,
            store,
            log,
            faults: Mutex::default(),
            filter: watch::Sender::default(),
            crash: Notify::new(),
            leave: Notify::new(),
        });
        let task = tokio::spawn(supervise(shared.clone()));
        Self { shared, task: task.abort_handle() }
    }

    /// Returns the name of the current incarnation.
    pub fn id(&self) -> Arc<str> {
        self.shared.state.lock().id.clone()
    }

    /// Returns the key of the current incarnation's entry in the store.
    pub fn entry_key(&self) -> String {
        entry_key(&self.id())
    }

    /// Returns the address at which the endpoint serves.
    pub fn address(&self) -> SocketAddr {
        self.shared.settings.address
    }

    /// Returns whether the endpoint is an engine.
    pub fn is_engine(&self) -> bool {
        !self.shared.settings.models.is_empty()
    }

    /// Crashes the endpoint, which starts again after a while.
    pub fn crash(&self) {
        self.shared.crash.notify_one();
    }

    /// Sets the version of the software from the next start on.
    pub fn set_version(&self, version: &str) {
        *self.shared.next_version.lock() = version.to_owned();
    }

    /// Lets the endpoint drain and leave; another one takes its place.
    pub fn leave(&self) {
        self.shared.leave.notify_one();
    }

    /// Replaces the filter of the packets that arrive, which outlasts restarts.
    pub fn set_filter(&self, filter: PacketFilter) {
        self.shared.filter.send_replace(filter);
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        let limit = faults.limit;
        let old = std::mem::replace(&mut *self.shared.faults.lock(), faults);
        if old.limit != limit {
            let id = self.shared.state.lock().id.clone();
            self.shared.log.record_limit(id, limit);
        }
    }
}

/// Runs one incarnation after the other.
async fn supervise(shared: Arc<Shared>) {
    loop {
        let server = loop {
            let handler = shared.clone();
            let address = shared.settings.address;
            match Server::start(address, move |request| answer::respond(handler.clone(), request)) {
                Ok(server) => break server,
                Err(err) => {
                    log::warn!("event=standin_not_started address={address} reason={err}");
                    sleep(Duration::from_millis(100)).await;
                }
            }
        };
        shared.register();
        let has_crashed = tokio::select! {
            () = shared.crash.notified() => true,
            () = shared.drain() => false,
            () = shared.send_heartbeats() => false,
            () = shared.follow_filter(&server) => false,
            () = orders::advance(&shared) => false,
        };
        drop(server);
        let id = shared.state.lock().id.clone();
        shared.log.record_end(id.clone());
        if has_crashed {
            sleep(ENTRY_TIMEOUT).await;
        }
        shared.store.delete(&entry_key(&id));
        sleep(RESTART_TIME - ENTRY_TIMEOUT).await;
        let version = shared.next_version.lock().clone();
        *shared.state.lock() = State::new(&shared.settings, version, Vec::new());
    }
}

/// Returns the key of an endpoint's entry.
fn entry_key(id: &str) -> String {
    format!("servers/{id}")
}

impl Shared {
    /// Writes the endpoint's entry.
    fn register(&self) {
        let (key, entry) = {
            let state = self.state.lock();
            let models = state.inventory.models();
            let models =
                models.iter().map(|name| json!({ "name": name, "version": 1, "adapters": [] }));
            let entry = json!({
                "service": self.settings.service,
                "address": self.settings.address,
                "zone": self.settings.data_centre,
                "version": state.version,
                "slots": self.settings.slots,
                "state": if state.is_draining { "draining" } else { "ready" },
                "cold_remaining_ms": 0,
                "seq": state.heartbeats,
                "born": state.born,
                "models": models.collect::<Vec<_>>(),
                "at_hand": { "in_memory": self.settings.models, "on_disk": [] },
            });
            (entry_key(&state.id), entry)
        };
        self.store.put(&key, &entry.to_string());
    }

    /// Writes the endpoint's entry with each heartbeat. After a return of the store from a copy the next
    /// one comes a whole interval later, which is the longest time that it may take. Does not end.
    async fn send_heartbeats(&self) {
        let mut era = self.store.era();
        loop {
            if timeout(HEARTBEAT_INTERVAL, era.changed()).await.is_err() {
                self.state.lock().heartbeats += 1;
                self.register();
            }
        }
    }

    /// Applies the filter of packets to the server, each time that it changes. Does not end.
    async fn follow_filter(&self, server: &Server) {
        let mut filter = self.filter.subscribe();
        loop {
            server.set_filter(filter.borrow_and_update().clone());
            if filter.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits until the endpoint must leave, drains it, and returns when it may end.
    async fn drain(&self) {
        self.leave.notified().await;
        let id = {
            let mut state = self.state.lock();
            state.is_draining = true;
            state.id.clone()
        };
        self.register();
        self.log.record_drain(id);
        sleep(DRAIN_TIME).await;
    }
}
