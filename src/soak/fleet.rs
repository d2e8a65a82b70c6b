//! The processes and stand-ins of a soak.

mod playing;
mod returns;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rustix::process::Signal;

use super::{
    Options, PLAIN_SERVERS,
    api::PlatformApi,
    callers::Callers,
    history::{AddedRoute, Cut, Disturbance, Evacuation, KeyChange},
    process::{GatewayProcess, ProcessError, STOP_TIMEOUT, free_address},
};
use crate::{
    clock::Time,
    platform::catalog::EVACUATE_PREFIX,
    standin::{
        metadata::{MetadataStore, StoreCopy},
        operator::Document,
        worker::{Worker, WorkerLog, WorkerSettings},
    },
};

/// Data centres of the fleet.
pub const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Models of the engines.
pub const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];

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

/// Wait before a gateway that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// What has happened to a gateway process.
#[derive(Clone, Copy, Debug, Default)]
struct Lifecycle {
    /// When SIGTERM was sent, if the process has not ended since.
    stopped_at: Option<Time>,
    /// When a process that has ended is started again.
    restart_at: Option<Time>,
}

/// The processes and stand-ins of a soak.
pub struct Fleet {
    /// The gateways.
    pub gateways: Vec<GatewayProcess>,
    /// What has happened to the gateways, in the same order.
    lifecycles: Vec<Lifecycle>,
    /// Spans in which gateways were disturbed.
    pub disturbances: Vec<Disturbance>,
    /// Changes of the key that is withdrawn at times.
    pub key_changes: Vec<KeyChange>,
    /// Routes that were added.
    pub added_routes: Vec<AddedRoute>,
    /// Spans in which data centres were out of service.
    pub evacuations: Vec<Evacuation>,
    /// Spans in which a gateway was cut off from the endpoints.
    pub cuts: Vec<Cut>,
    /// The platform API.
    pub api: PlatformApi,
    /// What the endpoints have seen.
    pub log: Arc<WorkerLog>,
    /// When endpoints were disturbed on purpose.
    pub worker_faults: Vec<Time>,
    /// The engines, and then the servers of the plain service.
    workers: Vec<Worker>,
    store: Arc<MetadataStore>,
    /// Copies of the store, the oldest first.
    copies: VecDeque<(Time, StoreCopy)>,
    version: u64,
    /// Number of the newest software version of engines.
    release: usize,
    is_key_valid: bool,
}

/// Least number of servers of the plain service that is ordered for each data centre.
const MIN_SERVERS: u32 = 2;

/// Returns the operators' document, with or without the key that is withdrawn at times.
fn document(version: u64, has_second_key: bool, added: &[AddedRoute]) -> Document {
    let keys = if has_second_key { vec![KEY, WITHDRAWN_KEY] } else { vec![KEY] };
    let added = added.iter().map(|route| route.name.clone()).collect();
    Document {
        version,
        host: HOST,
        models: &MODELS,
        team: TEAM,
        keys,
        added,
        scaling: Some(MIN_SERVERS),
        fetches: false,
    }
}

/// Returns the key of the record that takes a data centre out of service.
fn evacuation_key(data_centre: usize) -> String {
    format!("{EVACUATE_PREFIX}{}", DATA_CENTRES[data_centre])
}

