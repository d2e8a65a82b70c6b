//! The client of the store while the store does not respond, and when it returns from an older copy.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cardamomshore::{
    kernel::revision::Revision,
    platform::store::{Put, PutResult, Store, StoreError, WatchResult},
    soak::process::free_address,
    standin::metadata::{MetadataStore, StoreAddress},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

fn block_on(test: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().expect("the runtime starts").block_on(test);
}

/// The first revision of a store that names no era.
const FIRST: Revision = Revision::new(0, 1);

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
                async move { watcher.watch("servers/", FIRST, Duration::from_secs(25)).await },
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
                async move { watcher.watch("servers/", FIRST, Duration::from_secs(25)).await },
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

/// Starts the stand-in for the store, and a client of it.
fn start_standin() -> (Arc<MetadataStore>, StoreAddress, Arc<Store>) {
    let standin = MetadataStore::start();
    let served = StoreAddress::start(standin.clone(), free_address()).expect("the address is free");
    let client = Arc::new(Store::new(served.address, Duration::from_secs(1)));
    (standin, served, client)
}

#[test]
fn return_of_store_raises_revisions() {
    block_on(async {
        let (standin, _served, client) = start_standin();
        let copy = standin.copy();
        (0..9).for_each(|_| standin.put("op/config", "older"));
        let before = client.range("op/").await.expect("the store responds").revision;
        standin.restore(copy);
        standin.put("op/config", "newer");
        let after = client.range("op/").await.expect("the store responds");
        assert!(after.revision.number() < before.number(), "the store gives numbers out again");
        assert!(after.revision > before && after.items[0].revision > before);
        assert!(after.revision.ordinal() > before.ordinal(), "a term of a leader grows as well");
    });
}

#[test]
fn watch_from_revision_given_out_again_ends() {
    block_on(async {
        let (standin, _served, client) = start_standin();
        let copy = standin.copy();
        standin.put("op/config", "older");
        let known = client.range("op/").await.expect("the store responds").revision;
        standin.restore(copy);
        // The change has the known revision's number, so that the store itself misses nothing.
        standin.put("op/config", "newer");
        standin.put("other", "x");
        let watched = client.watch("op/", known, Duration::from_millis(50)).await;
        assert_eq!(watched.expect("the store responds"), WatchResult::Missed);
    });
}

#[test]
fn watch_waiting_at_return_ends() {
    block_on(async {
        let (standin, _served, client) = start_standin();
        let copy = standin.copy();
        let known = client.range("op/").await.expect("the store responds").revision;
        let watcher = client.clone();
        let watch =
            tokio::spawn(async move { watcher.watch("op/", known, Duration::from_secs(25)).await });
        standin.restore(copy);
        client.range("op/").await.expect("the store responds");
        timeout(Duration::from_secs(1), watch)
            .await
            .expect("the watch ends")
            .expect("the task does not panic")
            .ok();
    });
}

#[test]
fn write_on_revision_given_out_again_not_done() {
    block_on(async {
        let (standin, _served, client) = start_standin();
        let copy = standin.copy();
        standin.put("leader", "a");
        let known = client.range("leader").await.expect("the store responds").items[0].revision;
        standin.restore(copy);
        standin.put("leader", "b");
        let put = Put { key: "size", value: b"3", lease: None };
        let written = client.put_if("leader", known, &[put]).await;
        assert!(matches!(written, Err(StoreError::Returned)), "{written:?}");
    });
}

#[test]
fn lease_number_given_out_again_not_renewed() {
    block_on(async {
        let (standin, _served, client) = start_standin();
        let copy = standin.copy();
        let ttl = Duration::from_secs(5);
        let lost = client.grant(ttl).await.expect("the store responds");
        standin.restore(copy);
        let other = client.grant(ttl).await.expect("the store responds");
        assert_eq!(other.number, lost.number, "the store gives numbers out again");
        assert!(matches!(client.renew(lost).await, Err(StoreError::Returned)));
        client.revoke(lost).await.expect("nothing is done");
        assert!(client.renew(other).await.expect("the store responds"), "the other lease lasts");
        let put = Put { key: "leader", value: b"a", lease: Some(lost) };
        let written = client.put_if("leader", Revision::default(), &[put]).await;
        assert!(matches!(written, Err(StoreError::Returned)), "{written:?}");
    });
}

#[test]
fn write_after_return_done() {
    block_on(async {
        let (standin, _served, client) = start_standin();
        let copy = standin.copy();
        standin.restore(copy);
        let lease = client.grant(Duration::from_secs(5)).await.expect("the store responds");
        let put = Put { key: "leader", value: b"a", lease: Some(lease) };
        let written = client.put_if("leader", Revision::default(), &[put]).await;
        assert!(matches!(written, Ok(PutResult::Done(revision)) if revision.era() == 2));
    });
}
