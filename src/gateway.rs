//! The gateway: an entry instance on the users' platform.
//!
//! Callers connect to any instance, which is then the entry instance of their requests. The entry
//! instance requests a grant from the leader. The grant names the endpoint that may run the
//! request, and the entry instance sends the request to that endpoint itself. The leader is the
//! instance that holds a lease in the platform's store. An instance that cannot reach the leader
//! grants its own requests, within its share of the limits.

mod allotments;
mod arrival;
mod buffered;
mod callers;
mod crashes;
pub mod deflate;
mod directory;
mod duties;
mod entry;
mod failover;
mod forward;
mod gate;
mod grants;
mod intake;
mod leader;
mod link;
mod members;
pub mod messages;
mod operator;
mod orders;
mod origins;
mod output;
mod peers;
mod rate_limits;
mod reach;
mod registry;
mod relay;
mod reporting;
mod response;
pub mod settings;
mod shedding;
mod shutdown;
mod silence;
mod standing;
mod stream;
pub mod updates;

use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use tokio::net::TcpListener;

use self::settings::GatewaySettings;
use crate::{
    catalog::Catalog,
    clock::Time,
    http::pool::Pool,
    kernel::{
        grants::{Mode, Scheduler},
        leadership::{Leadership, StartId},
        record_age::{RecordAge, WatchTimes},
        send_gate::SendGate,
    },
    platform::store::Store,
};

/// State that all tasks of a gateway share.
pub struct Gateway {
    settings: GatewaySettings,
    pool: Arc<Pool>,
    store: Store,
    catalog: ArcSwapOption<Catalog>,
    /// The operators' records, as read last.
    operator: Mutex<operator::OperatorState>,
    /// Grants requests: of all linked instances while this one leads, else only its own.
    scheduler: Mutex<Scheduler>,
    /// This instance's requests that wait for a grant or use one.
    requests: grants::Requests,
    leadership: Mutex<Leadership>,
    /// Age of what this instance knows of the store's records.
    record_age: RecordAge,
    /// When this instance's own watches of the store last got a response.
    watch_times: WatchTimes,
    /// What endpoints have told this instance.
    gate: Mutex<SendGate>,
    /// What this instance has seen of its path to the endpoints.
    reach: reach::EndpointReach,
    /// Requests that other instances send to endpoints for this one.
    relay: relay::Relay,
    /// Link to the leader.
    uplink: link::Uplink,
    /// Requests that this instance has refused because its decisions fall behind.
    shedding: shedding::Shedding,
    /// Instances that are linked to this one while it leads.
    peers: peers::Peers,
    /// State that this instance sends to its peers while it leads.
    updates: updates::Updates,
    /// Instances that serve callers.
    members: ArcSwap<members::Members>,
    /// Endpoints from which the scheduler chooses.
    registry: registry::Registry,
    /// Records of the software versions at which streams began.
    origin_records: origins::OriginRecords,
    /// Duties towards the platform; `None` unless the settings name its API.
    duties: Option<duties::Duties>,
    shutdown: shutdown::Shutdown,
    /// What clients may occupy.
    budget: Arc<intake::Budget>,
    started_at: Time,
}

