//! Counts and logs the requests that a leader refuses because its decisions fall behind.

use std::time::Duration;

use parking_lot::Mutex;

use crate::clock::Time;

/// Interval of the log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Requests that were refused since the last log line.
#[derive(Default)]
struct State {
    refused: u64,
    logged_at: Time,
}

/// The requests that this instance has refused because its decisions fall behind.
#[derive(Default)]
pub struct Shedding {
    state: Mutex<State>,
}

impl Shedding {
    /// Records a refused request of a peer that had waited for `age`.
    pub fn record(&self, peer: &str, age: Duration, now: Time) {
        metrics::counter!("cardamomshore_requests_shed_total").increment(1);
        metrics::histogram!("cardamomshore_shed_age_seconds").record(age.as_secs_f64());
        let mut state = self.state.lock();
        state.refused += 1;
        if now.since(state.logged_at) >= LOG_INTERVAL {
            let refused = std::mem::take(&mut state.refused);
            state.logged_at = now;
            log::warn!("event=shedding peer={peer} age_ms={} refused={refused}", age.as_millis());
        }
    }
}
