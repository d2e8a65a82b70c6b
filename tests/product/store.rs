//! The store's client against a store that falls silent.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cardamomshore::platform::store::{Store, WatchResult};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

fn block_on(test: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().expect("a runtime").block_on(test);
}

const LIMIT: Duration = Duration::from_millis(200);

/// A store that answers reads unless it is silent, and never answers watches.
async fn serve(mut stream: TcpStream, silent: Arc<AtomicBool>) -> std::io::Result<()> {
    let mut buffer = [0; 4_096];
    loop {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let head = String::from_utf8_lossy(&buffer[..length]);
        if silent.load(Ordering::Relaxed) || head.contains("kv-watch") {
            continue;
        }
        let body = r#"{"items":[],"truncated":false,"as_of":7}"#;
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes()).await?;
    }
}

async fn start(silent: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, silent.clone()));
        }
    });
    address
}

#[test]
fn watch_ends_when_silent_store_answers_again() {
    block_on(async {
        let silent = Arc::new(AtomicBool::new(false));
        let store = Arc::new(Store::new(start(silent.clone()).await, LIMIT));
        let watching = store.clone();
        let watch =
            tokio::spawn(
                async move { watching.watch("servers/", 1, Duration::from_secs(25)).await },
            );
        store.range("servers/").await.expect("the store answers");
        assert!(!watch.is_finished(), "nothing has happened yet");

        silent.store(true, Ordering::Relaxed);
        store.range("servers/").await.expect_err("the store is silent");
        silent.store(false, Ordering::Relaxed);
        store.range("servers/").await.expect("the store answers again");
        let ended = timeout(Duration::from_secs(1), watch).await;
        let watched =
            ended.expect("the watch may have been forgotten").expect("it runs to its end");
        assert_eq!(watched.expect("not a failure"), WatchResult::Missed);
    });
}

#[test]
fn watch_ends_after_call_that_its_caller_gave_up() {
    block_on(async {
        let silent = Arc::new(AtomicBool::new(false));
        let store = Arc::new(Store::new(start(silent.clone()).await, Duration::from_secs(5)));
        let watching = store.clone();
        let watch =
            tokio::spawn(
                async move { watching.watch("servers/", 1, Duration::from_secs(25)).await },
            );
        store.range("servers/").await.expect("the store answers");

        silent.store(true, Ordering::Relaxed);
        timeout(LIMIT, store.range("servers/")).await.expect_err("the store is silent");
        silent.store(false, Ordering::Relaxed);
        store.range("servers/").await.expect("the store answers again");
        timeout(Duration::from_secs(1), watch)
            .await
            .expect("the watch ends")
            .expect("no panic")
            .ok();
    });
}
