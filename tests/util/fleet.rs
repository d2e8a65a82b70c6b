//! Real processes of the one binary on loopback: instances, endpoints and the platform.

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

use super::{eventually, http::call};

/// Longest time for a fleet to become ready.
pub const READY: Duration = Duration::from_secs(30);

/// Key of team `kites` in [`CONFIG`].
pub const KITES_KEY: &str = "kites-secret-0001";

/// Key of team `hazelnuts` in [`CONFIG`].
pub const NUTS_KEY: &str = "hazelnuts-secret-0002";

/// The configuration of most tests; `{kites}` and `{nuts}` stand for the hashes of the keys.
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

/// What a fleet consists of.
pub struct Plan {
    /// Data centres of the instances, one for each.
    pub instances: Vec<&'static str>,
    /// Data centres of the engines and what they are like.
    pub engines: Vec<(&'static str, EngineSettings)>,
    /// Data centres of the plain services.
    pub services: Vec<&'static str>,
    /// Configuration.
    pub config: String,
}

impl Default for Plan {
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

/// Returns an engine on which both models of [`CONFIG`] are resident.
pub fn engine_settings() -> EngineSettings {
    EngineSettings {
        memory_mb: 1_000,
        preload: vec![("glue".to_owned(), 100), ("spar".to_owned(), 100)],
        ..EngineSettings::default()
    }
}

/// One process.
pub struct Process {
    child: Child,
    args: Vec<String>,
    log: PathBuf,
}

impl Process {
    fn start(args: Vec<String>, log: PathBuf) -> Self {
        let out = File::options().create(true).append(true).open(&log).expect("a log file opens");
        let err = out.try_clone().expect("a log file is shared");
        let child = Command::new(env!("CARGO_BIN_EXE_cardamomshore"))
            .args(&args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .expect("the binary starts");
        Self { child, args, log }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process takes a signal");
    }

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same arguments.
    pub fn restart(&mut self) {
        self.kill();
        *self = Process::start(self.args.clone(), self.log.clone());
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the process is known").is_some()
    }

    /// Returns the exit code of a process that ended by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().expect("the process is known")?.code()
    }

    /// Returns what the process printed.
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

/// A fleet of processes, which end with it.
pub struct Fleet {
    pub platform: SocketAddr,
    pub list: InstanceList,
    pub operators: Vec<SocketAddr>,
    pub instances: Vec<Process>,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub platform_process: Process,
    preloaded: usize,
    dir: PathBuf,
}

impl Fleet {
    /// Starts a fleet and waits until its instances serve under the plan's configuration.
    pub async fn start(name: &str, plan: Plan) -> Self {
        let fleet = Self::start_unconfigured(name, &plan).await;
        fleet.apply(0, &plan.config).await;
        fleet.wait_ready(1).await;
        fleet.wait_shares().await;
        fleet
    }

    /// Waits until every instance has a part of the teams' rates.
    pub async fn wait_shares(&self) {
        for operator in &self.operators {
            eventually("an instance has its part of the rates", READY, || async {
                self.status(*operator).await["parts"].as_u64() > Some(0)
            })
            .await;
        }
    }

    /// Starts a fleet without a configuration.
    pub async fn start_unconfigured(name: &str, plan: &Plan) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("a folder is made");
        let platform = free_address();
        let args = ["standin", "platform", "--listen", &platform.to_string()];
        let platform_process = start(&dir, "platform", &args);
        let (engines, mut endpoints) = start_engines(&dir, plan);
        let (services, listed) = start_services(&dir, plan);
        endpoints.extend(listed);
        let (listed, operators) = list_instances(plan);
        let list = InstanceList { instances: listed, endpoints };
        let fleet = Self {
            platform,
            instances: start_instances(&dir, platform, &list, &operators),
            list,
            operators,
            engines,
            services,
            platform_process,
            preloaded: plan.engines.iter().map(|(_, engine)| engine.preload.len()).sum(),
            dir,
        };
        fleet.publish_list(&fleet.list).await;
        fleet
    }

