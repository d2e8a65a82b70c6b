//! The soak: real gateway processes under load and faults, whose promises are checked from what callers
//! and endpoints have seen.
//!
//! The store and the endpoints are stand-ins in this process. Each gateway has an address of the store
//! of its own, so that single gateways can be cut off from it.

mod api;
mod callers;
mod check;
mod fleet;
mod history;
mod names;
mod plan;
pub mod process;

use std::{path::PathBuf, time::Duration};

pub use self::check::Violation;
use self::{callers::Callers, check::Evidence, fleet::Fleet, process::ProcessError};

/// Time without faults at the begin of a soak, in which the gateways elect their leader.
const WARM_UP: Duration = Duration::from_secs(4);

/// Time without faults at the end of a soak, in which the gateways must serve again. It begins when the
/// last fault has ended, which may last for seconds.
const CALM: Duration = Duration::from_secs(10);

/// What a soak is like.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the faults.
    pub seed: u64,
    /// How long callers send requests.
    pub length: Duration,
    /// Number of gateway processes.
    pub gateways: usize,
    /// Number of engines.
    pub engines: usize,
    /// Path of the binary that runs as gateway.
    pub binary: PathBuf,
    /// Folder for the settings and the logs of the gateways.
    pub folder: PathBuf,
}

/// Number of servers of the plain service.
const PLAIN_SERVERS: usize = 3;

impl Options {
    /// Returns the number of endpoints: the engines, and the servers of the plain service.
    fn endpoints(&self) -> usize {
        self.engines + PLAIN_SERVERS
    }
}

/// What a soak has shown.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of requests that callers have sent.
    pub requests: usize,
    /// Number of requests that were answered with success.
    pub served: usize,
    /// Number of faults.
    pub faults: usize,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

/// Runs a soak. Fails if the fleet cannot be started.
pub async fn run(options: &Options) -> Result<Report, ProcessError> {
    let mut fleet = Fleet::start(options)?;
    fleet.wait_ready().await?;
    let steps = plan::plan(options, WARM_UP, options.length.saturating_sub(CALM));
    let callers = Callers::start(&fleet.gateways);
    fleet.play(&steps, &callers, options.length, CALM).await;
    let attempts = callers.stop().await;
    let evidence = Evidence::new(&attempts, &fleet, CALM);
    let served = attempts.iter().filter(|attempt| attempt.is_served()).count();
    let violations = evidence.violations();
    Ok(Report { requests: attempts.len(), served, faults: steps.len(), violations })
}
