//! True time, as the median of the wall clocks of the linked instances.
//!
//! The wall clock of a single machine can be stepped by seconds. Each instance keeps the offset of true
//! time to its own monotonic clock, so a step of its wall clock changes nothing.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

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

/// Least number of the leader's frames of which the one that was delayed least tells true time. A busy
/// instance reads frames up to a second late; one that was frozen reads the first two or three as late
/// as it was frozen.
const FOLLOWED_FRAMES: usize = 5;

/// Offset of a wall clock to this instance's monotonic clock.
#[derive(Clone, Copy, Debug)]
struct Sample {
    offset_ms: i64,
    at: Time,
}

/// Recent samples of one clock. A delay on the way makes an offset smaller, so the largest one is the
/// best.
#[derive(Clone, Debug, Default)]
struct Samples {
    /// The largest offset, and after each one the largest of those that came later.
    recent: VecDeque<Sample>,
}

impl Samples {
    fn push(&mut self, sample: Sample) {
        while self.recent.back().is_some_and(|last| last.offset_ms <= sample.offset_ms) {
            self.recent.pop_back();
        }
        self.recent.push_back(sample);
    }

    /// Forgets samples that are too old. Returns whether some are left.
    fn forget_old(&mut self, now: Time) -> bool {
        while self.recent.front().is_some_and(|first| now.since(first.at) >= MAX_SAMPLE_AGE) {
            self.recent.pop_front();
        }
        !self.recent.is_empty()
    }

    fn best(&self) -> Option<i64> {
        self.recent.front().map(|sample| sample.offset_ms)
    }
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
    samples: HashMap<Arc<str>, Samples>,
    /// Offsets by the last frames of a leader.
    followed: VecDeque<Sample>,
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
        let sample = Sample { offset_ms: offset_of(wall, now), at: now };
        self.samples.entry(instance).or_default().push(sample);
    }

    /// Forgets the clocks, after this machine's clocks have jumped against each other.
    pub fn forget_samples(&mut self) {
        self.samples.clear();
        self.followed.clear();
    }

    /// Sets true time by a frame in which the leader has told it.
    pub fn follow(&mut self, wall: WallMillis, now: Time) {
        self.followed.push_back(Sample { offset_ms: offset_of(wall, now), at: now });
        while self.followed.len() > FOLLOWED_FRAMES
            && self.followed.front().is_some_and(|first| now.since(first.at) >= MAX_SAMPLE_AGE)
        {
            self.followed.pop_front();
        }
        self.offset_ms = self.followed.iter().map(|sample| sample.offset_ms).max();
    }

    /// Sets true time to the median of the recent clocks. With fewer than [`MIN_CLOCKS`], the known
    /// offset holds, and the first one is the lower median. Returns the change of the offset in
    /// milliseconds if it is larger than drift.
    pub fn update(&mut self, now: Time) -> Option<i64> {
        self.samples.retain(|_, samples| samples.forget_old(now));
        let mut offsets: Vec<i64> = self.samples.values().filter_map(Samples::best).collect();
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
