//! The processes and stand-ins of a soak, and the faults that are played on them.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rustix::process::Signal;
use tokio::time::sleep;

use super::{
    Options, PLAIN_SERVERS,
    api::PlatformApi,
    callers::Callers,
    plan::{Fault, MAX_COPY_AGE_MS, Step},
    process::{GatewayProcess, ProcessError, STOP_TIMEOUT, free_address},
};
use crate::{
    clock::Time,
    platform::{catalog::EVACUATE_PREFIX, registration::ENDPOINT_PREFIX},
    standin::{
        http1::PacketFilter,
        metadata::{MetadataStore, StoreCopy, StoreFaults},
        operator::Document,
        worker::{Worker, WorkerFaults, WorkerLog, WorkerSettings},
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

/// Interval at which the store is copied.
const COPY_INTERVAL: Duration = Duration::from_millis(500);

/// Time from a return of the store until the operators write their records again.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Time from a return of the store until it removes the entries of endpoints that have ended.
const GHOST_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Writes of others to the store that each return of the store loses.
const OTHER_WRITES: usize = 200;

/// Interval at which faults are looked for that must begin or end.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which an endpoint says that it leaves before its entry does.
const SAY_TIME: Duration = Duration::from_secs(5);

/// Time after which an endpoint that leaves has been replaced.
const LEAVE_TIME: Duration = Duration::from_secs(6);

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
    /// Whether only the store was disturbed.
    pub is_store: bool,
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
    RestoreStore(Time),
    WriteAgain,
    RemoveGhosts,
    EndEvacuation(usize),
    EndCut,
    LeaveAfterSaying(usize),
}

/// A route that was added.
#[derive(Clone, Debug)]
pub struct AddedRoute {
    /// When it was in the store.
    pub at: Time,
    /// Name of the route.
    pub name: String,
}

/// A span in which a gateway was cut off from all endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// The gateway.
    pub gateway: usize,
    /// When it began.
    pub from: Time,
    /// When it ends.
    pub to: Time,
}

