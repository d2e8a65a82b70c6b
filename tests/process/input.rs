//! Invalid input from callers, peers and operators: it is refused with a reason and disturbs no
//! other request.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::util::{
    block_on,
    fleet::{Fleet, FleetSpec, KITES_KEY},
    http::{call, chat},
    wait_until,
};

/// Longest wait for an instance to close a connection or to end its requests.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(40);

/// Sends bytes and returns everything that the instance sends until it closes the connection.
async fn send_bytes(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream =
        TcpStream::connect(address).await.expect("expected the instance to accept the connection");
    stream.write_all(bytes).await.expect("expected the instance to read");
    let mut response = Vec::new();
    let read = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut response)).await;
    // The instance may close the connection or reset it.
    let _ = read.expect("expected the instance to close the connection");
    String::from_utf8_lossy(&response).into_owned()
}

/// Checks that every instance serves a chat request.
async fn assert_serves(fleet: &Fleet) {
    for index in 0..fleet.list.instances.len() {
        let response =
            chat(fleet.caller_address(index), KITES_KEY, "glue", 3, false).await.unwrap();
        assert_eq!(response.status, 200, "response: {}", response.text());
    }
}

/// Malformed requests, oversized ones and unknown paths must be refused with the right code and
/// marked as not run; the instance must go on serving.
#[test]
fn input_malformed_request_refused() {
    block_on(async {
        let fleet = Fleet::start("input-malformed", FleetSpec::default()).await;
        let address = fleet.caller_address(0);
        let post = async |path: &str, body: String| {
            let headers = [("x-api-key", KITES_KEY)];
            let response = call(Method::POST, address, path, &headers, body).await.unwrap();
            assert!(
                response.is_not_run(),
                "expected a response that says `not-run`: {}",
                response.text()
            );
            (response.status, response.code())
        };
        let path = "/v1/chat/completions";
        assert_eq!(post(path, "{".to_owned()).await, (400, 1101));
        assert_eq!(post(path, json!({ "model": 7 }).to_string()).await, (400, 1101));
        assert_eq!(post(path, json!({ "model": "no" }).to_string()).await, (404, 1103));
        assert_eq!(post(path, "x".repeat((1 << 20) + 1)).await, (413, 1102));
        assert_eq!(post("/v1/models", String::new()).await, (405, 1110));
        assert_eq!(post("/v2/nothing", String::new()).await, (404, 1105));
        assert_eq!(post(&format!("/v1/{}", "x".repeat(5_000)), String::new()).await, (431, 1111));
        let long = "y".repeat(20_000);
        let headers = [("x-api-key", KITES_KEY), ("x-note", long.as_str())];
        let response = call(Method::POST, address, path, &headers, "{}").await.unwrap();
        assert_eq!((response.status, response.code()), (431, 1111));
        let without_key = call(Method::GET, address, "/v1/models", &[], "").await.unwrap();
        assert_eq!((without_key.status, without_key.code()), (401, 1001));
        let garbage = send_bytes(address, b"this is no HTTP\r\n\r\n").await;
        assert!(
            garbage.is_empty() || garbage.starts_with("HTTP/1.1 400"),
            "expected status 400 or no response, got: {garbage}"
        );
        assert_serves(&fleet).await;
    });
}

