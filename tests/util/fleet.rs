//! Fleets of real processes of the binary on loopback: instances, endpoints and the platform.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use cardamomshore::{
    config::hash_key,
    platform::{InstanceList, ListedEndpoint, ListedInstance, ListedState},
    standin::engine::EngineSettings,
};
use http::Method;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

use super::{http::call, run_folder, wait_until};

/// Longest wait for a fleet to become ready, and for most other conditions.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Team `kites`' key, whose hash is in [`CONFIG`].
pub const KITES_KEY: &str = "kites-secret-0001";

/// Team `hazelnuts`' key, whose hash is in [`CONFIG`].
pub const NUTS_KEY: &str = "hazelnuts-secret-0002";

/// Configuration of most tests; `{kites}` and `{nuts}` are replaced by the hashes of the keys.
pub const CONFIG: &str = "
classes:
  chat: { first_ms: 1500, gap_ms: 73, deadline_ms: 20000, percent: 95 }
  payment: { first_ms: 1000, deadline_ms: 8000, percent: 99 }
  audit: { first_ms: 60000, deadline_ms: 120000, percent: 99, background: true }
teams:
  kites: { rate: 100000, burst: 400000, classes: [chat, payment, audit] }
  hazelnuts: { rate: 100000, burst: 400000, classes: [chat, payment, audit] }
keys:
  kites-1: { team: kites, hash: '{kites}' }
  nuts-1: { team: hazelnuts, hash: '{nuts}' }
data_centres:
  dc-a: {}
  dc-b: {}
pools:
  assistant: { kind: engine, fencing: true, memory_mb: 1000, cold_limit: 4, warm_limit: 32 }
  ledger: { kind: service, cold_limit: 8, warm_limit: 32 }
models:
  glue: { pool: assistant, mb: 100 }
  spar: { pool: assistant, mb: 100 }
