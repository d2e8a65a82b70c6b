//! The gateway: an entry instance on the users' platform.
//!
//! Callers connect to any instance. It asks the leader which endpoint may run a request, and sends
//! the request there itself. The leader is one of the instances, held by a lease in the platform's
//! store; while it cannot be asked, each instance decides for itself within its part of the limits.

mod callers;
mod directory;
mod forward;
mod grants;
mod leader;
mod link;
mod members;
mod messages;
mod operator;
mod orders;
mod peers;
mod registry;
mod response;
pub mod settings;
mod shutdown;
mod stream;

use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use tokio::net::TcpListener;

use self::settings::GatewaySettings;
use crate::{
    catalog::Catalog,
    clock::Time,
    http::pool::Pool,
    kernel::grants::{Mode, Scheduler},
    platform::store::Store,
};

/// The shared state of a gateway.
pub struct Gateway {
    settings: GatewaySettings,
    pool: Arc<Pool>,
    store: Store,
    catalog: ArcSwapOption<Catalog>,
    operator: Mutex<operator::OperatorState>,
    scheduler: Mutex<Scheduler>,
    requests: grants::Requests,
    leadership: leader::Leadership,
    uplink: link::Uplink,
    peers: peers::Peers,
    members: ArcSwap<members::Members>,
    registry: registry::Registry,
    shutdown: shutdown::Shutdown,
    started: Time,
}

/// Why a gateway cannot run.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum GatewayError {
    /// An address cannot be bound.
    #[error("cannot listen for {what} on {address}: {source}")]
    Bind {
        /// What the address is for.
        what: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

async fn bind(
    what: &'static str,
    address: std::net::SocketAddr,
) -> Result<TcpListener, GatewayError> {
    let bound = callers::listen(address);
    bound.map_err(|source| GatewayError::Bind { what, address, source })
}

impl Gateway {
    /// Creates a gateway that does nothing yet.
    pub fn new(settings: GatewaySettings) -> Arc<Self> {
        let alone = Mode::Alone { share: 1.0 };
        Arc::new(Self {
            pool: Arc::default(),
            store: Store::new(settings.store, settings.store_timeout()),
            catalog: ArcSwapOption::empty(),
            operator: Mutex::default(),
            scheduler: Mutex::new(Scheduler::new(settings.grant_limits(), alone, Time::now())),
            requests: grants::Requests::default(),
            leadership: leader::Leadership::default(),
            uplink: link::Uplink::default(),
            peers: peers::Peers::default(),
            members: ArcSwap::default(),
            registry: registry::Registry::default(),
            shutdown: shutdown::Shutdown::default(),
            started: Time::now(),
            settings,
        })
    }

    /// Runs the gateway until the process is told to stop and its work has ended.
    pub async fn run(self: Arc<Self>) -> Result<(), GatewayError> {
        let settings = &self.settings;
        let callers = bind("callers", settings.callers).await?;
        let directory = bind("the directory", settings.directory).await?;
        let readiness = bind("readiness", settings.readiness).await?;
        let peers = bind("peers", settings.peer).await?;
        let metrics = bind("metrics", settings.metrics).await?;
        self.uplink.record_frame();
        log::info!("event=started instance={} version={}", settings.instance, VERSION);
        tokio::spawn(operator::run(self.clone()));
        tokio::spawn(registry::run(self.clone()));
        tokio::spawn(leader::watch(self.clone()));
        tokio::spawn(leader::maintain_lease(self.clone()));
        tokio::spawn(leader::record_fleet_size(self.clone()));
        tokio::spawn(link::run(self.clone()));
        tokio::spawn(peers::run(self.clone(), peers));
        tokio::spawn(grants::run_scheduler(self.clone()));
        tokio::spawn(grants::log_backlogs(self.clone()));
        tokio::spawn(callers::serve(self.clone(), callers, callers::Kind::Requests));
        tokio::spawn(callers::serve(self.clone(), directory, callers::Kind::Directory));
        tokio::spawn(callers::serve(self.clone(), readiness, callers::Kind::Readiness));
        tokio::spawn(callers::serve(self.clone(), metrics, callers::Kind::Metrics));
        shutdown::wait(self.clone()).await;
        log::info!("event=stopped instance={}", self.settings.instance);
        Ok(())
    }

    /// Returns whether callers can be served.
    fn is_ready(&self) -> bool {
        self.catalog.load().is_some()
            && self.registry.is_initialized()
            && !self.shutdown.has_begun()
    }

    /// Returns the time since the start of the process.
    fn uptime(&self) -> std::time::Duration {
        Time::now().since(self.started)
    }

    fn is_self(&self, instance: &str) -> bool {
        &*self.settings.instance == instance
    }

    /// Puts the scheduler in the mode that the instance's role allows now.
    fn scheduler_mode(&self) -> Mode {
        let now = Time::now();
        let size = self.fleet_size() as f64;
        if self.leadership.leads() && (self.leadership.holds_lease(now) || self.peers.count() > 0) {
            let orders = self.leadership.may_order(now) && !self.shutdown.has_begun();
            let linked = (self.peers.count() + 1) as f64;
            return Mode::Leading { may_order: orders, share: (linked / size).min(1.0) };
        }
        Mode::Alone { share: 1.0 / size }
    }
}

const VERSION: &str = env!("CARGO_PKG_VERSION");
