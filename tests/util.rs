//! Helpers that the integration tests share.
#![allow(dead_code)]

pub mod cli;
pub mod fleet;
pub mod http;
pub mod relay;
pub mod steward;
pub mod streaming;

use std::{future::Future, time::Duration};

/// Runs a test on a runtime with several threads.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(future)
}

/// Waits until a condition holds and panics when it does not within `limit`.
pub async fn eventually<F, Fut>(what: &str, limit: Duration, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let start = std::time::Instant::now();
    while start.elapsed() < limit {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("not within {limit:?}: {what}");
}
