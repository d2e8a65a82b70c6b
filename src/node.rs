//! The tasks of one instance and the state that they share.
//!
//! An instance accepts requests from callers, is the steward of some endpoints, exchanges messages
//! with its peers and serves operators. Each submodule is responsible for one of these.

mod admit;
mod chat;
mod config_sync;
mod digests;
mod drain;
mod exchange;
mod lease;
mod list_sync;
mod members;
mod once;
pub mod operator;
mod peers;
mod planner;
mod router;
mod services;
mod shares;
mod steward;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::{Mutex, RwLock};
use tokio::{net::TcpListener, task::JoinSet};

use crate::{
    config::Config,
    events::Event,
    http::HttpError,
    kernel::{configuration::Versions, retry::RetryBudget, routing::Directory, suspect::Suspects},
    names::RequestId,
    platform::{Client, InstanceList},
    settings::Settings,
    timeline::Timeline,
};

/// The state that all tasks of one instance share.
pub struct Node {
    settings: Settings,
    /// Random number of this process; never zero.
    incarnation: u64,
    timeline: Timeline,
    platform: Client,
    /// Configuration in force.
    config: ArcSwapOption<Config>,
    /// Versions of configurations that were seen.
    versions: Mutex<Versions>,
    /// The platform's list of instances and endpoints, as last read.
    list: ArcSwap<InstanceList>,
    /// Endpoints and replicas known from the digests of their stewards.
    directory: RwLock<Directory>,
    members: members::Members,
    lease: lease::InstanceLease,
    peers: peers::Peers,
    shares: shares::Shares,
    /// Endpoints of which this instance is the steward.
    stewarded: steward::StewardedEndpoints,
    /// Buckets of claims that this instance owns.
    once: once::ClaimBuckets,
    planner: planner::Planner,
    /// Demand that this instance sees as an entry instance.
    demand: digests::DemandTracker,
    drain: drain::Drain,
    /// Budget of retries for the requests of all callers.
    retries: Mutex<RetryBudget>,
    /// Requests that may have crashed endpoints.
    suspects: Mutex<Suspects>,
    /// Number of callers' requests so far; part of each request id.
    request_count: AtomicU64,
}

/// The listening sockets of an instance.
pub struct Listeners {
    /// Accepts connections of callers.
    pub callers: TcpListener,
    /// Accepts connections of other instances.
    pub peers: TcpListener,
    /// Accepts connections of operators.
    pub operators: TcpListener,
}

impl Listeners {
    /// Binds the three addresses of the settings; an error names the setting and the address.
    pub async fn bind(settings: &Settings) -> std::io::Result<Self> {
        Ok(Self {
            callers: bind("listen", settings.listen).await?,
            peers: bind("peer", settings.peer).await?,
            operators: bind("operator", settings.operator).await?,
        })
    }
}

async fn bind(field: &str, address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|err| std::io::Error::new(err.kind(), format!("{field} {address}: {err}")))
}

impl Node {
    /// Creates the state of an instance without starting any task.
    pub fn new(settings: Settings) -> Arc<Self> {
        let incarnation = rand::random::<u64>() | 1;
        let platform = Client::new(settings.platform.clone(), settings.list);
        Arc::new(Self {
            incarnation,
            timeline: Timeline::new(settings.instance.clone()),
            platform,
            config: ArcSwapOption::empty(),
            versions: Mutex::default(),
            list: ArcSwap::default(),
            directory: RwLock::default(),
            members: members::Members::default(),
            lease: lease::InstanceLease::default(),
            peers: peers::Peers::default(),
            shares: shares::Shares::new(&settings, incarnation),
            stewarded: steward::StewardedEndpoints::default(),
            once: once::ClaimBuckets::default(),
            planner: planner::Planner::default(),
            demand: digests::DemandTracker::default(),
            drain: drain::Drain::default(),
            retries: Mutex::default(),
            suspects: Mutex::default(),
            request_count: AtomicU64::new(0),
            settings,
        })
    }

    /// Runs all tasks until the process is told to stop and all requests have ended.
    pub async fn run(self: Arc<Self>, listeners: Listeners) -> Result<(), HttpError> {
        // Recorded before the tasks start, so that it is the first entry of the time line.
        self.timeline.record(Event::InstanceStarted, self.settings.instance.as_str(), "");
        let mut tasks = JoinSet::new();
        tasks.spawn(list_sync::run(self.clone()));
        tasks.spawn(config_sync::run(self.clone()));
        tasks.spawn(members::run(self.clone()));
        tasks.spawn(shares::run(self.clone()));
        tasks.spawn(steward::run(self.clone()));
        tasks.spawn(steward::run_dispatch(self.clone()));
        tasks.spawn(once::run(self.clone()));
        tasks.spawn(planner::run(self.clone()));
        tasks.spawn(digests::run(self.clone()));
        tasks.spawn(peers::listen(self.clone(), listeners.peers));
        tasks.spawn(operator::run(self.clone(), listeners.operators));
        let served = router::run(self.clone(), listeners.callers).await;
        self.timeline.record(Event::InstanceStopped, self.settings.instance.as_str(), "");
        served
    }

    /// Returns the time line.
    pub fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Returns the number of endpoints known from the digests of their stewards.
    pub fn known_endpoints(&self) -> usize {
        self.directory.read().len()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.load_full()
    }

    /// Returns a new id for a caller's request.
    fn next_request_id(&self) -> RequestId {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.settings.instance, self.incarnation as u32).into()
    }
}
