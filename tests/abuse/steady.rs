//! Callers inside the limits, who must be served while load is low.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use super::{
    load::read_all,
    target::{IDLE_TIMEOUT, MAX_BODY, Target, head, status},
};
use crate::util::block_on;

const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Guards against a bound that cuts a slow but steady body.
#[test]
fn steady_slow_body_is_served() {
    block_on(async {
        let target = Target::start("steady-body").await;
        let mut stream = TcpStream::connect(target.callers).await.expect("expected a connection");
        let begin = head("/look/1", "content-length: 20\r\nconnection: close\r\n\r\n");
        stream.write_all(begin.as_bytes()).await.expect("expected to send the head");
        for _ in 0..20 {
            sleep(Duration::from_millis(300)).await;
            stream.write_all(b"x").await.expect("expected to send the body");
        }
        let response = read_all(&mut stream, READ_TIMEOUT).await;
        assert_eq!(status(&response), Some(200));
        assert!(response.ends_with(b"20 bytes"), "expected the response of the endpoint");
    });
}

/// Guards against a bound that cuts a caller who does not read for 2 s.
#[test]
fn steady_reader_that_pauses_gets_all() {
    block_on(async {
        let target = Target::start("steady-reader").await;
        let socket = tokio::net::TcpSocket::new_v4().expect("expected a socket");
        socket.set_recv_buffer_size(4 << 10).expect("expected a small buffer");
        let mut stream = socket.connect(target.callers).await.expect("expected a connection");
        let request = head("/look/big", "content-length: 0\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("expected to send the request");
        sleep(Duration::from_secs(2)).await;
        let response = read_all(&mut stream, READ_TIMEOUT).await;
        assert_eq!(status(&response), Some(200));
        assert!(response.len() > MAX_BODY, "{} bytes of the response", response.len());
    });
}

/// Guards against a bound that closes idle connections too early: callers reuse one that has been
/// idle for four fifths of the limit.
#[test]
fn steady_idle_connection_is_reused() {
    block_on(async {
        let target = Target::start("steady-idle").await;
        let mut stream = TcpStream::connect(target.callers).await.expect("expected a connection");
        for _ in 0..3 {
            let request = head("/look/1", "content-length: 4\r\n\r\nbody");
            stream.write_all(request.as_bytes()).await.expect("expected to send the request");
            let mut response = [0; 1_024];
            let read = timeout(READ_TIMEOUT, stream.read(&mut response)).await;
            let length = read.ok().and_then(Result::ok).unwrap_or(0);
            assert_eq!(status(&response[..length]), Some(200));
            sleep(IDLE_TIMEOUT.mul_f64(0.8)).await;
        }
    });
}

/// Guards against a bound that refuses a single request of the largest legal size.
#[test]
fn steady_largest_request_is_served() {
    block_on(async {
        let target = Target::start("steady-largest").await;
        let mut stream = TcpStream::connect(target.callers).await.expect("expected a connection");
        let padding = "x".repeat(15_000);
        let fields = format!("x-padding: {padding}\r\ncontent-length: {MAX_BODY}\r\n");
        let mut request =
            head("/look/1", &format!("{fields}connection: close\r\n\r\n")).into_bytes();
        request.resize(request.len() + MAX_BODY, b'x');
        stream.write_all(&request).await.expect("expected to send the request");
        let response = read_all(&mut stream, READ_TIMEOUT).await;
        assert_eq!(status(&response), Some(200));
        assert!(response.ends_with(format!("{MAX_BODY} bytes").as_bytes()));
    });
}
