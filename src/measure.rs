//! Simulates a deployment under seeded demand and measures how well its policies meet the targets.
//!
//! All decisions are made by the code that an instance runs: shares, routing, queues, warm-up
//! limits, placement and load permits. Only engines, clocks and links are replaced by fakes, in
//! virtual time, so that the same seed gives the same figures on every computer. The command
//! `cardamomshore measure` runs the simulation; no request of a caller passes through this module.

mod engine;
mod fleet;
mod plot;
mod quota;
mod schedule;
mod score;
mod table;
mod trace;

use std::time::Duration;

pub use self::{
    plot::{PlotError, plot},
    schedule::Schedule,
    score::{Row, Sample},
    table::{json_lines, table},
    trace::{Arrival, Trace},
};
use crate::config::{Config, PolicyNames};

/// How the teams' rates are divided between the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Instances lend each other the parts that they do not need.
    Lending,
    /// Each instance has the same fixed share.
    Equal,
}

/// A set of policies to measure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Variant {
    /// Name of the variant in the table.
    pub name: &'static str,
    /// Names of the registered policies that the variant uses.
    pub policy: PolicyNames,
    /// How the teams' rates are divided between the instances.
    pub sharing: Sharing,
}

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the demand.
    pub seed: u64,
    /// Demand outside bursts, as a fraction of the teams' rates.
    pub demand: f64,
    /// When load changes and faults happen.
    pub schedule: Schedule,
}

impl Options {
    /// Returns the default options with this seed.
    pub fn new(seed: u64) -> Self {
        Self { seed, demand: DEMAND_FRACTION, schedule: Schedule::default() }
    }
}

/// Default demand, as a fraction of the teams' rates.
const DEMAND_FRACTION: f64 = 0.75;

/// Time between two samples of the plot.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(10);

/// Returns the variant with the project's policies, followed by the baselines, which each differ
/// from it in one policy.
pub fn variants() -> Vec<Variant> {
    let policy = |dispatch: &str, routing: &str, placement: &str| PolicyNames {
        dispatch: dispatch.to_owned(),
        routing: routing.to_owned(),
        placement: placement.to_owned(),
    };
    let project = policy("slack", "two-choices", "marginal");
    let variant = |name, policy| Variant { name, policy, sharing: Sharing::Lending };
    vec![
        variant("cardamomshore", project.clone()),
        variant("fifo", policy("fifo", "two-choices", "marginal")),
        variant("round-robin", policy("slack", "round-robin", "marginal")),
        variant("static", policy("slack", "two-choices", "static")),
        Variant { name: "equal-shares", policy: project, sharing: Sharing::Equal },
    ]
}

/// Runs one variant under the seeded demand and returns its figures.
pub fn run(config: &Config, options: &Options, variant: &Variant) -> Row {
    let trace = Trace::new(config, options);
    fleet::run(config, options, variant, &trace)
}
