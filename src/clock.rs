//! Monotonic time that keeps running while the process or its host is paused.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time on the host's boot-time clock, in microseconds.
///
/// Values of different instances must never be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// Reads the boot-time clock.
    pub fn now() -> Self {
        let ts = clock_gettime(ClockId::Boottime);
        Self(ts.tv_sec as u64 * 1_000_000 + ts.tv_nsec as u64 / 1_000)
    }

    /// Creates a time from milliseconds since boot.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        Time(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, rhs: Duration) -> Time {
        Time(self.0.saturating_sub(rhs.as_micros() as u64))
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for display only.
pub fn wall_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
