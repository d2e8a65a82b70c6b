//! A gateway process with an address of the stand-in for the store of its own.

use std::{
    fs::File,
    io,
    net::{Ipv4Addr, SocketAddr},
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

use crate::{
    clock::Time,
    http::pool::Pool,
    standin::{
        caller::ready_request,
        metadata::{MetadataStore, StoreAddress},
    },
};

/// Time from SIGTERM to SIGKILL.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Length of a usage window.
pub const DUTY_WINDOW: Duration = Duration::from_secs(3);

/// Longest wait for a gateway to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval of the readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of opening a connection for a readiness check.
const READY_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Lowest port of the processes.
const FIRST_PORT: u32 = 10_000;

/// First host from which gateways connect.
const FIRST_HOST: u32 = u32::from_be_bytes([127, 32, 0, 1]);

/// Number of hosts from which gateways connect.
const HOST_COUNT: u32 = 1 << 16;

/// Number of ports of the processes.
const PORT_COUNT: u32 = 20_000;

/// Why a process cannot run.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ProcessError {
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

/// Returns the error of a step, by what was done.
pub(super) fn io_error(what: &'static str) -> impl Fn(io::Error) -> ProcessError {
    move |source| ProcessError::Io { what, source }
}

/// Returns a loopback address that nothing else uses. The IP address holds the id of this process. The
/// tests of other processes take their addresses from 127.64.0.0 on.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
    SocketAddr::from(([127, 128 + high, middle, low], port as u16))
}

/// Returns a loopback host from which nothing else of this process connects.
fn free_host() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    Ipv4Addr::from(FIRST_HOST + NEXT.fetch_add(1, Ordering::Relaxed) % HOST_COUNT)
}

/// A gateway process. It is killed when it is dropped.
pub struct GatewayProcess {
    /// Name of the instance.
    pub name: String,
    /// Address from which the gateway connects to endpoints.
    pub source: Ipv4Addr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for questions about addresses.
    pub directory: SocketAddr,
    /// Address of the readiness checks.
    pub readiness: SocketAddr,
    /// Address of the store for this gateway alone.
    pub store: StoreAddress,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl GatewayProcess {
    /// Writes the settings of the gateway `name` into `folder` and starts it. Its output goes to a
    /// log file there. The gateway has duties if `duties` names the platform API.
    pub fn start(
        binary: &Path,
        folder: &Path,
        name: String,
        data_centre: &str,
        store: Arc<MetadataStore>,
        duties: Option<SocketAddr>,
    ) -> Result<Self, ProcessError> {
        let [callers, directory, readiness, peer, relay, metrics] =
            std::array::from_fn(|_| free_address());
        let source = free_host();
        let store = StoreAddress::start(store, free_address());
        let store = store.map_err(io_error("cannot serve the store"))?;
        let mut settings = json!({
            "instance": name, "data_centre": data_centre,
            "callers": callers, "directory": directory, "readiness": readiness, "peer": peer,
            "relay": relay, "metrics": metrics, "store": store.address, "source": source,
            "machine": { "cores": 0.25, "link_mbps": 1_000.0 },
            "limits": {
                "repeat_ratio": 0.2, "repeat_slack": 50.0, "repeat_window_s": 10.0,
                "load_window_s": 5.0, "rate_slack": 100_000.0, "order_gap_ms": 3_000.0,
                "stop_s": STOP_TIMEOUT.as_secs_f64(), "address_ttl_s": 5.0, "drain_ms": 2_000.0,
            },
            "log": "info",
        });
        if let Some(address) = duties {
            settings["duties"] = json!({
                "address": address, "kinds": "usage_reporting,autoscaling", "calls_per_s": 50.0,
                "window_s": DUTY_WINDOW.as_secs_f64(), "late_s": 2.0 * DUTY_WINDOW.as_secs_f64(),
            });
        }
        std::fs::create_dir_all(folder).map_err(io_error("cannot create the folder"))?;
        let path = folder.join(format!("{name}.yaml"));
        let log = folder.join(format!("{name}.log"));
        let written = std::fs::write(&path, settings.to_string());
        written.map_err(io_error("cannot write the settings"))?;
        let _ = std::fs::remove_file(&log);
        let child = spawn(binary, &path, &log).map_err(io_error("cannot start a gateway"))?;
        let binary = binary.to_owned();
        Ok(Self {
            name,
            source,
            callers,
            directory,
            readiness,
            store,
            binary,
            settings: path,
            log,
            child,
        })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Starts the process again after it has ended. Fails if it cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        let _ = self.child.wait();
        self.child = spawn(&self.binary, &self.settings, &self.log)?;
        Ok(())
    }

    /// Returns the resident memory in bytes; zero if the process has ended.
    pub fn resident_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kib.unwrap_or(0) << 10
    }

    /// Waits until the gateway says that it is ready. Fails after [`READY_TIMEOUT`].
    pub async fn wait_ready(&self) -> Result<(), ProcessError> {
        let started_at = Time::now();
        while !is_ready(self.readiness).await {
            if Time::now().since(started_at) > READY_TIMEOUT {
                return Err(ProcessError::NotReady { name: self.name.clone() });
            }
            sleep(READY_INTERVAL).await;
        }
        Ok(())
    }
}

/// Returns whether a gateway says that it is ready.
async fn is_ready(address: SocketAddr) -> bool {
    let pool: Arc<Pool> = Arc::default();
    let Ok(mut connection) = pool.acquire(address, READY_POLL_TIMEOUT).await else { return false };
    connection.send(ready_request()).await.is_ok_and(|response| response.status().is_success())
}

/// Starts a gateway process, which appends its output to `log`.
fn spawn(binary: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    let err = out.try_clone()?;
    let mut command = Command::new(binary);
    command.arg("gateway").arg("--settings").arg(settings);
    command.stdin(Stdio::null()).stdout(out).stderr(err).spawn()
}
