//! Sends counts and clocks between the instances.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tokio::time::sleep;

use super::{
    super::{
        Gateway,
        messages::{Content, DutiesFrame, LedgerFrame, ScaleFrame, StartFrame, UsageFrame},
    },
    Duties, State,
};
use crate::{
    clock::{Time, wall_millis},
    kernel::{
        duties::counts::{StartId, StartUsage},
        membership::LinkedInstance,
    },
};

/// Interval at which an instance looks for the end of a window.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which counts and clocks are sent within a window.
const SEND_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the leader sends what it has counted itself to the peers that keep a copy. Its
/// counts since then die with it. In a fleet of three, a third of the runs of 0.5 s would be up to
/// 0.03 of a window of 5 s, with little left of the tolerance of 0.05.
const COPY_INTERVAL: Duration = Duration::from_millis(150);

/// Peers that keep a copy of what the leader alone knows. They are in different data centres where
/// possible, so that the counts survive the loss of one data centre with the leader.
const COPIES: usize = 3;

/// Sends this instance's counts to the leader, or true time to the peers while it leads.
pub async fn share(gateway: Arc<Gateway>) {
    let Some(duties) = &gateway.duties else { return };
    let (mut sent_at, mut copied_at) = (Time::default(), Time::default());
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = Time::now();
        let has_new_window = duties.advance(&gateway, now);
        let is_due = now.since(sent_at) >= SEND_INTERVAL;
        if !is_due && !has_new_window && !gateway.shutdown.has_begun() {
            if gateway.leads() && now.since(copied_at) >= COPY_INTERVAL {
                duties.copy_counts(&gateway, now);
                copied_at = now;
            }
            continue;
        }
        if gateway.leads() {
            duties.tell_peers(&gateway, now);
            (sent_at, copied_at) = (now, now);
        } else if duties.tell_leader(&gateway) {
            sent_at = now;
        }
    }
}

impl Duties {
    /// Updates true time, and opens the current window for this instance's counts. Returns whether the
    /// window is new.
    fn advance(&self, gateway: &Gateway, now: Time) -> bool {
        let mut state = self.state.lock();
        state.has_settled_clocks(now);
        if gateway.leads() || state.time.now(now).is_none() {
            state.time.record(gateway.settings.instance.clone(), wall_millis(), now);
            if let Some(change_ms) = state.time.update(now) {
                log::warn!("event=true_time_changed by_ms={change_ms}");
            }
        }
        let window = self.settings.limits.window_at(state.true_time(now));
        let own = state.own;
        let usage = state.table.start(own, window);
        let is_new = window > usage.open;
        usage.open = usage.open.max(window);
        is_new
    }

    /// Sends the counts that have changed to the leader. Returns whether there is a link.
    fn tell_leader(&self, gateway: &Gateway) -> bool {
        let mut state = self.state.lock();
        let Some(own) = state.table.get(state.own) else { return false };
        let starts = vec![StartFrame::new(own, |window| state.unsent.contains(&window))];
        let frame = UsageFrame { wall_ms: wall_millis(), sender: state.own.0, starts };
        // The lock is held, so that no count is lost between the two steps.
        let is_sent = gateway.uplink.send(Content::Usage(frame));
        if is_sent {
            state.unsent.clear();
        }
        is_sent
    }

    /// Sends true time to all peers, and copies of what the leader alone knows to some.
    fn tell_peers(&self, gateway: &Gateway, now: Time) {
        let linked = gateway.peers.linked_instances();
        let mut state = self.state.lock();
        state.linked.retain(|name, _| linked.iter().any(|it| it.member.instance == *name));
        let true_ms = state.true_time(now);
        let next = state.reporter.known().map_or(0, |ledger| ledger.next);
        state.table.settle(next);
        let frame = DutiesFrame { true_ms, next, ..DutiesFrame::default() };
        let copy = DutiesFrame {
            ledger: state.reporter.known().map(LedgerFrame::from),
            starts: state.unlinked_starts(),
            orders: state.scaler.ordered().map(ScaleFrame::from).collect(),
            ..frame.clone()
        };
        let keepers = copy_keepers(&linked);
        state.unsent.clear();
        state.keepers.clone_from(&keepers);
        drop(state);
        for instance in linked.iter().map(|it| &it.member.instance) {
            let is_keeper = keepers.contains(instance);
            let frame = if is_keeper { copy.clone() } else { frame.clone() };
            gateway.peers.send(instance, Content::Duties(frame));
        }
    }
}

