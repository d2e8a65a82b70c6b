//! The end of a gateway: callers move away first, then what runs ends.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

use super::{Gateway, leader};
use crate::{clock::Time, kernel::stopping::takes_new};

/// Time kept free before the platform ends the process.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Time between two looks whether all work has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Whether and since when the process is about to end.
#[derive(Default)]
pub struct Shutdown {
    begun_at: AtomicU64,
}

impl Shutdown {
    /// Returns whether the process is about to end.
    pub fn has_begun(&self) -> bool {
        self.begun_at.load(Ordering::Acquire) > 0
    }

    fn elapsed(&self) -> Duration {
        match self.begun_at.load(Ordering::Acquire) {
            0 => Duration::ZERO,
            begun => Time::now().since(Time(begun)),
        }
    }
}

impl Gateway {
    /// Returns whether new requests are refused because the process is about to end.
    pub(super) fn refuses_requests(&self) -> bool {
        self.shutdown.has_begun() && !takes_new(self.shutdown.elapsed(), self.settings.stop_timeout)
    }
}

/// Waits for the signal to stop, and for the work to end after it.
pub async fn wait(gateway: Arc<Gateway>) {
    wait_for_signal().await;
    log::info!("event=stopping instance={}", gateway.settings.instance);
    gateway.shutdown.begun_at.store(Time::now().0, Ordering::Release);
    leader::resign(&gateway).await;
    let last = gateway.settings.stop_timeout.saturating_sub(EXIT_MARGIN);
    while gateway.shutdown.elapsed() < last {
        if gateway.refuses_requests() && gateway.requests.count() == 0 {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits for SIGTERM or SIGINT. SIGHUP says that the settings have changed, which are read at start.
async fn wait_for_signal() {
    let signals = [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()];
    let [Ok(mut term), Ok(mut int), Ok(mut hup)] = signals.map(signal) else {
        log::error!("event=signals_unavailable");
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = Signal::recv(&mut term) => return,
            _ = Signal::recv(&mut int) => return,
            _ = Signal::recv(&mut hup) => log::info!("event=settings_signal"),
        }
    }
}
