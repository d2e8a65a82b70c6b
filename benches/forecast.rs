//! Error of the leader's forecasts: the measured over the expected time from the grant to the first event and
//! to the end, for a load on engines of different speeds that share prompts. It prints quantiles.

#[path = "../tests/kernel/grants/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../tests/kernel/grants/play.rs"]
#[allow(dead_code)]
mod play;

use std::time::Duration;

use cardamomshore::kernel::grants::{GrantRequest, ModelWork};

use self::{
    fleet::{LEADING, START, catalog, engine, model_request, scheduler},
    play::{Fate, Play},
};

const ENGINES: u64 = 8;

/// Requests of each load.
const REQUESTS: u64 = 4_000;

/// Prompts that requests share.
const PROMPTS: u64 = 40;

fn play_load(interval: Duration) -> Play {
    let entries = (0..ENGINES).map(|number| engine(&format!("e{number}"), &["m0"]));
    let mut scheduler = scheduler(LEADING, entries.collect());
    scheduler.set_catalog(catalog(0.0));
    let mut play = Play::new(scheduler, START);
    let slowdowns = (0..ENGINES).map(|number| (format!("e{number}").into(), 80 + 15 * number));
    play.slow_engines = slowdowns.collect();
    for number in 0..REQUESTS {
        let own_tokens = 500 + (number * 7_919 % 37) as u32 * 100;
        let (prompt, length) = (number * 104_729 % PROMPTS, 3_000 + (number % 3) as u32 * 1_000);
        let work = ModelWork {
            parts: vec![(prompt * 3 + number % 3, length), (1_000 + number, own_tokens)],
            prompt_tokens: u64::from(length + own_tokens),
            ..model_request("m0", 1, START).work.expect("a request for a model")
        };
        let request =
            GrantRequest { work: Some(work), team: None, ..model_request("m0", 1, play.now) };
        play.send(number, request);
        play.pass(interval);
    }
    play.pass(Duration::from_secs(6));
    play
}

fn quantiles(values: &mut [f64]) -> String {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| values.get((values.len() as f64 * part) as usize).copied();
    let parts = [0.05, 0.25, 0.5, 0.75, 0.95].map(|part| at(part).unwrap_or_default());
    parts.map(|value| format!("{value:5.2}")).join(" ")
}

fn main() {
    println!("measured / expected time, quantiles 5 25 50 75 95 %");
    for ms in [20, 12, 6, 4] {
        let mut play = play_load(Duration::from_millis(ms));
        let mut seen = play.scheduler.take_observations();
        let served = play.served(|_| true);
        let refused = play.fates.values().filter(|fate| matches!(fate, Fate::Refused(_))).count();
        println!("a request every {ms} ms: {served} served, {refused} refused");
        println!("  first event {}", quantiles(&mut seen.first_event_ratios));
        println!("  end         {}", quantiles(&mut seen.end_ratios));
        let all = (seen.cached_tokens + seen.prefill_tokens).max(1);
        let prefilled = 100 * seen.prefill_tokens / all;
        println!("  {prefilled} % of the prompt tokens were expected to be prefilled");
    }
}
