//! The faults of a soak, drawn from its seed. They come in series and overlap.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

use super::{Options, names::DATA_CENTRES};
use crate::standin::{metadata::StoreFaults, worker::WorkerFaults};

/// Mean times between two faults; the seed chooses one. Promises with a time limit hold only for gateways
/// that were not disturbed for a while, so some soaks have few faults.
const FAULT_INTERVALS: [Duration; 3] =
    [Duration::from_millis(900), Duration::from_millis(2_500), Duration::from_millis(5_000)];

/// Longest series of the same fault.
const MAX_SERIES: u32 = 3;

/// Time between the faults of a series.
const SERIES_INTERVAL: Duration = Duration::from_millis(400);

/// Least time for which an endpoint has faults. It is longer than the time after which its limit must
/// be kept.
const UNSOUND_TIME: Duration = Duration::from_secs(7);

/// Largest age of a copy from which the store returns, in milliseconds.
pub const MAX_COPY_AGE_MS: u64 = 12_000;

/// Least time for which a data centre is out of service. It is longer than the time after which its
/// endpoints must get no requests.
const EVACUATE_TIME: Duration = Duration::from_secs(8);

/// Least time for which a gateway is cut off from the endpoints. It is longer than the time after which
/// its callers must be served again.
const CUT_OFF_TIME: Duration = Duration::from_secs(7);

/// Time for which an endpoint that refuses a request wants no others of its sender.
const PAUSE_TIME: Duration = Duration::from_secs(3);

/// Time from a release until engines of both software versions serve.
const BOTH_VERSIONS_AFTER: Duration = Duration::from_secs(6);

/// Changes before a return of the store, and again after it.
const CHANGES_AROUND_RETURN: usize = 3;

/// Time after a return of the store in which changes follow.
const AFTER_RETURN: Duration = Duration::from_secs(3);

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A gateway is killed and started again.
    Kill(usize),
    /// A gateway is stopped by SIGSTOP for a while.
    Pause(usize, Duration),
    /// A gateway gets SIGTERM, and is started again once it has ended.
    Stop(usize),
    /// All gateways are killed at once.
    KillAll,
    /// One gateway's calls to the store fail for a while.
    StoreCut(usize, StoreFaults, Duration),
    /// All calls to the store fail for a while.
    StoreDown(StoreFaults, Duration),
    /// The store forgets its history.
    ForgetHistory,
    /// The store is away for a while and returns from a copy, which is older by the first time.
    StoreReturn(Duration, Duration),
    /// A data centre is taken out of service for a while.
    Evacuate(usize, Duration),
    /// The operators add a route.
    AddRoute,
    /// Engines are replaced by ones of another software version, one after the other.
    Release,
    /// An endpoint crashes.
    Crash(usize),
    /// An endpoint drains and leaves.
    Leave(usize),
    /// An endpoint has faults for a while.
    Unsound(usize, WorkerFaults, Duration),
    /// A gateway is cut off from all endpoints for a while; existing connections are closed first, or
    /// hang.
    CutOff(usize, bool, Duration),
    /// An endpoint says in its responses that it leaves, and leaves later.
    SayLeaving(usize),
    /// A key is withdrawn for a while.
    WithdrawKey(Duration),
    /// Callers send requests that crash endpoints for a while.
    FatalRequests(Duration),
}

/// A fault and its time.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Time since the begin of the soak.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Draws the faults between `from` and `to`.
pub fn plan(options: &Options, from: Duration, to: Duration) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let interval = FAULT_INTERVALS[(options.seed % FAULT_INTERVALS.len() as u64) as usize];
    let mut steps = Vec::new();
    let mut at = from;
    while at < to {
        let fault = draw(&mut rng, options);
        let series = match fault {
            Fault::Kill(_)
            | Fault::Stop(_)
            | Fault::Crash(_)
            | Fault::Pause(..)
            | Fault::AddRoute => rng.random_range(1..=MAX_SERIES),
            _ => 1,
        };
        for number in 0..series {
            let fault = if number == 0 { fault } else { move_on(fault, number, options) };
            steps.push(Step { at: at + SERIES_INTERVAL * number, fault });
        }
        if fault == Fault::Release {
            let kill_at = at + BOTH_VERSIONS_AFTER + SERIES_INTERVAL * rng.random_range(0..8);
            steps.push(Step { at: kill_at, fault: Fault::KillAll });
        }
        if let Fault::StoreReturn(age, away) = fault {
            add_changes(&mut steps, &mut rng, options, (at.saturating_sub(age).max(from), at));
            let back = at + away;
            add_changes(&mut steps, &mut rng, options, (back, back + AFTER_RETURN));
        }
        at += interval.mul_f64(rng.random_range(0.1..1.9));
    }
    steps.retain(|step| step.at < to);
    steps.sort_by_key(|step| step.at);
    steps
}

