//! Watches the path of this instance to the endpoints.
//!
//! Attempts to open connections show whether endpoints can be reached. While the path is cut, probes
//! look for its end; while it seems sound, an endpoint that lets a request wait is probed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::seq::SliceRandom;
use tokio::time::sleep;

use super::Gateway;
use crate::{
    clock::Time,
    kernel::{
        grants::{Grant, Outcome},
        reach::{Path, Reach},
    },
};

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval of the probes while the path is cut.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Least time between two checks of the path.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Endpoints that a check of the path probes.
const CHECKED_ENDPOINTS: usize = 3;

/// Least time between two probes of endpoints that let requests wait.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an endpoint that has not begun to respond to a caller that leaves is probed.
const MIN_SUSPICIOUS_WAIT: Duration = Duration::from_millis(90);

/// What this instance has seen of its path to the endpoints.
#[derive(Default)]
pub struct EndpointReach {
    seen: Mutex<Reach>,
    /// When an endpoint was last probed because it let a request wait.
    suspected_at: Mutex<Time>,
    /// When endpoints were last probed because a connection broke. Requests wait for the end of that.
    checked_at: tokio::sync::Mutex<Time>,
}

impl Gateway {
    /// Returns the state of the path to the endpoints of a service.
    pub(super) fn path(&self, service: &str) -> Path {
        self.reach.seen.lock().path(service, Time::now())
    }

    /// Returns whether an endpoint of a service was reached lately.
    pub(super) fn has_reached(&self, service: &str) -> bool {
        self.reach.seen.lock().has_reached(service, Time::now())
    }

    /// Returns the time for which this instance has been cut off from the endpoints of all services;
    /// `None` if it is not.
    pub(super) fn cut_off_for(&self) -> Option<Duration> {
        self.reach.seen.lock().cut_for(Time::now())
    }

    /// Returns whether this instance is cut off from the endpoints of all services.
    pub(super) fn is_cut_off(&self) -> bool {
        self.cut_off_for().is_some()
    }

    /// Records whether an endpoint could be reached.
    pub(super) fn record_reached(&self, endpoint: &Arc<str>, reached: bool) {
        let Some(service) = self.service_of(endpoint) else { return };
        let change = self.reach.seen.lock().record(&service, endpoint, reached, Time::now());
        match change {
            Some(true) => log::warn!("event=endpoints_cut_off last={endpoint}"),
            Some(false) => log::info!("event=endpoints_reached last={endpoint}"),
            None => return,
        }
        self.updates.notify_members();
    }

    /// Tells the scheduler that an endpoint refuses connections, unless this instance is cut off.
    pub(super) fn report_refused(&self, endpoint: &Arc<str>) {
        if !self.is_cut_off() {
            self.scheduler.lock().handle_unreachable(endpoint, Time::now());
        }
    }

    /// Returns the outcome of an attempt that says no more of the endpoint than what is known: if this
    /// instance is cut off, the endpoint may be sound.
    pub(super) fn without_blame(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Unreached if self.is_cut_off() => Outcome::CutOff,
            Outcome::Broke | Outcome::Silent if self.is_cut_off() => Outcome::Left,
            _ => outcome,
        }
    }

    /// Probes an endpoint that lets a request wait, in a task of its own.
    pub(super) fn suspect(self: &Arc<Self>, endpoint: &Arc<str>, address: SocketAddr) {
        {
            let mut suspected_at = self.reach.suspected_at.lock();
            if Time::now().since(*suspected_at) < SUSPICION_INTERVAL {
                return;
            }
            *suspected_at = Time::now();
        }
        let (gateway, endpoint) = (self.clone(), endpoint.clone());
        tokio::spawn(async move { gateway.probe(&endpoint, address).await });
    }

    /// Probes some endpoints at once, unless that was done just before: connections that break may mean
    /// that an endpoint has crashed, or that this instance is cut off.
    pub(super) async fn check_path(&self) {
        let mut checked_at = self.reach.checked_at.lock().await;
        if Time::now().since(*checked_at) < CHECK_INTERVAL || self.is_cut_off() {
            return;
        }
        let mut endpoints = self.usable_endpoints();
        endpoints.shuffle(&mut rand::rng());
        endpoints.truncate(CHECKED_ENDPOINTS);
        let probes = endpoints.iter().map(|endpoint| self.probe(&endpoint.id, endpoint.address));
        futures_util::future::join_all(probes).await;
        *checked_at = Time::now();
    }

    async fn probe(&self, endpoint: &Arc<str>, address: SocketAddr) {
        let reached = self.pool.can_connect(address, PROBE_TIMEOUT).await;
        self.record_reached(endpoint, reached);
    }
}

/// Probes an endpoint when it is dropped, if the endpoint has let a request wait until the caller left
/// or the attempt was given up.
pub struct SuspicionGuard<'a> {
    gateway: &'a Arc<Gateway>,
    grant: &'a Grant,
    /// Since when the request waits; `None` once the endpoint has responded.
    since: Option<Time>,
}

impl<'a> SuspicionGuard<'a> {
    /// Begins to watch an attempt at the endpoint of `grant`.
    pub fn new(gateway: &'a Arc<Gateway>, grant: &'a Grant) -> Self {
        Self { gateway, grant, since: Some(Time::now()) }
    }

    /// Ends the watch: the attempt has a result.
    pub fn dismiss(mut self) {
        self.since = None;
    }
}

impl Drop for SuspicionGuard<'_> {
    fn drop(&mut self) {
        if self.since.is_some_and(|since| Time::now().since(since) >= MIN_SUSPICIOUS_WAIT) {
            self.gateway.suspect(&self.grant.endpoint, self.grant.address);
        }
    }
}

/// Probes the endpoints in turn to which the path is cut.
pub async fn probe_while_cut(gateway: Arc<Gateway>) {
    let mut turn: usize = 0;
    loop {
        sleep(PROBE_INTERVAL).await;
        let mut endpoints = gateway.usable_endpoints();
        {
            let seen = gateway.reach.seen.lock();
            endpoints.retain(|endpoint| seen.needs_probe(&endpoint.service));
        }
        if let Some(endpoint) = endpoints.get(turn % endpoints.len().max(1)) {
            gateway.probe(&endpoint.id, endpoint.address).await;
        }
        turn = turn.wrapping_add(1);
    }
}
