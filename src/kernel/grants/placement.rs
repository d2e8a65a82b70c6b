//! Which engine loads which model.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::Endpoint;
use crate::{catalog::EngineSpec, clock::Time};

/// Time over which demand is averaged.
const MEMORY: Duration = Duration::from_secs(3);

/// Work in seconds a second that makes one more copy of a model worthwhile.
const COPY_WORK: f64 = 0.12;

/// How many times busier a model's copies must be than those of the model that yields.
const SWAP_GAIN: f64 = 1.8;

/// Shortest time between the loads of two models at one engine.
const SETTLE: Duration = Duration::from_secs(2);

/// Work that each model asks of its copies, averaged.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    models: HashMap<Arc<str>, (f64, Time)>,
}

impl Demand {
    /// Notes a request that costs an engine `work`.
    pub fn note(&mut self, model: &Arc<str>, work: Duration, now: Time) {
        let before = self.rate(model, now);
        let added = work.as_secs_f64() / MEMORY.as_secs_f64();
        self.models.insert(model.clone(), (before + added, now));
    }

    /// Returns the work of a model in seconds a second.
    pub fn rate(&self, model: &str, now: Time) -> f64 {
        let Some((rate, at)) = self.models.get(model) else { return 0.0 };
        rate * (-now.since(*at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

/// A change of the models of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// Model to load.
    pub load: Arc<str>,
    /// Models to drop before.
    pub unload: Vec<Arc<str>>,
    /// When it was decided.
    pub since: Time,
}

impl Swap {
    /// Returns whether the change drops a model.
    pub fn drops(&self, model: &str) -> bool {
        self.unload.iter().any(|name| &**name == model)
    }
}

/// Copies of one model, those on their way included.
#[derive(Clone, Copy, Default)]
struct Copies {
    count: usize,
    coming: usize,
}

/// What the planner looks at.
pub struct PlanInput<'a> {
    /// Make of the engines.
    pub spec: &'a EngineSpec,
    /// Demand.
    pub demand: &'a Demand,
    /// Models for which requests wait, with their number.
    pub waiting: &'a HashMap<Arc<str>, usize>,
    /// Loads from the weight store that may start now.
    pub loads: usize,
    /// Present time.
    pub now: Time,
}

/// Chooses the next changes, most wanted first.
pub fn plan<'a>(
    engines: impl Iterator<Item = &'a Endpoint>,
    input: &PlanInput<'_>,
) -> Vec<(Arc<str>, Swap)> {
    let engines: Vec<&Endpoint> = engines.filter(|engine| !engine.is_leaving()).collect();
    let mut copies = count(&engines);
    let mut changes: Vec<(Arc<str>, Swap)> = Vec::new();
    let mut loads = input.loads;
    for (model, pressure) in wanted(input, &copies) {
        let taken = |engine: &&Endpoint| !changes.iter().any(|(id, _)| *id == engine.info.id);
        let free = engines.iter().copied().filter(taken);
        let best = free.filter_map(|engine| offer(engine, &model, pressure, &copies, input));
        let Some(best) = best.min_by(|a, b| a.price.total_cmp(&b.price)) else { continue };
        if best.stored {
            if loads == 0 {
                continue;
            }
            loads -= 1;
        }
        for name in &best.swap.unload {
            copies.entry(name.clone()).or_default().count -= 1;
        }
        changes.push((best.engine, best.swap));
    }
    changes
}

fn count(engines: &[&Endpoint]) -> BTreeMap<Arc<str>, Copies> {
    let mut copies: BTreeMap<Arc<str>, Copies> = BTreeMap::new();
    for engine in engines {
        for model in engine.models.keys().filter(|model| engine.holds(model)) {
            copies.entry(model.clone()).or_default().count += 1;
        }
        let coming = engine.loading.iter().map(|(model, _)| model);
        for model in coming.chain(engine.swap.iter().map(|swap| &swap.load)) {
            copies.entry(model.clone()).or_default().coming += 1;
        }
    }
    copies
}

/// Returns the models that need a further copy with the work of each copy, the most pressed first.
fn wanted(input: &PlanInput<'_>, copies: &BTreeMap<Arc<str>, Copies>) -> Vec<(Arc<str>, f64)> {
    let mut wanted: Vec<(Arc<str>, f64)> = Vec::new();
    for model in input.spec.models.keys() {
        let Copies { count, coming } = copies.get(model).copied().unwrap_or_default();
        let waiting = input.waiting.get(model).copied().unwrap_or(0);
        let rate = input.demand.rate(model, input.now);
        let pressure = match count + coming {
            0 if waiting > 0 => 1e6 + rate,
            0 => 1e3 + rate,
            n => rate / n as f64,
        };
        if pressure > COPY_WORK && coming < 2 {
            wanted.push((model.clone(), pressure));
        }
    }
    wanted.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    wanted
}

/// A way to load a model.
struct Offer {
    engine: Arc<str>,
    swap: Swap,
    price: f64,
    /// Whether the weights come from the weight store.
    stored: bool,
}

fn offer(
    engine: &Endpoint,
    model: &Arc<str>,
    pressure: f64,
    copies: &BTreeMap<Arc<str>, Copies>,
    input: &PlanInput<'_>,
) -> Option<Offer> {
    let now = input.now;
    let settled = engine.settled(now);
    let busy = engine.loading.is_some() || engine.swap.is_some() || !engine.is_open(now);
    let urgent = pressure >= 1e6;
    if busy || engine.models.contains_key(model) || engine.is_cold(now) || !(settled || urgent) {
        return None;
    }
    let size = input.spec.models.get(model)?.weights;
    let mut room = input.spec.weights - engine.weights(input.spec);
    let mut unload = Vec::new();
    let mut loss = 0.0;
    let mut victims: Vec<(f64, &Arc<str>)> = Vec::new();
    for name in engine.models.keys() {
        let left = copies.get(name).map_or(0, |copies| copies.count);
        let rate = input.demand.rate(name, now);
        let after = if left > 1 { rate / (left - 1) as f64 } else { 1e4 + rate };
        victims.push((after, name));
    }
    victims.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    for (after, name) in victims {
        if room >= size {
            break;
        }
        let last = after >= 1e4;
        let idle = input.demand.rate(name, now) < COPY_WORK / 10.0;
        if (last && !(urgent && idle)) || (!last && pressure < after * SWAP_GAIN) {
            return None;
        }
        room += input.spec.models.get(name).map_or(0.0, |spec| spec.weights);
        loss += after + engine.runs(name) as f64;
        unload.push(name.clone());
    }
    if room < size {
        return None;
    }
    let stored = !engine.has_copy(model);
    let load: f64 = engine.models.keys().map(|name| input.demand.rate(name, now)).sum();
    let slow = engine.load_time(input.spec, model).as_secs_f64();
    let price = loss * 2.0 + load + slow + engine.running.len() as f64 * 0.02;
    let swap = Swap { load: model.clone(), unload, since: now };
    Some(Offer { engine: engine.info.id.clone(), swap, price, stored })
}

impl Endpoint {
    /// Returns whether no model was loaded here lately.
    fn settled(&self, now: Time) -> bool {
        now.since(self.loaded) >= SETTLE
    }

    /// Returns whether the engine has the weights of a model in its memory or on its disk.
    pub(super) fn has_copy(&self, model: &str) -> bool {
        let copies = self.info.in_memory.iter().chain(&self.info.on_disk);
        copies.into_iter().any(|name| &**name == model)
    }

    /// Returns how long a load of a model takes here.
    pub(super) fn load_time(&self, spec: &EngineSpec, model: &str) -> Duration {
        let Some(spec) = spec.models.get(model) else { return Duration::ZERO };
        let among = |names: &[Arc<str>]| names.iter().any(|name| &**name == model);
        match () {
            () if among(&self.info.in_memory) => spec.warm,
            () if among(&self.info.on_disk) => spec.disk,
            () => spec.load,
        }
    }
}
