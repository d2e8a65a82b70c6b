//! Error of the leader's forecasts: the measured over the expected time from the grant to the first event and
//! to the end, for a load on engines of different speeds that share prompts. It prints quantiles.
//!
//! Then it plays sessions on replicas with adapters, and prints how engines got the tokens of the prompts.

#[path = "../tests/kernel/grants/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../tests/kernel/grants/play.rs"]
#[allow(dead_code)]
mod play;

use std::{sync::Arc, time::Duration};

use cardamomshore::{
    catalog::{Catalog, FetchSpec, Service},
    kernel::grants::{EndpointEntry, GrantRequest, ModelWork},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use self::{
    fleet::{LEADING, START, catalog, engine, model_request, scheduler},
    play::{Fate, Play, Reuse},
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

/// Engines and models of the sessions; each engine has two models.
const REPLICA_ENGINES: u64 = 24;
const MODELS: u64 = 6;

/// Adapters of each model. Half of the sessions use one.
const ADAPTERS: u64 = 12;

/// Tokens of the parts of a long prompt: of the model or adapter, of the session, and of the request.
const LONG_PARTS: [u32; 3] = [2_520, 3_780, 2_890];

/// The same for a short prompt, which belongs to no session.
const SHORT_PARTS: [u32; 2] = [198, 628];

/// Time for which sessions are played.
const SESSION_TIME: Duration = Duration::from_secs(30);

/// Requests of a session, and the time between two of them.
const SESSION_REQUESTS: u64 = 6;
const SESSION_INTERVAL: Duration = Duration::from_millis(1_700);

/// A request that a session will send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Planned {
    at: Duration,
    session: u64,
    number: u64,
    is_long: bool,
}

/// Returns the requests of sessions that begin at random times, `rate` requests a second.
fn plan(rate: f64, rng: &mut StdRng) -> Vec<Planned> {
    let long = (rate * 0.4 * SESSION_TIME.as_secs_f64()) as u64;
    let short = (rate * 0.6 * SESSION_TIME.as_secs_f64()) as u64;
    let mut planned = Vec::new();
    for session in 0..long / SESSION_REQUESTS {
        let begin = SESSION_TIME.mul_f64(rng.random_range(0.0..1.0));
        for turn in 0..SESSION_REQUESTS {
            let gap = SESSION_INTERVAL.mul_f64(rng.random_range(0.0..2.0));
            let at = begin + SESSION_INTERVAL * turn as u32 + gap;
            planned.push(Planned { at, session, number: planned.len() as u64, is_long: true });
        }
    }
    for session in 0..short {
        let at = SESSION_TIME.mul_f64(rng.random_range(0.0..1.0));
        planned.push(Planned { at, session, number: planned.len() as u64, is_long: false });
    }
    planned.sort();
    planned
}

fn session_request(planned: Planned, play: &Play) -> GrantRequest {
    let Planned { session, number, is_long, .. } = planned;
    let scope = session * 7_919 % (MODELS * ADAPTERS * 2);
    let (model, adapter) = (format!("m{}", scope % MODELS), scope / MODELS);
    let lengths: &[u32] = if is_long { &LONG_PARTS } else { &SHORT_PARTS };
    let hashes = [1, 1_000 + session, 1_000_000 + number];
    let hashes = if is_long { hashes.to_vec() } else { vec![2, 1_000_000 + number] };
    let output = if is_long { 150 } else { 60 };
    let request = model_request(&model, 1, play.now);
    let work = ModelWork {
        adapter: (adapter < ADAPTERS).then(|| format!("a{adapter}").into()),
        parts: hashes.into_iter().zip(lengths.iter().copied()).collect(),
        prompt_tokens: lengths.iter().map(|tokens| u64::from(*tokens)).sum(),
        output_tokens: output,
        ..request.work.clone().expect("a request for a model")
    };
    GrantRequest { work: Some(work), team: None, fingerprint: number + 1, ..request }
}

fn session_catalog(fetch: Option<FetchSpec>) -> Arc<Catalog> {
    let mut catalog = Catalog::clone(&catalog(0.0));
    let mut service = Service::clone(&catalog.services["llm"]);
    let engine = service.engine.as_mut().expect("the service has engines");
    (engine.fetch, engine.adapter_slots, engine.kv_tokens) = (fetch, 8, 187_629);
    catalog.services.insert("llm".into(), service.into());
    catalog.into()
}

fn play_sessions(rate: f64, fetch: Option<FetchSpec>) -> Play {
    let entries = (0..REPLICA_ENGINES).map(|number| {
        let models = [number % MODELS, (number + 1 + number / MODELS % (MODELS - 1)) % MODELS];
        let models = models.map(|model| format!("m{model}"));
        EndpointEntry {
            address: format!("10.0.0.{}:8000", number + 1).parse().expect("an address"),
            ..engine(&format!("e{number:02}"), &[&models[0], &models[1]])
        }
    });
    let mut scheduler = scheduler(LEADING, entries.collect());
    scheduler.set_catalog(session_catalog(fetch));
    let mut play = Play::new(scheduler, START);
    play.carries_out_orders = true;
    play.fetch = fetch;
    for planned in plan(rate, &mut StdRng::seed_from_u64(7)) {
        let at = START + planned.at;
        play.pass(at.since(play.now));
        let request = session_request(planned, &play);
        play.send(planned.number, request);
    }
    play.pass(Duration::from_secs(6));
    play
}

fn print_sessions(rate: f64, fetch: Option<FetchSpec>) {
    let play = play_sessions(rate, fetch);
    let Reuse { prompt, cached, fetched, new, elsewhere, pending, evicted } = play.reuse;
    let served = play.served(|_| true);
    let name = if fetch.is_some() { "with fetches" } else { "without fetches" };
    println!("{rate} requests a second, {name}: {served} of {} served", play.fates.len());
    let prefilled = new + elsewhere + pending + evicted;
    let part = |tokens: u64| 100.0 * tokens as f64 / prefilled.max(1) as f64;
    println!(
        "  million tokens: {:.1} prompts, {:.1} cached, {:.1} fetched, {:.1} prefilled",
        prompt as f64 / 1e6,
        cached as f64 / 1e6,
        fetched as f64 / 1e6,
        prefilled as f64 / 1e6
    );
    println!(
        "  of the prefilled: {:.1} % new, {:.1} % held elsewhere, {:.1} % under way elsewhere, {:.1} % evicted",
        part(new),
        part(elsewhere),
        part(pending),
        part(evicted)
    );
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
    let spec = FetchSpec { token_bytes: 163_840.0, link_mbps: 700_000.0 };
    for rate in [120.0, 240.0, 360.0, 480.0] {
        print_sessions(rate, None);
        print_sessions(rate, Some(spec));
    }
}
