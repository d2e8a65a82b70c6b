//! How long a steward may order and dispatch after its last renewal.

use std::time::Duration;

use crate::{clock::Time, kernel::freshness::Freshness};

/// Length of an instance's lease.
pub const LEASE_TTL: Duration = Duration::from_secs(9);

/// Time between two renewals of a lease.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Time by which a holder counts its lease as shorter than the service does.
///
/// It covers clocks that run apart and the time between a decision and its effect.
pub const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Time for which a steward without a lease dispatches on after the service is back, so that it
/// can renew first.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time without a decision in contact with the others after which a steward without a lease stops
/// until it holds one again.
///
/// What it hears just after a pause was sent before it. With [`RETURN_GRACE`] it
/// stays below the time after which others take over.
pub const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// What a steward may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// Order and dispatch.
    Full,
    /// Dispatch only: the lease may have lapsed, but the service is down for everybody, so that
    /// nobody can have taken over.
    DispatchOnly,
    /// Neither.
    Stop,
}

/// The lease of an instance as its holder may count on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseTracker {
    renewed_at: Option<Time>,
    returned_at: Option<Time>,
    decided_at: Time,
}

impl LeaseTracker {
    /// Notes a successful renewal that was sent at `sent`.
    ///
    /// The service counts the lease from when the renewal arrived, which is later, so the holder
    /// always stops first.
    pub fn record_renewal(&mut self, sent: Time) {
        self.renewed_at = self.renewed_at.max(Some(sent));
        self.returned_at = None;
    }

    /// Notes that the lease is over.
    pub fn record_end(&mut self) {
        self.renewed_at = None;
    }

    /// Returns whether the lease is surely still held.
    pub fn is_held(&self, now: Time) -> bool {
        self.renewed_at.is_some_and(|sent| now.since(sent) + LEASE_MARGIN < LEASE_TTL)
    }

    /// Decides what the steward may do now.
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

    fn lapsed_authority(&mut self, freshness: Freshness, now: Time) -> Authority {
        if freshness == Freshness::ServiceDown {
            self.returned_at = None;
            return Authority::DispatchOnly;
        }
        let back = *self.returned_at.get_or_insert(now);
        if now.since(back) < RETURN_GRACE {
            return Authority::DispatchOnly;
        }
        // Others may take over from here on, so a later outage does not bring the duty back.
        self.renewed_at = None;
        Authority::Stop
    }
}
