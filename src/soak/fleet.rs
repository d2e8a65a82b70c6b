//! The processes and stand-ins of a soak, and the faults that are played on them.

use std::{
    fs::File,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::time::sleep;

use super::{
    Options, PLAIN_SERVERS,
    callers::Callers,
    plan::{Fault, Step},
};
use crate::{
    clock::Time,
    http::pool::Pool,
    standin::{
        caller::ready_request,
        metadata::{MetadataStore, StoreAddress, StoreFaults},
        operator::Document,
        worker::{Worker, WorkerFaults, WorkerLog, WorkerSettings},
    },
};

/// Data centres of the fleet.
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Models of the engines.
pub const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];

/// Models for which an engine has room.
const MODEL_SLOTS: usize = 3;

/// Hash of the part of prompts that crashes engines.
pub const FATAL_PART: &str = "fa7a1";

/// Key that is always valid, and the team that it belongs to.
pub const KEY: &str = "soak-key-0001";

/// Key that is withdrawn at times.
pub const WITHDRAWN_KEY: &str = "soak-key-0002";

/// Team of both keys.
pub const TEAM: &str = "kites";

/// Host of all routes.
pub const HOST: &str = "soak.example";

/// Time from SIGTERM to SIGKILL.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Wait before a gateway that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Longest wait for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of opening a connection for a readiness check.
const READY_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which faults are looked for that must begin or end.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Lowest port of the fleet.
const FIRST_PORT: u32 = 10_000;

/// Number of ports of the fleet.
const PORT_COUNT: u32 = 20_000;

/// Why a fleet cannot run.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum FleetError {
    /// A file or a process failed.
    #[error("{what}: {source}")]
    Io {
        /// What was done.
        what: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A gateway did not become ready.
    #[error("{name} is not ready after {READY_TIMEOUT:?}")]
    NotReady {
        /// Name of the gateway.
        name: String,
    },
}

/// A span of time in which gateways were disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// The gateway; `None` if all were disturbed.
    pub gateway: Option<usize>,
    /// When it began.
    pub from: Time,
    /// When it ended; far in the future while it lasts.
    pub to: Time,
    /// Whether it is a planned stop.
    pub is_stop: bool,
}

/// A change of the key that is withdrawn at times.
#[derive(Clone, Copy, Debug)]
pub struct KeyChange {
    /// When it was in the store.
    pub at: Time,
    /// Whether the key is valid from then on.
    pub is_valid: bool,
}

/// A gateway process.
pub struct GatewayProcess {
    /// Name of the instance.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for questions about addresses.
    pub directory: SocketAddr,
    readiness: SocketAddr,
    store: StoreAddress,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    /// When SIGTERM was sent, if the process has not ended since.
    stopped_at: Option<Time>,
    /// When a process that has ended is started again.
    restart_at: Option<Time>,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl GatewayProcess {
    fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Returns the resident memory in bytes; zero if the process has ended.
    pub fn resident_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kib.unwrap_or(0) << 10
    }
}

/// Something that must be undone after a while.
enum Undo {
    Resume(usize),
    MendStore(Option<usize>),
    MendWorker(usize),
    ReturnKey,
    StopFatal,
}

/// The processes and stand-ins of a soak.
pub struct Fleet {
    /// The gateways.
    pub gateways: Vec<GatewayProcess>,
    /// Spans in which gateways were disturbed.
    pub disturbances: Vec<Disturbance>,
    /// Changes of the key that is withdrawn at times.
    pub key_changes: Vec<KeyChange>,
    /// What the endpoints have seen.
    pub log: Arc<WorkerLog>,
    /// When endpoints were disturbed on purpose.
    pub worker_faults: Vec<Time>,
    /// The engines, and then the servers of the plain service.
    workers: Vec<Worker>,
    store: Arc<MetadataStore>,
    binary: PathBuf,
    version: u64,
}

/// Returns a loopback address that nothing else uses. The IP address holds the id of this process.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
    SocketAddr::from(([127, 64 + high, middle, low], port as u16))
}

fn io_error(what: &'static str) -> impl Fn(io::Error) -> FleetError {
    move |source| FleetError::Io { what, source }
}

/// Returns the operators' document, with or without the key that is withdrawn at times.
fn document(version: u64, has_second_key: bool) -> Document {
    let keys = if has_second_key { vec![KEY, WITHDRAWN_KEY] } else { vec![KEY] };
    Document { version, host: HOST, models: &MODELS, team: TEAM, keys }
}

