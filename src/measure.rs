//! Measures the decisions under seeded demand, with small fakes in place of engines.
//!
//! Everything that decides is the code that a node runs: shares, routing, queues, warm-up limits,
//! placement and permits. Only engines, clocks and links are stood in for, in virtual time, so the
//! same seed gives the same figures on every machine.

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
    /// Instances lend each other what they do not use.
    Lending,
    /// Each instance has the same part for good.
    Equal,
}

/// A set of policies under measurement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Variant {
    /// Name in the table.
    pub name: &'static str,
    /// Registered policies.
    pub policy: PolicyNames,
    /// Division of the rates.
    pub sharing: Sharing,
}

/// What is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the demand.
    pub seed: u64,
    /// Demand as a part of the teams' rates.
    pub demand: f64,
    /// Floods, swings and faults.
    pub schedule: Schedule,
}

impl Options {
    /// Returns the usual run with this seed.
    pub fn new(seed: u64) -> Self {
        Self { seed, demand: DEMAND_FRACTION, schedule: Schedule::default() }
    }
}

/// Demand as a part of the teams' rates, outside bursts.
const DEMAND_FRACTION: f64 = 0.75;

/// Time between two samples of the plot.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(10);

/// Returns the project's policies and each baseline, which differs in one of them.
pub fn variants() -> Vec<Variant> {
    let policy = |dispatch: &str, routing: &str, placement: &str| PolicyNames {
        dispatch: dispatch.to_owned(),
        routing: routing.to_owned(),
        placement: placement.to_owned(),
    };
    let own = policy("slack", "two-choices", "marginal");
    let variant = |name, policy| Variant { name, policy, sharing: Sharing::Lending };
    vec![
        variant("cardamomshore", own.clone()),
        variant("fifo", policy("fifo", "two-choices", "marginal")),
        variant("round-robin", policy("slack", "round-robin", "marginal")),
        variant("static", policy("slack", "two-choices", "static")),
        Variant { name: "equal-shares", policy: own, sharing: Sharing::Equal },
    ]
}

/// Runs one variant over the seeded demand.
pub fn run(config: &Config, options: &Options, variant: &Variant) -> Row {
    let trace = Trace::new(config, options);
    fleet::run(config, options, variant, &trace)
}
