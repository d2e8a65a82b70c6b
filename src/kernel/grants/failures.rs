//! Failure rates of an endpoint, by the data centre of the entry instance.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::clock::Time;

/// Weight of one outcome in the average.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Time constant with which a rate decays, so that an endpoint that failed receives requests again.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Failure rates of one endpoint, by the data centre of the entry instance.
///
/// An endpoint may fail only the requests that come from one data centre.
#[derive(Clone, Debug, Default)]
pub struct FailureRates {
    /// Failure rate and when it was updated, by data centre.
    by_data_centre: HashMap<Arc<str>, (f64, Time)>,
}

impl FailureRates {
    /// Records the outcome of a request.
    pub fn record(&mut self, data_centre: &Arc<str>, failed: bool, now: Time) {
        let old_rate = self.rate(data_centre, now);
        let new_rate = old_rate + OUTCOME_WEIGHT * (f64::from(u8::from(failed)) - old_rate);
        self.by_data_centre.insert(data_centre.clone(), (new_rate, now));
    }

    /// Returns the highest decayed failure rate of all data centres.
    pub fn highest(&self, now: Time) -> f64 {
        let rates = self.by_data_centre.keys().map(|data_centre| self.rate(data_centre, now));
        rates.fold(0.0, f64::max)
    }

    /// Returns the decayed failure rate, between 0 and 1.
    pub fn rate(&self, data_centre: &str, now: Time) -> f64 {
        let Some((rate, updated_at)) = self.by_data_centre.get(data_centre) else { return 0.0 };
        rate * (-now.since(*updated_at).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}
