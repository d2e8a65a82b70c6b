//! A graceful shutdown cuts no request, also not those that outlast the HTTP library's own limit.

use std::time::Duration;

use rustix::process::Signal;

use crate::util::{
    block_on, eventually,
    fleet::{Fleet, KITES_KEY, Plan, READY, engine_settings},
    http::{call, chat, expected_text},
    streaming::{Ended, Stream},
};
use cardamomshore::standin::engine::EngineSettings;
use http::Method;

/// Time between two tokens, in milliseconds.
const TOKEN_MS: u64 = 100;

/// Tokens of an answer that takes 36 s; the library gives up after 30 s.
const LONG: u64 = 360;

#[test]
fn sigterm_long_streams_finish() {
    block_on(async {
        let engine = EngineSettings { token_ms: TOKEN_MS, ..engine_settings() };
        let plan = Plan {
            instances: vec!["dc-a", "dc-b"],
            engines: vec![("dc-a", engine.clone()), ("dc-b", engine)],
            ..Plan::default()
        };
        let mut fleet = Fleet::start("sigterm", plan).await;
        fleet.wait_linked().await;
        let mut own = Vec::new();
        let mut other = Vec::new();
        for _ in 0..3 {
            own.push(Stream::open(fleet.caller(0), KITES_KEY, "glue", LONG).await);
            other.push(Stream::open(fleet.caller(1), KITES_KEY, "spar", LONG).await);
        }
        for stream in own.iter_mut().chain(&mut other) {
            stream.read_events(3).await;
        }
        fleet.instances[0].signal(Signal::TERM);
        eventually("new work is refused", READY, || async {
            let answer = chat(fleet.caller(0), KITES_KEY, "glue", 2, false).await;
            answer.is_ok_and(|answer| answer.code() == 1302 && answer.is_not_run())
        })
        .await;
        eventually("callers are told to use others", READY, || async {
            let answer = call(Method::GET, fleet.caller(1), "/v1/instances", &[], "").await;
            answer.is_ok_and(|answer| {
                let listed = answer.json()["instances"].to_string();
                listed.contains("i-1") && !listed.contains("i-0")
            })
        })
        .await;
        let draining = chat(fleet.caller(0), KITES_KEY, "glue", 2, false).await.unwrap();
        let close = draining.headers.get("connection");
        assert!(close.is_some_and(|value| value == "close"), "{:?}", draining.headers);
        assert_eq!(fleet.status(fleet.operators[0]).await["draining"], true, "operators can look");
        let served = chat(fleet.caller(1), KITES_KEY, "glue", 2, false).await.unwrap();
        assert_eq!(served.status, 200, "{}", served.text());
        for stream in own.into_iter().chain(other) {
            let whole = (expected_text(LONG), true, Ended::Complete);
            assert_eq!(stream.finish().await, whole);
        }
        let limit = Duration::from_secs(60);
        let gone = std::time::Instant::now();
        while fleet.instances[0].exit_code().is_none() {
            assert!(gone.elapsed() < limit, "never exits");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(fleet.instances[0].exit_code(), Some(0));
        eventually("the other instance stewards everything", READY, || async {
            let status = fleet.status(fleet.operators[1]).await;
            status["stewards"] == 3
        })
        .await;
        let after = chat(fleet.caller(1), KITES_KEY, "glue", 2, false).await.unwrap();
        assert_eq!(after.status, 200, "{}", after.text());
    });
}
