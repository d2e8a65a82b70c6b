//! A client keeps sending requests that are larger than an engine's memory.

use std::{
    io,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use crate::{
    Stage,
    base::sleep_ms,
    engine::{Call, Engine, config, send},
};

/// Models of 72,700 MB. Each is held by one engine, which has room for two.
const NAMES: [&str; 12] =
    ["n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10", "n11", "n12"];

/// Pause between two ordinary requests for a model.
const PAUSE_MS: u64 = 250;

/// Tokens of the large requests, for which an engine has 232,000, and the pause between two of them.
const LARGE: &str = "1000000,40";
const LARGE_PAUSE: Duration = Duration::from_secs(1);

/// Time from the first large request until requests count, and for which they do.
const LEAD: Duration = Duration::from_secs(4);
const COUNTED: Duration = Duration::from_secs(26);

/// Ordinary requests for a model that count.
#[derive(Default)]
struct Counts {
    asked: AtomicUsize,
    served: AtomicUsize,
}

pub fn play(stage: &Stage) -> io::Result<bool> {
    let Stage { store, record, has_trouble, .. } = stage;
    let models = NAMES.map(|name| (name, 72_700));
    store.put("op/config", &config(1, &models));
    let zones = ["zone-a", "zone-b", "zone-c"];
    let _engines: Vec<_> = (0..6)
        .map(|number| {
            let id = format!("i-e{}", number + 1);
            let held = &NAMES[2 * number..2 * number + 2];
            let place = ("assist", zones[number % 3]);
            Engine::start(&id, place, 64, &models, held, store, record)
        })
        .collect();
    let gateways = stage.start_gateways(3)?;
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let chat = |turn: usize, id: String, model: &str, tokens: &str| {
        let (method, path, model, deadline_ms) = ("POST", "/chat/x", Some(model), 3_000);
        let call = Call { id, method, path, model, tokens, deadline_ms };
        send(addresses[turn % addresses.len()], &call, record)
    };
    let (ends, counts) = (AtomicBool::new(false), AtomicBool::new(false));
    let all: [Counts; 12] = Default::default();
    std::thread::scope(|scope| {
        let (chat, ends, counts) = (&chat, &ends, &counts);
        for (number, (model, own)) in NAMES.into_iter().zip(&all).enumerate() {
            scope.spawn(move || {
                let mut turn = 0;
                while !ends.load(Ordering::Relaxed) {
                    sleep_ms(PAUSE_MS);
                    turn += 1;
                    let is_counted = counts.load(Ordering::Relaxed);
                    let answer = chat(turn, format!("c{number}-{turn}"), model, "500,40");
                    if is_counted {
                        own.asked.fetch_add(1, Ordering::Relaxed);
                        own.served.fetch_add(usize::from(answer.is_served()), Ordering::Relaxed);
                    }
                }
            });
        }
        sleep_ms(7_000);
        let started = Instant::now();
        let mut turn = 0;
        while started.elapsed() < LEAD + COUNTED {
            if *has_trouble {
                chat(turn, format!("large-{turn}"), NAMES[0], LARGE);
            }
            turn += 1;
            counts.store(started.elapsed() >= LEAD, Ordering::Relaxed);
            std::thread::sleep((LARGE_PAUSE * turn as u32).saturating_sub(started.elapsed()));
        }
        ends.store(true, Ordering::Relaxed);
    });
    // Models that were asked for four times or more, over more than 8 s, and never served.
    let mut starved = 0;
    for (model, own) in NAMES.into_iter().zip(&all) {
        let (asked, served) =
            (own.asked.load(Ordering::Relaxed), own.served.load(Ordering::Relaxed));
        record.note(format!("model {model}: {served} of {asked} ordinary requests were served"));
        starved += usize::from(asked >= 4 && served == 0);
    }
    let allowed = 1.0 + 0.1 * NAMES.len() as f64;
    record.note(format!("{starved} of {} models were never served, {allowed} may be", NAMES.len()));
    Ok(starved as f64 > allowed)
}
