//! When floods, swings and faults happen during a run.

use std::{ops::Range, time::Duration};

use crate::clock::Time;

/// Floods, swings and faults by the time since the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Time before which nothing counts, in which models are placed and engines warm up.
    pub warm_up: Duration,
    /// When one engine falls back into its cold state without a sign.
    pub cold_reset: Option<Duration>,
    /// When one team sends several times its rate.
    pub flood: Option<Range<Duration>>,
    /// When one model is asked for ten times as often.
    pub swing: Option<Range<Duration>>,
    /// When one data centre is out.
    pub centre_out: Option<Range<Duration>>,
    /// End of the demand.
    pub end: Duration,
}

/// Time after a data centre's return that still counts as the change.
pub const SETTLE_TIME: Duration = Duration::from_secs(60);

/// Time after an operator's order for it to be in force everywhere.
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
    /// Returns whether a moment lies in the change of a data centre, from the order until settled.
    pub fn is_during_change(&self, at: Time) -> bool {
        let since = at.since(Time(0));
        self.centre_out
            .as_ref()
            .is_some_and(|out| (out.start..out.end + SETTLE_TIME).contains(&since))
    }

    /// Returns whether a data centre that operators took out gets no new work.
    pub fn is_centre_out(&self, at: Time) -> bool {
        let since = at.since(Time(0));
        self.centre_out.as_ref().is_some_and(|out| {
            (out.start + PROPAGATION_DELAY..out.end + PROPAGATION_DELAY).contains(&since)
        })
    }

    /// Returns whether a moment lies in a range of the schedule.
    pub fn is_within(range: &Option<Range<Duration>>, at: Time) -> bool {
        range.as_ref().is_some_and(|range| range.contains(&at.since(Time(0))))
    }
}