impl Fleet {
    /// Starts the stand-ins and the gateways.
    pub fn start(options: &Options) -> Result<Self, ProcessError> {
        let api = PlatformApi::start(options.seed)?;
        let store = MetadataStore::start();
        let log = Arc::new(WorkerLog::default());
        store.put(Document::key(), &document(1, true, &[]).to_text());
        let worker = |service: &str, index: usize, models: Vec<String>| {
            let settings = WorkerSettings {
                service: service.to_owned(),
                data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].to_owned(),
                version: "v1".to_owned(),
                address: free_address(),
                slots: 32,
                models,
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
        let start = |index: usize| {
            let (name, data_centre) =
                (format!("g{index:03}"), DATA_CENTRES[index % DATA_CENTRES.len()]);
            let (binary, folder) = (&options.binary, &options.folder);
            let duties = Some(api.server.address);
            GatewayProcess::start(binary, folder, name, data_centre, store.clone(), duties)
        };
        let gateways = (0..options.gateways).map(start).collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            lifecycles: vec![Lifecycle::default(); gateways.len()],
            gateways,
            disturbances: Vec::new(),
            key_changes: Vec::new(),
            added_routes: Vec::new(),
            evacuations: Vec::new(),
            cuts: Vec::new(),
            api,
            worker_faults: Vec::new(),
            log,
            workers,
            store,
            copies: VecDeque::new(),
            version: 1,
            release: 1,
            is_key_valid: true,
        })
    }

    /// Waits until all gateways are ready.
    pub async fn wait_ready(&self) -> Result<(), ProcessError> {
        for gateway in &self.gateways {
            gateway.wait_ready().await?;
        }
        Ok(())
    }

    /// Replaces every other engine by one of the next software version.
    fn release(&mut self) {
        self.release += 1;
        let version = format!("v{}", self.release);
        let engines = self.workers.iter().filter(|worker| worker.is_engine());
        for worker in engines.skip(self.release % 2).step_by(2) {
            worker.set_version(&version);
            worker.leave();
        }
    }

    fn is_evacuated(&self) -> bool {
        self.evacuations.iter().any(|evacuation| evacuation.to.is_none())
    }

    /// Adds a route with a new version of the operators' document.
    fn add_route(&mut self, callers: &Callers) {
        let name = format!("added{}", self.added_routes.len());
        self.version += 1;
        self.added_routes.push(AddedRoute { at: Time::now(), name: name.clone() });
        self.write_document();
        callers.add_route(name);
    }

    fn disturb(&mut self, gateway: Option<usize>, from: Time, to: Time, is_stop: bool) {
        self.disturbances.push(Disturbance { gateway, from, to, is_stop, is_store: false });
    }

    fn disturb_store(&mut self, from: Time, to: Time) {
        let (gateway, is_stop, is_store) = (None, false, true);
        self.disturbances.push(Disturbance { gateway, from, to, is_stop, is_store });
    }

    fn kill(&mut self, index: usize, now: Time) {
        self.gateways[index].kill();
        self.disturb(Some(index), now, now + RESTART_DELAY, false);
    }

    fn stop(&mut self, index: usize, now: Time) {
        self.gateways[index].signal(Signal::TERM);
        self.lifecycles[index].stopped_at.get_or_insert(now);
        self.disturb(Some(index), now, now + STOP_TIMEOUT, true);
    }

    /// Writes a new version of the operators' document, with or without the second key.
    fn set_key(&mut self, is_valid: bool) {
        self.version += 1;
        self.is_key_valid = is_valid;
        self.write_document();
        self.key_changes.push(KeyChange { at: Time::now(), is_valid });
    }

    /// Writes the current version of the operators' document.
    fn write_document(&self) {
        let document = document(self.version, self.is_key_valid, &self.added_routes);
        self.store.put(Document::key(), &document.to_text());
    }

    /// Kills gateways that take too long to stop, and starts those again that have ended.
    fn tend_processes(&mut self, now: Time) {
        for index in 0..self.gateways.len() {
            let (gateway, lifecycle) = (&mut self.gateways[index], &mut self.lifecycles[index]);
            if lifecycle.stopped_at.is_some_and(|at| now.since(at) > STOP_TIMEOUT) {
                gateway.kill();
            }
            match lifecycle.restart_at {
                None if gateway.has_ended() => lifecycle.restart_at = Some(now + RESTART_DELAY),
                Some(at) if at <= now => {
                    *lifecycle = Lifecycle::default();
                    if let Err(err) = gateway.restart() {
                        log::error!("event=soak_restart_failed reason={err}");
                    }
                    self.disturb(Some(index), now, now, false);
                }
                _ => {}
            }
        }
    }
}
