//! Counts running requests, so that a shutdown can wait for them.
//!
//! A shutdown goes through two phases. First the requests of this instance's own callers end, while
//! it still runs work at the endpoints that it stewards. Then that work ends too, new work is passed
//! on to the next steward, and the stewardships are handed over.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::watch, time::sleep};

use super::{Node, once, shares, steward};
use crate::{
    events::Event,
    kernel::drain::{DrainState, Phase},
};

/// Time for the other instances and callers to learn that this one leaves.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(1_000);

/// How far the shutdown is, and what still runs.
pub struct Drain {
    state: Arc<Mutex<DrainState>>,
    changed: Arc<watch::Sender<()>>,
}

impl Default for Drain {
    fn default() -> Self {
        Self { state: Arc::default(), changed: Arc::new(watch::Sender::new(())) }
    }
}

/// A running request; the drain waits until it is dropped.
pub struct DrainGuard {
    state: Arc<Mutex<DrainState>>,
    changed: Arc<watch::Sender<()>>,
    as_steward: bool,
}

impl Drain {
    /// Returns whether the node takes no new requests of callers.
    pub fn is_draining(&self) -> bool {
        self.state.lock().phase() != Phase::Serving
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.state.lock().running()
    }

    /// Counts a claimed request in; it runs in any phase, since its claim stands.
    pub fn enter_claim(&self) -> DrainGuard {
        self.state.lock().enter_claim();
        self.running_as(true)
    }

    /// Counts a caller's request in, or returns `None` when the node takes none any more.
    pub fn enter_request(&self) -> Option<DrainGuard> {
        self.state.lock().enter_request().then(|| self.running_as(false))
    }

    /// Counts work for a stewarded endpoint in, or returns `None` when another steward has to run it.
    pub fn enter_work(&self) -> Option<DrainGuard> {
        self.state.lock().enter_work().then(|| self.running_as(true))
    }

    fn running_as(&self, as_steward: bool) -> DrainGuard {
        DrainGuard { state: self.state.clone(), changed: self.changed.clone(), as_steward }
    }

    fn begin(&self) {
        self.state.lock().begin();
    }

    fn record_announced(&self) {
        self.state.lock().record_announced();
        self.changed.send_replace(());
    }

    /// Waits until the shutdown has come to a phase.
    pub async fn reached(&self, phase: Phase) {
        let mut changed = self.changed.subscribe();
        while self.state.lock().phase() < phase {
            // The sender lives as long as the node.
            let _ = changed.changed().await;
        }
    }

    fn record_handover(&self) {
        self.state.lock().record_handover();
        self.changed.send_replace(());
    }
}

impl Drop for DrainGuard {
    fn drop(&mut self) {
        self.state.lock().leave(self.as_steward);
        self.changed.send_replace(());
    }
}

/// Takes no new work, finishes what runs and hands the node's duties over.
pub async fn run(node: Arc<Node>) {
    node.drain.begin();
    node.timeline.record(Event::InstanceDraining, node.settings.instance.as_str(), "");
    node.peers.request_heartbeat();
    sleep(ANNOUNCE_DELAY).await;
    node.drain.record_announced();
    node.drain.reached(Phase::Closing).await;
    once::hand_over(&node).await;
    steward::hand_over(&node).await;
    shares::hand_over(&node).await;
    node.drain.record_handover();
    node.drain.reached(Phase::Gone).await;
}
