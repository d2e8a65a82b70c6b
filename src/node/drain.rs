//! Shuts an instance down gracefully: counts the running requests and waits until they have ended.
//!
//! A shutdown has two phases. First the requests of this instance's own callers end, while it
//! still runs requests at its endpoints. Then the requests at its endpoints end, too, while other
//! instances send new ones to the next steward, and the endpoints are handed over.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::watch, time::sleep};

use super::{Node, once, shares, steward};
use crate::{
    events::Event,
    kernel::drain::{DrainState, Phase},
};

/// Time for other instances and callers to learn that this instance is shutting down.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(1_000);

/// The phase of the shutdown and the number of running requests.
pub struct Drain {
    state: Arc<Mutex<DrainState>>,
    changed: Arc<watch::Sender<()>>,
}

impl Default for Drain {
    fn default() -> Self {
        Self { state: Arc::default(), changed: Arc::new(watch::Sender::new(())) }
    }
}

/// Counts a request as running until it is dropped.
pub struct DrainGuard {
    state: Arc<Mutex<DrainState>>,
    changed: Arc<watch::Sender<()>>,
    /// Whether the request runs at an endpoint of this instance, or is a claimed one.
    as_steward: bool,
}

impl Drain {
    /// Returns whether the instance accepts no new requests of callers.
    pub fn is_draining(&self) -> bool {
        self.state.lock().phase() != Phase::Serving
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.state.lock().running()
    }

    /// Counts a claimed request as running, in any phase, since its claim was committed.
    pub fn enter_claim(&self) -> DrainGuard {
        self.state.lock().enter_claim();
        self.running_as(true)
    }

    /// Counts a caller's request as running, or returns `None` if none is accepted any longer.
    pub fn enter_request(&self) -> Option<DrainGuard> {
        self.state.lock().enter_request().then(|| self.running_as(false))
    }

    /// Counts a request at an endpoint of this instance as running, or returns `None` if another
    /// steward has to run it.
    pub fn enter_work(&self) -> Option<DrainGuard> {
        self.state.lock().enter_work().then(|| self.running_as(true))
    }

    /// Returns the guard of a request that was counted as running.
    fn running_as(&self, as_steward: bool) -> DrainGuard {
        DrainGuard { state: self.state.clone(), changed: self.changed.clone(), as_steward }
    }

    /// Starts the shutdown.
    fn begin(&self) {
        self.state.lock().begin();
    }

    /// Records that other instances had time to learn of the shutdown.
    fn record_announced(&self) {
        self.state.lock().record_announced();
        self.changed.send_replace(());
    }

    /// Waits until the shutdown has wait_for_phase a phase.
    pub async fn wait_for_phase(&self, phase: Phase) {
        let mut changed = self.changed.subscribe();
        while self.state.lock().phase() < phase {
            // Never fails, since `self` holds the sender.
            let _ = changed.changed().await;
        }
    }

    /// Records that the buckets, the endpoints and the shares were handed over.
    fn record_handover(&self) {
        self.state.lock().record_handover();
        self.changed.send_replace(());
    }
}

impl Drop for DrainGuard {
    fn drop(&mut self) {
        self.state.lock().record_end(self.as_steward);
        self.changed.send_replace(());
    }
}

/// Stops accepting requests, waits for those that run, and hands over the buckets,
/// the endpoints and the shares.
pub async fn run(node: Arc<Node>) {
    node.drain.begin();
    node.timeline.record(Event::InstanceDraining, node.settings.instance.as_str(), "");
    node.peers.request_heartbeat();
    sleep(ANNOUNCE_DELAY).await;
    node.drain.record_announced();
    node.drain.wait_for_phase(Phase::Closing).await;
    once::hand_over(&node).await;
    steward::hand_over(&node).await;
    shares::hand_over(&node).await;
    node.drain.record_handover();
    node.drain.wait_for_phase(Phase::Gone).await;
}
