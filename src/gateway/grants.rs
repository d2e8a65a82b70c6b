//! Grants for this instance's requests, from the leader or from its own scheduler.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{sync::oneshot, time::sleep};

use super::{
    Gateway,
    messages::{
        AdoptFrame, Content, EndFrame, GrantFrame, GrantRequestFrame, RefuseFrame, RequestRef,
    },
    orders,
};
use crate::{
    clock::Time,
    kernel::grants::{Action, ActiveGrant, Grant, GrantKey, GrantRequest, Outcome, Refusal},
};

/// Time between two looks at the scheduler while requests wait.
const BUSY_INTERVAL: Duration = Duration::from_millis(5);

/// Time between two looks at the scheduler while many requests wait.
const CROWDED_INTERVAL: Duration = Duration::from_millis(15);

/// Waiting requests from which a look takes noticeable processor time.
const CROWDED_QUEUE_LEN: usize = 64;

/// Time between two looks at the scheduler of the leader.
const LEADER_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two looks at the scheduler of other instances.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

type GrantResult = Result<Grant, Refusal>;

enum State {
    Waiting(oneshot::Sender<GrantResult>),
    Running(Arc<str>),
}

struct Entry {
    request: GrantRequest,
    state: State,
}

/// This instance's requests that wait for a grant or use one.
#[derive(Default)]
pub struct Requests {
    next_number: AtomicU64,
    table: Mutex<HashMap<u64, Entry>>,
}

impl Requests {
    /// Returns how many requests wait or run.
    pub fn count(&self) -> usize {
        self.table.lock().len()
    }
}

/// A grant in use; when it is dropped, the request counts as left by its caller.
pub struct Permit {
    gateway: Arc<Gateway>,
    number: u64,
    /// The grant.
    pub grant: Grant,
}

impl Permit {
    /// Tells that the first event of the answer has come.
    pub fn record_first_event(&self) {
        let gateway = &self.gateway;
        gateway.uplink.send(Content::FirstEvent(RequestRef { number: self.number }));
        gateway.scheduler.lock().record_first_event(&gateway.grant_key(self.number), Time::now());
    }

    /// Tells how the request ended.
    pub fn end(self, outcome: Outcome) {
        self.gateway.end_request(self.number, outcome);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gateway.end_request(self.number, Outcome::Left);
    }
}

/// Withdraws a request whose caller leaves while it waits.
struct WithdrawGuard<'a> {
    gateway: &'a Arc<Gateway>,
    number: Option<u64>,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.gateway.end_request(number, Outcome::Left);
        }
    }
}

/// Waits for the grant of a request.
pub async fn acquire(gateway: &Arc<Gateway>, ask: GrantRequest) -> Result<Permit, Refusal> {
    let number = gateway.requests.next_number.fetch_add(1, Ordering::Relaxed);
    let (tx, rx) = oneshot::channel();
    let entry = Entry { request: ask.clone(), state: State::Waiting(tx) };
    gateway.requests.table.lock().insert(number, entry);
    let mut withdraw = WithdrawGuard { gateway, number: Some(number) };
    gateway.submit(number, ask);
    let asked = Time::now();
    let answer = rx.await;
    let wait = Time::now().since(asked).as_secs_f64();
    metrics::histogram!("cardamomshore_grant_wait_seconds").record(wait);
    withdraw.number = None;
    let gateway = gateway.clone();
    match answer {
        Ok(Ok(grant)) => Ok(Permit { gateway, number, grant }),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => {
            log::error!("event=grant_lost number={number}");
            let reason = crate::kernel::grants::Reason::NoRoom;
            Err(Refusal { reason, retry: Duration::from_millis(500) })
        }
    }
}

impl Gateway {
    fn grant_key(&self, number: u64) -> GrantKey {
        GrantKey { instance: self.settings.instance.clone(), number }
    }

    /// Asks the leader, or the own scheduler where the leader cannot be asked.
    fn submit(self: &Arc<Self>, number: u64, ask: GrantRequest) {
        let now = Time::now();
        if self.uplink.send(Content::GrantRequest(GrantRequestFrame::new(number, &ask, now))) {
            return;
        }
        let actions = {
            let mut scheduler = self.scheduler.lock();
            scheduler.set_mode(self.scheduler_mode(), now);
            scheduler.handle_request(self.grant_key(number), ask, now)
        };
        self.apply_actions(actions);
    }

