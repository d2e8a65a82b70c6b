//! The client of the store while the store does not respond.

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
    tokio::runtime::Runtime::new().expect("the runtime starts").block_on(test);
}

/// Timeout of the store's calls, other than watches.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Serves a store that responds to reads unless `silent` is set, and never responds to watches.
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
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(response.as_bytes()).await?;
    }
}

/// Starts a store on a free port and returns its address.
async fn start(silent: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
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
        let store = Arc::new(Store::new(start(silent.clone()).await, TIMEOUT));
        let watcher = store.clone();
        let watch =
            tokio::spawn(
                async move { watcher.watch("servers/", 1, Duration::from_secs(25)).await },
            );
        store.range("servers/").await.expect("the store responds");
        assert!(!watch.is_finished(), "the store has not failed yet");

        silent.store(true, Ordering::Relaxed);
        store.range("servers/").await.expect_err("the store does not respond");
        silent.store(false, Ordering::Relaxed);
        store.range("servers/").await.expect("the store responds again");
        let ended = timeout(Duration::from_secs(1), watch).await;
        let watched = ended
            .expect("the watch ends, since the store may have lost it")
            .expect("the task does not panic");
        assert_eq!(watched.expect("the watch does not fail"), WatchResult::Missed);
    });
}

#[test]
fn watch_ends_after_call_that_its_caller_gave_up() {
    block_on(async {
        let silent = Arc::new(AtomicBool::new(false));
        let store = Arc::new(Store::new(start(silent.clone()).await, Duration::from_secs(5)));
        let watcher = store.clone();
        let watch =
            tokio::spawn(
                async move { watcher.watch("servers/", 1, Duration::from_secs(25)).await },
            );
        store.range("servers/").await.expect("the store responds");

        silent.store(true, Ordering::Relaxed);
        timeout(TIMEOUT, store.range("servers/")).await.expect_err("the store does not respond");
        silent.store(false, Ordering::Relaxed);
        store.range("servers/").await.expect("the store responds again");
        timeout(Duration::from_secs(1), watch)
            .await
            .expect("the watch ends")
            .expect("the task does not panic")
            .ok();
    });
}
