//! What became of the requests, and the figures of a run.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use super::{Arrival, Options, SAMPLE_INTERVAL};
use crate::{
    clock::Time,
    config::Config,
    kernel::quota::{Charge, TokenBucket},
    names::Team,
};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It met its class's target.
    Attained,
    /// It was answered late.
    Late,
    /// Its team's share was spent.
    OverRate,
    /// It waited until its deadline or found a full queue.
    Refused,
    /// Its endpoint failed.
    Failed,
}

/// Requests by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Count {
    /// Requests within their team's rate.
    pub asked: u64,
    /// Those that met their target.
    pub attained: u64,
}

impl Count {
    /// Returns the part that met the target; all of none did.
    pub fn fraction(self) -> f64 {
        if self.asked == 0 { 1.0 } else { self.attained as f64 / self.asked as f64 }
    }
}

/// Attainment over one period of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Sample {
    /// Start of the period in seconds since the start of the run.
    pub secs: u64,
    /// Part of the requests that met their target.
    pub part: f64,
}

/// Figures of one variant.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Variant.
    pub name: String,
    /// Requests within their team's rate.
    pub asked: u64,
    /// Part of them that met their target.
    pub attainment: f64,
    /// Requests that met their target, per second and engine.
    pub per_engine: f64,
    /// Loads per 1,000 requests that met their target.
    pub moves: f64,
    /// Team with the lowest attainment.
    pub worst_team: String,
    /// Its attainment.
    pub worst: f64,
    /// Attainment of each team.
    pub teams: BTreeMap<String, f64>,
    /// Requests refused for their team's rate although the team was within it.
    pub refused_within: u64,
    /// Requests by what became of them.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Attainment from the order that takes a data centre out until all is settled after its
    /// return.
    pub change: f64,
    /// Background requests that were admitted.
    pub background: u64,
    /// Those that did not end by their deadline.
    pub background_late: u64,
    /// Requests that met their target over time.
    pub samples: Vec<Sample>,
}

/// Counts of a run in progress.
pub struct Score<'a> {
    config: &'a Config,
    options: &'a Options,
    /// Each team's rate without any division between instances.
    team_buckets: BTreeMap<Team, TokenBucket>,
    total: Count,
    teams: BTreeMap<Team, Count>,
    change: Count,
    background: Count,
    samples: BTreeMap<u64, Count>,
    outcomes: BTreeMap<Outcome, u64>,
    refused_within: u64,
    loads: u64,
}

impl<'a> Score<'a> {
    /// Creates empty counts.
    pub fn new(config: &'a Config, options: &'a Options) -> Self {
        let bucket = |rate: u64, burst: u64| TokenBucket::empty(rate as f64, burst as f64, Time(0));
        let whole = config.teams.iter().map(|(t, s)| (t.clone(), bucket(s.rate, s.burst)));
        Self {
            config,
            options,
            team_buckets: whole.collect(),
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

    /// Returns whether a request lies within its team's rate; asked once, in the order of arrival.
    pub fn is_within_rate(&mut self, arrival: &Arrival) -> bool {
        let tokens = arrival.tokens() as f64;
        let bucket = self.team_buckets.get_mut(&arrival.team);
        bucket.is_none_or(|bucket| bucket.charge(tokens, arrival.at) == Charge::Taken)
    }

    /// Counts a load.
    pub fn record_load(&mut self, now: Time) {
        self.loads += u64::from(self.is_counted(now));
    }

    /// Counts what became of a request.
    pub fn record_outcome(&mut self, arrival: &Arrival, within: bool, outcome: Outcome) {
        if !within || !self.is_counted(arrival.at) {
            return;
        }
        let attained = outcome == Outcome::Attained;
        self.refused_within += u64::from(outcome == Outcome::OverRate);
        if self.config.classes[&arrival.class].background {
            if outcome != Outcome::OverRate {
                add(&mut self.background, attained);
            }
            return;
        }
        *self.outcomes.entry(outcome).or_default() += 1;
        add(&mut self.total, attained);
        add(self.teams.entry(arrival.team.clone()).or_default(), attained);
        let period = arrival.at.since(Time(0)).as_secs() / SAMPLE_INTERVAL.as_secs();
        add(self.samples.entry(period).or_default(), attained);
        if self.options.schedule.is_during_change(arrival.at) {
            add(&mut self.change, attained);
        }
    }

    fn is_counted(&self, at: Time) -> bool {
        at.since(Time(0)) >= self.options.schedule.warm_up
    }

    /// Returns the figures.
    pub fn row(self, name: &str, engines: usize) -> Row {
        let schedule = &self.options.schedule;
        let length = schedule.end.saturating_sub(schedule.warm_up).max(Duration::from_secs(1));
        let attained = self.total.attained as f64;
        let worst = self.teams.iter().min_by(|a, b| a.1.fraction().total_cmp(&b.1.fraction()));
        let sample = |(period, count): (&u64, &Count)| Sample {
            secs: period * SAMPLE_INTERVAL.as_secs(),
            part: count.fraction(),
        };
        Row {
            name: name.to_owned(),
            asked: self.total.asked,
            attainment: self.total.fraction(),
            per_engine: attained / length.as_secs_f64() / engines as f64,
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

fn add(count: &mut Count, attained: bool) {
    count.asked += 1;
    count.attained += u64::from(attained);
}
