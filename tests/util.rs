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

use std::{
    fs,
    future::Future,
    path::{Path, PathBuf},
    sync::OnceLock,
    time::Duration,
};

/// Prefix of the names of folders that belong to one process of tests; its id follows.
const RUN_PREFIX: &str = "run-";

/// Returns the folder `name` of this process of tests, which does not exist yet.
///
/// Two runs of the same tests at once must not share a folder: each would replace the settings and the
/// logs of the other's processes.
pub fn run_folder(name: &str) -> PathBuf {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    let parent = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let own = FOLDER.get_or_init(|| {
        remove_former_runs(parent);
        parent.join(format!("{RUN_PREFIX}{}", std::process::id()))
    });
    let folder = own.join(name);
    let _ = fs::remove_dir_all(&folder);
    folder
}

/// Removes the folders of processes of tests that have ended.
fn remove_former_runs(parent: &Path) {
    for entry in fs::read_dir(parent).into_iter().flatten().flatten() {
        let name = entry.file_name();
        let id = name.to_str().and_then(|name| name.strip_prefix(RUN_PREFIX));
        if id.is_some_and(|id| !Path::new("/proc").join(id).exists()) {
            let _ = fs::remove_dir_all(entry.path());
        }
    }
}

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
