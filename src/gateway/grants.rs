//! Acquires grants for this instance's requests, from the leader or from its own scheduler.

use std::{
    collections::HashMap,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{sync::oneshot, time::sleep};

use super::{
    Gateway,
    messages::{
        AdoptFrame, Content, EndFrame, GrantFrame, GrantRequestFrame, LoadFrame, RefuseFrame,
        RequestRef,
    },
    orders, reporting,
};
use crate::{
    clock::Time,
    kernel::grants::{
        Action, ActiveGrant, Grant, GrantKey, GrantRequest, LoadFigures, Outcome, Reason, Refusal,
    },
};

/// Interval of the scheduler's ticks while some requests wait.
const BUSY_INTERVAL: Duration = Duration::from_millis(5);

/// Interval of the scheduler's ticks while [`CROWDED_QUEUE_LEN`] or more requests wait.
const CROWDED_INTERVAL: Duration = Duration::from_millis(15);

/// Waiting requests from which one tick takes noticeable processor time.
const CROWDED_QUEUE_LEN: usize = 64;

/// Interval of the leader's ticks while no request waits.
const LEADER_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of another instance's ticks while no request waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Retry time for callers whose request got no decision.
const UNDECIDED_RETRY: Duration = Duration::from_millis(500);

/// Fraction of the time until its deadline for which a request may be deferred. The rest is for a retry by
/// the caller.
const MAX_DEFER_FRACTION: f64 = 0.5;

/// The decision of a scheduler about one request.
type GrantResult = Result<Grant, Refusal>;

/// Whether a request waits for a grant or uses one.
enum State {
    /// The request waits; the sender takes the decision.
    Waiting(oneshot::Sender<GrantResult>),
    /// The request runs on this endpoint.
    Running(Arc<str>),
}

/// A request of this instance, as stored in the table of requests.
struct Entry {
    request: GrantRequest,
    state: State,
    /// When the request is refused if it is still deferred; `None` unless it is deferred.
    deferred_until: Option<Time>,
}

/// This instance's requests that wait for a grant or use one, by their number.
#[derive(Default)]
pub struct Requests {
    next_number: AtomicU64,
    /// Whether waiting requests are deferred, see [`Gateway::defers_requests`].
    deferred: AtomicBool,
    table: Mutex<HashMap<u64, Entry>>,
}

impl Requests {
    /// Returns the number of requests that wait or run.
    pub fn count(&self) -> usize {
        self.table.lock().len()
    }
}

/// What the response to an ended request has shown of its endpoint.
#[derive(Clone, Debug, Default)]
struct EndSigns {
    /// Refusals in a second after which the endpoint fails, if the response names such a number.
    max_refusals: Option<u32>,
    /// Longest pause between two events of a whole stream.
    longest_pause: Option<Duration>,
    /// Load that the response states, unless the leader was told of it.
    load: Option<LoadFrame>,
}

/// A grant in use. A permit that is dropped without [`Permit::end`] ends its request with
/// [`Outcome::Left`], as if the caller had left.
pub struct Permit {
    gateway: Arc<Gateway>,
    number: u64,
    /// The grant.
    pub grant: Grant,
    /// Refusals in a second after which the endpoint fails, if its response names such a number.
    max_refusals: OnceLock<u32>,
    /// Load that the response states and when it arrived, until the leader is told.
    load: Mutex<Option<(LoadFigures, Time)>>,
    /// Longest pause between two events of a whole stream.
    longest_pause: OnceLock<Duration>,
}

impl Permit {
    /// Records that the first event of the response has arrived, in this instance's scheduler and
    /// at the leader.
    pub fn record_first_event(&self) {
        let (gateway, now) = (&self.gateway, Time::now());
        let load = self.take_load(now);
        let own_load = load.as_ref().and_then(|load| load.to_load(now));
        gateway.uplink.send(Content::FirstEvent(RequestRef { number: self.number, load }));
        let key = gateway.grant_key(self.number);
        {
            let mut scheduler = gateway.scheduler.lock();
            scheduler.record_load(&key, own_load, now);
            scheduler.record_first_event(&key, now);
        }
        gateway.record_demand_begun(&key);
    }

    /// Records after how many refusals in a second the endpoint fails.
    pub fn record_max_refusals(&self, max_refusals: u32) {
        let _ = self.max_refusals.set(max_refusals);
    }

    /// Records the longest pause between two events of a whole stream.
    pub fn record_pause(&self, longest: Duration) {
        let _ = self.longest_pause.set(longest);
    }

    /// Records the load that the response states, if it states one.
    pub fn record_load(&self, figures: Option<LoadFigures>) {
        *self.load.lock() = figures.map(|figures| (figures, Time::now()));
    }

    /// Takes the load that the leader was not told of yet.
    fn take_load(&self, now: Time) -> Option<LoadFrame> {
        let (figures, seen_at) = self.load.lock().take()?;
        Some(LoadFrame::new(figures, self.grant.incarnation, seen_at, now))
    }

    /// Ends the request with `outcome`, which releases the grant.
    pub fn end(self, outcome: Outcome) {
        self.report_end(outcome);
    }

    fn report_end(&self, outcome: Outcome) {
        let signs = EndSigns {
            max_refusals: self.max_refusals.get().copied(),
            longest_pause: self.longest_pause.get().copied(),
            load: self.take_load(Time::now()),
        };
        self.gateway.end_request(self.number, outcome, signs);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.report_end(Outcome::Left);
    }
}

/// Ends a request whose caller leaves while it waits for a grant.
struct WithdrawGuard<'a> {
    gateway: &'a Arc<Gateway>,
    /// Number of the request; `None` once the request no longer waits.
    number: Option<u64>,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.gateway.end_request(number, Outcome::Left, EndSigns::default());
        }
    }
}

