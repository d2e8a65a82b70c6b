//! The budget of bytes and sockets that clients of this process share.
//!
//! [`kernel::intake`](crate::kernel::intake) decides; this module counts for it what connections read
//! and write, and closes those that it names.

mod body;
mod stream;

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{
    sync::Notify,
    time::{Instant, interval, timeout},
};
use tokio_util::sync::CancellationToken;

pub use self::{
    body::{CountedBody, read_body, read_response},
    stream::CountedStream,
};
use super::{Gateway, response::Rejection};
use crate::{
    clock::Time,
    kernel::intake::{
        Cause, Close, ConnectionId, Growth, Intake, IntakeLimits, Listener, MAX_BODY_WAIT, Opening,
        Start, Timeouts,
    },
};

/// Interval at which clients that are too slow are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a body that waits for bytes asks again, besides each time that some are free.
const GROWTH_INTERVAL: Duration = Duration::from_millis(200);

/// Least time between two log lines about clients that were refused or closed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What was refused or closed since the last log line, by its name.
type Events = HashMap<&'static str, u64>;

/// The budget, and what is needed to close connections.
pub struct Budget {
    intake: Mutex<Intake>,
    /// Connections that are open.
    table: Mutex<HashMap<ConnectionId, Arc<Signals>>>,
    /// Notified when bytes are free.
    freed: Notify,
    events: Mutex<Events>,
}

/// Signals to the tasks of a connection.
#[derive(Default)]
struct Signals {
    close: CancellationToken,
    /// Why the connection is closed.
    cause: OnceLock<Cause>,
    /// Notified when no output waits any more.
    flushed: Notify,
}

impl Budget {
    /// Returns the budget of a process without clients.
    pub fn new(limits: IntakeLimits) -> Arc<Self> {
        Arc::new(Self {
            intake: Mutex::new(Intake::new(limits)),
            table: Mutex::default(),
            freed: Notify::new(),
            events: Mutex::default(),
        })
    }

    /// Counts a connection that a client has opened; `None` if there is no room for it yet.
    pub fn open(self: &Arc<Self>, listener: Listener, peer: IpAddr) -> Option<OpenConnection> {
        let opening = self.intake.lock().open(listener, peer, Time::now());
        match opening {
            Opening::Admit(id, close) => {
                self.close_all(close);
                let signals = Arc::new(Signals::default());
                self.table.lock().insert(id, signals.clone());
                Some(OpenConnection(Account { budget: self.clone(), id, signals }))
            }
            Opening::Wait => None,
        }
    }

    /// Tells connections to close.
    fn close_all(&self, closes: impl IntoIterator<Item = Close>) {
        for Close { id, cause } in closes {
            self.count("closed", cause_name(cause));
            if let Some(signals) = self.table.lock().get(&id) {
                let _ = signals.cause.set(cause);
                signals.close.cancel();
            }
        }
    }

    /// Counts what was refused or closed.
    fn count(&self, what: &'static str, name: &'static str) {
        metrics::counter!("cardamomshore_intake_total", "what" => what, "cause" => name)
            .increment(1);
        *self.events.lock().entry(name).or_default() += 1;
    }

    /// Returns what was refused or closed since the last call, for the log.
    fn take_events(&self) -> Option<String> {
        let events = std::mem::take(&mut *self.events.lock());
        let mut events: Vec<String> =
            events.into_iter().map(|(name, count)| format!("{name}={count}")).collect();
        events.sort();
        (!events.is_empty()).then(|| events.join(" "))
    }
}

/// Returns the name of a cause in metrics and logs.
fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::Sockets => "sockets",
        Cause::Bytes => "bytes",
        Cause::SlowHead => "slow_head",
        Cause::StalledBody => "stalled_body",
        Cause::StalledReader => "stalled_reader",
    }
}

/// A connection that counts until this is dropped.
pub struct OpenConnection(Account);

impl OpenConnection {
    /// Returns what the tasks of the connection use to count.
    pub fn account(&self) -> &Account {
        &self.0
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.budget.table.lock().remove(&self.0.id);
        self.0.budget.intake.lock().remove(self.0.id);
        self.0.budget.freed.notify_one();
    }
}

/// What a connection uses of the budget. Nothing counts any more once the connection has ended.
#[derive(Clone)]
pub struct Account {
    budget: Arc<Budget>,
    id: ConnectionId,
    signals: Arc<Signals>,
}

/// Counts a request until it is dropped, which is when its response has been handed over.
pub struct RequestGuard(Account);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.budget.intake.lock().end_request(self.0.id, Time::now());
        self.0.budget.freed.notify_one();
    }
}

impl Account {
    /// Waits until the connection must be closed.
    pub async fn closing(&self) {
        self.signals.close.cancelled().await;
    }

    /// Waits until no output waits to be written, so that requests which a client pipelines without
    /// reading are left in its own buffers.
    pub async fn flushed(&self) {
        loop {
            let flushed = self.signals.flushed.notified();
            if !self.budget.intake.lock().has_output(self.id) {
                return;
            }
            flushed.await;
        }
    }

