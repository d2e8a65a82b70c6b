//! Memory, processor time and link traffic of idle instances.

use std::time::Duration;

use http::Method;
use tokio::time::{Instant, sleep};

use crate::util::{
    block_on,
    fleet::{Fleet, FleetSpec, engine_settings},
    http::call,
};

/// Most resident memory of an instance, in bytes.
const MAX_MEMORY: u64 = 256 << 20;

/// Most bytes that an instance sends to peers in a second.
const MAX_LINK_BYTES: f64 = 9_000.0;

/// Largest fraction of a core that an idle instance uses; checked in optimized builds only.
const MAX_CORE_FRACTION: f64 = 0.022;

/// Time over which the usage is measured.
const SAMPLE_TIME: Duration = Duration::from_secs(10);

/// Clock ticks a second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources that an instance has used since its start.
#[derive(Clone, Copy)]
struct Usage {
    /// Processor time, in clock ticks.
    ticks: u64,
    /// Resident memory, in bytes.
    memory: u64,
    /// Bytes sent to peers.
    bytes: f64,
}

/// Returns a process's processor time in clock ticks and its resident memory in bytes.
fn process_usage(id: u32) -> (u64, u64) {
    let stat =
        std::fs::read_to_string(format!("/proc/{id}/stat")).expect("expected a running process");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let number = |index: usize| fields[index].parse::<u64>().expect("expected a number");
    (number(11) + number(12), number(21) * 4_096)
}

/// Returns the sum of a metric over all its labels.
fn metric_sum(page: &str, name: &str) -> f64 {
    let lines = page.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Returns what an instance has used so far.
async fn usage(fleet: &Fleet, index: usize) -> Usage {
    let (ticks, memory) = process_usage(fleet.instances[index].id());
    let page = call(Method::GET, fleet.operators[index], "/metrics", &[], "").await;
    let page = page.expect("expected the metrics").text();
    Usage { ticks, memory, bytes: metric_sum(&page, "cardamomshore_link_bytes_total") }
}

/// Prints the average usage of `count` idle instances and checks it against the bounds.
async fn measure(count: usize) {
    let data_centres = ["dc-a", "dc-b"];
    let spec = FleetSpec {
        instances: (0..count).map(|i| data_centres[i % 2]).collect(),
        engines: (0..count * 2).map(|i| (data_centres[i % 2], engine_settings())).collect(),
        ..FleetSpec::default()
    };
    let fleet = Fleet::start(&format!("cost-{count}"), spec).await;
    fleet.wait_linked().await;
    let mut before = Vec::new();
    for index in 0..count {
        before.push(usage(&fleet, index).await);
    }
    let start = Instant::now();
    sleep(SAMPLE_TIME).await;
    let elapsed = start.elapsed().as_secs_f64();
    let (mut core, mut memory, mut bytes) = (0.0, 0, 0.0);
    for (index, before) in before.iter().enumerate() {
        let after = usage(&fleet, index).await;
        core += (after.ticks - before.ticks) as f64 / TICKS_PER_SECOND / elapsed / count as f64;
        bytes += (after.bytes - before.bytes) / elapsed / count as f64;
        memory = after.memory.max(memory);
    }
    let megabytes = memory >> 20;
    println!("{count} instances: {:.2}% of a core, {megabytes} MB, {bytes:.0} B/s", core * 100.0);
    assert!(memory < MAX_MEMORY, "expected less than {MAX_MEMORY} bytes of memory, got {memory}");
    assert!(
        bytes < MAX_LINK_BYTES,
        "expected less than {MAX_LINK_BYTES} bytes a second, got {bytes:.0}"
    );
    assert!(
        cfg!(debug_assertions) || core < MAX_CORE_FRACTION,
        "expected less than {MAX_CORE_FRACTION} of a core, got {core}"
    );
}

/// Heartbeats and lease renewals of an idle fleet could use too much memory, processor time or link
/// traffic.
#[test]
fn cost_of_four_idle_instances() {
    block_on(measure(4));
}

/// The usage of an idle instance could grow with the number of its peers.
#[test]
fn cost_of_sixteen_idle_instances() {
    block_on(measure(16));
}
