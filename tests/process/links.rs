//! Links between instances: silence, loss in one direction, garbled frames and slow callers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cardamomshore::{
    endpoint::EndpointClient,
    http::{ClientLimits, HttpError, client, send},
    standin::engine::EngineSettings,
};
use http::{HeaderMap, Method};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::util::{
    block_on, eventually,
    fleet::{CONFIG, Fleet, KITES_KEY, Plan, READY, engine_settings, free_address},
    http::{chat, expected_text},
    relay::{Fault, Relay},
    streaming::{Ended, Stream},
};

/// Tokens of a stream that is running when a link fails.
const TOKENS: u64 = 120;

/// Starts a fleet whose only engine has its steward behind a relay, seen from instance 0.
async fn start(name: &str, token_ms: u64) -> (Fleet, Relay) {
    let engine = EngineSettings { token_ms, ..engine_settings() };
    let config = CONFIG.replace("rate: 100000, burst: 400000", "rate: 1000000, burst: 4000000");
    assert_ne!(config, CONFIG);
    let plan = Plan { engines: vec![("dc-b", engine)], config, ..Plan::default() };
    let fleet = Fleet::start(name, plan).await;
    fleet.wait_linked().await;
    let relay = Relay::start(fleet.list.instances[1].peer).await;
    let mut list = fleet.list.clone();
    list.instances[1].peer = relay.address;
    fleet.publish_list(&list).await;
    eventually("the link goes through the relay", READY, || async { relay.accepted() > 0 }).await;
    eventually("requests go through the relay", READY, || async {
        let answer = chat(fleet.caller(0), KITES_KEY, "glue", 1, false).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    (fleet, relay)
}

/// Lets a fault begin in the middle of streams and expects them to be answered whole.
async fn survive(name: &str, fail: impl FnOnce(&Relay)) {
    let (fleet, relay) = start(name, 50).await;
    let mut streams = Vec::new();
    for _ in 0..4 {
        let mut stream = Stream::open(fleet.caller(0), KITES_KEY, "glue", TOKENS).await;
        stream.read_events(5).await;
        streams.push(stream);
    }
    let before = relay.accepted();
    fail(&relay);
    for stream in streams {
        let whole = (expected_text(TOKENS), true, Ended::Complete);
        assert_eq!(stream.finish().await, whole);
    }
    assert!(relay.accepted() > before, "a new connection was opened");
}

#[test]
fn link_silent_both_ways() {
    let fault = Fault { forward: true, backward: true, spare_new: true, ..Fault::default() };
    block_on(survive("link-both", |relay| relay.set(fault)));
}

#[test]
fn link_silent_forward() {
    let fault = Fault { forward: true, spare_new: true, ..Fault::default() };
    block_on(survive("link-forward", |relay| relay.set(fault)));
}

#[test]
fn link_silent_backward() {
    let fault = Fault { backward: true, spare_new: true, ..Fault::default() };
    block_on(survive("link-backward", |relay| relay.set(fault)));
}

#[test]
fn link_cut() {
    block_on(survive("link-cut", Relay::cut));
}

#[test]
fn link_delayed() {
    block_on(async {
        let (fleet, relay) = start("link-delayed", 5).await;
        relay.set(Fault { delay_ms: 40, ..Fault::default() });
        let stream = Stream::open(fleet.caller(0), KITES_KEY, "glue", 40).await;
        assert_eq!(stream.finish().await, (expected_text(40), true, Ended::Complete));
    });
}

/// Tokens of an answer that fills the buffers of every socket on its way.
const LARGE: u64 = 32_000;

#[test]
fn link_slow_caller_stops_no_other() {
    block_on(async {
        let (fleet, _relay) = start("link-slow", 0).await;
        let mut slow = Vec::new();
        for _ in 0..3 {
            let mut stream = Stream::open(fleet.caller(0), KITES_KEY, "glue", LARGE).await;
            stream.read_events(1).await;
            slow.push(stream);
        }
        let started = Instant::now();
        for _ in 0..10 {
            let stream = Stream::open(fleet.caller(0), KITES_KEY, "glue", 30).await;
            assert_eq!(stream.finish().await, (expected_text(30), true, Ended::Complete));
        }
        assert!(started.elapsed() < READY, "others wait for the slow callers");
        for stream in slow {
            let whole = (expected_text(LARGE), true, Ended::Complete);
            let (text, done, ended) = stream.finish().await;
            assert_eq!((text.len(), done, ended), (whole.0.len(), whole.1, whole.2));
            assert!(text == whole.0, "a slow caller got another answer");
        }
    });
}

/// Sends bytes on a new connection and waits until the peer closes it.
async fn is_closed_after(address: SocketAddr, bytes: &[u8]) -> bool {
    let mut stream = TcpStream::connect(address).await.expect("the peer listens");
    stream.write_all(bytes).await.expect("the peer reads");
    let mut rest = Vec::new();
    let read = tokio::time::timeout(READY, stream.read_to_end(&mut rest)).await;
    read.is_ok()
}

#[test]
fn link_garbled_frame_closes_that_connection_only() {
    block_on(async {
        let (fleet, _relay) = start("link-garbled", 20).await;
        let mut stream = Stream::open(fleet.caller(0), KITES_KEY, "glue", 60).await;
        stream.read_events(3).await;
        let peer = fleet.list.instances[1].peer;
        assert!(is_closed_after(peer, &[0xff; 64]).await, "a frame over the limit");
        let garbled = [0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];
        assert!(is_closed_after(peer, &garbled).await, "a frame that is no message");
        assert!(is_closed_after(peer, &[]).await, "a connection that stays silent");
        assert_eq!(stream.finish().await, (expected_text(60), true, Ended::Complete));
    });
}

async fn send_to(address: SocketAddr) -> HttpError {
    let limits = ClientLimits {
        connect_timeout: Duration::from_secs(2),
        io_timeout: Duration::from_millis(300),
        max_idle: 0,
    };
    let url = format!("http://{address}/refused-Connect-timeout");
    let sent = send(&client(limits), Method::POST, &url, HeaderMap::new(), "x".into()).await;
    sent.expect_err("no answer")
}

#[test]
fn send_refused_is_connect() {
    let err = block_on(async { send_to(free_address()).await });
    assert!(matches!(err, HttpError::Connect(_)), "{err:?}");
}

#[test]
fn send_closed_after_request_is_exchange() {
    let err = block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 1_024];
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
        });
        let err = send_to(address).await;
        server.await.unwrap();
        err
    });
    assert!(matches!(err, HttpError::Exchange(_)), "{err:?}");
}

#[test]
fn send_reset_after_request_is_exchange() {
    let err = block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            // Closing with bytes unread resets the connection.
            assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 1);
        });
        let err = send_to(address).await;
        server.await.unwrap();
        err
    });
    assert!(matches!(err, HttpError::Exchange(_)), "{err:?}");
}

#[test]
fn report_silent_is_timeout() {
    let report = block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = tokio::spawn(async move {
            let (_stream, _) = listener.accept().await.unwrap();
            std::future::pending::<()>().await;
        });
        let report = tokio::time::timeout(READY, EndpointClient::new(address).fetch_report()).await;
        server.abort();
        report.expect("the call has a bound")
    });
    assert!(matches!(report, Err(HttpError::Timeout)), "{report:?}");
}
