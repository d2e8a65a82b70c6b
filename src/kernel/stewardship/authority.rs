//! The lease of an instance as its holder sees it, and what a steward may do with or without it.
//!
//! A steward determines its authority before it sends orders to its endpoints and before it
//! dispatches requests to them.

use std::time::Duration;

use crate::{clock::Time, kernel::freshness::Freshness};

/// TTL of an instance's lease at the platform's service.
pub const LEASE_TTL: Duration = Duration::from_secs(9);

/// Time between two renewals of a lease.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Time by which the holder stops relying on its lease before the TTL ends.
///
/// The margin covers the drift between the holder's and the service's clock, and the time between a
/// decision and its effect.
pub const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Time after an outage of the service for which a steward without a lease continues to dispatch,
/// so that it can renew its lease before others take over.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Longest time between two decisions that let a steward without a lease act. After a longer
/// pause, the steward stops until it holds a lease again.
///
/// Messages that an instance receives just after a pause were sent before the end of the pause and
/// may be outdated. The sum of this time and [`RETURN_GRACE`] is below the time after which others take
/// over.
pub const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// What a steward may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The steward may send orders and dispatch requests.
    Full,
    /// The steward may only dispatch requests. Its lease may have lapsed, but the service is down
    /// for most instances, so that nobody can have taken over.
    DispatchOnly,
    /// The steward may neither send orders nor dispatch requests.
    Stop,
}

/// What the holder knows of its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseTracker {
    /// When the last successful renewal was sent, or `None` if the lease is not held or may have
    /// been taken over.
    renewed_at: Option<Time>,
    /// When the service was first known to be up again after an outage in which the lease lapsed.
    returned_at: Option<Time>,
    /// When the steward was last allowed to act.
    decided_at: Time,
}

impl LeaseTracker {
    /// Records a successful renewal that was sent at `sent`.
    ///
    /// The service counts the TTL from when the renewal arrived, which is later, so that the holder
    /// always stops before the lease ends at the service.
    pub fn record_renewal(&mut self, sent: Time) {
        self.renewed_at = self.renewed_at.max(Some(sent));
        self.returned_at = None;
    }

    /// Records that the lease ended.
    pub fn record_end(&mut self) {
        self.renewed_at = None;
    }

    /// Returns whether the lease is certainly still held.
    pub fn is_held(&self, now: Time) -> bool {
        self.renewed_at.is_some_and(|sent| now.since(sent) + LEASE_MARGIN < LEASE_TTL)
    }

    /// Returns what the steward may do now.
    ///
    /// A steward whose lease lapsed may dispatch while the service is down, unless it is cut off
    /// from the other instances or its process was paused.
    pub fn next_authority(&mut self, freshness: Freshness, now: Time) -> Authority {
        if self.is_held(now) {
            self.decided_at = now;
            return Authority::Full;
        }
        if now.since(self.decided_at) > MAX_PAUSE {
            self.renewed_at = None;
        }
        if self.renewed_at.is_none() || freshness == Freshness::CutOff {
            return Authority::Stop;
        }
        self.decided_at = now;
        self.lapsed_authority(freshness, now)
    }

    /// Returns what a steward whose lease lapsed may do.
    fn lapsed_authority(&mut self, freshness: Freshness, now: Time) -> Authority {
        if freshness == Freshness::ServiceDown {
            self.returned_at = None;
            return Authority::DispatchOnly;
        }
        let returned_at = *self.returned_at.get_or_insert(now);
        if now.since(returned_at) < RETURN_GRACE {
            return Authority::DispatchOnly;
        }
        // Others may take over from now on, so a later outage must not restore the authority.
        self.renewed_at = None;
        Authority::Stop
    }
}
