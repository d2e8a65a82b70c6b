//! Seeded demand of a deployment.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};

use super::{Options, Schedule};
use crate::{
    clock::Time,
    config::Config,
    names::{Adapter, Class, Model, Team},
};

/// Entry instances of a deployment.
pub const ENTRY_COUNT: usize = 8;

/// Factor on a flooding team's demand.
const FLOOD_FACTOR: f64 = 4.0;

/// Factor on the demand for the model that swings.
const SWING_FACTOR: f64 = 10.0;

/// Factor on a team's demand within its bursts.
const BURST_FACTOR: f64 = 1.6;

/// Length of the phases of which each is a burst or not.
const PHASE_LENGTH: Duration = Duration::from_secs(10);

/// Part of the phases that are bursts.
const BURST_FRACTION: f64 = 0.2;

/// Part of a team's requests that reach its usual entry instance.
const USUAL_ENTRY_FRACTION: f64 = 0.6;

/// Part of a team's requests that are background work, where it has such classes.
const BACKGROUND_FRACTION: f64 = 0.08;

/// Part of a team's other requests that go to plain services, where it has such classes.
const SERVICE_FRACTION: f64 = 0.3;

/// Part of a model's requests that name one of its adapters.
const ADAPTER_FRACTION: f64 = 0.5;

/// Prompt prefixes in use for each model.
const PREFIX_COUNT: u64 = 40;

/// Exponent of the models' popularity by rank.
const POPULARITY_EXPONENT: f64 = 0.9;

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it arrives.
    pub at: Time,
    /// Team.
    pub team: Team,
    /// Class.
    pub class: Class,
    /// Model, or `None` for a plain service.
    pub model: Option<Model>,
    /// Adapter.
    pub adapter: Option<Adapter>,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
    /// Entry instance that the caller uses.
    pub entry: usize,
    /// Random number of the request.
    pub random: u64,
}

impl Arrival {
    /// Returns the tokens that are charged.
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// Demand of a whole run in the order of arrival.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Requests.
    pub arrivals: Vec<Arrival>,
}

/// What the demand is drawn from.
struct Generator<'a> {
    config: &'a Config,
    schedule: &'a Schedule,
    models: Vec<(Model, f64)>,
    swing_model: Model,
    rng: StdRng,
}

impl Trace {
    /// Draws the demand of a configuration.
    pub fn new(config: &Config, options: &Options) -> Self {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let mut models: Vec<Model> = config.models.keys().cloned().collect();
        models.shuffle(&mut rng);
        let swinging = models[models.len() / 2].clone();
        let weight = |rank: usize| 1.0 / ((rank + 1) as f64).powf(POPULARITY_EXPONENT);
        let models = models.into_iter().enumerate().map(|(i, m)| (m, weight(i))).collect();
        let mut source =
            Generator { config, schedule: &options.schedule, models, swing_model: swinging, rng };
        let mut arrivals = Vec::new();
        for (number, team) in config.teams.keys().enumerate() {
            source.draw_team(team, number, options.demand, &mut arrivals);
        }
        arrivals.sort_by(|a: &Arrival, b| (a.at, &a.team).cmp(&(b.at, &b.team)));
        Self { arrivals }
    }
}