/// Waits for the grant of a request, and fails if the scheduler refuses it.
pub async fn acquire(gateway: &Arc<Gateway>, request: GrantRequest) -> Result<Permit, Refusal> {
    let number = gateway.requests.next_number.fetch_add(1, Ordering::Relaxed);
    let (tx, rx) = oneshot::channel();
    let entry = Entry { request: request.clone(), state: State::Waiting(tx), deferred_until: None };
    let (service, is_retry) = (request.service.clone(), request.is_retry);
    gateway.requests.table.lock().insert(number, entry);
    let mut guard = WithdrawGuard { gateway, number: Some(number) };
    gateway.submit(number, request);
    let requested_at = Time::now();
    let result = rx.await;
    let wait = Time::now().since(requested_at).as_secs_f64();
    metrics::histogram!("cardamomshore_grant_wait_seconds").record(wait);
    guard.number = None;
    let gateway = gateway.clone();
    match result {
        Ok(Ok(grant)) => {
            gateway.scheduler.lock().record_own_grant(service, is_retry, Time::now());
            Ok(Permit {
                gateway,
                number,
                grant,
                max_refusals: OnceLock::new(),
                longest_pause: OnceLock::new(),
                load: Mutex::default(),
            })
        }
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => {
            log::error!("event=grant_lost number={number}");
            Err(Refusal { reason: Reason::NoRoom, retry: UNDECIDED_RETRY })
        }
    }
}

impl Gateway {
    /// Returns the key of this instance's request `number`.
    fn grant_key(&self, number: u64) -> GrantKey {
        GrantKey { instance: self.settings.instance.clone(), number }
    }

    /// Passes a request to the leader, or to this instance's own scheduler if there is no link.
    fn submit(self: &Arc<Self>, number: u64, request: GrantRequest) {
        let now = Time::now();
        if self.uplink.send(Content::GrantRequest(GrantRequestFrame::new(number, &request, now))) {
            return;
        }
        if self.defers_requests() {
            metrics::counter!("cardamomshore_requests_kept_total").increment(1);
            return self.begin_deferring();
        }
        self.record_demand(&self.grant_key(number), &request);
        let actions = {
            let mut scheduler = self.scheduler.lock();
            scheduler.set_mode(self.scheduler_mode(), now);
            scheduler.handle_request(self.grant_key(number), request, now)
        };
        self.apply_actions(actions);
    }

