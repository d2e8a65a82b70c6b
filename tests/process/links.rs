//! Links between instances: silence in one or both directions, delay, malformed frames and slow
//! callers. Also the errors of the HTTP client, which tell whether a request can have arrived.

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
    block_on,
    fleet::{CONFIG, Fleet, FleetSpec, KITES_KEY, READY_TIMEOUT, engine_settings, free_address},
    http::{chat, expected_text},
    relay::{Fault, Relay},
    streaming::{Stream, StreamEnd},
    wait_until,
};

/// Output tokens of a stream that is running when a link fails.
const STREAM_TOKENS: u64 = 120;

/// Starts a fleet in which instance 0 reaches instance 1, the steward of the only engine, through a
/// relay.
async fn start_behind_relay(name: &str, token_ms: u64) -> (Fleet, Relay) {
    let engine = EngineSettings { token_ms, ..engine_settings() };
    let config = CONFIG.replace("rate: 100000, burst: 400000", "rate: 1000000, burst: 4000000");
    assert_ne!(config, CONFIG);
    let spec = FleetSpec { engines: vec![("dc-b", engine)], config, ..FleetSpec::default() };
    let fleet = Fleet::start(name, spec).await;
    fleet.wait_linked().await;
    let relay = Relay::start(fleet.list.instances[1].peer).await;
    let mut list = fleet.list.clone();
    list.instances[1].peer = relay.address;
    fleet.publish_list(&list).await;
    wait_until("the link goes through the relay", READY_TIMEOUT, || async { relay.accepted() > 0 })
        .await;
    wait_until("requests go through the relay", READY_TIMEOUT, || async {
        let response = chat(fleet.caller_address(0), KITES_KEY, "glue", 1, false).await;
        response.is_ok_and(|response| response.status == 200)
    })
    .await;
    (fleet, relay)
}

/// Starts a fault while streams run and checks that each stream ends complete.
async fn assert_streams_survive(name: &str, start_fault: impl FnOnce(&Relay)) {
    let (fleet, relay) = start_behind_relay(name, 50).await;
    let mut streams = Vec::new();
    for _ in 0..4 {
        let mut stream =
            Stream::open(fleet.caller_address(0), KITES_KEY, "glue", STREAM_TOKENS).await;
        stream.read_events(5).await;
        streams.push(stream);
    }
    let before = relay.accepted();
    start_fault(&relay);
    for stream in streams {
        let expected = (expected_text(STREAM_TOKENS), true, StreamEnd::Complete);
        assert_eq!(stream.finish().await, expected);
    }
    assert!(relay.accepted() > before, "expected a new connection through the relay");
}

/// A link whose packets are lost in both directions shows no error. The instance must notice the
/// silence and continue the streams on a new connection.
#[test]
fn link_silent_both_ways() {
    let fault =
        Fault { hold_forward: true, hold_backward: true, spare_new: true, ..Fault::default() };
    block_on(assert_streams_survive("link-both", |relay| relay.set(fault)));
}

/// Requests and heartbeats are lost but replies arrive, so the link looks alive to one side only.
#[test]
fn link_silent_forward() {
    let fault = Fault { hold_forward: true, spare_new: true, ..Fault::default() };
    block_on(assert_streams_survive("link-forward", |relay| relay.set(fault)));
}

/// Replies and heartbeats are lost but requests arrive, so the link looks alive to one side only.
#[test]
fn link_silent_backward() {
    let fault = Fault { hold_backward: true, spare_new: true, ..Fault::default() };
    block_on(assert_streams_survive("link-backward", |relay| relay.set(fault)));
}

/// A link that is closed in the middle of streams must be opened anew and the streams be
/// continued.
#[test]
fn link_cut() {
    block_on(assert_streams_survive("link-cut", Relay::cut));
}

/// A slow link must not be taken for a broken one.
#[test]
fn link_delayed() {
    block_on(async {
        let (fleet, relay) = start_behind_relay("link-delayed", 5).await;
        relay.set(Fault { delay_ms: 40, ..Fault::default() });
        let stream = Stream::open(fleet.caller_address(0), KITES_KEY, "glue", 40).await;
        assert_eq!(stream.finish().await, (expected_text(40), true, StreamEnd::Complete));
    });
}

/// Output tokens of a response that fills the buffers of all sockets on its path.
const LARGE_TOKENS: u64 = 32_000;

