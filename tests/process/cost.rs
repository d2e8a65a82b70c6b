//! What an idle instance spends on control.

use std::time::Duration;

use http::Method;
use tokio::time::{Instant, sleep};

use crate::util::{
    block_on,
    fleet::{Fleet, Plan, engine_settings},
    http::call,
};

/// Most memory of an instance in bytes.
const MEMORY_LIMIT: u64 = 256 << 20;

/// Most bytes a second that an instance sends to peers.
const BYTES_LIMIT: f64 = 9_000.0;

/// Largest part of a core, for builds with optimizations.
const CORE_LIMIT: f64 = 0.022;

/// Time over which the cost is counted.
const SPAN: Duration = Duration::from_secs(10);

/// Ticks a second in which the kernel counts processor time.
const TICKS: f64 = 100.0;

/// What one instance used so far.
#[derive(Clone, Copy)]
struct Usage {
    ticks: u64,
    memory: u64,
    bytes: f64,
}

/// Returns an instance's processor ticks and its resident memory in bytes.
fn process_usage(id: u32) -> (u64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("a running process");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let number = |index: usize| fields[index].parse::<u64>().expect("a number");
    (number(11) + number(12), number(21) * 4_096)
}

/// Returns the sum of a metric over all its labels.
fn metric(page: &str, name: &str) -> f64 {
    let lines = page.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

async fn usage(fleet: &Fleet, index: usize) -> Usage {
    let (ticks, memory) = process_usage(fleet.instances[index].id());
    let page = call(Method::GET, fleet.operators[index], "/metrics", &[], "").await;
    let page = page.expect("the metrics").text();
    Usage { ticks, memory, bytes: metric(&page, "cardamomshore_link_bytes_total") }
}

async fn measure(count: usize) {
    let places = ["dc-a", "dc-b"];
    let plan = Plan {
        instances: (0..count).map(|i| places[i % 2]).collect(),
        engines: (0..count * 2).map(|i| (places[i % 2], engine_settings())).collect(),
        ..Plan::default()
    };
    let fleet = Fleet::start(&format!("cost-{count}"), plan).await;
    fleet.wait_linked().await;
    let mut before = Vec::new();
    for index in 0..count {
        before.push(usage(&fleet, index).await);
    }
    let start = Instant::now();
    sleep(SPAN).await;
    let elapsed = start.elapsed().as_secs_f64();
    let (mut core, mut memory, mut bytes) = (0.0, 0, 0.0);
    for (index, before) in before.iter().enumerate() {
        let after = usage(&fleet, index).await;
        core += (after.ticks - before.ticks) as f64 / TICKS / elapsed / count as f64;
        bytes += (after.bytes - before.bytes) / elapsed / count as f64;
        memory = after.memory.max(memory);
    }
    let megabytes = memory >> 20;
    println!("{count} instances: {:.2}% of a core, {megabytes} MB, {bytes:.0} B/s", core * 100.0);
    assert!(memory < MEMORY_LIMIT, "{megabytes} MB");
    assert!(bytes < BYTES_LIMIT, "{bytes:.0} bytes a second");
    assert!(cfg!(debug_assertions) || core < CORE_LIMIT, "{core} of a core");
}

#[test]
fn cost_of_four_idle_instances() {
    block_on(measure(4));
}

#[test]
fn cost_of_sixteen_idle_instances() {
    block_on(measure(16));
}
