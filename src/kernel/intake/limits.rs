//! The budget of a process, and its parts.

use std::time::Duration;

/// Where a connection was accepted, by which the parts of the budget are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Listener {
    /// Requests of callers.
    Callers,
    /// Requests of callers that other instances pass on.
    Relay,
    /// Addresses of instances.
    Directory,
    /// Readiness checks.
    Readiness,
    /// Metrics.
    Metrics,
    /// Connections of other instances that have not sent their hello.
    Hellos,
    /// Links of other instances.
    Links,
}

impl Listener {
    /// Returns whether the listener takes requests that endpoints run. These share their sockets with
    /// the connections to endpoints.
    pub fn is_shared(self) -> bool {
        matches!(self, Listener::Callers | Listener::Relay)
    }

    /// Returns whether a connection of this listener gives its socket to one of the other.
    pub(super) fn shares_with(self, other: Listener) -> bool {
        self == other || (self.is_shared() && other.is_shared())
    }
}

/// The budget of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IntakeLimits {
    /// Bytes that clients may occupy: heads, bodies and waiting output.
    pub bytes: usize,
    /// Sockets of all listeners and of the connections to endpoints.
    pub sockets: usize,
    /// Fraction of the bytes and of the shared sockets that one peer address may have.
    pub peer_fraction: f64,
}

/// Fraction of the bytes that bodies may use while they arrive. The rest is for output and for heads.
const BODY_FRACTION: f64 = 0.8;

/// Fraction of the sockets that callers' connections and those to endpoints may have.
const SHARED_FRACTION: f64 = 0.8;

/// Fraction of the sockets that may be in the course of being closed.
const CLOSING_FRACTION: f64 = 0.05;

/// Sockets that each of the small listeners has at least.
const MIN_SOCKETS: usize = 16;

/// Connections without a hello that are open at once at least. All instances of a fleet open their link
/// to a new leader within milliseconds.
const MIN_HELLOS: usize = 64;

/// Part of `whole`, rounded down.
fn part(whole: usize, fraction: f64) -> usize {
    (whole as f64 * fraction) as usize
}

impl IntakeLimits {
    pub(super) fn body_bytes(&self) -> usize {
        part(self.bytes, BODY_FRACTION)
    }

    pub(super) fn peer_bytes(&self) -> usize {
        part(self.bytes, self.peer_fraction)
    }

    pub(super) fn shared_sockets(&self) -> usize {
        part(self.sockets, SHARED_FRACTION)
    }

    pub(super) fn peer_sockets(&self) -> usize {
        part(self.shared_sockets(), self.peer_fraction)
    }

    pub(super) fn closing_sockets(&self) -> usize {
        part(self.sockets, CLOSING_FRACTION).max(1)
    }

    /// Returns the sockets of a listener that does not share them.
    pub(super) fn sockets_of(&self, listener: Listener) -> usize {
        let fraction = match listener {
            Listener::Callers | Listener::Relay => return self.shared_sockets(),
            Listener::Directory => 0.08,
            Listener::Readiness | Listener::Metrics => 0.02,
            Listener::Hellos => return part(self.sockets, 0.08).max(MIN_HELLOS),
            // The leader has a link of each other instance and few callers. Links count among the
            // shared sockets.
            Listener::Links => return part(self.sockets, 0.5),
        };
        part(self.sockets, fraction).max(MIN_SOCKETS)
    }
}

/// The timeouts of clients, from the configuration document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest time from the first byte of a head to its last one.
    pub header: Duration,
    /// Longest time without progress of a client.
    pub idle: Duration,
}