/// Adds changes at random times of a span: those that a return of the store loses, or that follow it.
fn add_changes(
    steps: &mut Vec<Step>,
    rng: &mut impl Rng,
    options: &Options,
    span: (Duration, Duration),
) {
    for _ in 0..CHANGES_AROUND_RETURN {
        let at = span.0 + (span.1 - span.0).mul_f64(rng.random());
        let fault = match rng.random_range(0..5) {
            0 => Fault::Kill(rng.random_range(0..options.gateways)),
            1 => Fault::Leave(rng.random_range(0..options.endpoints())),
            2 => Fault::Evacuate(rng.random_range(0..DATA_CENTRES.len()), EVACUATE_TIME),
            _ => Fault::AddRoute,
        };
        steps.push(Step { at, fault });
    }
}

/// Returns the same fault at the next gateway or endpoint.
fn move_on(fault: Fault, number: u32, options: &Options) -> Fault {
    let next = |index: usize, count: usize| (index + number as usize) % count;
    match fault {
        Fault::Kill(index) => Fault::Kill(next(index, options.gateways)),
        Fault::Stop(index) => Fault::Stop(next(index, options.gateways)),
        Fault::Pause(index, length) => Fault::Pause(next(index, options.gateways), length),
        Fault::Crash(index) => Fault::Crash(next(index, options.endpoints())),
        other => other,
    }
}

fn draw(rng: &mut impl Rng, options: &Options) -> Fault {
    let gateway = rng.random_range(0..options.gateways);
    let endpoint = rng.random_range(0..options.endpoints());
    let length = Duration::from_millis(rng.random_range(300..4_000));
    match rng.random_range(0..30) {
        0 | 1 => Fault::Kill(gateway),
        2 | 3 => Fault::Pause(gateway, length),
        4 | 5 => Fault::Stop(gateway),
        6 => Fault::KillAll,
        7 => Fault::StoreCut(gateway, draw_store_faults(rng), length),
        8 | 9 => Fault::StoreDown(draw_store_faults(rng), length),
        10 => Fault::ForgetHistory,
        11 => Fault::Crash(endpoint),
        12 | 13 => Fault::Leave(endpoint),
        14 | 15 => Fault::Unsound(endpoint, draw_worker_faults(rng), UNSOUND_TIME + length),
        16 => Fault::WithdrawKey(length * 2),
        17 | 18 => {
            let age = Duration::from_millis(rng.random_range(500..MAX_COPY_AGE_MS));
            Fault::StoreReturn(age, length / 4)
        }
        19 => Fault::Evacuate(endpoint % DATA_CENTRES.len(), EVACUATE_TIME + length),
        20 | 21 => Fault::AddRoute,
        22 | 23 => Fault::Release,
        24 | 25 => Fault::CutOff(gateway, rng.random(), CUT_OFF_TIME + length),
        26 => Fault::SayLeaving(endpoint),
        27 | 28 => Fault::AddRoute,
        _ => Fault::FatalRequests(length * 2),
    }
}

fn draw_store_faults(rng: &mut impl Rng) -> StoreFaults {
    let sound = StoreFaults::default();
    match rng.random_range(0..4) {
        0 => StoreFaults { silent: true, ..sound },
        1 => StoreFaults { refusing: true, ..sound },
        2 => StoreFaults { lost: 0.4, ..sound },
        _ => StoreFaults { delay: Duration::from_millis(250), ..sound },
    }
}

fn draw_worker_faults(rng: &mut impl Rng) -> WorkerFaults {
    let sound = WorkerFaults::default();
    match rng.random_range(0..10) {
        7..=9 => WorkerFaults { late_orders: 0.4, ..sound },
        5 | 6 => WorkerFaults { refusing: Some((0.3, PAUSE_TIME)), ..sound },
        0 => WorkerFaults { failing: 0.4, ..sound },
        1 => WorkerFaults { breaking: 0.4, ..sound },
        2 => WorkerFaults { endless: 0.2, ..sound },
        _ => WorkerFaults { limit: Some(1.0), ..sound },
    }
}
