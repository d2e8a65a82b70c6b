//! A small fleet within one process, which shows what the system does and checks it.

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

/// Lines of the time line that are printed.
const SHOWN_EVENTS: usize = 40;

/// Why the demo could not go on.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum DemoError {
    /// A socket could not be opened.
    #[error("cannot listen: {0}")]
    Listen(#[from] std::io::Error),
    /// The fleet did not become ready.
    #[error("not ready: {0}")]
    NotReady(String),
    /// A request of the demo got no answer.
    #[error("no answer: {0}")]
    Http(#[from] crate::http::HttpError),
    /// An operator's command failed.
    #[error("{0}")]
    Operator(String),
}

/// What one step found.
#[derive(Clone, Debug)]
pub struct Check {
    /// What was checked.
    pub name: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was seen.
    pub seen: String,
}

impl Check {
    fn new(name: &'static str, held: bool, seen: impl Into<String>) -> Self {
        Self { name, held, seen: seen.into() }
    }
}

/// Runs the demo and returns whether every check held.
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
        let word = if check.held { "held  " } else { "FAILED" };
        println!("  {word} {}: {}", check.name, check.seen);
    }
    if keep {
        print_hints(&fleet);
        // Without a handler for the signal there is nothing to wait for.
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(checks.iter().all(|check| check.held))
}

fn print_timeline(fleet: &Fleet) {
    let lists = fleet.nodes.iter().map(|node| node.timeline().entries(""));
    let merged: Vec<Entry> = merge(lists).into_iter().filter(is_rare).collect();
    let skipped = merged.len().saturating_sub(SHOWN_EVENTS);
    println!("\nTime line, the last {} events without requests", merged.len() - skipped);
    for entry in &merged[skipped..] {
        println!("{}", format_line(entry));
    }
}

/// Returns whether an event is not about a single request, a link, a loan or a bucket.
fn is_rare(entry: &Entry) -> bool {
    let bucket = entry.event == Event::BucketTaken.number();
    !bucket && !matches!(entry.event / 100, 21 | 26 | 27)
}

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
