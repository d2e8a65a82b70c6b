//! Hands out what each instance may grant without a leader, and applies what the leader has handed out.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::{
    Gateway,
    messages::{AllotmentsFrame, Content, HeldAllotmentsFrame},
};
use crate::{
    clock::Time,
    kernel::grants::{Allotments, Mode},
};

/// Shortest interval at which allotments are handed out. Where requests arrive changes within seconds.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the interval for each peer. The frames of a large fleet must not fill the leader's link.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(10);

/// Hands out allotments while this instance leads.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        sleep(MIN_INTERVAL.max(INTERVAL_PER_PEER * gateway.peers.count() as u32)).await;
        if matches!(gateway.scheduler_mode(), Mode::Leading { .. }) {
            gateway.hand_out_allotments();
        }
    }
}

impl Gateway {
    fn hand_out_allotments(&self) {
        let term = self.leadership.lock().term();
        let (fleet_size, now) = (self.fleet_size(), Time::now());
        let plans = self.scheduler.lock().hand_out_allotments(term, fleet_size, now);
        metrics::counter!("cardamomshore_allotments_sent_total").increment(plans.len() as u64);
        for (instance, allotments) in plans {
            self.peers.send(&instance, Content::Allotments(AllotmentsFrame::from(&allotments)));
        }
    }

    /// Returns the content of a frame with what this instance holds, for a new leader.
    pub(super) fn held_allotments_content(&self) -> Content {
        let scheduler = self.scheduler.lock();
        let held = scheduler.allotments().map(AllotmentsFrame::from).unwrap_or_default();
        Content::HeldAllotments(HeldAllotmentsFrame { held: Some(held), applied: 0 })
    }

    /// Applies what the leader has handed out, and tells the leader so.
    pub(super) fn handle_allotments(&self, frame: AllotmentsFrame) {
        let allotments = Allotments::from(frame);
        let applied = allotments.version;
        metrics::gauge!("cardamomshore_allotments").set(allotments.list.len() as f64);
        self.scheduler.lock().set_allotments(allotments, Time::now());
        self.uplink.send(Content::HeldAllotments(HeldAllotmentsFrame { held: None, applied }));
    }

    /// Goes on without a leader. Returns the number of allotments that this instance has.
    pub(super) fn lose_leader(&self) -> usize {
        let mut scheduler = self.scheduler.lock();
        scheduler.lose_leader(Time::now());
        scheduler.allotments().map_or(0, |held| held.list.len())
    }

    /// Records what a peer holds.
    pub(super) fn record_held_allotments(&self, instance: &str, frame: HeldAllotmentsFrame) {
        let mut scheduler = self.scheduler.lock();
        match frame.held {
            Some(held) => scheduler.join_allotments(&instance.into(), &held.into()),
            None => scheduler.confirm_allotments(instance, frame.applied),
        }
    }
}
