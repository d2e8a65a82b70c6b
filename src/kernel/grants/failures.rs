//! Failure rates of an endpoint, by the data centre of the entry instance.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::clock::Time;

/// Weight of one outcome in the average.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Time in which an average decays to about a third, so that endpoints are tried again.
const DECAY: Duration = Duration::from_secs(4);

/// Failure rates of one endpoint, by the data centre of the entry instance.
///
/// An endpoint may fail only the requests that come from one data centre.
#[derive(Clone, Debug, Default)]
pub struct FailureRates {
    by_data_centre: HashMap<Arc<str>, (f64, Time)>,
}

impl FailureRates {
    /// Records the outcome of a request.
    pub fn record(&mut self, data_centre: &Arc<str>, failed: bool, now: Time) {
        let before = self.rate(data_centre, now);
        let after = before + OUTCOME_WEIGHT * (f64::from(u8::from(failed)) - before);
        self.by_data_centre.insert(data_centre.clone(), (after, now));
    }

    /// Returns the decayed failure rate, between 0 and 1.
    pub fn rate(&self, data_centre: &str, now: Time) -> f64 {
        let Some((rate, at)) = self.by_data_centre.get(data_centre) else { return 0.0 };
        rate * (-now.since(*at).as_secs_f64() / DECAY.as_secs_f64()).exp()
    }
}
