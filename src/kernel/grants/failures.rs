//! How often an endpoint fails the requests of each data centre.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::clock::Time;

/// Weight of one outcome in the average.
const WEIGHT: f64 = 0.2;

/// Time after which an average counts for a third; endpoints are tried again after a while.
const FADE: Duration = Duration::from_secs(4);

/// Averages of failures, by the data centre of the callers' instance.
///
/// An endpoint may fail the callers of one data centre only.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    by_place: HashMap<Arc<str>, (f64, Time)>,
}

impl Failures {
    /// Notes an outcome.
    pub fn note(&mut self, place: &Arc<str>, failed: bool, now: Time) {
        let before = self.rate(place, now);
        let after = before + WEIGHT * (f64::from(u8::from(failed)) - before);
        self.by_place.insert(place.clone(), (after, now));
    }

    /// Returns the faded average, between 0 and 1.
    pub fn rate(&self, place: &str, now: Time) -> f64 {
        let Some((rate, at)) = self.by_place.get(place) else { return 0.0 };
        rate * (-now.since(*at).as_secs_f64() / FADE.as_secs_f64()).exp()
    }
}
