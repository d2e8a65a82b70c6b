//! The seeded demand of a run: all requests in the order of their arrival.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};

use super::{Options, Schedule};
use crate::{
    clock::Time,
    config::Config,
    names::{Adapter, Class, Model, Team},
};

/// Number of entry instances.
pub const ENTRY_COUNT: usize = 8;

/// Factor by which a flood raises the demand of its team.
const FLOOD_FACTOR: f64 = 4.0;

/// Factor by which a swing raises the demand of its model.
const SWING_FACTOR: f64 = 10.0;

/// Factor by which a burst raises the demand of its team.
const BURST_FACTOR: f64 = 1.6;

/// Length of each phase of a team's demand. A phase is either a burst or not.
const PHASE_LENGTH: Duration = Duration::from_secs(10);

/// Fraction of the phases that are bursts.
const BURST_FRACTION: f64 = 0.2;

/// Fraction of a team's requests that are bound to its usual entry instance. The others pick an
/// entry instance at random.
const USUAL_ENTRY_FRACTION: f64 = 0.6;

/// Fraction of a team's requests that are background work, if the team has such classes.
const BACKGROUND_FRACTION: f64 = 0.08;

/// Fraction of a team's other requests that go to plain services, if the team has such classes.
const SERVICE_FRACTION: f64 = 0.3;

/// Fraction of a model's requests that use one of its adapters.
const ADAPTER_FRACTION: f64 = 0.5;

/// Number of prompt prefixes of each model.
const PREFIX_COUNT: u64 = 40;

/// Exponent by which a model's popularity falls with its rank.
const POPULARITY_EXPONENT: f64 = 0.9;

/// One request of the trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When the request arrives.
    pub at: Time,
    /// Team that sends the request.
    pub team: Team,
    /// Class of the request.
    pub class: Class,
    /// Model that the request uses, or `None` for a request to a plain service.
    pub model: Option<Model>,
    /// Adapter that the request uses, if any.
    pub adapter: Option<Adapter>,
    /// Hash of the prompt's prefix, or 0 for a request to a plain service.
    pub prefix_hash: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
    pub output_tokens: u64,
    /// Position of the entry instance that the caller uses.
    pub entry: usize,
    /// Random number of the request, which selects its prefix and which routing uses.
    pub random: u64,
}

impl Arrival {
    /// Returns the tokens that are charged to the request's team.
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// All requests of a run.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Requests in the order of arrival.
    pub arrivals: Vec<Arrival>,
}

/// A generator of random requests.
struct Generator<'a> {
    config: &'a Config,
    schedule: &'a Schedule,
    /// Models with their relative demand.
    models: Vec<(Model, f64)>,
    /// Model whose demand rises during a swing.
    swing_model: Model,
    rng: StdRng,
}

impl Trace {
    /// Generates the requests of a run for a configuration.
    pub fn new(config: &Config, options: &Options) -> Self {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let mut models: Vec<Model> = config.models.keys().cloned().collect();
        models.shuffle(&mut rng);
        let swing_model = models[models.len() / 2].clone();
        let weight = |rank: usize| 1.0 / ((rank + 1) as f64).powf(POPULARITY_EXPONENT);
        let models = models.into_iter().enumerate().map(|(i, m)| (m, weight(i))).collect();
        let mut generator =
            Generator { config, schedule: &options.schedule, models, swing_model, rng };
        let mut arrivals = Vec::new();
        for (number, team) in config.teams.keys().enumerate() {
            generator.draw_team(team, number, options.demand, &mut arrivals);
        }
        arrivals.sort_by(|a: &Arrival, b| (a.at, &a.team).cmp(&(b.at, &b.team)));
        Self { arrivals }
    }
}