services:
  ledger:
    pool: ledger
    routes:
      - { method: POST, path: /payments, class: payment, repeat: never }
      - { method: GET, path: /stock/*, class: chat }
      - { method: GET, path: /open/*, class: chat, open: true }
";

/// Processes and configuration of a fleet.
pub struct FleetSpec {
    /// Data centre of each instance.
    pub instances: Vec<&'static str>,
    /// Data centre and settings of each engine.
    pub engines: Vec<(&'static str, EngineSettings)>,
    /// Data centre of each plain service.
    pub services: Vec<&'static str>,
    /// Configuration that [`Fleet::start`] applies, in YAML.
    pub config: String,
}

impl Default for FleetSpec {
    fn default() -> Self {
        let engine = engine_settings();
        Self {
            instances: vec!["dc-a", "dc-b"],
            engines: vec![("dc-a", engine.clone()), ("dc-b", engine)],
            services: vec!["dc-a"],
            config: CONFIG.to_owned(),
        }
    }
}

/// Returns the settings of an engine that starts with both models of [`CONFIG`] resident.
pub fn engine_settings() -> EngineSettings {
    EngineSettings {
        memory_mb: 1_000,
        preload: vec![("glue".to_owned(), 100), ("spar".to_owned(), 100)],
        ..EngineSettings::default()
    }
}

/// A process of the binary, which is killed when this value is dropped.
pub struct Process {
    child: Child,
    args: Vec<String>,
    log: PathBuf,
}

impl Process {
    /// Starts the binary and appends its output to the file `log`.
    fn start(args: Vec<String>, log: PathBuf) -> Self {
        let out = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("expected the log file to open");
        let err = out.try_clone().expect("expected a second handle of the log file");
        let child = Command::new(env!("CARGO_BIN_EXE_cardamomshore"))
            .args(&args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .expect("expected the binary to start");
        Self { child, args, log }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("expected the process to take the signal");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts a new one with the same arguments.
    pub fn restart(&mut self) {
        self.kill();
        *self = Process::start(self.args.clone(), self.log.clone());
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("expected the state of the process").is_some()
    }

    /// Returns the exit code, or `None` if the process still runs or a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().expect("expected the state of the process")?.code()
    }

    /// Returns what the process has printed, also before restarts.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = kill_process(Pid::from_child(&self.child), Signal::CONT);
        self.kill();
    }
}

/// A fleet of processes, which are killed when this value is dropped.
pub struct Fleet {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Instances and endpoints as first published.
    pub list: InstanceList,
    /// Operators' address of each instance.
    pub operators: Vec<SocketAddr>,
    pub instances: Vec<Process>,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub platform_process: Process,
    /// Number of replicas that are resident from the start, over all engines.
    preloaded: usize,
    /// Folder of the processes' settings and logs.
    dir: PathBuf,
}

impl Fleet {
    /// Starts a fleet, applies the configuration and waits until all instances serve under it.
    pub async fn start(name: &str, spec: FleetSpec) -> Self {
        let fleet = Self::start_unconfigured(name, &spec).await;
        fleet.apply_config(0, &spec.config).await;
        fleet.wait_ready(1).await;
        fleet.wait_rate_shares().await;
        fleet
    }

    /// Waits until every instance has a share of the teams' rates.
    pub async fn wait_rate_shares(&self) {
        for operator in &self.operators {
            wait_until("every instance has a share of the rates", READY_TIMEOUT, || async {
                self.fetch_status(*operator).await["parts"].as_u64() > Some(0)
            })
            .await;
        }
    }

    /// Starts a fleet and publishes its list, but applies no configuration.
    pub async fn start_unconfigured(name: &str, spec: &FleetSpec) -> Self {
        let dir = run_folder(name);
        std::fs::create_dir_all(&dir).expect("expected to create the folder of the fleet");
        let platform = free_address();
        let args = ["standin", "platform", "--listen", &platform.to_string()];
        let platform_process = start_process(&dir, "platform", &args);
        let (engines, mut endpoints) = start_engines(&dir, spec);
        let (services, listed) = start_services(&dir, spec);
        endpoints.extend(listed);
        let (listed, operators) = list_instances(spec);
        let list = InstanceList { instances: listed, endpoints };
        let fleet = Self {
            platform,
            instances: start_instances(&dir, platform, &list, &operators),
            list,
            operators,
            engines,
            services,
            platform_process,
            preloaded: spec.engines.iter().map(|(_, engine)| engine.preload.len()).sum(),
            dir,
        };
        fleet.publish_list(&fleet.list).await;
        fleet
    }

    /// Replaces the platform's list of instances and endpoints.
    pub async fn publish_list(&self, list: &InstanceList) {
        let body = serde_json::to_string(list).expect("expected the list to be JSON");
        wait_until("the platform accepts the list", READY_TIMEOUT, || async {
            let put = call(Method::PUT, self.platform, "/standin/list", &[], body.clone()).await;
            put.is_ok_and(|response| response.status == 200)
        })
        .await;
    }

    /// Applies a configuration on top of version `seen`.
    ///
    /// A retry after a lost response may find the version already written (status 409).
    pub async fn apply_config(&self, seen: u64, config: &str) {
        let text =
            config.replace("{kites}", &hash_key(KITES_KEY)).replace("{nuts}", &hash_key(NUTS_KEY));
        let body = json!({ "seen": seen, "text": text }).to_string();
        wait_until("an instance accepts the configuration", READY_TIMEOUT, || async {
            let put = call(Method::PUT, self.operators[0], "/config", &[], body.clone()).await;
            put.is_ok_and(|response| response.status == 200 || response.status == 409)
        })
        .await;
    }

    /// Waits until every instance has at least this configuration version in force and knows every
    /// endpoint and every preloaded replica.
    pub async fn wait_ready(&self, version: u64) {
        for operator in &self.operators {
            wait_until("every instance is ready", READY_TIMEOUT, || async {
                let status = self.fetch_status(*operator).await;
                status["version"].as_u64() >= Some(version)
                    && status["known"].as_u64() >= Some(self.list.endpoints.len() as u64)
                    && status["copies"].as_u64() >= Some(self.preloaded as u64)
            })
            .await;
        }
    }

    /// Waits until every instance has a working link to each of the others.
    pub async fn wait_linked(&self) {
        let others = self.operators.len() - 1;
        for operator in &self.operators {
            wait_until("every instance is linked to all others", READY_TIMEOUT, || async {
                let response = call(Method::GET, *operator, "/timeline", &[], "").await;
                let text = response.map_or(String::new(), |response| response.text());
                text.matches("\"PeerUp\"").count() >= others
            })
            .await;
        }
    }

    /// Returns the status of an instance, or null if it does not respond.
    pub async fn fetch_status(&self, operator: SocketAddr) -> serde_json::Value {
        let response = call(Method::GET, operator, "/status", &[], "").await;
        response.map_or(serde_json::Value::Null, |response| response.json())
    }

    /// Replaces the faults of the stand-in at `address`: the platform or an endpoint.
    pub async fn set_faults(&self, address: SocketAddr, faults: serde_json::Value) {
        let put = call(Method::PUT, address, "/standin/faults", &[], faults.to_string()).await;
        assert_eq!(put.expect("expected the stand-in to respond").status, 200);
    }

    /// Returns the JSON document at `path` of a stand-in or an instance.
    pub async fn fetch_json(&self, address: SocketAddr, path: &str) -> serde_json::Value {
        call(Method::GET, address, path, &[], "").await.expect("expected a response").json()
    }

    /// Returns the address at which an instance serves callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.list.instances[index].listen
    }

    /// Returns the address of an endpoint by its id.
    pub fn endpoint_address(&self, id: &str) -> SocketAddr {
        self.list.endpoint(&id.into()).expect("expected the endpoint to be listed").address
    }

    /// Returns the folder of the processes' settings and logs.
    pub fn dir(&self) -> &PathBuf {
        &self.dir
    }
}

/// Lowest port that tests use.
const FIRST_PORT: u32 = 10_000;

/// Number of ports that tests use.
const PORT_COUNT: u32 = 20_000;

/// Returns a free loopback address that no other test gets.
///
/// The IP address holds the id of the test process, so that neither other processes nor outgoing
/// connections take the port of a process that is being restarted.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    loop {
        let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let address = SocketAddr::from(([127, 64 + high, middle, low], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts a process whose output goes to a log file of its name in `dir`.
fn start_process(dir: &std::path::Path, name: &str, args: &[&str]) -> Process {
    let args = args.iter().map(|arg| (*arg).to_owned()).collect();
    Process::start(args, dir.join(format!("{name}.log")))
}

/// Starts the engines and returns them with their entries of the list.
fn start_engines(dir: &std::path::Path, spec: &FleetSpec) -> (Vec<Process>, Vec<ListedEndpoint>) {
    let started = spec.engines.iter().enumerate().map(|(index, (data_centre, settings))| {
        let name = format!("engine-{index}");
        let listed = listed_endpoint(&name, data_centre, "assistant");
        let file = dir.join(format!("{name}.yaml"));
        let yaml = serde_saphyr::to_string(settings).expect("expected the settings to be YAML");
        std::fs::write(&file, yaml).expect("expected to write the settings");
        let file = file.display().to_string();
        let address = listed.address.to_string();
        let args = ["standin", "engine", "--listen", &address, "--settings", &file];
        (start_process(dir, &name, &args), listed)
    });
    started.unzip()
}

/// Starts the plain services and returns them with their entries of the list.
fn start_services(dir: &std::path::Path, spec: &FleetSpec) -> (Vec<Process>, Vec<ListedEndpoint>) {
    let started = spec.services.iter().enumerate().map(|(index, data_centre)| {
        let name = format!("ledger-{index}");
        let listed = listed_endpoint(&name, data_centre, "ledger");
        let args = ["standin", "service", "--listen", &listed.address.to_string()];
        (start_process(dir, &name, &args), listed)
    });
    started.unzip()
}

/// Returns the entry of the list for an endpoint at a free address.
fn listed_endpoint(name: &str, data_centre: &str, pool: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: name.into(),
        data_centre: data_centre.into(),
        pool: pool.into(),
        address: free_address(),
        state: ListedState::Live,
    }
}

/// Returns the entries of the list for the instances, and the instances' addresses for operators.
fn list_instances(spec: &FleetSpec) -> (Vec<ListedInstance>, Vec<SocketAddr>) {
    let listed = spec.instances.iter().enumerate().map(|(index, data_centre)| {
        let listed = ListedInstance {
            id: format!("i-{index}").into(),
            data_centre: (*data_centre).into(),
            listen: free_address(),
            peer: free_address(),
            state: ListedState::Live,
        };
        (listed, free_address())
    });
    listed.unzip()
}

/// Writes the settings of each instance and starts it.
fn start_instances(
    dir: &std::path::Path,
    platform: SocketAddr,
    list: &InstanceList,
    operators: &[SocketAddr],
) -> Vec<Process> {
    let started = list.instances.iter().zip(operators).map(|(listed, operator)| {
        let settings = json!({
            "instance": listed.id, "data_centre": listed.data_centre,
            "listen": listed.listen, "peer": listed.peer, "operator": operator,
            "platform": [platform], "list": platform, "log": { "level": "debug" },
        });
        let file = dir.join(format!("{}.yaml", listed.id));
        std::fs::write(&file, settings.to_string()).expect("expected to write the settings");
        let args = ["serve", "--settings", &file.display().to_string()];
        start_process(dir, listed.id.as_str(), &args)
    });
    started.collect()
}
