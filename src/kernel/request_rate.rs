//! Measures the rate at which requests arrive, and remembers its peak.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Time;

/// Period over which requests are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Time for which a peak is remembered. Demand that has fallen for a moment often returns.
const PEAK_TTL: Duration = Duration::from_secs(60);

/// Rate of arriving requests.
#[derive(Clone, Debug, Default)]
pub struct RequestRate {
    /// Start of the current period and the requests in it.
    current: (Time, u32),
    /// Ends of earlier periods and their requests. The counts fall, since a period that is followed
    /// by a larger one no longer matters for the peak.
    peaks: VecDeque<(Time, u32)>,
}

impl RequestRate {
    /// Records the arrival of a request.
    pub fn record(&mut self, now: Time) {
        self.advance(now);
        self.current.1 += 1;
    }

    /// Returns the largest number of requests a second in any period that is remembered.
    pub fn peak(&mut self, now: Time) -> f64 {
        self.advance(now);
        let peak = self.peaks.front().map_or(0, |(_, count)| *count);
        f64::from(peak) / PERIOD.as_secs_f64()
    }

    /// Ends the current period if it is over, and forgets old ones.
    fn advance(&mut self, now: Time) {
        let (started_at, count) = self.current;
        if now.since(started_at) >= PERIOD {
            while self.peaks.back().is_some_and(|(_, earlier)| *earlier <= count) {
                self.peaks.pop_back();
            }
            self.peaks.push_back((started_at + PERIOD, count));
            self.current = (now, 0);
        }
        while self.peaks.front().is_some_and(|(ended_at, _)| now.since(*ended_at) > PEAK_TTL) {
            self.peaks.pop_front();
        }
    }
}
