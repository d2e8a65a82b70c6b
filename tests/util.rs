//! Shared helpers of the tests that run real processes.
#![allow(dead_code)]

pub mod cli;
pub mod fleet;
pub mod gate;
pub mod gateways;
pub mod http;
pub mod instance;
pub mod relay;
pub mod steward;
pub mod streaming;

use std::{future::Future, time::Duration};

/// Runs a future to its end on a multi-threaded runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("expected the runtime to start").block_on(future)
}

/// Polls a condition until it holds and panics if it does not hold within `timeout`.
///
/// `expected` describes the condition in the panic message.
pub async fn wait_until<F, Fut>(expected: &str, timeout: Duration, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let start = std::time::Instant::now();
    while start.elapsed() < timeout {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("expected within {timeout:?}: {expected}");
}
