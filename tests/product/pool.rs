//! The pool of connections to servers that send bytes which are no response.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cardamomshore::{
    gateway::settings::ENDPOINT_ACK_TIMEOUT,
    http::pool::{ConnectOptions, Pool, SendError},
    soak::process::free_address,
    standin::http1::{PacketFilter, Server, whole_response},
};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Wide limit of a test's time.
const WIDE_LIMIT: Duration = Duration::from_secs(20);

/// Bytes of a body that a test reads.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Serves a connection: sends `start`, then `endless` until the caller closes.
async fn serve(mut stream: TcpStream, start: &[u8], endless: &[u8]) -> std::io::Result<()> {
    let mut request = [0; 1_024];
    let mut result = stream.read(&mut request).await.map(drop);
    if result.is_ok() {
        result = stream.write_all(start).await;
    }
    while result.is_ok() {
        result = stream.write_all(endless).await;
    }
    result
}

/// Starts a server that sends bytes without end on each connection.
async fn start_server(start: &'static [u8], endless: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, start, endless));
        }
    });
    address
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::new(Bytes::new()))
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async { timeout(WIDE_LIMIT, test).await.expect("the test ends in time") });
}

#[test]
fn send_endless_head_fails() {
    block_on(async {
        let address = start_server(b"HTTP/1.1 200 OK\r\n", b"x-more: 0123456789abcdef\r\n").await;
        let pool = Arc::new(Pool::default());
        let mut connection = pool.acquire(address, WIDE_LIMIT).await.expect("the server listens");
        let sent = connection.send(request()).await;
        assert!(matches!(sent, Err(SendError::Unknown(_))), "the request may have arrived");
    });
}

#[test]
fn send_bytes_that_are_no_head_fail() {
    block_on(async {
        let address = start_server(b"", b"\xff\xfe\x00garbage").await;
        let pool = Arc::new(Pool::default());
        let mut connection = pool.acquire(address, WIDE_LIMIT).await.expect("the server listens");
        assert!(connection.send(request()).await.is_err());
    });
}

#[test]
fn send_endless_body_ends_at_limit() {
    block_on(async {
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let address = start_server(head, b"10\r\n0123456789abcdef\r\n").await;
        let pool = Arc::new(Pool::default());
        let mut connection = pool.acquire(address, WIDE_LIMIT).await.expect("the server listens");
        let response = connection.send(request()).await.expect("the head is complete");
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
        assert!(body.is_err(), "the body has no end");
    });
}

#[test]
fn connection_given_up_is_reset() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection arrives");
            let mut request = [0; 1_024];
            let length = stream.read(&mut request).await.expect("the request arrives");
            assert!(length > 0, "expected a request");
            stream.read(&mut request).await.map_err(|err| err.kind())
        });
        let pool = Arc::new(Pool::default());
        let mut connection = pool.acquire(address, WIDE_LIMIT).await.expect("the server listens");
        let sent = timeout(Duration::from_millis(200), connection.send(request())).await;
        sent.expect_err("the server does not respond");
        drop(connection);
        let ended = server.await.expect("the task does not panic");
        assert_eq!(ended, Err(ErrorKind::ConnectionReset), "what is on the way is dropped");
    });
}

#[test]
fn send_endpoint_silent_for_a_while_answers() {
    block_on(async {
        let address = free_address();
        let server = Server::start(address, |_| async {
            sleep(Duration::from_millis(2_600)).await;
            Ok(whole_response(StatusCode::OK, "answer"))
        });
        let server = server.expect("the address is free");
        let options = ConnectOptions { source: None, ack_timeout: ENDPOINT_ACK_TIMEOUT };
        let pool = Arc::new(Pool::new(options));
        let mut connection = pool.acquire(address, WIDE_LIMIT).await.expect("the server listens");
        let silence = async {
            // The first probe of the connection, a second after the request, gets no response.
            sleep(Duration::from_millis(900)).await;
            server.set_filter(PacketFilter::Closed);
            sleep(Duration::from_millis(1_300)).await;
            server.set_filter(PacketFilter::Open);
        };
        let (response, ()) = tokio::join!(connection.send(request()), silence);
        assert_eq!(response.expect("expected the answer").status(), StatusCode::OK);
    });
}

#[test]
fn send_head_cut_short_fails() {
    for head in ["HTTP/1.1 200 OK\r\nx-server-stamp: a.b", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 2"] {
        block_on(async {
            let (address, _) = serve_once(head.as_bytes()).await;
            let pool = Arc::new(Pool::default());
            let mut connection = pool.acquire(address, WIDE_LIMIT).await.expect("it listens");
            let sent = connection.send(request()).await;
            assert!(matches!(sent, Err(SendError::Unknown(_))), "{head:?} is no whole head");
        });
    }
}

#[test]
fn send_body_cut_short_fails() {
    block_on(async {
        let (address, _) = serve_once(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nans").await;
        let pool = Arc::new(Pool::default());
        let mut connection = pool.acquire(address, WIDE_LIMIT).await.expect("the server listens");
        let response = connection.send(request()).await.expect("the head is complete");
        assert!(response.into_body().collect().await.is_err(), "the body is not complete");
    });
}

/// Starts a server that sends `answer` once and closes the connection in order.
async fn serve_once(answer: &[u8]) -> (SocketAddr, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let answer = answer.to_vec();
    let task = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection arrives");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(&answer).await;
        let _ = stream.shutdown().await;
    });
    (address, task)
}