impl Generator<'_> {
    fn draw_team(&mut self, team: &Team, number: usize, demand: f64, to: &mut Vec<Arrival>) {
        let rate = self.config.teams[team].rate as f64 * demand;
        let burst = self.draw_bursts();
        let mean_tokens = self.mean_tokens(team, number);
        let mut at = 0.0;
        let end = self.schedule.end.as_secs_f64();
        // Bursts raise the mean, so the rest lies below it.
        let calm = 1.0 / (1.0 + BURST_FRACTION * (BURST_FACTOR - 1.0));
        loop {
            let phase = (at / PHASE_LENGTH.as_secs_f64()) as usize;
            let mut factor = if burst.get(phase) == Some(&true) { BURST_FACTOR } else { 1.0 };
            let now = Time((at * 1e6) as u64);
            if number == 0 && Schedule::is_within(&self.schedule.flood, now) {
                factor = FLOOD_FACTOR;
            }
            let per_second = rate * calm * factor / mean_tokens;
            let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
            at -= draw.ln() / per_second;
            if at >= end {
                return;
            }
            let arrival = self.draw_request(team, number, Time((at * 1e6) as u64));
            to.push(arrival);
        }
    }

    fn draw_bursts(&mut self) -> Vec<bool> {
        let phases = (self.schedule.end.as_secs() / PHASE_LENGTH.as_secs()) as usize + 1;
        (0..phases).map(|_| self.rng.random_bool(BURST_FRACTION)).collect()
    }

    /// Returns the mean tokens of a team's requests, from a sample.
    fn mean_tokens(&mut self, team: &Team, number: usize) -> f64 {
        const SAMPLE: u64 = 2_000;
        let tokens = (0..SAMPLE).map(|_| self.draw_request(team, number, Time(0)).tokens());
        tokens.sum::<u64>() as f64 / SAMPLE as f64
    }

    fn draw_request(&mut self, team: &Team, number: usize, at: Time) -> Arrival {
        let class = self.draw_class(team);
        let usual = self.rng.random_bool(USUAL_ENTRY_FRACTION);
        let entry =
            if usual { number % ENTRY_COUNT } else { self.rng.random_range(0..ENTRY_COUNT) };
        let mut arrival = Arrival {
            at,
            team: team.clone(),
            class: class.clone(),
            model: None,
            adapter: None,
            prefix_hash: 0,
            prompt_tokens: 0,
            output_tokens: self.service_tokens(&class).unwrap_or(0),
            entry,
            random: self.rng.random(),
        };
        if self.service_tokens(&class).is_none() {
            self.draw_model_work(&mut arrival);
        }
        arrival
    }

    fn draw_model_work(&mut self, arrival: &mut Arrival) {
        let model = self.draw_model(arrival.at);
        let spec = &self.config.models[&model];
        let adapters: Vec<&Adapter> = spec.adapters.keys().collect();
        if !adapters.is_empty() && self.rng.random_bool(ADAPTER_FRACTION) {
            let position = self.rng.random_range(0..adapters.len());
            arrival.adapter = Some(adapters[position].clone());
        }
        let longest = f64::from(spec.max_tokens);
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        arrival.output_tokens = (16.0 - draw.ln() * longest / 4.0).min(longest) as u64;
        arrival.prompt_tokens = self.rng.random_range(40..400);
        arrival.prefix_hash = arrival.random % PREFIX_COUNT + 1;
        arrival.model = Some(model);
    }

    fn draw_class(&mut self, team: &Team) -> Class {
        let classes = &self.config.teams[team].classes;
        let mut groups: BTreeMap<u8, Vec<&Class>> = BTreeMap::new();
        for class in classes {
            groups.entry(self.class_group(class)).or_default().push(class);
        }
        let background = groups.contains_key(&2) && self.rng.random_bool(BACKGROUND_FRACTION);
        let service = groups.contains_key(&1) && self.rng.random_bool(SERVICE_FRACTION);
        let wanted = if background { 2 } else { u8::from(service) };
        let chosen = groups.get(&wanted).or_else(|| groups.values().next());
        let chosen = chosen.expect("a team has classes");
        chosen[self.rng.random_range(0..chosen.len())].clone()
    }

    /// Returns 0 for model work that somebody waits for, 1 for plain services, 2 for the rest.
    fn class_group(&self, class: &Class) -> u8 {
        let background = self.config.classes[class].background;
        if background { 2 } else { u8::from(self.service_tokens(class).is_some()) }
    }

    /// Returns the tokens of a plain service's class that is not background work.
    ///
    /// Background classes run on the models here, where they compete with other work.
    fn service_tokens(&self, class: &Class) -> Option<u64> {
        if self.config.classes[class].background {
            return None;
        }
        let routes = self.config.services.values().flat_map(|service| &service.routes);
        routes.filter(|route| route.class == *class).map(|route| route.tokens).next()
    }

    fn draw_model(&mut self, at: Time) -> Model {
        let swing = Schedule::is_within(&self.schedule.swing, at);
        let weight = |(model, weight): &(Model, f64)| {
            if swing && *model == self.swing_model { weight * SWING_FACTOR } else { *weight }
        };
        let all: f64 = self.models.iter().map(weight).sum();
        let mut rest = self.rng.random_range(0.0..all);
        for entry in &self.models {
            rest -= weight(entry);
            if rest <= 0.0 {
                return entry.0.clone();
            }
        }
        self.models[0].0.clone()
    }
}
