//! Counts the outcomes of the requests and computes the figures of a run.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use super::{Arrival, Options, SAMPLE_INTERVAL};
use crate::{
    clock::Time,
    config::Config,
    kernel::quota::{Charge, TokenBucket},
    names::Team,
};

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The response met the target of the request's class.
    Attained,
    /// The response was whole, but missed the target.
    Late,
    /// The team's share held too few tokens.
    OverRate,
    /// The request waited until its deadline or found a full queue.
    Refused,
    /// The endpoints crashed in all attempts.
    Failed,
}

/// A number of requests and how many of them met their target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Count {
    /// Requests within their team's rate.
    pub asked: u64,
    /// Requests that met their target.
    pub attained: u64,
}

impl Count {
    /// Returns the fraction of the requests that met their target, which is 1 without requests.
    pub fn fraction(self) -> f64 {
        if self.asked == 0 { 1.0 } else { self.attained as f64 / self.asked as f64 }
    }
}

/// The attainment in one interval of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Sample {
    /// Start of the interval, in seconds since the start of the run.
    pub secs: u64,
    /// Fraction of the requests that met their target.
    pub part: f64,
}

/// The figures of one variant. Attainment is the fraction of the requests within their team's rate
/// that met their target.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Name of the variant.
    pub name: String,
    /// Number of requests within their team's rate.
    pub asked: u64,
    /// Attainment of all teams together.
    pub attainment: f64,
    /// Requests that met their target, per second and engine.
    pub per_engine: f64,
    /// Loads per 1,000 requests that met their target.
    pub moves: f64,
    /// Team with the lowest attainment.
    pub worst_team: String,
    /// Attainment of that team.
    pub worst: f64,
    /// Attainment of each team.
    pub teams: BTreeMap<String, f64>,
    /// Requests that were refused because of their team's rate although the team was within it.
    pub refused_within: u64,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Attainment from when operators take a data centre out of service until the deployment has
    /// settled after its return.
    pub change: f64,
    /// Number of background requests that were admitted.
    pub background: u64,
    /// Number of background requests that did not end by their deadline.
    pub background_late: u64,
    /// Attainment over time.
    pub samples: Vec<Sample>,
}

/// The counts of a run in progress.
pub struct Score<'a> {
    config: &'a Config,
    options: &'a Options,
    /// Bucket of each team with its whole rate, as if one instance admitted all requests.
    team_buckets: BTreeMap<Team, TokenBucket>,
    /// Requests in the foreground.
    total: Count,
    /// Requests in the foreground, by team.
    teams: BTreeMap<Team, Count>,
    /// Requests in the foreground while a data centre changes.
    change: Count,
    /// Background requests that were admitted.
    background: Count,
    /// Requests in the foreground, by the number of the sample interval.
    samples: BTreeMap<u64, Count>,
    /// Requests in the foreground, by outcome.
    outcomes: BTreeMap<Outcome, u64>,
    refused_within: u64,
    loads: u64,
}

impl<'a> Score<'a> {
    /// Creates the counts of a run before its first request.
    pub fn new(config: &'a Config, options: &'a Options) -> Self {
        let bucket = |rate: u64, burst: u64| TokenBucket::empty(rate as f64, burst as f64, Time(0));
        let team_buckets = config.teams.iter().map(|(t, s)| (t.clone(), bucket(s.rate, s.burst)));
        Self {
            config,
            options,
            team_buckets: team_buckets.collect(),
            total: Count::default(),
            teams: BTreeMap::new(),
            change: Count::default(),
            background: Count::default(),
            samples: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            refused_within: 0,
            loads: 0,
        }
    }

    /// Returns whether a request is within its team's rate.
    ///
    /// The caller does this once for each request, in the order of arrival.
    pub fn is_within_rate(&mut self, arrival: &Arrival) -> bool {
        let tokens = arrival.tokens() as f64;
        let bucket = self.team_buckets.get_mut(&arrival.team);
        bucket.is_none_or(|bucket| bucket.charge(tokens, arrival.at) == Charge::Taken)
    }

    /// Records a load of a model.
    pub fn record_load(&mut self, now: Time) {
        self.loads += u64::from(self.is_counted(now));
    }

    /// Records the outcome of a request; `within_rate` says whether it was within its team's rate.
    ///
    /// Requests over their team's rate and requests during the warm-up are not counted.
    pub fn record_outcome(&mut self, arrival: &Arrival, within_rate: bool, outcome: Outcome) {
        if !within_rate || !self.is_counted(arrival.at) {
            return;
        }
        let attained = outcome == Outcome::Attained;
        self.refused_within += u64::from(outcome == Outcome::OverRate);
        if self.config.classes[&arrival.class].background {
            if outcome != Outcome::OverRate {
                count_request(&mut self.background, attained);
            }
            return;
        }
        *self.outcomes.entry(outcome).or_default() += 1;
        count_request(&mut self.total, attained);
        count_request(self.teams.entry(arrival.team.clone()).or_default(), attained);
        let interval = arrival.at.since(Time(0)).as_secs() / SAMPLE_INTERVAL.as_secs();
        count_request(self.samples.entry(interval).or_default(), attained);
        if self.options.schedule.is_during_change(arrival.at) {
            count_request(&mut self.change, attained);
        }
    }

    /// Returns whether `at` lies after the warm-up of the run.
    fn is_counted(&self, at: Time) -> bool {
        at.since(Time(0)) >= self.options.schedule.warm_up
    }

    /// Returns the figures of the run for a deployment with `engine_count` engines.
    pub fn row(self, name: &str, engine_count: usize) -> Row {
        let schedule = &self.options.schedule;
        let length = schedule.end.saturating_sub(schedule.warm_up).max(Duration::from_secs(1));
        let attained = self.total.attained as f64;
        let worst = self.teams.iter().min_by(|a, b| a.1.fraction().total_cmp(&b.1.fraction()));
        let sample = |(interval, count): (&u64, &Count)| Sample {
            secs: interval * SAMPLE_INTERVAL.as_secs(),
            part: count.fraction(),
        };
        Row {
            name: name.to_owned(),
            asked: self.total.asked,
            attainment: self.total.fraction(),
            per_engine: attained / length.as_secs_f64() / engine_count as f64,
            moves: self.loads as f64 * 1_000.0 / attained.max(1.0),
            worst_team: worst.map(|(team, _)| team.to_string()).unwrap_or_default(),
            worst: worst.map_or(1.0, |(_, count)| count.fraction()),
            teams: self.teams.iter().map(|(t, count)| (t.to_string(), count.fraction())).collect(),
            refused_within: self.refused_within,
            outcomes: self.outcomes,
            change: self.change.fraction(),
            background: self.background.asked,
            background_late: self.background.asked - self.background.attained,
            samples: self.samples.iter().map(sample).collect(),
        }
    }
}

/// Adds one request to a count.
fn count_request(count: &mut Count, attained: bool) {
    count.asked += 1;
    count.attained += u64::from(attained);
}