impl Duties {
    /// Sends what this instance has counted to the peers that keep a copy, if there is anything new.
    fn copy_counts(&self, gateway: &Gateway, now: Time) {
        let mut state = self.state.lock();
        let Some(own) = state.table.get(state.own).filter(|_| !state.unsent.is_empty()) else {
            return;
        };
        let frame = DutiesFrame {
            true_ms: state.true_time(now),
            next: state.reporter.known().map_or(0, |ledger| ledger.next),
            starts: vec![StartFrame::new(own, |window| state.unsent.contains(&window))],
            ledger: None,
            orders: state.scaler.ordered().map(ScaleFrame::from).collect(),
        };
        state.unsent.clear();
        let keepers = state.keepers.clone();
        drop(state);
        for instance in &keepers {
            gateway.peers.send(instance, Content::Duties(frame.clone()));
        }
    }
}

impl State {
    /// Returns the recent counts of this process and of starts that are not linked.
    fn unlinked_starts(&self) -> Vec<StartFrame> {
        let linked: BTreeSet<StartId> = self.linked.values().copied().collect();
        let unlinked = self.table.all().filter(|usage| !linked.contains(&usage.start));
        unlinked.map(|usage| StartFrame::new(usage, |_| true)).collect()
    }
}

/// Returns the peers that keep a copy: the strongest of each data centre first.
fn copy_keepers(linked: &[LinkedInstance]) -> Vec<Arc<str>> {
    let mut all: Vec<&LinkedInstance> = linked.iter().collect();
    all.sort_by_key(|it| (std::cmp::Reverse(it.member.strength), it.member.instance.clone()));
    let mut seen = BTreeSet::new();
    let (first, rest): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|it| seen.insert(it.member.data_centre.clone()));
    first.into_iter().chain(rest).take(COPIES).map(|it| it.member.instance.clone()).collect()
}

impl Gateway {
    /// Returns the frame by which a new leader learns all counts that this instance knows.
    pub(in super::super) fn usage_handover(&self) -> Option<Content> {
        let state = self.duties.as_ref()?.state.lock();
        let starts = state.table.all().map(|usage| StartFrame::new(usage, |_| true)).collect();
        let frame = UsageFrame { wall_ms: wall_millis(), sender: state.own.0, starts };
        Some(Content::Usage(frame))
    }

    /// Applies what a peer has counted.
    pub(in super::super) fn merge_usage(&self, instance: &str, frame: UsageFrame) {
        let Some(duties) = &self.duties else { return };
        let mut state = duties.state.lock();
        let instance: Arc<str> = instance.into();
        state.time.record(instance.clone(), frame.wall_ms, Time::now());
        state.table.record_joined(&instance);
        state.linked.insert(instance, StartId(frame.sender));
        for usage in frame.starts.into_iter().map(StartUsage::from) {
            if usage.start != state.own {
                state.table.merge(usage);
            }
        }
    }

    /// Applies what the leader has told.
    pub(in super::super) fn handle_duties(&self, frame: DutiesFrame) {
        let Some(duties) = &self.duties else { return };
        let mut state = duties.state.lock();
        state.time.follow(frame.true_ms, Time::now());
        let own = state.own;
        for usage in frame.starts.into_iter().map(StartUsage::from) {
            if usage.start != own {
                state.table.merge(usage);
            }
        }
        // An instance that no longer keeps a copy must not lead by an old one.
        state.known_orders = frame.orders.into_iter().map(Into::into).collect();
        if let Some(ledger) = frame.ledger {
            state.reporter.learn(ledger.into());
        }
        state.table.settle(frame.next);
    }
}
