//! Graceful shutdown: it cuts off no request, even one that outlasts the HTTP library's own timeout
//! for a shutdown.

use std::time::Duration;

use rustix::process::Signal;

use crate::util::{
    block_on,
    fleet::{Fleet, FleetSpec, KITES_KEY, READY_TIMEOUT, engine_settings},
    http::{call, chat, expected_text},
    streaming::{Stream, StreamEnd},
    wait_until,
};
use cardamomshore::standin::engine::EngineSettings;
use http::Method;

/// Time between two output tokens, in milliseconds.
const TOKEN_MS: u64 = 100;

/// Output tokens of a response that takes 36 s; the HTTP library waits 30 s for requests to end.
const LONG_TOKENS: u64 = 360;

/// On SIGTERM the HTTP library would cut streams that take longer than its timeout. The instance
/// must finish them, refuse new requests meanwhile, and hand its endpoints over.
#[test]
fn sigterm_long_streams_finish() {
    block_on(async {
        let engine = EngineSettings { token_ms: TOKEN_MS, ..engine_settings() };
        let spec = FleetSpec {
            instances: vec!["dc-a", "dc-b"],
            engines: vec![("dc-a", engine.clone()), ("dc-b", engine)],
            ..FleetSpec::default()
        };
        let mut fleet = Fleet::start("sigterm", spec).await;
        fleet.wait_linked().await;
        let mut leaving_streams = Vec::new();
        let mut staying_streams = Vec::new();
        for _ in 0..3 {
            leaving_streams
                .push(Stream::open(fleet.caller_address(0), KITES_KEY, "glue", LONG_TOKENS).await);
            staying_streams
                .push(Stream::open(fleet.caller_address(1), KITES_KEY, "spar", LONG_TOKENS).await);
        }
        for stream in leaving_streams.iter_mut().chain(&mut staying_streams) {
            stream.read_events(3).await;
        }
        fleet.instances[0].signal(Signal::TERM);
        wait_until("new requests are refused", READY_TIMEOUT, || async {
            let response = chat(fleet.caller_address(0), KITES_KEY, "glue", 2, false).await;
            response.is_ok_and(|response| response.code() == 1302 && response.is_not_run())
        })
        .await;
        wait_until("callers get only the address of the other instance", READY_TIMEOUT, || async {
            let response =
                call(Method::GET, fleet.caller_address(1), "/v1/instances", &[], "").await;
            response.is_ok_and(|response| {
                let listed = response.json()["instances"].to_string();
                listed.contains("i-1") && !listed.contains("i-0")
            })
        })
        .await;
        let draining = chat(fleet.caller_address(0), KITES_KEY, "glue", 2, false).await.unwrap();
        let close = draining.headers.get("connection");
        assert!(
            close.is_some_and(|value| value == "close"),
            "expected `connection: close` in {:?}",
            draining.headers
        );
        assert_eq!(
            fleet.fetch_status(fleet.operators[0]).await["draining"],
            true,
            "expected the status to show the drain"
        );
        let served = chat(fleet.caller_address(1), KITES_KEY, "glue", 2, false).await.unwrap();
        assert_eq!(served.status, 200, "response: {}", served.text());
        for stream in leaving_streams.into_iter().chain(staying_streams) {
            let expected = (expected_text(LONG_TOKENS), true, StreamEnd::Complete);
            assert_eq!(stream.finish().await, expected);
        }
        let timeout = Duration::from_secs(60);
        let start = std::time::Instant::now();
        while fleet.instances[0].exit_code().is_none() {
            assert!(start.elapsed() < timeout, "expected the instance to exit within {timeout:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(fleet.instances[0].exit_code(), Some(0));
        wait_until("the other instance is the steward of all endpoints", READY_TIMEOUT, || async {
            let status = fleet.fetch_status(fleet.operators[1]).await;
            status["stewards"] == 3
        })
        .await;
        let after = chat(fleet.caller_address(1), KITES_KEY, "glue", 2, false).await.unwrap();
        assert_eq!(after.status, 200, "response: {}", after.text());
    });
}
