//! Spreads the bulk output of an instance over time.
//!
//! A leader sends its whole state to each instance that joins. Where many join at once, these bytes
//! would fill the queue of its network link, and its calls to the store and its grants would wait
//! behind them until its lease ends.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::clock::Time;

/// Bytes a second in a megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Assigns send times to bulk messages, so that together they keep to a rate.
#[derive(Clone, Copy, Debug)]
pub struct OutputPacer {
    /// Bytes a second.
    rate: f64,
    /// When all messages so far will have been sent at this rate.
    free_at: Time,
}

impl OutputPacer {
    /// Creates a pacer for `rate` bytes a second. A rate of zero sets no limit.
    pub fn new(rate: f64) -> Self {
        Self { rate, free_at: Time::default() }
    }

    /// Returns the bytes a second of a fraction of a network link of `link_mbps` megabits a second.
    pub fn link_rate(link_mbps: f64, fraction: f64) -> f64 {
        link_mbps * BYTES_PER_MEGABIT * fraction
    }

    /// Reserves output for a message of `bytes` and returns how long to wait before it is sent.
    pub fn reserve(&mut self, bytes: usize, now: Time) -> Duration {
        if self.rate <= 0.0 {
            return Duration::ZERO;
        }
        let send_at = self.free_at.max(now);
        self.free_at = send_at + Duration::from_secs_f64(bytes as f64 / self.rate);
        send_at.since(now)
    }
}

/// Assigns send times to bulk messages to peers, one at a time for each.
///
/// A peer whose link ends before its message is sent has used output for nothing. Without this bound, a
/// peer that joins again and again would use the output that the others need.
#[derive(Clone, Debug)]
pub struct PeerPacer {
    pacer: OutputPacer,
    /// When the last message that had to wait is sent, by the peer.
    reserved: BTreeMap<Arc<str>, Time>,
}

impl PeerPacer {
    /// Creates a pacer for `rate` bytes a second. A rate of zero sets no limit.
    pub fn new(rate: f64) -> Self {
        Self { pacer: OutputPacer::new(rate), reserved: BTreeMap::new() }
    }

    /// Reserves output for a message of `bytes` to `peer` and returns how long to wait before it is sent;
    /// `None` while an earlier reservation of the peer has not come due, also if that was for a former
    /// link.
    pub fn reserve(&mut self, peer: &str, bytes: usize, now: Time) -> Option<Duration> {
        self.reserved.retain(|_, send_at| *send_at > now);
        if self.reserved.contains_key(peer) {
            return None;
        }
        let wait = self.pacer.reserve(bytes, now);
        if !wait.is_zero() {
            self.reserved.insert(peer.into(), now + wait);
        }
        Some(wait)
    }
}

/// Time after which a message is sent again to a peer that still lacks what it holds. Reading and applying
/// it takes less, even on a link of 10 megabits a second.
const RESEND_TIME: Duration = Duration::from_secs(2);

/// What is sent to one peer that says in each of its heartbeats what it has.
///
/// The heartbeats that arrive before the message does must not cause another one each: where many peers
/// join at once, these would fill the link, and the heartbeats behind them would be late.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resend {
    /// Version that was sent last, and until when it counts as being on its way.
    sent: Option<(u64, Time)>,
}

impl Resend {
    /// Returns whether `version` must be sent now. The caller then calls [`record`](Self::record).
    pub fn is_due(&self, version: u64, now: Time) -> bool {
        self.sent.is_none_or(|(sent, until)| sent != version || now >= until)
    }

    /// Records that `version` is sent after `wait`.
    pub fn record(&mut self, version: u64, wait: Duration, now: Time) {
        self.sent = Some((version, now + wait + RESEND_TIME));
    }
}
