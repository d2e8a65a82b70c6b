//! True time, as the median of the wall clocks of the linked instances.
//!
//! The wall clock of a single machine can be stepped by seconds. Each instance keeps the offset of true
//! time to its own monotonic clock, so a step of its wall clock changes nothing.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{clock::Time, kernel::leadership::LEASE_TTL};

/// Time since the start of 1970 in milliseconds.
pub type WallMillis = u64;

/// Age after which an instance's clock is no longer used. A running instance sends its clock about
/// every 500 ms.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(2_500);

/// Clocks from which one that was stepped can be told from the others.
const MIN_CLOCKS: usize = 3;

/// Largest change of the offset that counts as drift of clocks and delay of frames. A larger change
/// means that a clock was stepped, or that this machine was suspended.
const MAX_DRIFT_MS: i64 = 250;

/// Offset of a wall clock to this instance's monotonic clock.
#[derive(Clone, Copy, Debug)]
struct Sample {
    offset_ms: i64,
    at: Time,
}

/// Time after a jump of this machine's clocks in which no call may be sent. A leader that was
/// suspended may take its lease for valid until it has tried to renew it; the TTL of the lease after the
/// jump, a lease that is still valid has been renewed since.
const JUMP_WAIT: Duration = LEASE_TTL;

/// Detects that the machine was suspended: its wall clock has gone on, its monotonic clock has not.
#[derive(Clone, Debug, Default)]
pub struct JumpGuard {
    offset_ms: Option<i64>,
    held_until: Time,
}

impl JumpGuard {
    /// Compares the clocks of this machine. Returns whether they have jumped since the last time.
    pub fn observe(&mut self, wall: WallMillis, now: Time) -> bool {
        let offset_ms = offset_of(wall, now);
        let known = self.offset_ms.replace(offset_ms);
        let has_jumped = known.is_some_and(|known| (offset_ms - known).abs() > MAX_DRIFT_MS);
        if has_jumped {
            self.held_until = now + JUMP_WAIT;
        }
        has_jumped
    }

    /// Returns whether the clocks have not jumped lately.
    pub fn is_settled(&self, now: Time) -> bool {
        now >= self.held_until
    }
}

/// What an instance knows of true time.
#[derive(Clone, Debug, Default)]
pub struct TrueTime {
    samples: HashMap<Arc<str>, Sample>,
    /// Offset of true time to the monotonic clock; `None` before the first sample.
    offset_ms: Option<i64>,
}

/// Returns the offset of a wall clock to the monotonic clock.
fn offset_of(wall: WallMillis, now: Time) -> i64 {
    wall as i64 - (now.0 / 1_000) as i64
}

impl TrueTime {
    /// Returns true time; `None` before the first clock is known.
    pub fn now(&self, now: Time) -> Option<WallMillis> {
        let offset_ms = self.offset_ms?;
        u64::try_from((now.0 / 1_000) as i64 + offset_ms).ok()
    }

    /// Records the clock of an instance, this one included, as it was read just before `now`.
    pub fn record(&mut self, instance: Arc<str>, wall: WallMillis, now: Time) {
        self.samples.insert(instance, Sample { offset_ms: offset_of(wall, now), at: now });
    }

    /// Forgets the clocks, after this machine's clocks have jumped against each other.
    pub fn forget_samples(&mut self) {
        self.samples.clear();
    }

    /// Sets true time as the leader knows it.
    pub fn follow(&mut self, wall: WallMillis, now: Time) {
        self.offset_ms = Some(offset_of(wall, now));
    }

    /// Sets true time to the median of the recent clocks. With fewer than [`MIN_CLOCKS`], the known
    /// offset holds, and the first one is the lower median. Returns the change of the offset in
    /// milliseconds if it is larger than drift.
    pub fn update(&mut self, now: Time) -> Option<i64> {
        self.samples.retain(|_, sample| now.since(sample.at) < MAX_SAMPLE_AGE);
        let mut offsets: Vec<i64> = self.samples.values().map(|sample| sample.offset_ms).collect();
        offsets.sort_unstable();
        let median = *offsets.get(offsets.len().checked_sub(1)? / 2)?;
        let Some(known) = self.offset_ms else {
            self.offset_ms = Some(median);
            return None;
        };
        if offsets.len() < MIN_CLOCKS {
            return None;
        }
        self.offset_ms = Some(median);
        let change = median - known;
        (change.abs() > MAX_DRIFT_MS).then_some(change)
    }

    /// Returns the number of clocks that are recent.
    pub fn clock_count(&self) -> usize {
        self.samples.len()
    }
}