    /// Replaces the platform's list.
    pub async fn publish_list(&self, list: &InstanceList) {
        let body = serde_json::to_string(list).expect("a list is JSON");
        eventually("the platform takes the list", READY, || async {
            let put = call(Method::PUT, self.platform, "/standin/list", &[], body.clone()).await;
            put.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Applies a configuration over the version that was seen.
    pub async fn apply(&self, seen: u64, config: &str) {
        let text =
            config.replace("{kites}", &hash_key(KITES_KEY)).replace("{nuts}", &hash_key(NUTS_KEY));
        let body = json!({ "seen": seen, "text": text }).to_string();
        eventually("an instance accepts the configuration", READY, || async {
            let put = call(Method::PUT, self.operators[0], "/config", &[], body.clone()).await;
            put.is_ok_and(|answer| answer.status == 200 || answer.status == 409)
        })
        .await;
    }

    /// Waits until every instance has the version in force and knows every copy.
    pub async fn wait_ready(&self, version: u64) {
        for operator in &self.operators {
            eventually("an instance is ready", READY, || async {
                let status = self.status(*operator).await;
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
            eventually("an instance is linked", READY, || async {
                let answer = call(Method::GET, *operator, "/timeline", &[], "").await;
                let text = answer.map_or(String::new(), |answer| answer.text());
                text.matches("\"PeerUp\"").count() >= others
            })
            .await;
        }
    }

    /// Returns the status of an instance, or null.
    pub async fn status(&self, operator: SocketAddr) -> serde_json::Value {
        let answer = call(Method::GET, operator, "/status", &[], "").await;
        answer.map_or(serde_json::Value::Null, |answer| answer.json())
    }

    /// Sets the faults of the platform or an endpoint.
    pub async fn set_faults(&self, address: SocketAddr, faults: serde_json::Value) {
        let put = call(Method::PUT, address, "/standin/faults", &[], faults.to_string()).await;
        assert_eq!(put.expect("the stand-in answers").status, 200);
    }

    /// Reads a document of a stand-in.
    pub async fn read(&self, address: SocketAddr, path: &str) -> serde_json::Value {
        call(Method::GET, address, path, &[], "").await.expect("the stand-in answers").json()
    }

    /// Returns the callers' address of an instance.
    pub fn caller(&self, index: usize) -> SocketAddr {
        self.list.instances[index].listen
    }

    /// Returns the address of an endpoint by its name.
    pub fn endpoint(&self, id: &str) -> SocketAddr {
        self.list.endpoint(&id.into()).expect("a listed endpoint").address
    }

    /// Returns the folder of the fleet's files.
    pub fn dir(&self) -> &PathBuf {
        &self.dir
    }
}

/// First of the ports that tests use.
const FIRST_PORT: u32 = 10_000;

const PORT_COUNT: u32 = 20_000;

/// Returns a loopback address that no other test gets.
///
/// Each test process has an IP number of its own, made from its process id, so that neither other
/// processes nor outgoing connections take the port of a process that is away.
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

fn start(dir: &std::path::Path, name: &str, args: &[&str]) -> Process {
    let args = args.iter().map(|arg| (*arg).to_owned()).collect();
    Process::start(args, dir.join(format!("{name}.log")))
}

fn start_engines(dir: &std::path::Path, plan: &Plan) -> (Vec<Process>, Vec<ListedEndpoint>) {
    let started = plan.engines.iter().enumerate().map(|(i, (data_centre, settings))| {
        let name = format!("engine-{i}");
        let listed = listed_endpoint(&name, data_centre, "assistant");
        let file = dir.join(format!("{name}.yaml"));
        let yaml = serde_saphyr::to_string(settings).expect("settings are YAML");
        std::fs::write(&file, yaml).expect("settings are written");
        let file = file.display().to_string();
        let address = listed.address.to_string();
        let args = ["standin", "engine", "--listen", &address, "--settings", &file];
        (start(dir, &name, &args), listed)
    });
    started.unzip()
}

fn start_services(dir: &std::path::Path, plan: &Plan) -> (Vec<Process>, Vec<ListedEndpoint>) {
    let started = plan.services.iter().enumerate().map(|(i, data_centre)| {
        let name = format!("ledger-{i}");
        let listed = listed_endpoint(&name, data_centre, "ledger");
        let args = ["standin", "service", "--listen", &listed.address.to_string()];
        (start(dir, &name, &args), listed)
    });
    started.unzip()
}

fn listed_endpoint(name: &str, data_centre: &str, pool: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: name.into(),
        data_centre: data_centre.into(),
        pool: pool.into(),
        address: free_address(),
        state: ListedState::Live,
    }
}

fn list_instances(plan: &Plan) -> (Vec<ListedInstance>, Vec<SocketAddr>) {
    let listed = plan.instances.iter().enumerate().map(|(i, data_centre)| {
        let listed = ListedInstance {
            id: format!("i-{i}").into(),
            data_centre: (*data_centre).into(),
            listen: free_address(),
            peer: free_address(),
            state: ListedState::Live,
        };
        (listed, free_address())
    });
    listed.unzip()
}

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
        std::fs::write(&file, settings.to_string()).expect("settings are written");
        let args = ["serve", "--settings", &file.display().to_string()];
        start(dir, listed.id.as_str(), &args)
    });
    started.collect()
}