impl Generator<'_> {
    /// Adds all requests of a team to `arrivals`. `number` is the team's position in the
    /// configuration.
    ///
    /// The times between two requests follow an exponential distribution, whose rate changes with
    /// bursts and floods.
    fn draw_team(&mut self, team: &Team, number: usize, demand: f64, arrivals: &mut Vec<Arrival>) {
        let token_rate = self.config.teams[team].rate as f64 * demand;
        let bursts = self.draw_bursts();
        let mean_tokens = self.mean_tokens(team, number);
        let mut at = 0.0;
        let end = self.schedule.end.as_secs_f64();
        // Bursts raise the mean demand, so the demand outside bursts must be lower than the mean.
        let calm_factor = 1.0 / (1.0 + BURST_FRACTION * (BURST_FACTOR - 1.0));
        loop {
            let phase = (at / PHASE_LENGTH.as_secs_f64()) as usize;
            let mut factor = if bursts.get(phase) == Some(&true) { BURST_FACTOR } else { 1.0 };
            let now = Time((at * 1e6) as u64);
            if number == 0 && Schedule::is_within(&self.schedule.flood, now) {
                factor = FLOOD_FACTOR;
            }
            let request_rate = token_rate * calm_factor * factor / mean_tokens;
            let random: f64 = self.rng.random_range(f64::EPSILON..1.0);
            at -= random.ln() / request_rate;
            if at >= end {
                return;
            }
            let arrival = self.draw_request(team, number, Time((at * 1e6) as u64));
            arrivals.push(arrival);
        }
    }

    /// Returns for each phase whether it is a burst.
    fn draw_bursts(&mut self) -> Vec<bool> {
        let phase_count = (self.schedule.end.as_secs() / PHASE_LENGTH.as_secs()) as usize + 1;
        (0..phase_count).map(|_| self.rng.random_bool(BURST_FRACTION)).collect()
    }

    /// Returns the mean number of tokens of a team's requests, estimated from a sample.
    fn mean_tokens(&mut self, team: &Team, number: usize) -> f64 {
        const SAMPLE_SIZE: u64 = 2_000;
        let tokens = (0..SAMPLE_SIZE).map(|_| self.draw_request(team, number, Time(0)).tokens());
        tokens.sum::<u64>() as f64 / SAMPLE_SIZE as f64
    }

    /// Returns a random request of a team.
    fn draw_request(&mut self, team: &Team, number: usize, at: Time) -> Arrival {
        let class = self.draw_class(team);
        let is_usual = self.rng.random_bool(USUAL_ENTRY_FRACTION);
        let entry =
            if is_usual { number % ENTRY_COUNT } else { self.rng.random_range(0..ENTRY_COUNT) };
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

    /// Fills in the model, adapter, prefix and tokens of a request to a model.
    fn draw_model_work(&mut self, arrival: &mut Arrival) {
        let model = self.draw_model(arrival.at);
        let spec = &self.config.models[&model];
        let adapters: Vec<&Adapter> = spec.adapters.keys().collect();
        if !adapters.is_empty() && self.rng.random_bool(ADAPTER_FRACTION) {
            let position = self.rng.random_range(0..adapters.len());
            arrival.adapter = Some(adapters[position].clone());
        }
        let max_tokens = f64::from(spec.max_tokens);
        let random: f64 = self.rng.random_range(f64::EPSILON..1.0);
        arrival.output_tokens = (16.0 - random.ln() * max_tokens / 4.0).min(max_tokens) as u64;
        arrival.prompt_tokens = self.rng.random_range(40..400);
        arrival.prefix_hash = arrival.random % PREFIX_COUNT + 1;
        arrival.model = Some(model);
    }

    /// Returns a random class of a team.
    fn draw_class(&mut self, team: &Team) -> Class {
        let classes = &self.config.teams[team].classes;
        let mut groups: BTreeMap<u8, Vec<&Class>> = BTreeMap::new();
        for class in classes {
            groups.entry(self.class_group(class)).or_default().push(class);
        }
        let is_background = groups.contains_key(&2) && self.rng.random_bool(BACKGROUND_FRACTION);
        let is_service = groups.contains_key(&1) && self.rng.random_bool(SERVICE_FRACTION);
        let group = if is_background { 2 } else { u8::from(is_service) };
        let candidates = groups.get(&group).or_else(|| groups.values().next());
        let candidates = candidates.expect("every team has classes");
        candidates[self.rng.random_range(0..candidates.len())].clone()
    }

    /// Returns the group of a class: 0 for model work in the foreground, 1 for plain services and 2
    /// for background work.
    fn class_group(&self, class: &Class) -> u8 {
        let is_background = self.config.classes[class].background;
        if is_background { 2 } else { u8::from(self.service_tokens(class).is_some()) }
    }

    /// Returns the tokens that a request of a plain service's class costs, or `None` for a class of
    /// model work.
    ///
    /// Background classes count as model work in the simulation, so that they compete with other
    /// work for the models.
    fn service_tokens(&self, class: &Class) -> Option<u64> {
        if self.config.classes[class].background {
            return None;
        }
        let routes = self.config.services.values().flat_map(|service| &service.routes);
        routes.filter(|route| route.class == *class).map(|route| route.tokens).next()
    }

    /// Returns a random model by the demand at `at`.
    fn draw_model(&mut self, at: Time) -> Model {
        let is_swing = Schedule::is_within(&self.schedule.swing, at);
        let weight = |(model, weight): &(Model, f64)| {
            if is_swing && *model == self.swing_model { weight * SWING_FACTOR } else { *weight }
        };
        let total: f64 = self.models.iter().map(weight).sum();
        let mut remaining = self.rng.random_range(0.0..total);
        for entry in &self.models {
            remaining -= weight(entry);
            if remaining <= 0.0 {
                return entry.0.clone();
            }
        }
        self.models[0].0.clone()
    }
}
