//! Another writer has put an entry without some of its fields among those of the servers.

use std::{
    io,
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use crate::{
    Stage,
    base::{Reader, free_address, respond, sleep_ms},
    engine::{Call, Engine, config, send},
};

/// Requests of the case.
const REQUESTS: usize = 600;

/// Answers that the rule allows: five and one in 500 of all requests.
const ALLOWED: usize = 5 + REQUESTS / 500;

pub fn play(stage: &Stage) -> io::Result<bool> {
    let Stage { store, record, has_trouble, .. } = stage;
    store.put("op/config", &config(1, &[]));
    let _servers: Vec<Arc<Engine>> = ["zone-a", "zone-b", "zone-c"]
        .into_iter()
        .enumerate()
        .map(|(n, zone)| {
            Engine::start(&format!("i-d{n}"), ("desk", zone), 6, &[], &[], store, record)
        })
        .collect();
    let gateways = stage.start_gateways(3)?;
    let foreign = start_foreign(stage)?;
    if *has_trouble {
        // As an entry of the service, but without version, slots, cold_remaining_ms, seq and born.
        let entry = format!(
            "{{\"service\":\"desk\",\"address\":\"{foreign}\",\"zone\":\"zone-a\",\"state\":\"ready\"}}"
        );
        record.note(format!("another writer puts servers/job-7: {entry}"));
        store.put("servers/job-7", &entry);
    }
    sleep_ms(5_000);
    let (denied, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut clients = Vec::new();
    for client in 0..6 {
        let (denied, served, record) = (denied.clone(), served.clone(), record.clone());
        let address = gateways[client % 3].callers;
        clients.push(std::thread::spawn(move || {
            for number in 0..REQUESTS / 6 {
                let is_payment = number % 2 == 0;
                let call = Call {
                    id: format!("c{client}-{number}"),
                    method: if is_payment { "POST" } else { "GET" },
                    path: if is_payment { "/pay/x" } else { "/look/x" },
                    model: None,
                    tokens: "",
                    deadline_ms: 2_000,
                };
                let answer = send(address, &call, &record);
                if answer.is_served() {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                // Answers 3xx and 4xx without a server's signature, except 408, 421 and 429.
                let is_own = answer.stamp.is_none()
                    && answer.status.is_some_and(|status| (300..500).contains(&status))
                    && !matches!(answer.status, Some(408 | 421 | 429));
                if is_own {
                    denied.fetch_add(1, Ordering::Relaxed);
                }
                sleep_ms(20);
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let (denied, served) = (denied.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    record.note(format!(
        "{served} of {REQUESTS} served; {denied} ended with a 3xx or 4xx that no server has signed, \
         {ALLOWED} are allowed"
    ));
    Ok(denied > ALLOWED)
}

/// Starts an HTTP server that is no server of the platform: it knows none of the paths.
fn start_foreign(stage: &Stage) -> io::Result<std::net::SocketAddr> {
    let address = free_address(30);
    let listener = TcpListener::bind(address)?;
    let record = stage.record.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = Reader::new(stream);
                while let Ok(request) = reader.request() {
                    record.note(format!(
                        "the foreign process gets {} {} {:?}",
                        request.method,
                        request.target,
                        request.header("x-request-id")
                    ));
                    let kind = [("Content-Type", "text/plain".to_owned())];
                    if respond(&mut writer, 404, &kind, "job 7 has no such page").is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}
