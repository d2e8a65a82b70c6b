//! When load changes and faults happen during a run.

use std::{ops::Range, time::Duration};

use crate::clock::Time;

/// The load changes and faults of a run. All times count from the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Time in which models are placed and engines warm up. Requests in it are not counted.
    pub warm_up: Duration,
    /// When one engine becomes cold without any sign that its steward could see, or `None` for
    /// never.
    pub cold_reset: Option<Duration>,
    /// When one team sends several times its rate, or `None` for never.
    pub flood: Option<Range<Duration>>,
    /// When one model gets ten times as many requests, or `None` for never.
    pub swing: Option<Range<Duration>>,
    /// When operators take one data centre out of service, or `None` for never.
    pub centre_out: Option<Range<Duration>>,
    /// When the last request arrives.
    pub end: Duration,
}

/// Time after a data centre's return until the deployment counts as settled.
pub const SETTLE_TIME: Duration = Duration::from_secs(60);

/// Time until an operator's change is in force at all instances.
pub const PROPAGATION_DELAY: Duration = Duration::from_secs(2);

impl Default for Schedule {
    fn default() -> Self {
        let secs = Duration::from_secs;
        Self {
            warm_up: secs(120),
            cold_reset: Some(secs(150)),
            flood: Some(secs(200)..secs(260)),
            swing: Some(secs(300)..secs(400)),
            centre_out: Some(secs(440)..secs(540)),
            end: secs(660),
        }
    }
}

impl Schedule {
    /// Returns whether `at` lies between the time at which operators take a data centre out of
    /// service and that at which the deployment has settled after its return.
    pub fn is_during_change(&self, at: Time) -> bool {
        let elapsed = at.since(Time(0));
        self.centre_out
            .as_ref()
            .is_some_and(|out| (out.start..out.end + SETTLE_TIME).contains(&elapsed))
    }

    /// Returns whether at `at` all instances know that a data centre is out of service, so that it
    /// gets no new work.
    pub fn is_centre_out(&self, at: Time) -> bool {
        let elapsed = at.since(Time(0));
        self.centre_out.as_ref().is_some_and(|out| {
            (out.start + PROPAGATION_DELAY..out.end + PROPAGATION_DELAY).contains(&elapsed)
        })
    }

    /// Returns whether `at` lies in a range of the schedule.
    pub fn is_within(range: &Option<Range<Duration>>, at: Time) -> bool {
        range.as_ref().is_some_and(|range| range.contains(&at.since(Time(0))))
    }
}
