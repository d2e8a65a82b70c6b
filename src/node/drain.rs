//! Counts running requests, so that a shutdown can wait for them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{sync::Notify, time::sleep};

use super::{Node, once, steward};
use crate::events::Event;

/// Time for the other instances and callers to learn that this one leaves.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(1_000);

/// Whether the node shuts down, and what still runs.
#[derive(Default)]
pub struct Drain {
    draining: AtomicBool,
    running: Arc<AtomicUsize>,
    ended: Arc<Notify>,
}

/// A running request; the drain waits until it is dropped.
pub struct Running {
    running: Arc<AtomicUsize>,
    ended: Arc<Notify>,
}

impl Drain {
    /// Returns whether the node takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Counts a request in.
    pub fn enter(&self) -> Running {
        self.running.fetch_add(1, Ordering::AcqRel);
        Running { running: self.running.clone(), ended: self.ended.clone() }
    }

    /// Waits until no request runs.
    async fn idle(&self) {
        loop {
            let ended = self.ended.notified();
            if self.running.load(Ordering::Acquire) == 0 {
                return;
            }
            ended.await;
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
        self.ended.notify_waiters();
    }
}

/// Takes no new work, finishes what runs and hands the node's duties over.
pub async fn run(node: Arc<Node>) {
    node.drain.draining.store(true, Ordering::Release);
    node.timeline.record(Event::InstanceDraining, node.settings.instance.as_str(), "");
    node.peers.beat_now();
    sleep(ANNOUNCE_PERIOD).await;
    node.drain.idle().await;
    once::hand_over(&node).await;
    steward::hand_over(&node).await;
}