/// A span in which a data centre was out of service.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// Index of the data centre.
    pub data_centre: usize,
    /// When it was in the store that the data centre is out of service.
    pub from: Time,
    /// When that was ended; `None` while it lasts.
    pub to: Option<Time>,
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

    /// Plays the faults, for `length` in total, or longer if less than `calm` would follow the last one.
    pub async fn play(
        &mut self,
        steps: &[Step],
        callers: &Callers,
        length: Duration,
        calm: Duration,
    ) {
        let started_at = Time::now();
        let mut disturbed_at = started_at;
        let mut steps = steps.iter().peekable();
        let mut undo: Vec<(Time, Undo)> = Vec::new();
        loop {
            let now = Time::now();
            let elapsed = now.since(started_at);
            while let Some(step) = steps.next_if(|step| step.at <= elapsed) {
                log::info!("event=soak_fault at_ms={} fault={:?}", step.at.as_millis(), step.fault);
                undo.extend(self.begin(step.fault, callers, now));
                disturbed_at = now;
            }
            let due = undo.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
            for (_, due) in due {
                undo.extend(self.end(due, callers, now));
                disturbed_at = now;
            }
            let is_calm = undo.is_empty() && now.since(disturbed_at) >= calm;
            self.tend_processes(now);
            self.copy_store(now);
            self.api.disturb(now);
            if elapsed >= length && is_calm {
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
                self.disturbances.push(Disturbance {
                    gateway: Some(index),
                    from: now,
                    to: now + length,
                    is_stop: false,
                    is_store: true,
                });
                return Some((now + length, Undo::MendStore(Some(index))));
            }
            Fault::StoreDown(faults, length) => {
                self.gateways.iter().for_each(|gateway| gateway.store.set_faults(faults));
                self.disturb_store(now, now + length);
                return Some((now + length, Undo::MendStore(None)));
            }
            Fault::ForgetHistory => self.store.forget_history(),
            Fault::StoreReturn(age, length) => {
                (0..OTHER_WRITES).for_each(|number| self.store.put("other", &number.to_string()));
                let away = StoreFaults { refusing: true, ..StoreFaults::default() };
                self.gateways.iter().for_each(|gateway| gateway.store.set_faults(away));
                self.disturb_store(now, now + length + REWRITE_DELAY);
                return Some((now + length, Undo::RestoreStore(now - age)));
            }
            Fault::Evacuate(data_centre, length) => {
                if self.is_evacuated() {
                    return None;
                }
                self.store.put(&evacuation_key(data_centre), "{}");
                self.evacuations.push(Evacuation { data_centre, from: Time::now(), to: None });
                return Some((now + length, Undo::EndEvacuation(data_centre)));
            }
            Fault::AddRoute => self.add_route(callers),
            Fault::Release => self.release(),
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
            Fault::CutOff(gateway, closing, length) => {
                if self.cuts.iter().any(|cut| cut.to > now) {
                    return None;
                }
                let host = self.gateways[gateway].source;
                let filter = match closing {
                    true => PacketFilter::Closing(vec![host]),
                    false => PacketFilter::From(vec![host]),
                };
                self.workers.iter().for_each(|worker| worker.set_filter(filter.clone()));
                self.cuts.push(Cut { gateway, from: now, to: now + length });
                return Some((now + length, Undo::EndCut));
            }
            Fault::SayLeaving(index) => {
                let faults = WorkerFaults { leaving: true, ..WorkerFaults::default() };
                self.workers[index].set_faults(faults);
                return Some((now + SAY_TIME, Undo::LeaveAfterSaying(index)));
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

    /// Ends a fault. Returns what must be undone of that in turn, and when.
    fn end(&mut self, undo: Undo, callers: &Callers, now: Time) -> Vec<(Time, Undo)> {
        match undo {
            Undo::Resume(index) => self.gateways[index].signal(Signal::CONT),
            Undo::MendStore(Some(index)) => {
                self.gateways[index].store.set_faults(StoreFaults::default());
            }
            Undo::MendStore(None) => self.mend_store(),
            Undo::RestoreStore(copied_at) => {
                self.restore_store(copied_at);
                let ghosts = (now + GHOST_TIMEOUT, Undo::RemoveGhosts);
                return vec![(now + REWRITE_DELAY, Undo::WriteAgain), ghosts];
            }
            Undo::WriteAgain => self.write_again(),
            Undo::RemoveGhosts => self.remove_ghosts(),
            Undo::EndEvacuation(data_centre) => {
                self.store.delete(&evacuation_key(data_centre));
                let lasting = self.evacuations.iter_mut().filter(|it| it.to.is_none());
                lasting.for_each(|it| it.to = Some(now));
            }
            Undo::MendWorker(index) => {
                self.worker_faults.push(now);
                self.workers[index].set_faults(WorkerFaults::default());
            }
            Undo::EndCut => {
                self.workers.iter().for_each(|worker| worker.set_filter(PacketFilter::Open));
            }
            Undo::LeaveAfterSaying(index) => {
                self.workers[index].leave();
                return vec![(now + LEAVE_TIME, Undo::MendWorker(index))];
            }
            Undo::ReturnKey => self.set_key(true),
            Undo::StopFatal => {
                self.worker_faults.push(now);
                callers.set_fatal(false);
            }
        }
        Vec::new()
    }

    fn mend_store(&self) {
        let mend = |gateway: &GatewayProcess| gateway.store.set_faults(StoreFaults::default());
        self.gateways.iter().for_each(mend);
    }

    /// Copies the store from time to time.
    fn copy_store(&mut self, now: Time) {
        if self.copies.back().is_some_and(|(at, _)| now.since(*at) < COPY_INTERVAL) {
            return;
        }
        let max_age = Duration::from_millis(MAX_COPY_AGE_MS) + COPY_INTERVAL;
        self.copies.push_back((now, self.store.copy()));
        while self.copies.front().is_some_and(|(at, _)| now.since(*at) > max_age) {
            self.copies.pop_front();
        }
    }

    /// Lets the store return from the first copy after `copied_at`.
    fn restore_store(&mut self, copied_at: Time) {
        if let Some((_, copy)) = self.copies.iter().find(|(at, _)| *at >= copied_at) {
            self.store.restore(copy.clone());
        }
        // What was copied since is not in the history of the store any more.
        self.copies.retain(|(at, _)| *at <= copied_at);
        self.mend_store();
    }

    /// Writes the operators' records again after a return of the store.
    fn write_again(&self) {
        self.write_document();
        for index in 0..DATA_CENTRES.len() {
            let key = evacuation_key(index);
            let is_out = self.evacuations.iter().any(|e| e.data_centre == index && e.to.is_none());
            match is_out {
                true => self.store.put(&key, "{}"),
                false => self.store.delete(&key),
            }
        }
    }

    /// Removes the entries of endpoints that the store has from a copy and that have ended.
    fn remove_ghosts(&self) {
        let alive: Vec<String> = self.workers.iter().map(Worker::entry_key).collect();
        let keys = self.store.keys(ENDPOINT_PREFIX).into_iter();
        keys.filter(|key| !alive.contains(key)).for_each(|key| self.store.delete(&key));
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
