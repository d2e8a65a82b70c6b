//! Bad input: clear refusals, and nothing else is disturbed.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::util::{
    block_on, eventually,
    fleet::{Fleet, KITES_KEY, Plan},
    http::{call, chat},
};

/// Longest time for an instance to answer or to close a connection.
const LIMIT: Duration = Duration::from_secs(40);

/// Sends bytes and returns all that comes back until the instance closes the connection.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the instance accepts");
    stream.write_all(bytes).await.expect("the instance reads");
    let mut answer = Vec::new();
    let read = timeout(LIMIT, stream.read_to_end(&mut answer)).await;
    // A reset is as good an end as an orderly one.
    let _ = read.expect("the instance closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

async fn assert_serves(fleet: &Fleet) {
    for index in 0..fleet.list.instances.len() {
        let answer = chat(fleet.caller(index), KITES_KEY, "glue", 3, false).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

#[test]
fn input_malformed_request_refused() {
    block_on(async {
        let fleet = Fleet::start("input-malformed", Plan::default()).await;
        let address = fleet.caller(0);
        let post = async |path: &str, body: String| {
            let headers = [("x-api-key", KITES_KEY)];
            let answer = call(Method::POST, address, path, &headers, body).await.unwrap();
            assert!(answer.is_not_run(), "{}", answer.text());
            (answer.status, answer.code())
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
        let answer = call(Method::POST, address, path, &headers, "{}").await.unwrap();
        assert_eq!((answer.status, answer.code()), (431, 1111));
        let keyless = call(Method::GET, address, "/v1/models", &[], "").await.unwrap();
        assert_eq!((keyless.status, keyless.code()), (401, 1001));
        let garbage = exchange(address, b"this is no HTTP\r\n\r\n").await;
        assert!(garbage.is_empty() || garbage.starts_with("HTTP/1.1 400"), "{garbage}");
        assert_serves(&fleet).await;
    });
}

#[test]
fn input_slow_caller_bounded() {
    block_on(async {
        let fleet = Fleet::start("input-slow", Plan::default()).await;
        let address = fleet.caller(0);
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-api-key: {KITES_KEY}\r\n\
             connection: close\r\ncontent-length: 100\r\n\r\n{{\"mod"
        );
        let slow = exchange(address, head.as_bytes());
        let silent = exchange(address, b"");
        let partial = exchange(address, b"GET /v1/mod");
        let gone = async {
            for _ in 0..50 {
                let mut stream = TcpStream::connect(address).await.unwrap();
                stream.write_all(head.as_bytes()).await.unwrap();
            }
            assert_serves(&fleet).await;
        };
        let (slow, silent, partial, ()) = tokio::join!(slow, silent, partial, gone);
        assert!(slow.contains("408") && slow.contains("\"code\":1109"), "{slow}");
        assert_eq!((silent.as_str(), partial.as_str()), ("", ""));
        assert_serves(&fleet).await;
        eventually("nothing is left running", LIMIT, || async {
            fleet.status(fleet.operators[0]).await["running"] == 0
        })
        .await;
    });
}

#[test]
fn input_half_closed_caller_ends() {
    block_on(async {
        let fleet = Fleet::start("input-half", Plan::default()).await;
        let body = json!({ "model": "glue", "max_tokens": 10, "stream": true, "messages": [] });
        let body = body.to_string();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-api-key: {KITES_KEY}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        for _ in 0..10 {
            let mut stream = TcpStream::connect(fleet.caller(0)).await.unwrap();
            stream.write_all(request.as_bytes()).await.unwrap();
            stream.shutdown().await.unwrap();
            let mut answer = String::new();
            let read = timeout(LIMIT, stream.read_to_string(&mut answer)).await;
            // A reset is as good an end as an orderly one.
            let _ = read.expect("the instance closes the connection");
            let ended = answer.ends_with("0\r\n\r\n");
            assert_eq!(ended, answer.contains("data: [DONE]"), "{answer}");
        }
        assert_serves(&fleet).await;
        eventually("nothing is left running", LIMIT, || async {
            fleet.status(fleet.operators[0]).await["running"] == 0
        })
        .await;
    });
}

#[test]
fn input_garbled_peer_frame_dropped() {
    block_on(async {
        let fleet = Fleet::start("input-frames", Plan::default()).await;
        let peer = fleet.list.instances[0].peer;
        assert_eq!(exchange(peer, &[0xff; 64]).await, "", "a frame of 4 GB");
        let mut garbled = 32_u32.to_be_bytes().to_vec();
        garbled.extend([0xa5; 32]);
        assert_eq!(exchange(peer, &garbled).await, "", "a frame that is no message");
        assert_eq!(exchange(peer, &8_u32.to_be_bytes()).await, "", "a frame that never comes");
        assert_serves(&fleet).await;
        for operator in &fleet.operators {
            assert_eq!(fleet.status(*operator).await["freshness"], "fresh");
        }
    });
}

#[test]
fn input_bad_configuration_refused() {
    block_on(async {
        let fleet = Fleet::start("input-config", Plan::default()).await;
        let operator = fleet.operators[0];
        let put = async |body: String| {
            let answer = call(Method::PUT, operator, "/config", &[], body).await.unwrap();
            (answer.status, answer.text())
        };
        assert_eq!(put("[".to_owned()).await.0, 400);
        assert_eq!(put("x".repeat(800 << 10)).await.0, 413);
        let (status, text) = put(json!({ "seen": 1, "text": "classes: [" }).to_string()).await;
        assert_eq!(status, 400, "{text}");
        assert!(text.contains("1602") && text.contains("line 1"), "{text}");
        let overflow = json!({ "seen": u64::MAX, "text": "{}" }).to_string();
        assert_eq!(put(overflow).await.0, 400);
        assert_eq!(fleet.status(operator).await["version"], 1);
        assert_serves(&fleet).await;
    });
}