impl Fleet {
    /// Starts the stand-ins and the gateways.
    pub fn start(options: &Options) -> Result<Self, FleetError> {
        std::fs::create_dir_all(&options.folder).map_err(io_error("cannot create the folder"))?;
        let store = MetadataStore::start();
        let log = Arc::new(WorkerLog::default());
        store.put(Document::key(), &document(1, true).to_text());
        let worker = |service: &str, index: usize, models: Vec<String>| {
            let settings = WorkerSettings {
                service: service.to_owned(),
                data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].to_owned(),
                address: free_address(),
                slots: 32,
                models,
                model_slots: MODEL_SLOTS,
                fatal_part: FATAL_PART.to_owned(),
            };
            Worker::start(settings, store.clone(), log.clone())
        };
        let engines = (0..options.engines).map(|index| {
            let models = [MODELS[index % MODELS.len()], MODELS[(index + 1) % MODELS.len()]];
            worker("engines", index, models.map(str::to_owned).to_vec())
        });
        let servers = (0..PLAIN_SERVERS).map(|index| worker("desk", index, Vec::new()));
        let workers = engines.chain(servers).collect();
        let gateways = (0..options.gateways).map(|index| start_gateway(options, index, &store));
        let gateways = gateways.collect::<Result<_, _>>()?;
        Ok(Self {
            gateways,
            disturbances: Vec::new(),
            key_changes: Vec::new(),
            worker_faults: Vec::new(),
            log,
            workers,
            store,
            binary: options.binary.clone(),
            version: 1,
        })
    }

    /// Waits until all gateways are ready.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        let started_at = Time::now();
        for gateway in &self.gateways {
            while !is_ready(gateway.readiness).await {
                if Time::now().since(started_at) > READY_TIMEOUT {
                    return Err(FleetError::NotReady { name: gateway.name.clone() });
                }
                sleep(STEP_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Plays the faults, for `length` in total.
    pub async fn play(&mut self, steps: &[Step], callers: &Callers, length: Duration) {
        let started_at = Time::now();
        let mut steps = steps.iter().peekable();
        let mut undo: Vec<(Time, Undo)> = Vec::new();
        loop {
            let now = Time::now();
            let elapsed = now.since(started_at);
            while let Some(step) = steps.next_if(|step| step.at <= elapsed) {
                log::info!("event=soak_fault at_ms={} fault={:?}", step.at.as_millis(), step.fault);
                undo.extend(self.begin(step.fault, callers, now));
            }
            let due = undo.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
            due.into_iter().for_each(|(_, undo)| self.end(undo, callers, now));
            self.tend_processes(now);
            if elapsed >= length {
                return;
            }
            sleep(STEP_INTERVAL).await;
        }
    }

    /// Begins a fault; returns what must be undone, and when.
    fn begin(&mut self, fault: Fault, callers: &Callers, now: Time) -> Option<(Time, Undo)> {
        match fault {
            Fault::Kill(index) => self.kill(index, now),
            Fault::KillAll => (0..self.gateways.len()).for_each(|index| self.kill(index, now)),
            Fault::Stop(index) => self.stop(index, now),
            Fault::Pause(index, length) => {
                self.gateways[index].signal(Signal::STOP);
                self.disturb(Some(index), now, now + length, false);
                return Some((now + length, Undo::Resume(index)));
            }
            Fault::StoreCut(index, faults, length) => {
                self.gateways[index].store.set_faults(faults);
                self.disturb(Some(index), now, now + length, false);
                return Some((now + length, Undo::MendStore(Some(index))));
            }
            Fault::StoreDown(faults, length) => {
                self.gateways.iter().for_each(|gateway| gateway.store.set_faults(faults));
                self.disturb(None, now, now + length, false);
                return Some((now + length, Undo::MendStore(None)));
            }
            Fault::ForgetHistory => self.store.forget_history(),
            Fault::Crash(index) => {
                self.worker_faults.push(now);
                self.workers[index].crash();
            }
            Fault::Leave(index) => self.workers[index].leave(),
            Fault::Unsound(index, faults, length) => {
                self.worker_faults.push(now);
                self.workers[index].set_faults(faults);
                return Some((now + length, Undo::MendWorker(index)));
            }
            Fault::WithdrawKey(length) => {
                self.set_key(false);
                return Some((now + length, Undo::ReturnKey));
            }
            Fault::FatalRequests(length) => {
                self.worker_faults.push(now);
                callers.set_fatal(true);
                return Some((now + length, Undo::StopFatal));
            }
        }
        None
    }

    /// Ends a fault.
    fn end(&mut self, undo: Undo, callers: &Callers, now: Time) {
        match undo {
            Undo::Resume(index) => self.gateways[index].signal(Signal::CONT),
            Undo::MendStore(Some(index)) => {
                self.gateways[index].store.set_faults(StoreFaults::default());
            }
            Undo::MendStore(None) => {
                let mend =
                    |gateway: &GatewayProcess| gateway.store.set_faults(StoreFaults::default());
                self.gateways.iter().for_each(mend);
            }
            Undo::MendWorker(index) => {
                self.worker_faults.push(now);
                self.workers[index].set_faults(WorkerFaults::default());
            }
            Undo::ReturnKey => self.set_key(true),
            Undo::StopFatal => {
                self.worker_faults.push(now);
                callers.set_fatal(false);
            }
        }
    }

    fn disturb(&mut self, gateway: Option<usize>, from: Time, to: Time, is_stop: bool) {
        self.disturbances.push(Disturbance { gateway, from, to, is_stop });
    }

    fn kill(&mut self, index: usize, now: Time) {
        let gateway = &mut self.gateways[index];
        let _ = gateway.child.kill();
        self.disturb(Some(index), now, now + RESTART_DELAY, false);
    }

    fn stop(&mut self, index: usize, now: Time) {
        let gateway = &mut self.gateways[index];
        gateway.signal(Signal::TERM);
        gateway.stopped_at.get_or_insert(now);
        self.disturb(Some(index), now, now + STOP_TIMEOUT, true);
    }

    /// Writes a new version of the operators' document, with or without the second key.
    fn set_key(&mut self, is_valid: bool) {
        self.version += 1;
        self.store.put(Document::key(), &document(self.version, is_valid).to_text());
        self.key_changes.push(KeyChange { at: Time::now(), is_valid });
    }

    /// Kills gateways that take too long to stop, and starts those again that have ended.
    fn tend_processes(&mut self, now: Time) {
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            if gateway.stopped_at.is_some_and(|at| now.since(at) > STOP_TIMEOUT) {
                let _ = gateway.child.kill();
            }
            let has_ended = matches!(gateway.child.try_wait(), Ok(Some(_)));
            match gateway.restart_at {
                None if has_ended => gateway.restart_at = Some(now + RESTART_DELAY),
                Some(at) if at <= now => {
                    gateway.restart_at = None;
                    gateway.stopped_at = None;
                    match spawn(&self.binary, &gateway.settings, &gateway.log) {
                        Ok(child) => gateway.child = child,
                        Err(err) => log::error!("event=soak_restart_failed reason={err}"),
                    }
                    self.disturb(Some(index), now, now, false);
                }
                _ => {}
            }
        }
    }
}

/// Returns whether a gateway says that it is ready.
async fn is_ready(address: SocketAddr) -> bool {
    let pool: Arc<Pool> = Arc::default();
    let Ok(mut connection) = pool.acquire(address, READY_POLL_TIMEOUT).await else { return false };
    connection.send(ready_request()).await.is_ok_and(|response| response.status().is_success())
}

/// Writes the settings of a gateway and starts it.
fn start_gateway(
    options: &Options,
    index: usize,
    store: &Arc<MetadataStore>,
) -> Result<GatewayProcess, FleetError> {
    let name = format!("g{index:03}");
    let [callers, directory, readiness, peer, metrics] = std::array::from_fn(|_| free_address());
    let store = StoreAddress::start(store.clone(), free_address());
    let store = store.map_err(io_error("cannot serve the store"))?;
    let settings = json!({
        "instance": name, "data_centre": DATA_CENTRES[index % DATA_CENTRES.len()],
        "callers": callers, "directory": directory, "readiness": readiness, "peer": peer,
        "metrics": metrics, "store": store.address,
        "machine": { "cores": 0.25, "link_mbps": 1_000.0 },
        "limits": {
            "repeat_ratio": 0.2, "repeat_slack": 50.0, "repeat_window_s": 10.0,
            "load_window_s": 5.0, "rate_slack": 100_000.0, "order_gap_ms": 3_000.0,
            "stop_s": STOP_TIMEOUT.as_secs_f64(), "address_ttl_s": 5.0, "drain_ms": 2_000.0,
        },
        "log": "info",
    });
    let path = options.folder.join(format!("{name}.yaml"));
    let log = options.folder.join(format!("{name}.log"));
    std::fs::write(&path, settings.to_string()).map_err(io_error("cannot write the settings"))?;
    let _ = std::fs::remove_file(&log);
    let child = spawn(&options.binary, &path, &log).map_err(io_error("cannot start a gateway"))?;
    Ok(GatewayProcess {
        name,
        callers,
        directory,
        readiness,
        store,
        settings: path,
        log,
        child,
        stopped_at: None,
        restart_at: None,
    })
}

/// Starts a gateway process, which appends its output to `log`.
fn spawn(binary: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    let err = out.try_clone()?;
    let mut command = Command::new(binary);
    command.arg("gateway").arg("--settings").arg(settings);
    command.stdin(Stdio::null()).stdout(out).stderr(err).spawn()
}