/// A caller that does not read fills the buffers on its path. Other requests on the same link must
/// not wait for it.
#[test]
fn link_slow_caller_stops_no_other() {
    block_on(async {
        let (fleet, _relay) = start_behind_relay("link-slow", 0).await;
        let mut slow = Vec::new();
        for _ in 0..3 {
            let mut stream =
                Stream::open(fleet.caller_address(0), KITES_KEY, "glue", LARGE_TOKENS).await;
            stream.read_events(1).await;
            slow.push(stream);
        }
        let start = Instant::now();
        for _ in 0..10 {
            let stream = Stream::open(fleet.caller_address(0), KITES_KEY, "glue", 30).await;
            assert_eq!(stream.finish().await, (expected_text(30), true, StreamEnd::Complete));
        }
        assert!(
            start.elapsed() < READY_TIMEOUT,
            "expected others not to wait for the slow callers"
        );
        for stream in slow {
            let expected = (expected_text(LARGE_TOKENS), true, StreamEnd::Complete);
            let (text, done, ended) = stream.finish().await;
            assert_eq!((text.len(), done, ended), (expected.0.len(), expected.1, expected.2));
            assert!(text == expected.0, "expected the slow caller to get its whole text");
        }
    });
}

/// Sends bytes on a new connection and returns whether the peer closes it.
async fn is_closed_after(address: SocketAddr, bytes: &[u8]) -> bool {
    let mut stream =
        TcpStream::connect(address).await.expect("expected the peer to accept the connection");
    stream.write_all(bytes).await.expect("expected the peer to read");
    let mut received = Vec::new();
    let read = tokio::time::timeout(READY_TIMEOUT, stream.read_to_end(&mut received)).await;
    read.is_ok()
}

/// A malformed frame on one connection must not disturb a stream on another one.
#[test]
fn link_garbled_frame_closes_that_connection_only() {
    block_on(async {
        let (fleet, _relay) = start_behind_relay("link-garbled", 20).await;
        let mut stream = Stream::open(fleet.caller_address(0), KITES_KEY, "glue", 60).await;
        stream.read_events(3).await;
        let peer = fleet.list.instances[1].peer;
        assert!(
            is_closed_after(peer, &[0xff; 64]).await,
            "expected a frame over the limit to close the connection"
        );
        let garbled = [0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];
        assert!(
            is_closed_after(peer, &garbled).await,
            "expected a malformed frame to close the connection"
        );
        assert!(is_closed_after(peer, &[]).await, "expected a silent connection to be closed");
        assert_eq!(stream.finish().await, (expected_text(60), true, StreamEnd::Complete));
    });
}

/// Sends a request with short timeouts and returns the error.
async fn send_expecting_error(address: SocketAddr) -> HttpError {
    let limits = ClientLimits {
        connect_timeout: Duration::from_secs(2),
        io_timeout: Duration::from_millis(300),
        max_idle: 0,
    };
    let url = format!("http://{address}/refused-Connect-timeout");
    let result = send(&client(limits), Method::POST, &url, HeaderMap::new(), "x".into()).await;
    result.expect_err("expected an error")
}

/// A refused connection proves that the request did not run, so its error must differ from that of
/// a broken exchange.
#[test]
fn send_refused_is_connect() {
    let error = block_on(async { send_expecting_error(free_address()).await });
    assert!(matches!(error, HttpError::Connect(_)), "expected a connect error: {error:?}");
}

/// A connection that closes after the request was read says nothing about whether the request ran.
#[test]
fn send_closed_after_request_is_exchange() {
    let error = block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 1_024];
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
        });
        let error = send_expecting_error(address).await;
        server.await.unwrap();
        error
    });
    assert!(matches!(error, HttpError::Exchange(_)), "expected an exchange error: {error:?}");
}

/// A connection that is reset after a part of the request was read must not count as one that was
/// never opened.
#[test]
fn send_reset_after_request_is_exchange() {
    let error = block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            // Closing with bytes unread resets the connection.
            assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 1);
        });
        let error = send_expecting_error(address).await;
        server.await.unwrap();
        error
    });
    assert!(matches!(error, HttpError::Exchange(_)), "expected an exchange error: {error:?}");
}

/// An endpoint that accepts a connection and stays silent must not block the fetch of its report
/// for ever.
#[test]
fn report_silent_is_timeout() {
    let report = block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = tokio::spawn(async move {
            let (_stream, _) = listener.accept().await.unwrap();
            std::future::pending::<()>().await;
        });
        let report =
            tokio::time::timeout(READY_TIMEOUT, EndpointClient::new(address).fetch_report()).await;
        server.abort();
        report.expect("expected the call to end by its own timeout")
    });
    assert!(matches!(report, Err(HttpError::Timeout)), "expected a timeout: {report:?}");
}