    /// Counts a request whose head needs `bytes`. Fails if there is no room for it.
    pub fn begin_request(&self, bytes: usize) -> Result<RequestGuard, Rejection> {
        let (fits, closes) = self.budget.intake.lock().begin_request(self.id, bytes, Time::now());
        self.budget.close_all(closes);
        let guard = RequestGuard(self.clone());
        if fits { Ok(guard) } else { Err(self.refuse("no_bytes", Rejection::Overloaded)) }
    }

    /// Counts that a request of this connection is refused.
    pub fn refuse(&self, name: &'static str, rejection: Rejection) -> Rejection {
        self.budget.count("refused", name);
        rejection
    }

    /// Ends the body of a request. Fails if the request cannot be served for lack of sockets.
    pub fn start_run(&self) -> Result<(), Rejection> {
        let start = self.budget.intake.lock().start_run(self.id, Time::now());
        match start {
            Start::Run(close) => {
                self.budget.close_all(close);
                Ok(())
            }
            Start::Refuse => Err(self.refuse("no_sockets", Rejection::Overloaded)),
        }
    }

    /// Returns the rejection of a request whose connection is being closed.
    fn close_rejection(&self) -> Rejection {
        match self.signals.cause.get() {
            Some(Cause::StalledBody) => Rejection::Stalled,
            _ => Rejection::Overloaded,
        }
    }

    /// Waits until a body may have `bytes` more. Fails if it has waited for too long.
    async fn grow_body(&self, bytes: usize) -> Result<(), Rejection> {
        let grow = |intake: &mut Intake, now| intake.grow_body(self.id, bytes, now);
        tokio::select! {
            granted = timeout(MAX_BODY_WAIT, self.grow(grow)) => {
                granted.map_err(|_| self.refuse("no_bytes", Rejection::Overloaded))
            }
            () = self.closing() => Err(self.close_rejection()),
        }
    }

    /// Waits until a response that is read as a whole may have `bytes` more.
    async fn grow_response(&self, bytes: usize) {
        self.grow(|intake, now| intake.grow_response(self.id, bytes, now)).await;
    }

    /// Asks for bytes until they are granted.
    async fn grow(&self, mut ask: impl FnMut(&mut Intake, Time) -> Growth) {
        let mut has_waited = false;
        loop {
            let growth = ask(&mut self.budget.intake.lock(), Time::now());
            match growth {
                Growth::Granted => break,
                Growth::Wait(closes) => self.budget.close_all(closes),
            }
            has_waited = true;
            let _ = timeout(GROWTH_INTERVAL, self.budget.freed.notified()).await;
        }
        if has_waited {
            // There may be room for the next one as well.
            self.budget.freed.notify_one();
        }
    }

    /// Counts bytes of a response that wait to be written.
    pub fn record_output(&self, bytes: usize) {
        if bytes > 0 {
            let closes = self.budget.intake.lock().record_output(self.id, bytes, Time::now());
            self.budget.close_all(closes);
        }
    }

    fn record_read(&self, bytes: usize) {
        self.budget.intake.lock().record_read(self.id, bytes, Time::now());
    }

    fn record_written(&self, bytes: usize) {
        self.budget.intake.lock().record_written(self.id, bytes, Time::now());
    }

    fn record_flushed(&self) {
        self.budget.intake.lock().record_flushed(self.id, Time::now());
        self.signals.flushed.notify_waiters();
    }

    /// Counts a connection of another instance that brought no valid hello, or one too many.
    pub fn refuse_link(&self) {
        self.budget.count("refused", "link");
    }

    /// Turns the connection of another instance into a link. Fails if there are too many.
    pub fn establish_link(&self) -> bool {
        self.budget.intake.lock().establish_link(self.id)
    }
}

/// Closes the connections of clients that are too slow, and reports what was refused or closed. Does not
/// end.
pub async fn run(gateway: Arc<Gateway>) {
    let budget = &gateway.budget;
    let mut ticks = interval(EXPIRY_INTERVAL);
    let mut logged_at = Instant::now();
    loop {
        ticks.tick().await;
        let (bytes, connections) = {
            let intake = budget.intake.lock();
            (intake.used_bytes(), intake.connection_count())
        };
        metrics::gauge!("cardamomshore_intake_bytes").set(bytes as f64);
        metrics::gauge!("cardamomshore_intake_connections").set(connections as f64);
        if let Some(timeouts) = gateway.catalog.load().as_ref().map(|catalog| Timeouts {
            header: catalog.limits.header_timeout,
            idle: catalog.limits.idle_timeout,
        }) {
            let expired = budget.intake.lock().expired(timeouts, Time::now());
            budget.close_all(expired);
        }
        if logged_at.elapsed() >= LOG_INTERVAL
            && let Some(events) = budget.take_events()
        {
            logged_at = Instant::now();
            log::warn!("event=clients_limited bytes={bytes} connections={connections} {events}");
        }
    }
}
