//! An order to an engine gets no answer and is carried out some seconds later. Meanwhile the engine has
//! crashed and started again under its id, with its count of orders anew.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    Stage,
    base::{Json, sleep_ms},
    engine::{Call, Engine, Fate, config, send},
};

/// Models of 72,700 MB; an engine of 200,000 MB holds two of them. All but the last are held at the start.
const NAMES: [&str; 13] =
    ["m1", "m2", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10", "m3"];

/// Time after which the order without an answer is carried out; the pages allow 2 to 12 s.
const LATE: Duration = Duration::from_secs(11);

/// Time from the crash to the next start.
const DOWN: Duration = Duration::from_secs(3);

pub fn play(stage: &Stage) -> io::Result<bool> {
    let Stage { store, record, has_trouble, .. } = stage;
    let models = NAMES.map(|name| (name, 72_700));
    store.put("op/config", &config(1, &models));
    let zones = ["zone-a", "zone-b", "zone-c"];
    let engines: Vec<_> = (0..6)
        .map(|number| {
            let id = format!("i-e{}", number + 1);
            let held = &NAMES[2 * number..2 * number + 2];
            let place = ("assist", zones[number % 3]);
            Engine::start(&id, place, 64, &models, held, store, record)
        })
        .collect();
    let engine = &engines[0];
    let gateways = stage.start_gateways(3)?;
    let started = Instant::now();
    let ordered: Arc<Mutex<Option<Instant>>> = Arc::default();
    if *has_trouble {
        let ordered = ordered.clone();
        engine.set_rule(move |order: &Json| {
            let mut ordered = ordered.lock().unwrap();
            if order.text("operation") == "load" && order.text("model") == "m3" && ordered.is_none()
            {
                *ordered = Some(Instant::now());
                return Fate::Late(LATE);
            }
            Fate::Answer
        });
    }
    // Demand: m1 all the time, m2 except while m3 is asked for.
    let ends = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let mut clients = Vec::new();
    for (number, model) in NAMES.into_iter().chain(["m1", "m2", "m1/a1"]).enumerate() {
        let (ends, addresses, record) = (ends.clone(), addresses.clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            let mut turn = 0;
            while !ends.load(Ordering::Relaxed) {
                sleep_ms(100);
                let now = started.elapsed().as_secs_f64();
                let is_asked = match model {
                    "m2" => !(5.0..13.0).contains(&now),
                    "m3" => turn < 1 && now > 10.0,
                    "m1/a1" => turn == 0 && now > 5.0,
                    _ => true,
                };
                if is_asked {
                    turn += 1;
                    let call = Call {
                        id: format!("c{number}-{turn}"),
                        method: "POST",
                        path: "/chat/x",
                        model: Some(model),
                        tokens: "500,40",
                        deadline_ms: if model == "m3" { 5_000 } else { 3_000 },
                    };
                    send(addresses[turn % addresses.len()], &call, &record);
                }
            }
        }));
    }
    let mut has_crashed = false;
    while started.elapsed() < Duration::from_secs(45) {
        sleep_ms(50);
        let at = *ordered.lock().unwrap();
        if !has_crashed && at.is_some_and(|at| at.elapsed() > Duration::from_secs(1)) {
            has_crashed = true;
            engine.crash();
            std::thread::sleep(DOWN);
            engine.restart();
        }
        if engine.overloads.load(Ordering::SeqCst) > 0 {
            break;
        }
    }
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let overloads = engine.overloads.load(Ordering::SeqCst);
    record.note(format!("orders that loaded more than fits: {overloads}; {}", engine.holdings()));
    if *has_trouble && !has_crashed {
        return Err(io::Error::other("no load of m3 was ordered"));
    }
    Ok(overloads > 0)
}