    /// Carries out the actions that a scheduler has decided.
    pub(super) fn apply_actions(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match &action {
                Action::Grant(key, _) => self.record_demand_granted(key),
                Action::Refuse(key, _) => self.record_demand_ended(key, None),
                Action::Order { .. } | Action::Report { .. } => {}
            }
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
                Action::Order { endpoint, address, order } => {
                    tokio::spawn(orders::send(self.clone(), endpoint, address, order));
                }
                Action::Report { endpoint, address } => {
                    tokio::spawn(orders::fetch_report(self.clone(), endpoint, address));
                }
            }
        }
    }

    /// Sends the scheduler's decision to a waiting request. Does nothing if the request already
    /// runs or has ended.
    fn resolve(&self, number: u64, result: GrantResult) {
        let mut table = self.requests.table.lock();
        let tx = match table.remove(&number) {
            Some(Entry { request, state: State::Waiting(tx), .. }) => {
                if let Ok(grant) = &result {
                    let state = State::Running(grant.endpoint.clone());
                    table.insert(number, Entry { request, state, deferred_until: None });
                }
                tx
            }
            Some(running) => return drop(table.insert(number, running)),
            None => return,
        };
        drop(table);
        // The receiver is gone if the caller left; its guard then ends the request.
        let _ = tx.send(result);
    }

    /// Handles a grant from the leader. If the request no longer waits, the leader is told that it
    /// has ended, which releases the grant.
    pub(super) fn handle_grant(&self, number: u64, grant: Grant) {
        let request = {
            let table = self.requests.table.lock();
            let entry = table.get(&number);
            entry
                .filter(|entry| matches!(entry.state, State::Waiting(_)))
                .map(|entry| entry.request.clone())
        };
        let Some(request) = request else {
            self.uplink.send(Content::Ended(EndFrame::new(number, Outcome::Left)));
            return;
        };
        let active = ActiveGrant { request, endpoint: grant.endpoint.clone() };
        {
            let (mut scheduler, now) = (self.scheduler.lock(), Time::now());
            scheduler.charge_leader_grant(&active.request, now);
            scheduler.adopt(self.grant_key(number), active, now);
        }
        self.resolve(number, Ok(grant));
    }

    /// Handles a refusal from the leader.
    pub(super) fn handle_refusal(&self, number: u64, refusal: Refusal) {
        self.resolve(number, Err(refusal));
    }

    /// Ends a request in this instance's scheduler and at the leader; does nothing if it has ended
    /// already.
    fn end_request(self: &Arc<Self>, number: u64, outcome: Outcome, signs: EndSigns) {
        if self.requests.table.lock().remove(&number).is_none() {
            return;
        }
        let EndSigns { max_refusals, longest_pause, load } = signs;
        let longest_pause_ms = longest_pause.map(|pause| pause.as_millis() as u32);
        let (key, now) = (self.grant_key(number), Time::now());
        let own_load = load.as_ref().and_then(|load| load.to_load(now));
        let frame =
            EndFrame { max_refusals, longest_pause_ms, load, ..EndFrame::new(number, outcome) };
        self.uplink.send(Content::Ended(frame));
        self.record_demand_ended(&key, Some(outcome));
        let actions = {
            let mut scheduler = self.scheduler.lock();
            scheduler.record_max_refusals(&key, max_refusals, outcome);
            if let Some(pause) = longest_pause {
                scheduler.record_pause(&key, pause);
            }
            scheduler.record_load(&key, own_load, now);
            scheduler.handle_outcome(&key, outcome, now)
        };
        self.apply_actions(actions);
    }

    /// Returns frames with the requests that run, which a new leader does not know of.
    pub(super) fn running_requests(&self) -> Vec<AdoptFrame> {
        let now = Time::now();
        let table = self.requests.table.lock();
        let running = table.iter().filter_map(|(number, entry)| match &entry.state {
            State::Running(endpoint) => {
                let frame = Some(GrantRequestFrame::new(*number, &entry.request, now));
                Some(AdoptFrame { request: frame, endpoint: endpoint.to_string() })
            }
            State::Waiting(_) => None,
        });
        running.collect()
    }

    /// Submits the waiting requests again, after the link to the leader was opened or lost.
    pub(super) fn resubmit_waiting(self: &Arc<Self>) {
        self.requests.deferred.store(false, Ordering::Relaxed);
        let waiting: Vec<(u64, GrantRequest)> = {
            let mut table = self.requests.table.lock();
            let waiting =
                table.iter_mut().filter(|(_, entry)| matches!(entry.state, State::Waiting(_)));
            let waiting = waiting.map(|(number, entry)| {
                entry.deferred_until = None;
                (*number, entry.request.clone())
            });
            waiting.collect()
        };
        for (number, request) in waiting {
            self.scheduler.lock().cancel_waiting(&self.grant_key(number));
            self.record_demand_ended(&self.grant_key(number), None);
            self.submit(number, request);
        }
    }

    /// Records that waiting requests are deferred. The next tick takes them from the scheduler.
    fn begin_deferring(&self) {
        if !self.requests.deferred.swap(true, Ordering::Relaxed) {
            log::info!("event=requests_kept reason=endpoints_unknown");
        }
    }

    /// Takes the waiting requests from this instance's scheduler, and refuses those that have been deferred
    /// for too long. The others are submitted again to a new leader, or once the endpoints are known.
    fn defer_waiting(&self, now: Time) {
        self.begin_deferring();
        let (mut added, mut overdue) = (Vec::new(), Vec::new());
        {
            let mut table = self.requests.table.lock();
            let waiting =
                table.iter_mut().filter(|(_, entry)| matches!(entry.state, State::Waiting(_)));
            for (number, entry) in waiting {
                let until = *entry.deferred_until.get_or_insert_with(|| {
                    added.push(self.grant_key(*number));
                    now + entry.request.deadline.since(now).mul_f64(MAX_DEFER_FRACTION)
                });
                if until <= now {
                    overdue.push(*number);
                }
            }
        }
        if !added.is_empty() {
            let mut scheduler = self.scheduler.lock();
            added.iter().for_each(|key| scheduler.cancel_waiting(key));
        }
        for number in overdue {
            let refusal = Refusal { reason: Reason::NoRoom, retry: UNDECIDED_RETRY };
            self.resolve(number, Err(refusal));
        }
    }

    /// Grants the requests that wait for an engine and carries out its next order, after the result of
    /// an order or a report.
    pub(super) fn poll_endpoint(self: &Arc<Self>, id: &str) {
        let now = Time::now();
        let mode = self.scheduler_mode();
        let actions = {
            let mut scheduler = self.scheduler.lock();
            scheduler.set_mode(mode, now);
            scheduler.poll_endpoint(id, now)
        };
        self.apply_actions(actions);
    }

    /// Runs one tick of the scheduler, which covers the queue, the orders and the placement.
    pub(super) fn tick_scheduler(self: &Arc<Self>) {
        let now = Time::now();
        if self.defers_requests() {
            return self.defer_waiting(now);
        }
        if !self.uplink.is_open() && self.requests.deferred.load(Ordering::Relaxed) {
            self.resubmit_waiting();
        }
        let mode = self.scheduler_mode();
        let (actions, observations) = {
            let mut scheduler = self.scheduler.lock();
            scheduler.set_mode(mode, now);
            let actions = scheduler.tick(now);
            (actions, scheduler.take_observations())
        };
        self.apply_actions(actions);
        if self.leads() {
            reporting::record_observations(&observations);
        }
    }
}

/// Runs the scheduler's ticks. They are periodic because limits and deadlines change with time
/// alone.
pub async fn run_scheduler(gateway: Arc<Gateway>) {
    gateway.requests.next_number.store(rand::random::<u32>().into(), Ordering::Relaxed);
    loop {
        gateway.tick_scheduler();
        gateway.pool.remove_expired();
        gateway.relay.remove_expired();
        let interval = match gateway.scheduler.lock().queue_len() {
            0 if gateway.leads() => LEADER_INTERVAL,
            0 => IDLE_INTERVAL,
            1..CROWDED_QUEUE_LEN => BUSY_INTERVAL,
            _ => CROWDED_INTERVAL,
        };
        sleep(interval).await;
    }
}
