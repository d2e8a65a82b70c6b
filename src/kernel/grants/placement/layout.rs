//! The models that engines hold, what is asked of them, and what a change would be worth.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{PlanInput, Swap};
use crate::kernel::grants::Endpoint;

/// Least fall of the sum of squared loads that makes a load from an engine's own copy worthwhile.
const LEAST_GAIN: f64 = 0.008;

/// Least fall of the sum of squared loads that makes a load from the weight store worthwhile.
const LEAST_STORED_GAIN: f64 = 0.02;

/// Time that the runs of a model that yields are expected to take.
const RUNS_TIME: Duration = Duration::from_millis(1_500);

/// Price of a second without loads of adapters at an engine, for each part of its load.
const BLOCK_PRICE: f64 = 0.03;

/// Models that one look considers for each need, the most pressed ones.
const MODEL_LIMIT: usize = 6;

/// Work in seconds a second below which a model counts as not in use.
const IDLE_WORK: f64 = 0.004;

/// Work in seconds a second from which a model was asked for lately.
const ASKED_WORK: f64 = 0.000_2;

/// Squared load that a run of a model that yields counts for, since the load waits for its end.
const RUN_HARM: f64 = 0.02;

/// Squared load that each second a second of work counts for while its model has no copy.
const ABSENCE_PRICE: f64 = 4.0;

/// Squared load that the load of an absent model from an engine's own copy counts for.
const OWN_LOAD_PRICE: f64 = 0.005;

/// Squared load that the load of an absent model from the weight store counts for.
const LOAD_PRICE: f64 = 0.02;

/// Squared load for which the last copy of a model that is asked for is dropped.
const ASKED_PRICE: f64 = 0.15;

/// Rank of a model without a copy that is asked for, above all gains of other loads.
const URGENT_RANK: f64 = 1e6;

/// Squared load that others may lose for a model without a copy that is asked for.
const URGENT_WORTH: f64 = 0.1;

/// Why a model is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Need {
    /// Its copies are busy.
    Busy,
    /// It has no copy, and nobody asks for it.
    Reach,
    /// It has no copy, and it is asked for.
    Urgent,
}

/// Models and loads of the engines, changes under way included.
pub(super) struct Layout {
    /// Engines that hold each model.
    holders: BTreeMap<Arc<str>, BTreeSet<usize>>,
    /// Engines that hold each model and keep it.
    usable: BTreeMap<Arc<str>, usize>,
    work: HashMap<Arc<str>, f64>,
    loads: Vec<f64>,
    /// Engines that a change is under way at.
    taken: Vec<bool>,
}

/// A way to load a model.
pub(super) struct Offer {
    /// Engine, by its position.
    pub at: usize,
    /// Why.
    pub need: Need,
    /// The change.
    pub swap: Swap,
    /// What it is worth.
    pub gain: f64,
    /// Whether the weights come from the weight store.
    pub stored: bool,
}

impl Layout {
    pub fn new(engines: &[&Endpoint], input: &PlanInput<'_>) -> Self {
        let mut holders: BTreeMap<Arc<str>, BTreeSet<usize>> = BTreeMap::new();
        let mut usable: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for (at, engine) in engines.iter().enumerate() {
            let there = engine.models.keys().filter(|model| engine.holds(model));
            for model in there.clone() {
                *usable.entry(model.clone()).or_default() += 1;
            }
            let loading = engine.loading.iter().map(|(model, _)| model);
            let planned = engine.swap.iter().map(|swap| &swap.load);
            for model in there.chain(loading).chain(planned) {
                holders.entry(model.clone()).or_default().insert(at);
            }
        }
        let rates = input.spec.models.keys();
        let work = rates.map(|model| (model.clone(), input.demand.rate(model, input.now)));
        let mut layout = Self {
            holders,
            usable,
            work: work.collect(),
            loads: vec![0.0; engines.len()],
            taken: engines.iter().map(|e| e.loading.is_some() || e.swap.is_some()).collect(),
        };
        layout.weigh();
        layout
    }

    fn weigh(&mut self) {
        self.loads.fill(0.0);
        for (model, holders) in &self.holders {
            let part = self.work_of(model) / holders.len().max(1) as f64;
            for at in holders {
                self.loads[*at] += part;
            }
        }
    }

    fn work_of(&self, model: &str) -> f64 {
        self.work.get(model).copied().unwrap_or(0.0)
    }

    fn copies(&self, model: &str) -> usize {
        self.holders.get(model).map_or(0, BTreeSet::len)
    }

    /// Returns the models that a further copy would help most.
    pub fn pressed(&self, input: &PlanInput<'_>) -> Vec<(Arc<str>, Need)> {
        let mut models: Vec<(Need, f64, &Arc<str>)> = Vec::new();
        for model in input.spec.models.keys() {
            let work = self.work_of(model);
            let waiting = input.waiting.contains_key(model);
            match self.copies(model) {
                0 if waiting || work > ASKED_WORK => models.push((Need::Urgent, work, model)),
                0 => models.push((Need::Reach, work, model)),
                copies if work > IDLE_WORK => {
                    let holders = self.holders.get(model).into_iter().flatten();
                    let load: f64 = holders.map(|at| self.loads[*at]).sum();
                    models.push((Need::Busy, load / copies as f64 * work, model));
                }
                _ => {}
            }
        }
        models.sort_by(|a, b| {
            b.0.cmp(&a.0).then_with(|| b.1.total_cmp(&a.1)).then_with(|| a.2.cmp(b.2))
        });
        let mut counts: BTreeMap<Need, usize> = BTreeMap::new();
        models.retain(|(need, ..)| {
            let count = counts.entry(*need).or_default();
            *count += 1;
            *count <= MODEL_LIMIT
        });
        models.into_iter().map(|(need, _, model)| (model.clone(), need)).collect()
    }

