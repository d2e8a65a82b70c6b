//! Demo step that takes a data centre out of service and returns it while callers send requests.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{task::JoinSet, time::sleep};

use super::{
    Check, DemoError,
    caller::Caller,
    config::{COUNTER_KEY, MODELS, OTHER_DATA_CENTRE},
    fleet::{Fleet, POLL_INTERVAL},
};
use crate::cli::change::edit;

/// Number of callers that send requests without a pause.
const CALLER_COUNT: usize = 8;

/// Output tokens of each response.
const OUTPUT_TOKENS: u64 = 10;

/// Time after the change of the configuration from which no request may start in the data centre.
const OUT_DELAY: Duration = Duration::from_secs(4);

/// Time for which the data centre is observed while it is out of service.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// Longest wait until requests start in the data centre, both before it is taken out and after its
/// return.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Counts of the callers' requests.
#[derive(Default)]
struct Tally {
    /// Requests with a complete response.
    completed: AtomicU64,
    /// Requests without a complete response.
    failed: AtomicU64,
    /// Whether the callers are to stop.
    done: AtomicBool,
}

/// Takes a data centre out of service and returns it under load; returns the checks of this step.
pub async fn out_and_back(fleet: &Fleet) -> Result<Vec<Check>, DemoError> {
    let tally = Arc::new(Tally::default());
    let before = started_requests(fleet);
    let callers: JoinSet<()> =
        (0..CALLER_COUNT).map(|i| run_caller(fleet, i, tally.clone())).collect();
    wait_for_work(fleet, before).await;
    println!("data-centre out {OTHER_DATA_CENTRE}");
    set_out(fleet, true).await?;
    let (started_before, started_after) = count_started(fleet).await;
    let completed_while_out = tally.completed.load(Ordering::Relaxed);
    println!("data-centre return {OTHER_DATA_CENTRE}");
    set_out(fleet, false).await?;
    let returned = wait_for_work(fleet, started_after).await;
    tally.done.store(true, Ordering::Relaxed);
    callers.join_all().await;
    let answered = tally.completed.load(Ordering::Relaxed);
    let failed = tally.failed.load(Ordering::Relaxed);
    Ok(vec![
        Check::new(
            "a data centre taken out gets no new work after a few seconds",
            started_before == started_after,
            format!(
                "{} requests started there while it was watched",
                started_after - started_before
            ),
        ),
        Check::new(
            "it works again after its return",
            returned.is_some(),
            returned.map_or("no".to_owned(), |took| format!("after {:.2} s", took.as_secs_f64())),
        ),
        Check::new(
            "callers are answered meanwhile",
            failed == 0 && completed_while_out > 0,
            format!("{answered} answered, {failed} not"),
        ),
    ])
}

/// Takes the data centre out of service, or returns it, by a change of the configuration.
async fn set_out(fleet: &Fleet, out: bool) -> Result<(), DemoError> {
    let remote = fleet.remote();
    let change = edit(&remote, |config| {
        if let Some(data_centre) = config.data_centres.get_mut(OTHER_DATA_CENTRE) {
            data_centre.out = out;
        }
        Ok(())
    });
    change.await.map_err(|err| DemoError::Operator(err.to_string()))
}

/// Returns the numbers of requests that had started in the data centre after [`OUT_DELAY`], and at
/// the end of the observation.
async fn count_started(fleet: &Fleet) -> (u64, u64) {
    sleep(OUT_DELAY).await;
    let before = started_requests(fleet);
    sleep(OBSERVATION_TIME).await;
    (before, started_requests(fleet))
}

/// Returns the number of requests that have started at the engines of the data centre.
fn started_requests(fleet: &Fleet) -> u64 {
    let engines =
        fleet.engines.iter().filter(|endpoint| endpoint.data_centre.as_str() == OTHER_DATA_CENTRE);
    engines.map(|endpoint| endpoint.standin.counts().started).sum()
}

/// Waits until more than `before` requests have started in the data centre; returns the time that
/// this took, or `None` after the timeout.
async fn wait_for_work(fleet: &Fleet, before: u64) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        if started_requests(fleet) > before {
            return Some(start.elapsed());
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

/// Runs one caller, which requests the addresses of the instances before each of its requests.
fn run_caller(
    fleet: &Fleet,
    index: usize,
    tally: Arc<Tally>,
) -> impl Future<Output = ()> + Send + 'static {
    let known: Vec<_> = fleet.instances.iter().map(|instance| instance.listen).collect();
    async move {
        let caller = Caller::new(COUNTER_KEY);
        let mut round = index;
        while !tally.done.load(Ordering::Relaxed) {
            round += 1;
            let addresses = caller.addresses(known[round % known.len()]).await.unwrap_or_default();
            let Some(address) = addresses.get(round % addresses.len().max(1)) else {
                tally.failed.fetch_add(1, Ordering::Relaxed);
                sleep(POLL_INTERVAL).await;
                continue;
            };
            let response =
                caller.chat(*address, MODELS[round % MODELS.len()], OUTPUT_TOKENS, true).await;
            let complete =
                response.is_ok_and(|response| response.status == 200 && response.events().1);
            let counter = if complete { &tally.completed } else { &tally.failed };
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }
}
