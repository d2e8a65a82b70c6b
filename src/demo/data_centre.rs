//! The step that takes a data centre out and returns it while callers go on.

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
    fleet::{Fleet, LOOK_PERIOD},
};
use crate::cli::change::edit;

/// Callers that ask without a break.
const CALLERS: usize = 8;

/// Tokens of each answer.
const TOKENS: u64 = 10;

/// Time after an order within which no new work may start in the data centre.
const OUT_LIMIT: Duration = Duration::from_secs(4);

/// Time for which the data centre is watched while it is out.
const WATCH_PERIOD: Duration = Duration::from_secs(3);

/// Longest time until the returned data centre works again.
const RETURN_LIMIT: Duration = Duration::from_secs(15);

/// What the callers saw.
#[derive(Default)]
struct Tally {
    answered: AtomicU64,
    failed: AtomicU64,
    over: AtomicBool,
}

/// Takes a data centre out and returns it under load.
pub async fn out_and_back(fleet: &Fleet) -> Result<Vec<Check>, DemoError> {
    let tally = Arc::new(Tally::default());
    let before = started(fleet);
    let callers: JoinSet<()> = (0..CALLERS).map(|i| call(fleet, i, tally.clone())).collect();
    wait_for_work(fleet, before).await;
    println!("data-centre out {OTHER_DATA_CENTRE}");
    set(fleet, true).await?;
    let (started, still) = watch(fleet).await;
    let during = tally.answered.load(Ordering::Relaxed);
    println!("data-centre return {OTHER_DATA_CENTRE}");
    set(fleet, false).await?;
    let back = wait_for_work(fleet, still).await;
    tally.over.store(true, Ordering::Relaxed);
    callers.join_all().await;
    let answered = tally.answered.load(Ordering::Relaxed);
    let failed = tally.failed.load(Ordering::Relaxed);
    Ok(vec![
        Check::new(
            "a data centre taken out gets no new work after a few seconds",
            started == still,
            format!("{} requests started there while it was watched", still - started),
        ),
        Check::new(
            "it works again after its return",
            back.is_some(),
            back.map_or("no".to_owned(), |took| format!("after {:.2} s", took.as_secs_f64())),
        ),
        Check::new(
            "callers are answered meanwhile",
            failed == 0 && during > 0,
            format!("{answered} answered, {failed} not"),
        ),
    ])
}

async fn set(fleet: &Fleet, out: bool) -> Result<(), DemoError> {
    let remote = fleet.remote();
    let changed = edit(&remote, |config| {
        if let Some(data_centre) = config.data_centres.get_mut(OTHER_DATA_CENTRE) {
            data_centre.out = out;
        }
        Ok(())
    });
    changed.await.map_err(|err| DemoError::Operator(err.to_string()))
}

/// Returns the requests that had started when the limit had passed, and at the end of the watch.
async fn watch(fleet: &Fleet) -> (u64, u64) {
    sleep(OUT_LIMIT).await;
    let before = started(fleet);
    sleep(WATCH_PERIOD).await;
    (before, started(fleet))
}

/// Returns the requests that ever started at the engines of the data centre.
fn started(fleet: &Fleet) -> u64 {
    let engines =
        fleet.engines.iter().filter(|part| part.data_centre.as_str() == OTHER_DATA_CENTRE);
    engines.map(|part| part.standin.counts().started).sum()
}

async fn wait_for_work(fleet: &Fleet, before: u64) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < RETURN_LIMIT {
        if started(fleet) > before {
            return Some(start.elapsed());
        }
        sleep(LOOK_PERIOD).await;
    }
    None
}

/// One caller, who asks for the instances again before each request.
fn call(
    fleet: &Fleet,
    index: usize,
    tally: Arc<Tally>,
) -> impl Future<Output = ()> + Send + 'static {
    let known: Vec<_> = fleet.instances.iter().map(|instance| instance.listen).collect();
    async move {
        let caller = Caller::new(COUNTER_KEY);
        let mut round = index;
        while !tally.over.load(Ordering::Relaxed) {
            round += 1;
            let addresses = caller.addresses(known[round % known.len()]).await.unwrap_or_default();
            let Some(address) = addresses.get(round % addresses.len().max(1)) else {
                tally.failed.fetch_add(1, Ordering::Relaxed);
                sleep(LOOK_PERIOD).await;
                continue;
            };
            let answer = caller.chat(*address, MODELS[round % MODELS.len()], TOKENS, true).await;
            let whole = answer.is_ok_and(|answer| answer.status == 200 && answer.events().1);
            let counter = if whole { &tally.answered } else { &tally.failed };
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }
}