    /// Carries out what a scheduler wants done.
    pub(super) fn apply_actions(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Grant(key, grant) if self.is_self(&key.instance) => {
                    self.resolve(key.number, Ok(grant));
                }
                Action::Grant(key, grant) => {
                    let frame = GrantFrame::new(key.number, &grant);
                    self.peers.send(&key.instance, Content::Grant(frame));
                }
                Action::Refuse(key, refusal) if self.is_self(&key.instance) => {
                    self.resolve(key.number, Err(refusal));
                }
                Action::Refuse(key, refusal) => {
                    let frame = RefuseFrame::new(key.number, &refusal);
                    self.peers.send(&key.instance, Content::Refuse(frame));
                }
                Action::Order { endpoint, address, command, expected } => {
                    let order = orders::Order { endpoint, address, command, expected };
                    tokio::spawn(orders::send(self.clone(), order));
                }
                Action::Report { endpoint, address } => {
                    tokio::spawn(orders::fetch_report(self.clone(), endpoint, address));
                }
            }
        }
    }

    /// Answers a request that waits; one that runs or is gone stays as it is.
    fn resolve(&self, number: u64, answer: GrantResult) {
        let mut table = self.requests.table.lock();
        let tx = match table.remove(&number) {
            Some(Entry { request: ask, state: State::Waiting(tx) }) => {
                if let Ok(grant) = &answer {
                    let state = State::Running(grant.endpoint.clone());
                    table.insert(number, Entry { request: ask, state });
                }
                tx
            }
            Some(running) => return drop(table.insert(number, running)),
            None => return,
        };
        drop(table);
        // A caller that left withdraws its request itself.
        let _ = tx.send(answer);
    }

    /// Takes a grant of the leader.
    pub(super) fn handle_grant(&self, number: u64, grant: Grant) {
        let ask = {
            let table = self.requests.table.lock();
            let entry = table.get(&number);
            entry
                .filter(|entry| matches!(entry.state, State::Waiting(_)))
                .map(|e| e.request.clone())
        };
        let Some(ask) = ask else {
            self.uplink.send(Content::Ended(EndFrame::new(number, Outcome::Left)));
            return;
        };
        let granted = ActiveGrant { request: ask, endpoint: grant.endpoint.clone() };
        self.scheduler.lock().adopt(self.grant_key(number), granted, Time::now());
        self.resolve(number, Ok(grant));
    }

    /// Takes a refusal of the leader.
    pub(super) fn handle_refusal(&self, number: u64, refusal: Refusal) {
        self.resolve(number, Err(refusal));
    }

    fn end_request(self: &Arc<Self>, number: u64, outcome: Outcome) {
        if self.requests.table.lock().remove(&number).is_none() {
            return;
        }
        self.uplink.send(Content::Ended(EndFrame::new(number, outcome)));
        let actions =
            self.scheduler.lock().handle_outcome(&self.grant_key(number), outcome, Time::now());
        self.apply_actions(actions);
    }

    /// Returns the requests that run, for a leader that does not know of them.
    pub(super) fn running_requests(&self) -> Vec<AdoptFrame> {
        let now = Time::now();
        let table = self.requests.table.lock();
        let running = table.iter().filter_map(|(number, entry)| match &entry.state {
            State::Running(endpoint) => {
                let ask = Some(GrantRequestFrame::new(*number, &entry.request, now));
                Some(AdoptFrame { request: ask, endpoint: endpoint.to_string() })
            }
            State::Waiting(_) => None,
        });
        running.collect()
    }

    /// Asks again for what waits, after the link to the leader was opened or lost.
    pub(super) fn resubmit_waiting(self: &Arc<Self>) {
        let waiting: Vec<(u64, GrantRequest)> = {
            let table = self.requests.table.lock();
            let waiting = table.iter().filter(|(_, e)| matches!(e.state, State::Waiting(_)));
            waiting.map(|(number, entry)| (*number, entry.request.clone())).collect()
        };
        for (number, ask) in waiting {
            self.scheduler.lock().cancel_waiting(&self.grant_key(number));
            self.submit(number, ask);
        }
    }

    /// Looks at the queue, the orders and the placement.
    pub(super) fn tick_scheduler(self: &Arc<Self>) {
        let now = Time::now();
        let mode = self.scheduler_mode();
        let actions = {
            let mut scheduler = self.scheduler.lock();
            scheduler.set_mode(mode, now);
            scheduler.tick(now)
        };
        self.apply_actions(actions);
    }
}

/// Time between two log lines about waiting requests.
const BACKLOG_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Models in one log line about waiting requests.
const MAX_LOGGED_BACKLOGS: usize = 4;

/// Logs for which models requests wait.
pub async fn log_backlogs(gateway: Arc<Gateway>) {
    loop {
        sleep(BACKLOG_LOG_INTERVAL).await;
        let pressures = gateway.scheduler.lock().model_backlogs(Time::now());
        for pressure in pressures.iter().take(MAX_LOGGED_BACKLOGS) {
            log::info!(
                "event=waiting model={} waiting={} copies={} coming={} work={:.2} usage={:.2}",
                pressure.model,
                pressure.waiting,
                pressure.replicas,
                pressure.loading,
                pressure.demand,
                pressure.usage
            );
        }
    }
}

/// Looks at the scheduler again and again, since limits and deadlines change by themselves.
pub async fn run_scheduler(gateway: Arc<Gateway>) {
    gateway.requests.next_number.store(rand::random::<u32>().into(), Ordering::Relaxed);
    loop {
        gateway.tick_scheduler();
        gateway.pool.remove_expired();
        let period = match gateway.scheduler.lock().queue_len() {
            0 if gateway.leadership.leads() => LEADER_INTERVAL,
            0 => IDLE_INTERVAL,
            1..CROWDED_QUEUE_LEN => BUSY_INTERVAL,
            _ => CROWDED_INTERVAL,
        };
        sleep(period).await;
    }
}
