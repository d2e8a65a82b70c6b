//! Clients send proper requests whose prompts have many short parts.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use crate::{
    Stage,
    base::{Reader, sleep_ms},
    engine::{Engine, HOST, KEY, config},
    platform::MEMORY_MB,
};

const MODELS: [(&str, u64); 2] = [("m1", 72_700), ("m2", 72_700)];

/// Connections of the clients, each of which sends one request after the other.
const CONNECTIONS: usize = 60;

/// Pause of a client after an answer, so that the tenant stays within its rate.
const PAUSE_MS: u64 = 150;

/// Tokens of each prompt, and its parts with and without the disruption.
const TOKENS: usize = 700;
const SHORT_PARTS: usize = 700;
const ORDINARY_PARTS: usize = 2;

/// Engines, as many as the site has.
const ENGINES: usize = 18;

/// Longest time of the clients, with and without the disruption.
const TIME: Duration = Duration::from_secs(90);
const ORDINARY_TIME: Duration = Duration::from_secs(30);

pub fn play(stage: &Stage) -> io::Result<bool> {
    let Stage { store, record, has_trouble, .. } = stage;
    store.put("op/config", &config(1, &MODELS));
    let zones = ["zone-a", "zone-b", "zone-c"];
    let _engines: Vec<_> = (0..ENGINES)
        .map(|n| {
            let id = format!("i-e{n}");
            Engine::start(&id, ("assist", zones[n % 3]), 64, &MODELS, &["m1", "m2"], store, record)
        })
        .collect();
    let gateways = stage.start_gateways(3)?;
    sleep_ms(3_000);
    let (sent, served, ends) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicBool::new(false));
    let mut most = 0;
    std::thread::scope(|scope| {
        for client in 0..CONNECTIONS {
            let (address, sent, served, ends) =
                (gateways[client % 3].callers, &sent, &served, &ends);
            let parts = if *has_trouble { SHORT_PARTS } else { ORDINARY_PARTS };
            scope.spawn(move || {
                while !ends.load(Ordering::Relaxed) {
                    let _ = ask(address, client, parts, (sent, served), ends);
                }
            });
        }
        let started = Instant::now();
        let time = if *has_trouble { TIME } else { ORDINARY_TIME };
        while started.elapsed() < time && most <= MEMORY_MB {
            sleep_ms(500);
            let memory: Vec<u64> = gateways.iter().map(|gateway| gateway.resident_mb()).collect();
            let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
            record.note(format!(
                "{served} of {sent} requests served, the gateways use {memory:?} MB"
            ));
            most = memory.into_iter().max().unwrap_or(0).max(most);
        }
        ends.store(true, Ordering::Relaxed);
    });
    record.note(format!("a gateway used {most} MB at most, of {MEMORY_MB} MB"));
    Ok(most > MEMORY_MB)
}

/// Sends requests with prompts of so many parts on one connection, one after the other, until it ends.
fn ask(
    address: SocketAddr,
    client: usize,
    parts: usize,
    (sent, served): (&AtomicUsize, &AtomicUsize),
    ends: &AtomicBool,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut reader = Reader::new(stream.try_clone()?);
    while !ends.load(Ordering::Relaxed) {
        let number = sent.fetch_add(1, Ordering::Relaxed);
        // Each prompt has parts of its own.
        let id = |part| 0x1000_0000_0000 + number * SHORT_PARTS + part;
        let part = |part| format!("{:x}:{}", id(part), TOKENS / parts);
        let prefix: Vec<String> = (0..parts).map(part).collect();
        let request = format!(
            "POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: p-{client}-{number}\r\n\
             X-Deadline-Ms: 5000\r\nAuthorization: Token {KEY}\r\nX-Model: m1\r\n\
             X-Token-Count: {TOKENS},40\r\nX-Prompt-Prefix: {}\r\nContent-Length: 0\r\n\r\n",
            prefix.join(",")
        );
        stream.write_all(request.as_bytes())?;
        let (first, headers) = reader.head()?;
        reader.body(&headers)?;
        served.fetch_add(usize::from(first.contains(" 200")), Ordering::Relaxed);
        sleep_ms(PAUSE_MS);
    }
    Ok(())
}
