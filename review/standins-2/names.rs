//! A client that is not under control asks for models with long names that nobody has heard of.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use crate::{
    Stage,
    base::{Reader, sleep_ms},
    engine::{Call, Engine, HOST, KEY, config, send},
    platform::MEMORY_MB,
};

const MODELS: [(&str, u64); 2] = [("m1", 72_700), ("m2", 72_700)];

/// Connections of the client, and the length of the names. Heads may have 16,384 bytes.
const CONNECTIONS: usize = 4;
const NAME_LEN: usize = 14_000;

/// Most requests of the client.
const REQUESTS: usize = 40_000;

/// Longest time of the client.
const TIME: Duration = Duration::from_secs(60);

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
    sleep_ms(3_000);
    let (sent, ends) = (AtomicUsize::new(0), AtomicBool::new(false));
    let mut most = 0;
    std::thread::scope(|scope| {
        for client in 0..if *has_trouble { CONNECTIONS } else { 0 } {
            let (address, sent, ends) = (gateways[client % 3].callers, &sent, &ends);
            scope.spawn(move || {
                while !ends.load(Ordering::Relaxed) && sent.load(Ordering::Relaxed) < REQUESTS {
                    let _ = ask(address, client, sent, ends);
                }
            });
        }
        let started = Instant::now();
        let mut turn = 0;
        while started.elapsed() < TIME && most <= MEMORY_MB {
            sleep_ms(500);
            // An ordinary request beside them.
            let (id, model, tokens) = (format!("c-{turn}"), Some("m1"), "500,40");
            let (method, path, deadline_ms) = ("POST", "/chat/x", 3_000);
            let call = Call { id, method, path, model, tokens, deadline_ms };
            send(gateways[turn % 3].callers, &call, record);
            turn += 1;
            let memory: Vec<u64> = gateways.iter().map(|gateway| gateway.resident_mb()).collect();
            let sent = sent.load(Ordering::Relaxed);
            record.note(format!("after {sent} odd requests, the gateways use {memory:?} MB"));
            most = memory.into_iter().max().unwrap_or(0).max(most);
            if sent >= REQUESTS || (!has_trouble && turn > 20) {
                break;
            }
        }
        ends.store(true, Ordering::Relaxed);
    });
    record.note(format!("a gateway used {most} MB at most, of {MEMORY_MB} MB"));
    Ok(most > MEMORY_MB)
}

/// Sends requests on one connection, one after the other, until it ends.
fn ask(
    address: SocketAddr,
    client: usize,
    sent: &AtomicUsize,
    ends: &AtomicBool,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut reader = Reader::new(stream.try_clone()?);
    while !ends.load(Ordering::Relaxed) {
        let number = sent.fetch_add(1, Ordering::Relaxed);
        let name = format!("{number:0>NAME_LEN$}");
        let request = format!(
            "POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: odd-{client}-{number}\r\n\
             X-Deadline-Ms: 3000\r\nAuthorization: Token {KEY}\r\nX-Model: {name}\r\n\
             X-Token-Count: 10,10\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        let (_, headers) = reader.head()?;
        reader.body(&headers)?;
    }
    Ok(())
}
