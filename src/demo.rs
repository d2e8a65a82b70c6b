//! Demo: a small fleet within one process, whose behaviour is shown and checked step by step.

mod caller;
mod config;
mod data_centre;
mod fleet;
mod steps;

use std::time::Instant;

use self::fleet::Fleet;
use crate::{
    events::Event,
    timeline::{Entry, format_line, merge},
};

/// Largest number of events of the time line that are printed.
const MAX_SHOWN_EVENTS: usize = 40;

/// Why the demo had to stop.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum DemoError {
    /// A listening socket could not be opened.
    #[error("cannot listen on a loopback address: {0}")]
    Listen(#[from] std::io::Error),
    /// The fleet did not become ready in time.
    #[error("the fleet is not ready: {0}")]
    NotReady(String),
    /// A request of the demo got no response.
    #[error("no response to a request of the demo: {0}")]
    Http(#[from] crate::http::HttpError),
    /// An operator's command failed.
    #[error("{0}")]
    Operator(String),
}

/// Result of one check.
#[derive(Clone, Debug)]
pub struct Check {
    /// The property that was checked.
    pub name: &'static str,
    /// Whether the property held.
    pub passed: bool,
    /// What was observed, as printed.
    pub observed: String,
}

impl Check {
    fn new(name: &'static str, passed: bool, observed: impl Into<String>) -> Self {
        Self { name, passed, observed: observed.into() }
    }
}

/// Runs the demo and returns whether every check passed; if `keep`, the fleet then runs on until
/// the process is interrupted.
pub async fn run(keep: bool) -> Result<bool, DemoError> {
    let start = Instant::now();
    let fleet = Fleet::start().await?;
    println!("4 instances in 2 data centres, 4 engines with 6 models, 2 ledgers: ready");
    let mut checks = vec![
        steps::streamed_chat(&fleet).await?,
        steps::payment_twice(&fleet).await?,
        steps::key_withdrawn(&fleet).await?,
    ];
    checks.extend(data_centre::out_and_back(&fleet).await?);
    print_timeline(&fleet);
    println!("\nSummary after {:.1} s", start.elapsed().as_secs_f64());
    for check in &checks {
        let word = if check.passed { "held  " } else { "FAILED" };
        println!("  {word} {}: {}", check.name, check.observed);
    }
    if keep {
        print_hints(&fleet);
        // If no handler can be installed for the signal, the demo ends at once.
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(checks.iter().all(|check| check.passed))
}

/// Prints the last events of all instances, merged into one time line.
fn print_timeline(fleet: &Fleet) {
    let lists = fleet.nodes.iter().map(|node| node.timeline().entries(""));
    let merged: Vec<Entry> = merge(lists).into_iter().filter(is_shown).collect();
    let skipped = merged.len().saturating_sub(MAX_SHOWN_EVENTS);
    println!("\nTime line, the last {} events without requests", merged.len() - skipped);
    for entry in &merged[skipped..] {
        println!("{}", format_line(entry));
    }
}

/// Returns whether an event is printed. Events about single requests, links, loans and buckets are
/// too many for the demo.
fn is_shown(entry: &Entry) -> bool {
    let bucket = entry.event == Event::BucketTaken.number();
    !bucket && !matches!(entry.event / 100, 21 | 26 | 27)
}

/// Prints commands with which the running fleet can be tried.
fn print_hints(fleet: &Fleet) {
    let instance = &fleet.instances[0];
    let (caller, operator) = (instance.listen, instance.operator);
    let ids: Vec<&str> = fleet.instances.iter().map(|i| i.instance.as_str()).collect();
    println!("\nThe fleet keeps running ({}). Try, and end it with Ctrl-C:\n", ids.join(", "));
    println!("  curl -s http://{caller}/v1/instances");
    println!(
        "  curl -N http://{caller}/v1/chat/completions -H 'authorization: Bearer {}' \\\n    \
         -d '{{\"model\":\"glue\",\"stream\":true,\"max_tokens\":20,\"messages\":[]}}'",
        config::COUNTER_KEY
    );
    println!(
        "  curl -s http://{caller}/services/ledger/payments -H 'x-api-key: {}' \\\n    \
         -H 'idempotency-key: restock-9' -d '{{}}'",
        config::COUNTER_KEY
    );
    println!("  cardamomshore status --to {operator}");
    println!("  cardamomshore timeline --to {operator}");
    println!("  cardamomshore data-centre out dc-b --to {operator}");
}
