//! A client that is not under control states token counts that are unset, as some programs write them.

use std::{
    io,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use crate::{
    Stage,
    base::sleep_ms,
    engine::{Answer, Call, Engine, config, send},
};

/// Models of the service. An engine holds two of them; the first two are held at the start.
const MODELS: [(&str, u64); 5] =
    [("m1", 72_700), ("m2", 72_700), ("m3", 72_700), ("m4", 72_700), ("m5", 72_700)];

/// Models that the ordinary callers ask for at the end.
const ASKED: [&str; 4] = ["m1", "m3", "m4", "m5"];

/// The number -1, as which some programs keep an unset number, written as an unsigned one of 64 bits.
const UNSET: u64 = u64::MAX;

/// Requests of the odd client, sent together, whose output or prompt is unset.
const WITHOUT_OUTPUT: usize = 12;
const WITHOUT_PROMPT: usize = 6;

/// Bursts of such requests, and the time between them, after which their traces have faded.
const BURSTS: usize = 2;
const BURST_PAUSE: Duration = Duration::from_secs(42);

/// Time from the last burst until the ordinary callers ask.
const LEAD: Duration = Duration::from_secs(8);

/// Time for which the ordinary callers ask at the end.
const ASKING: Duration = Duration::from_secs(24);

pub fn play(stage: &Stage) -> io::Result<bool> {
    let Stage { store, record, has_trouble, .. } = stage;
    store.put("op/config", &config(1, &MODELS));
    let _engines: Vec<_> = ["zone-a", "zone-b", "zone-c"]
        .into_iter()
        .enumerate()
        .map(|(n, zone)| {
            let id = format!("i-e{n}");
            Engine::start(&id, ("assist", zone), 64, &MODELS, &["m1", "m2"], store, record)
        })
        .collect();
    let gateways = stage.start_gateways(3)?;
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let chat = |gateway: usize, id: String, model: &str, tokens: &str| -> Answer {
        let (method, path, model, deadline_ms) = ("POST", "/chat/x", Some(model), 3_000);
        send(addresses[gateway], &Call { id, method, path, model, tokens, deadline_ms }, record)
    };
    sleep_ms(5_000);
    // Ordinary requests, by which the system learns how fast its engines are.
    for number in 0..30 {
        chat(number % 3, format!("warm-{number}"), "m1", "500,40");
        sleep_ms(50);
    }
    for burst in 0..BURSTS {
        if *has_trouble {
            send_odd(&chat, burst);
        }
        let pause = if burst + 1 < BURSTS { BURST_PAUSE } else { LEAD };
        std::thread::sleep(pause);
    }
    // Ordinary requests at each gateway, most of them for models that no engine has loaded yet.
    let (asked, served) = ([const { AtomicUsize::new(0) }; 4], [const { AtomicUsize::new(0) }; 4]);
    let started = Instant::now();
    std::thread::scope(|scope| {
        for gateway in 0..3 {
            let (chat, asked, served) = (&chat, &asked, &served);
            scope.spawn(move || {
                let mut number = gateway;
                while started.elapsed() < ASKING {
                    let turn = number % ASKED.len();
                    asked[turn].fetch_add(1, Ordering::Relaxed);
                    let id = format!("after-{gateway}-{number}");
                    let answer = chat(gateway, id, ASKED[turn], "500,40");
                    served[turn].fetch_add(usize::from(answer.is_served()), Ordering::Relaxed);
                    number += 1;
                    sleep_ms(300);
                }
            });
        }
    });
    // Models that were asked for four times or more, over more than 8 s, and never served.
    let mut starved = 0;
    for (turn, model) in ASKED.into_iter().enumerate() {
        let (asked, served) =
            (asked[turn].load(Ordering::Relaxed), served[turn].load(Ordering::Relaxed));
        record.note(format!("model {model}: {served} of {asked} ordinary requests were served"));
        starved += usize::from(asked >= 4 && served == 0);
    }
    let allowed = 1.0 + 0.1 * ASKED.len() as f64;
    record.note(format!("{starved} of {} models were never served, {allowed} may be", ASKED.len()));
    Ok(starved as f64 > allowed)
}

/// Sends the requests of the odd client, those without an output first.
fn send_odd(chat: &(impl Fn(usize, String, &str, &str) -> Answer + Sync), burst: usize) {
    std::thread::scope(|scope| {
        for number in 0..WITHOUT_OUTPUT {
            let id = format!("odd-output-{burst}-{number}");
            let model = format!("m{}/a{}", burst + 1, number + 1);
            scope.spawn(move || chat(number % 2, id, &model, &format!("500,{UNSET}")));
        }
        sleep_ms(3);
        for number in 0..WITHOUT_PROMPT {
            let id = format!("odd-prompt-{burst}-{number}");
            scope.spawn(move || chat(2, id, "m1", &format!("{UNSET},40")));
        }
    });
}
