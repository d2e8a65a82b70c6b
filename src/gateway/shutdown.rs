//! Stops a gateway. New requests are still served for a while, so that callers can move to other
//! instances; then the requests that run are completed.

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

use super::{
    Gateway, leader,
    output::{Unwritten, has_unacknowledged},
};
use crate::{
    clock::Time,
    kernel::stopping::{accepts_new, send_time_left},
};

/// Part of the stop timeout that is left for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Interval at which a stopping gateway checks whether all requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Whether the process is stopping, and since when.
#[derive(Default)]
pub struct Shutdown {
    /// When the signal to stop came; zero before.
    begun_at: AtomicU64,
    /// Requests that arrive or run, and responses that are not passed to a socket yet.
    pub(super) unwritten: Arc<Unwritten>,
}

impl Shutdown {
    /// Returns whether the signal to stop has come.
    pub fn has_begun(&self) -> bool {
        self.begun_at.load(Ordering::Acquire) > 0
    }

    /// Returns the time since the signal to stop; zero before.
    fn elapsed(&self) -> Duration {
        match self.begun_at.load(Ordering::Acquire) {
            0 => Duration::ZERO,
            begun => Time::now().since(Time(begun)),
        }
    }
}

impl Gateway {
    /// Returns whether a request arrives, waits or runs, or its response is to be passed to a socket.
    fn has_requests(&self) -> bool {
        self.shutdown.unwritten.has_any() || self.requests.count() + self.relay.count() > 0
    }

    /// Returns whether callers have not acknowledged all of their responses.
    async fn has_unacknowledged(&self) -> bool {
        let listeners = [self.settings.callers, self.settings.relay];
        let check = tokio::task::spawn_blocking(move || has_unacknowledged(&listeners));
        check.await.unwrap_or(false)
    }

    /// Returns the time that is left to send accepted requests to endpoints; without a bound unless the
    /// process is stopping.
    pub(super) fn send_time_left(&self) -> Duration {
        match self.shutdown.has_begun() {
            true => send_time_left(self.shutdown.elapsed(), self.settings.stop_timeout),
            false => Duration::MAX,
        }
    }

    /// Returns whether new requests are refused because the process is stopping.
    pub(super) fn refuses_requests(&self) -> bool {
        self.shutdown.has_begun()
            && !accepts_new(self.shutdown.elapsed(), self.settings.stop_timeout)
    }
}

/// Waits for the signal to stop, resigns as leader, and waits until callers have all responses.
pub async fn wait(gateway: Arc<Gateway>) {
    wait_for_signal().await;
    log::info!("event=stopping instance={}", gateway.settings.instance);
    gateway.shutdown.begun_at.store(Time::now().0, Ordering::Release);
    leader::resign(&gateway).await;
    let timeout = gateway.settings.stop_timeout.saturating_sub(EXIT_MARGIN);
    while gateway.shutdown.elapsed() < timeout {
        if gateway.refuses_requests()
            && !gateway.has_requests()
            && !gateway.has_unacknowledged().await
        {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits for SIGTERM or SIGINT. SIGHUP means that the settings file has changed. The file is only
/// read at the start, so the signal is logged and otherwise ignored.
async fn wait_for_signal() {
    let kinds = [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()];
    let [Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)] = kinds.map(signal) else {
        log::error!("event=signals_unavailable");
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = Signal::recv(&mut terminate) => return,
            _ = Signal::recv(&mut interrupt) => return,
            _ = Signal::recv(&mut hangup) => log::info!("event=settings_signal"),
        }
    }
}