/// Callers that send slowly, send nothing or disconnect before the end of their request could
/// occupy connections and running requests for ever.
#[test]
fn input_slow_caller_bounded() {
    block_on(async {
        let fleet = Fleet::start("input-slow", FleetSpec::default()).await;
        let address = fleet.caller_address(0);
        let partial_request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-api-key: {KITES_KEY}\r\n\
             connection: close\r\ncontent-length: 100\r\n\r\n{{\"mod"
        );
        let slow = send_bytes(address, partial_request.as_bytes());
        let silent = send_bytes(address, b"");
        let partial_head = send_bytes(address, b"GET /v1/mod");
        let abandoned = async {
            for _ in 0..50 {
                let mut stream = TcpStream::connect(address).await.unwrap();
                stream.write_all(partial_request.as_bytes()).await.unwrap();
            }
            assert_serves(&fleet).await;
        };
        let (slow, silent, partial_head, ()) = tokio::join!(slow, silent, partial_head, abandoned);
        assert!(
            slow.contains("408") && slow.contains("\"code\":1109"),
            "expected status 408 with code 1109, got: {slow}"
        );
        assert_eq!((silent.as_str(), partial_head.as_str()), ("", ""));
        assert_serves(&fleet).await;
        wait_until("no request is left running", CLOSE_TIMEOUT, || async {
            fleet.fetch_status(fleet.operators[0]).await["running"] == 0
        })
        .await;
    });
}

/// A caller that closes its sending side after the request could leave the request running, or get
/// a response that ends as if it were whole but is not.
#[test]
fn input_half_closed_caller_ends() {
    block_on(async {
        let fleet = Fleet::start("input-half", FleetSpec::default()).await;
        let body = json!({ "model": "glue", "max_tokens": 10, "stream": true, "messages": [] });
        let body = body.to_string();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-api-key: {KITES_KEY}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        for _ in 0..10 {
            let mut stream = TcpStream::connect(fleet.caller_address(0)).await.unwrap();
            stream.write_all(request.as_bytes()).await.unwrap();
            stream.shutdown().await.unwrap();
            let mut response = String::new();
            let read = timeout(CLOSE_TIMEOUT, stream.read_to_string(&mut response)).await;
            // The instance may close the connection or reset it.
            let _ = read.expect("expected the instance to close the connection");
            let ended = response.ends_with("0\r\n\r\n");
            assert_eq!(
                ended,
                response.contains("data: [DONE]"),
                "expected a whole response or none of its end: {response}"
            );
        }
        assert_serves(&fleet).await;
        wait_until("no request is left running", CLOSE_TIMEOUT, || async {
            fleet.fetch_status(fleet.operators[0]).await["running"] == 0
        })
        .await;
    });
}

/// A frame that is too long, malformed or incomplete must close its own connection only; the
/// instances must stay connected to each other.
#[test]
fn input_garbled_peer_frame_dropped() {
    block_on(async {
        let fleet = Fleet::start("input-frames", FleetSpec::default()).await;
        let peer = fleet.list.instances[0].peer;
        assert_eq!(
            send_bytes(peer, &[0xff; 64]).await,
            "",
            "expected no bytes after a frame of 4 GB"
        );
        let mut garbled = 32_u32.to_be_bytes().to_vec();
        garbled.extend([0xa5; 32]);
        assert_eq!(
            send_bytes(peer, &garbled).await,
            "",
            "expected no bytes after a frame that is no message"
        );
        assert_eq!(
            send_bytes(peer, &8_u32.to_be_bytes()).await,
            "",
            "expected no bytes after a frame without its body"
        );
        assert_serves(&fleet).await;
        for operator in &fleet.operators {
            assert_eq!(fleet.fetch_status(*operator).await["freshness"], "fresh");
        }
    });
}

/// A malformed, oversized or invalid configuration must be refused with the place of the error and
/// must leave the version in force.
#[test]
fn input_bad_configuration_refused() {
    block_on(async {
        let fleet = Fleet::start("input-config", FleetSpec::default()).await;
        let operator = fleet.operators[0];
        let put = async |body: String| {
            let response = call(Method::PUT, operator, "/config", &[], body).await.unwrap();
            (response.status, response.text())
        };
        assert_eq!(put("[".to_owned()).await.0, 400);
        assert_eq!(put("x".repeat(800 << 10)).await.0, 413);
        let (status, text) = put(json!({ "seen": 1, "text": "classes: [" }).to_string()).await;
        assert_eq!(status, 400, "response: {text}");
        assert!(
            text.contains("1602") && text.contains("line 1"),
            "expected code 1602 and the line, got: {text}"
        );
        let overflow = json!({ "seen": u64::MAX, "text": "{}" }).to_string();
        assert_eq!(put(overflow).await.0, 400);
        assert_eq!(fleet.fetch_status(operator).await["version"], 1);
        assert_serves(&fleet).await;
    });
}
