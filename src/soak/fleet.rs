//! The processes and stand-ins of a soak, and the faults that are played on them.

use std::{sync::Arc, time::Duration};

use rustix::process::Signal;
use tokio::time::sleep;

use super::{
    Options, PLAIN_SERVERS,
    callers::Callers,
    plan::{Fault, Step},
    process::{GatewayProcess, ProcessError, STOP_TIMEOUT, free_address},
};
use crate::{
    clock::Time,
    standin::{
        metadata::{MetadataStore, StoreFaults},
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

/// Wait before a gateway that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Interval at which faults are looked for that must begin or end.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

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

/// Something that must be undone after a while.
enum Undo {
    Resume(usize),
    MendStore(Option<usize>),
    MendWorker(usize),
    ReturnKey,
    StopFatal,
}

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
    /// What the endpoints have seen.
    pub log: Arc<WorkerLog>,
    /// When endpoints were disturbed on purpose.
    pub worker_faults: Vec<Time>,
    /// The engines, and then the servers of the plain service.
    workers: Vec<Worker>,
    store: Arc<MetadataStore>,
    version: u64,
}

/// Returns the operators' document, with or without the key that is withdrawn at times.
fn document(version: u64, has_second_key: bool) -> Document {
    let keys = if has_second_key { vec![KEY, WITHDRAWN_KEY] } else { vec![KEY] };
    Document { version, host: HOST, models: &MODELS, team: TEAM, keys, added: Vec::new() }
}

impl Fleet {
    /// Starts the stand-ins and the gateways.
    pub fn start(options: &Options) -> Result<Self, ProcessError> {
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
        let start = |index: usize| {
            let (name, data_centre) =
                (format!("g{index:03}"), DATA_CENTRES[index % DATA_CENTRES.len()]);
            let (binary, folder) = (&options.binary, &options.folder);
            GatewayProcess::start(binary, folder, name, data_centre, store.clone())
        };
        let gateways = (0..options.gateways).map(start).collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            lifecycles: vec![Lifecycle::default(); gateways.len()],
            gateways,
            disturbances: Vec::new(),
            key_changes: Vec::new(),
            worker_faults: Vec::new(),
            log,
            workers,
            store,
            version: 1,
        })
    }

    /// Waits until all gateways are ready.
    pub async fn wait_ready(&self) -> Result<(), ProcessError> {
        for gateway in &self.gateways {
            gateway.wait_ready().await?;
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
        self.store.put(Document::key(), &document(self.version, is_valid).to_text());
        self.key_changes.push(KeyChange { at: Time::now(), is_valid });
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