/// Why a gateway cannot start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum GatewayError {
    /// The gateway cannot listen on an address.
    #[error("cannot listen for {what} on {address}: {source}")]
    Bind {
        /// Who connects to the address.
        what: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

async fn bind(
    what: &'static str,
    address: std::net::SocketAddr,
) -> Result<TcpListener, GatewayError> {
    let listener = callers::listen(address);
    listener.map_err(|source| GatewayError::Bind { what, address, source })
}

impl Gateway {
    /// Creates a gateway; nothing runs before [`Gateway::run`].
    pub fn new(settings: GatewaySettings) -> Arc<Self> {
        let mode = Mode::Alone { share: 1.0 };
        let mut scheduler = Scheduler::new(settings.grant_limits(), mode, Time::now());
        scheduler.set_instance(settings.instance.clone());
        Arc::new(Self {
            pool: Arc::new(Pool::new(settings.endpoint_connections())),
            store: Store::new(settings.store, settings.store_timeout()),
            catalog: ArcSwapOption::empty(),
            operator: Mutex::default(),
            scheduler: Mutex::new(scheduler),
            requests: grants::Requests::default(),
            leadership: Mutex::new(Leadership::new(
                settings.instance.clone(),
                // Zero stands for an unknown start in announcements.
                StartId(rand::random_range(1..=u64::MAX)),
            )),
            record_age: RecordAge::new(Time::now()),
            watch_times: WatchTimes::default(),
            gate: Mutex::default(),
            reach: reach::EndpointReach::default(),
            relay: relay::Relay::default(),
            uplink: link::Uplink::default(),
            shedding: shedding::Shedding::default(),
            peers: peers::Peers::default(),
            updates: updates::Updates::new(settings.resources.link_mbps),
            members: ArcSwap::default(),
            registry: registry::Registry::default(),
            origin_records: origins::OriginRecords::default(),
            duties: settings.duties.clone().map(duties::Duties::new),
            shutdown: shutdown::Shutdown::default(),
            budget: intake::Budget::new(settings.intake),
            started_at: Time::now(),
            settings,
        })
    }

    /// Runs the gateway until the process receives a signal to stop and its requests have ended.
    pub async fn run(self: Arc<Self>) -> Result<(), GatewayError> {
        let settings = &self.settings;
        let callers = bind("callers", settings.callers).await?;
        let directory = bind("the directory", settings.directory).await?;
        let readiness = bind("readiness", settings.readiness).await?;
        let peers = bind("peers", settings.peer).await?;
        self.leadership.lock().set_address(settings.peer);
        let relay = bind("relay", settings.relay).await?;
        let metrics = bind("metrics", settings.metrics).await?;
        // The age of the leader's last frame counts from the start until a first frame arrives.
        self.uplink.record_frame();
        log::info!("event=started instance={} version={}", settings.instance, VERSION);
        tokio::spawn(operator::run(self.clone()));
        tokio::spawn(operator::end_evacuations(self.clone()));
        tokio::spawn(registry::run(self.clone()));
        tokio::spawn(registry::settle(self.clone()));
        tokio::spawn(leader::watch(self.clone()));
        tokio::spawn(leader::maintain_lease(self.clone()));
        tokio::spawn(leader::record_fleet_size(self.clone()));
        tokio::spawn(link::run(self.clone()));
        tokio::spawn(peers::run(self.clone(), peers));
        tokio::spawn(updates::run(self.clone()));
        tokio::spawn(crashes::run(self.clone()));
        tokio::spawn(rate_limits::run(self.clone()));
        tokio::spawn(origins::run(self.clone()));
        tokio::spawn(grants::run_scheduler(self.clone()));
        if self.duties.is_some() {
            tokio::spawn(duties::share(self.clone()));
            tokio::spawn(duties::report(self.clone()));
            tokio::spawn(duties::scale(self.clone()));
        }
        tokio::spawn(reporting::run(self.clone()));
        tokio::spawn(allotments::run(self.clone()));
        tokio::spawn(callers::serve(self.clone(), callers, callers::Kind::Requests));
        tokio::spawn(intake::run(self.clone()));
        tokio::spawn(reach::probe_while_cut(self.clone()));
        tokio::spawn(callers::serve(self.clone(), relay, callers::Kind::Relay));
        tokio::spawn(callers::serve(self.clone(), directory, callers::Kind::Directory));
        tokio::spawn(callers::serve(self.clone(), readiness, callers::Kind::Readiness));
        tokio::spawn(callers::serve(self.clone(), metrics, callers::Kind::Metrics));
        shutdown::wait(self.clone()).await;
        log::info!("event=stopped instance={}", self.settings.instance);
        Ok(())
    }

    /// Returns whether this instance can serve callers: it knows the configuration and the
    /// endpoints, or has a link to a leader that does, and is not stopping. Grants name all that is
    /// needed of an endpoint, so callers need not wait until the table has come.
    fn is_ready(&self) -> bool {
        self.catalog.load().is_some()
            && (self.registry.is_initialized() || self.uplink.has_ready_leader())
            && !self.shutdown.has_begun()
    }

    /// Returns the time since the process started.
    fn uptime(&self) -> std::time::Duration {
        Time::now().since(self.started_at)
    }

    /// Returns whether `instance` is the name of this instance.
    fn is_self(&self, instance: &str) -> bool {
        &*self.settings.instance == instance
    }

    /// Returns the mode that the scheduler must be in now.
    ///
    /// A leader has the shares of all instances that are linked to it besides its own. An instance
    /// that does not lead has only its own share.
    fn scheduler_mode(&self) -> Mode {
        let now = Time::now();
        if self.leads() && (self.leadership.lock().holds_lease(now) || self.peers.count() > 0) {
            let orders = self.leadership.lock().may_order(now) && !self.shutdown.has_begun();
            let linked = (self.peers.count() + 1) as f64;
            let share = (linked / self.fleet_size() as f64).min(1.0);
            return Mode::Leading { may_order: orders, share };
        }
        Mode::Alone { share: self.lone_share() }
    }
}

const VERSION: &str = env!("CARGO_PKG_VERSION");