    pub fn offer(
        &self,
        at: usize,
        engine: &Endpoint,
        model: &Arc<str>,
        need: Need,
        input: &PlanInput<'_>,
    ) -> Option<Offer> {
        let now = input.now;
        let here = self.holders.get(model).is_some_and(|holders| holders.contains(&at));
        let ready = engine.is_open(now) && (need == Need::Urgent || engine.settled(now));
        if self.taken[at] || here || !ready {
            return None;
        }
        let unload = self.victims(engine, model, need, input)?;
        let fall = self.fall(at, engine, model, &unload);
        let stored = !engine.has_copy(model);
        let least = if stored { LEAST_STORED_GAIN } else { LEAST_GAIN };
        if need == Need::Busy && fall < least {
            return None;
        }
        // A load waits for the runs of what yields, and no adapter is loaded meanwhile.
        let runs = unload.iter().any(|name| engine.runs(name) > 0);
        let wait = if runs { RUNS_TIME.as_secs_f64() } else { 0.0 };
        let time = engine.load_time(input.spec, model).as_secs_f64() + wait;
        let gain = match need {
            Need::Urgent => {
                // What is asked for most comes first, each at the engine where it does least harm.
                let rank = URGENT_RANK * (1.0 + self.work_of(model));
                rank + fall - time * (1.0 + self.loads[at])
            }
            Need::Reach => 1e-3 + fall.min(0.0) * 1e-3 - time * 1e-6,
            Need::Busy => (fall - BLOCK_PRICE * self.loads[at] * time) / (1.0 + time),
        };
        if need == Need::Busy && gain < least / 2.0 {
            return None;
        }
        let swap = Swap { load: model.clone(), unload, since: now };
        Some(Offer { at, need, swap, gain, stored })
    }

    /// Chooses the models that make way, those first that are missed the least.
    fn victims(
        &self,
        engine: &Endpoint,
        model: &Arc<str>,
        need: Need,
        input: &PlanInput<'_>,
    ) -> Option<Vec<Arc<str>>> {
        let size = input.spec.models.get(model)?.weights_mb;
        let mut room = input.spec.weights_mb - engine.weights(input.spec);
        if need == Need::Reach {
            return (room >= size).then(Vec::new);
        }
        let harms = engine.models.keys().map(|name| {
            let harm = self.harm(engine, name) + RUN_HARM * engine.runs(name) as f64;
            (harm, name)
        });
        let mut others: Vec<(f64, &Arc<str>)> = harms.collect();
        others.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut unload = Vec::new();
        let mut harm = 0.0;
        for (each, name) in others {
            if room >= size {
                break;
            }
            harm += each;
            room += input.spec.models.get(name).map_or(0.0, |spec| spec.weights_mb);
            unload.push(name.clone());
        }
        let bearable =
            need == Need::Busy || harm <= URGENT_WORTH + ABSENCE_PRICE * self.work_of(model);
        (room >= size && bearable).then_some(unload)
    }

    /// Returns what it costs that an engine drops a model, in squared loads.
    fn harm(&self, engine: &Endpoint, name: &str) -> f64 {
        let work = self.work_of(name);
        let copies = self.usable.get(name).copied().unwrap_or(0) as f64;
        if copies > 1.0 {
            return work.powi(2) / (copies * (copies - 1.0));
        }
        self.absence(engine, name)
    }

    /// Returns what it costs that the last copy of a model is dropped.
    ///
    /// What nobody asks for, or what is there again within a second, is hardly missed. The price of
    /// other models is above what an urgent one may cost, so that two do not replace each other in
    /// turns.
    fn absence(&self, engine: &Endpoint, name: &str) -> f64 {
        let work = self.work_of(name);
        let own = engine.has_copy(name);
        let price = match () {
            () if own && work < IDLE_WORK => OWN_LOAD_PRICE,
            () if work <= ASKED_WORK => LOAD_PRICE,
            () => ASKED_PRICE,
        };
        price + ABSENCE_PRICE * work
    }

    /// Returns by how much a change lowers the sum of squared loads.
    fn fall(&self, at: usize, engine: &Endpoint, model: &str, unload: &[Arc<str>]) -> f64 {
        let mut change: BTreeMap<usize, f64> = BTreeMap::new();
        let (work, copies) = (self.work_of(model), self.copies(model) as f64);
        let part = work / (copies + 1.0);
        *change.entry(at).or_default() += part;
        for holder in self.holders.get(model).into_iter().flatten() {
            *change.entry(*holder).or_default() += part - work / copies;
        }
        for name in unload {
            let (work, copies) = (self.work_of(name), self.copies(name) as f64);
            for holder in self.holders.get(name).into_iter().flatten() {
                let after = if *holder == at { 0.0 } else { work / (copies - 1.0).max(1.0) };
                *change.entry(*holder).or_default() += after - work / copies;
            }
        }
        let falls = change.into_iter().map(|(holder, change)| {
            let before = self.loads[holder];
            before.powi(2) - (before + change).powi(2)
        });
        let last = |name: &&Arc<str>| self.usable.get(*name).is_none_or(|copies| *copies <= 1);
        let absences = unload.iter().filter(last).map(|name| self.absence(engine, name));
        falls.sum::<f64>() - absences.sum::<f64>()
    }

    pub fn apply(&mut self, offer: &Offer) {
        self.taken[offer.at] = true;
        for name in &offer.swap.unload {
            if let Some(holders) = self.holders.get_mut(name) {
                holders.remove(&offer.at);
            }
            if let Some(usable) = self.usable.get_mut(name) {
                *usable -= 1;
            }
        }
        self.holders.entry(offer.swap.load.clone()).or_default().insert(offer.at);
        self.weigh();
    }
}
