//! Shares the limits of the request rate that endpoints name in their responses.
//!
//! An instance that sees a new limit tells the leader, which keeps to it for all instances. The
//! leader tells its peers, which keep to their share of it if there is no leader, and hand it over to
//! the next one.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::{
    Gateway,
    messages::{Content, RateLimitsFrame},
};
use crate::{
    clock::Time,
    kernel::grants::{EndpointLimit, Grant},
};

/// Interval at which the limits are compared with those that the peers were sent last.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);

/// Sends the limits to the peers after each change while this instance leads.
pub async fn run(gateway: Arc<Gateway>) {
    let mut sent = 0;
    loop {
        sleep(SHARE_INTERVAL).await;
        let version = gateway.scheduler.lock().limit_version();
        if version != sent && gateway.leads() {
            gateway.peers.broadcast(&gateway.rate_limits_content());
        }
        sent = version;
    }
}

impl Gateway {
    /// Records the limit that the response to a granted request names, which was sent at `sent_at`,
    /// and tells the leader of a change.
    pub(super) fn record_rate_limit(&self, grant: &Grant, rate: Option<f64>, sent_at: Time) {
        let Grant { endpoint, incarnation, .. } = grant.clone();
        let limit = EndpointLimit { endpoint, incarnation, rate };
        if !self.scheduler.lock().observe_rate_limit(&limit, sent_at, Time::now()) {
            return;
        }
        let rate = rate.map_or("none".to_owned(), |rate| rate.to_string());
        log::info!("event=endpoint_rate_limit endpoint={} limit={rate}", grant.endpoint);
        self.uplink.send(Content::RateLimits([limit].as_slice().into()));
    }

    /// Applies the limits that a peer has seen.
    pub(super) fn merge_rate_limits(&self, frame: RateLimitsFrame) {
        let mut scheduler = self.scheduler.lock();
        for limit in Vec::<EndpointLimit>::from(frame) {
            scheduler.record_rate_limit(&limit, Time::now());
        }
    }

    /// Applies the limits that the leader knows.
    pub(super) fn handle_rate_limits(&self, frame: RateLimitsFrame) {
        let limits = Vec::<EndpointLimit>::from(frame);
        self.scheduler.lock().replace_rate_limits(&limits, Time::now());
    }

    /// Returns the content of a frame with the limits that are known.
    pub(super) fn rate_limits_content(&self) -> Content {
        Content::RateLimits(self.scheduler.lock().rate_limits().as_slice().into())
    }
}
