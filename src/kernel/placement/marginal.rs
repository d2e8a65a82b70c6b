//! Placement policy that puts replicas where each byte of memory gains the most.
//!
//! The gain of a further replica is the demand, in tokens a second, that it takes over from the
//! others. The loss of a removed replica is the demand that the others take over from it. Both are
//! weighted by how loaded the other replicas are. An exchange unloads some replicas to make room
//! for another one.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use super::{EngineState, Need, PlacementPolicy, Step, View};
use crate::{
    kernel::registry::PlacementPlugin,
    names::{DataCentre, EndpointId, Model},
};

/// Smallest gain, in tokens a second, for which a replica is loaded into free memory.
const MIN_GAIN: f64 = 20.0;

/// Multiple of the loss of the unloaded replicas that the gain of a new one must exceed.
const HYSTERESIS: f64 = 4.0;

/// Number of tokens that an exchange must gain within [`HORIZON_SECS`] to justify the cost of its
/// load.
const LOAD_COST_TOKENS: f64 = 6_000.0;

/// Time for which the current demand is assumed to last, in seconds.
const HORIZON_SECS: f64 = 60.0;

/// Largest number of models considered for an exchange in one round. Each of them takes a pass over
/// all engines.
const MAX_EXCHANGE_MODELS: usize = 4;

/// Factor by which the loss of a replica is increased if it is the only one in its data centre.
const SOLE_REPLICA_FACTOR: f64 = 2.0;

/// Weight of the demand for a model whose replicas are idle.
const IDLE_WEIGHT: f64 = 0.1;

/// Weight that is added if the load is at the limit; it grows with the square of the load.
const LOADED_WEIGHT: f64 = 4.0;

/// Keeps a replica of each model, then one in a second data centre where memory allows, and gives
/// the rest of the memory to the replicas that gain the most per byte.
#[derive(Debug)]
pub struct Marginal;

impl PlacementPolicy for Marginal {
    fn plan(&self, view: &View, keepers: &BTreeMap<Model, EndpointId>) -> Vec<Step> {
        let replicas = replicas_by_model(view);
        let mut draft = Draft { view: view.clone(), keepers, replicas, steps: Vec::new() };
        draft.load_missing();
        draft.add_second_data_centres();
        draft.add_replicas();
        draft.exchange_replicas();
        draft.steps
    }
}

/// A plan under construction.
struct Draft<'a> {
    /// State of the engines and models after the steps.
    view: View,
    /// Keeper of each model, which must not unload it.
    keepers: &'a BTreeMap<Model, EndpointId>,
    /// Positions in the view of the engines in service that have or load each model.
    replicas: HashMap<Model, Vec<usize>>,
    /// Steps in the order of their urgency.
    steps: Vec<Step>,
}

/// Returns the positions of the engines in service that have or load each model.
fn replicas_by_model(view: &View) -> HashMap<Model, Vec<usize>> {
    let mut replicas: HashMap<Model, Vec<usize>> = HashMap::new();
    for (position, engine) in
        view.engines.iter().enumerate().filter(|(_, engine)| engine.in_service)
    {
        for model in engine.resident.union(&engine.loading) {
            replicas.entry(model.clone()).or_default().push(position);
        }
    }
    replicas
}

impl Draft<'_> {
    /// Loads the models without a replica, those with the greatest need first, and makes room for
    /// them if no engine has enough free memory.
    fn load_missing(&mut self) {
        let missing = self.models_by_need(|draft, model| draft.replicas(model).next().is_none());
        for (model, need) in missing {
            match self.best_engine(&model, &need) {
                Some(endpoint) => self.load(endpoint, &model),
                None => {
                    self.make_room(&model, &need, f64::INFINITY);
                }
            }
        }
    }

    /// Loads models with replicas in only one data centre into free memory in another one.
    fn add_second_data_centres(&mut self) {
        let single = self.models_by_need(|draft, model| draft.data_centres(model).len() == 1);
        for (model, need) in single {
            let used = self.data_centres(&model);
            let elsewhere = |engine: &EngineState| !used.contains(&engine.data_centre);
            if let Some(endpoint) = self.best_engine_where(&model, &need, elsewhere) {
                self.load(endpoint, &model);
            }
        }
    }

    /// Loads the replicas with the highest gain per byte into free memory.
    fn add_replicas(&mut self) {
        for (model, need) in self.models_by_gain(|gain, need| gain / need.bytes.max(1) as f64) {
            if self.gain(&model, &need) >= MIN_GAIN
                && let Some(endpoint) = self.best_engine(&model, &need)
            {
                self.load(endpoint, &model);
            }
        }
    }

    /// Unloads replicas to make room for a replica with a high gain.
    ///
    /// Models are compared by their gain instead of their gain per byte, since the number of
    /// exchanges is more limited than memory.
    fn exchange_replicas(&mut self) {
        if !self.view.may_exchange {
            return;
        }
        for (model, need) in
            self.models_by_gain(|gain, _| gain).into_iter().take(MAX_EXCHANGE_MODELS)
        {
            let gain = self.gain(&model, &need);
            if gain < MIN_GAIN {
                return;
            }
            if !self.is_on_every_engine(&model, &need) && self.make_room(&model, &need, gain) {
                return;
            }
        }
    }

    /// Returns whether every engine of the pool that is in service has or loads the model.
    fn is_on_every_engine(&self, model: &Model, need: &Need) -> bool {
        let mut engines = self.view.engines.iter().filter(|e| e.in_service && e.pool == need.pool);
        engines.all(|engine| engine.has_or_loads(model))
    }

    /// Returns the models that `is_candidate` accepts: first those with the most waiting requests,
    /// then those with the highest demand.
    fn models_by_need(&self, is_candidate: impl Fn(&Self, &Model) -> bool) -> Vec<(Model, Need)> {
        let needs = self.view.needs.iter().filter(|(model, _)| is_candidate(self, model));
        let mut needs: Vec<(Model, Need)> = needs.map(|(m, n)| (m.clone(), n.clone())).collect();
        needs.sort_by(|(_, a), (_, b)| {
            b.waiting.cmp(&a.waiting).then(b.demand.total_cmp(&a.demand))
        });
        needs
    }

    /// Returns the models that have a replica, sorted by the score of one more replica, the highest
    /// first. `score` computes it from the gain.
    fn models_by_gain(&self, score: impl Fn(f64, &Need) -> f64) -> Vec<(Model, Need)> {
        let needs = self.models_by_need(|draft, model| draft.replicas(model).next().is_some());
        let score_of = |(m, n): &(Model, Need)| score(self.gain(m, n), n);
        let mut needs: Vec<_> = needs.into_iter().map(|entry| (score_of(&entry), entry)).collect();
        needs.sort_by(|a, b| b.0.total_cmp(&a.0));
        needs.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Returns the best engine for a new replica of the model, if any has enough free memory.
    fn best_engine(&self, model: &Model, need: &Need) -> Option<EndpointId> {
        self.best_engine_where(model, need, |_| true)
    }

    /// Returns the best engine for a new replica among those that `is_candidate` accepts.
    ///
    /// An engine in a data centre with few replicas of the model is preferred, then one with little
    /// load.
    fn best_engine_where(
        &self,
        model: &Model,
        need: &Need,
        is_candidate: impl Fn(&EngineState) -> bool,
    ) -> Option<EndpointId> {
        let fits = |engine: &&EngineState| {
            engine.in_service
                && engine.pool == need.pool
                && engine.free >= need.bytes
                && !engine.has_or_loads(model)
        };
        let local_replicas = |engine: &EngineState| {
            let same = |other: &&EngineState| other.data_centre == engine.data_centre;
            self.replicas(model).filter(same).count()
        };
        let engines = self.view.engines.iter().filter(fits).filter(|engine| is_candidate(engine));
        let best = engines.min_by_key(|engine| {
            (
                local_replicas(engine),
                engine.load,
                engine.loading.len(),
                Reverse(engine.free),
                &engine.endpoint,
            )
        });
        best.map(|engine| engine.endpoint.clone())
    }

    /// Adds the load of a model to the plan.
    fn load(&mut self, endpoint: EndpointId, model: &Model) {
        let bytes = self.view.needs.get(model).map_or(0, |need| need.bytes);
        let position = self.view.engines.iter().position(|engine| engine.endpoint == endpoint);
        if let Some(position) = position {
            let engine = &mut self.view.engines[position];
            engine.loading.insert(model.clone());
            engine.free = engine.free.saturating_sub(bytes);
            self.replicas.entry(model.clone()).or_default().push(position);
        }
        self.steps.push(Step::Load { endpoint, model: model.clone() });
    }

    /// Adds unloads to the plan that make room for a model at the engine where they lose the least,
    /// if the gain exceeds that loss by enough. Returns whether room is being made.
    ///
    /// The load follows in a later round, when the engine reports the memory as free.
    fn make_room(&mut self, model: &Model, need: &Need, gain: f64) -> bool {
        if self.reserve_freeing_memory(model, need) {
            return true;
        }
        let is_candidate = |engine: &&EngineState| {
            engine.in_service && engine.pool == need.pool && !engine.has_or_loads(model)
        };
        let engines = self.view.engines.iter().filter(is_candidate);
        let urgent = gain.is_infinite();
        let evictions = engines.filter_map(|engine| self.find_eviction(engine, need.bytes, urgent));
        let Some(eviction) = evictions.min_by(|a, b| a.loss.total_cmp(&b.loss)) else {
            return false;
        };
        let is_worthwhile = gain > eviction.loss * HYSTERESIS
            && (gain - eviction.loss) * HORIZON_SECS > LOAD_COST_TOKENS;
        if !is_worthwhile {
            return false;
        }
        for model in eviction.models {
            if let Some(engine) = self.view.engine_mut(&eviction.endpoint) {
                engine.resident.remove(&model);
                engine.free = 0;
            }
            let view = &self.view;
            if let Some(replicas) = self.replicas.get_mut(&model) {
                replicas.retain(|position| view.engines[*position].endpoint != eviction.endpoint);
            }
            self.steps.push(Step::Unload { endpoint: eviction.endpoint.clone(), model });
        }
        true
    }

    /// Reserves memory for a model out of what unloads in progress will free; returns whether any
    /// engine has enough.
    fn reserve_freeing_memory(&mut self, model: &Model, need: &Need) -> bool {
        let fits = |engine: &&mut EngineState| {
            engine.in_service
                && engine.pool == need.pool
                && !engine.has_or_loads(model)
                && engine.freeing > 0
                && engine.free + engine.freeing >= need.bytes
        };
        let Some(engine) = self.view.engines.iter_mut().find(fits) else { return false };
        engine.freeing = (engine.free + engine.freeing).saturating_sub(need.bytes);
        engine.free = 0;
        true
    }

    /// Returns the replicas to unload at an engine for `bytes` of free memory, if it has enough
    /// that may be unloaded. Those with the smallest loss are chosen first.
    ///
    /// Unless `urgent`, only replicas of models that remain in two data centres are chosen.
    fn find_eviction(&self, engine: &EngineState, bytes: u64, urgent: bool) -> Option<Eviction> {
        let mut victims: Vec<(f64, &Model)> = engine
            .resident
            .iter()
            .filter(|model| {
                self.is_evictable(engine, model)
                    && (urgent || self.keeps_two_data_centres(engine, model))
            })
            .map(|model| (self.loss(engine, model), model))
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut eviction =
            Eviction { endpoint: engine.endpoint.clone(), models: Vec::new(), loss: 0.0 };
        let mut free = engine.free;
        for (loss, model) in victims {
            if free >= bytes {
                break;
            }
            free += self.view.needs.get(model).map_or(0, |need| need.bytes);
            eviction.loss += loss;
            eviction.models.push(model.clone());
        }
        (free >= bytes && !eviction.models.is_empty()).then_some(eviction)
    }

    /// Returns whether the replicas on the other engines are in at least two data centres. If not,
    /// the next round would load the unloaded replica again.
    fn keeps_two_data_centres(&self, engine: &EngineState, model: &Model) -> bool {
        let others =
            self.resident_replicas(model).filter(|other| other.endpoint != engine.endpoint);
        others.map(|other| &other.data_centre).collect::<BTreeSet<_>>().len() > 1
    }

    /// Returns whether the model is resident on another engine and has another engine as its
    /// keeper.
    fn is_evictable(&self, engine: &EngineState, model: &Model) -> bool {
        let keeper = self.keepers.get(model);
        let others =
            self.resident_replicas(model).filter(|other| other.endpoint != engine.endpoint);
        keeper.is_some_and(|keeper| *keeper != engine.endpoint) && others.count() > 0
    }

    /// Returns the engines in service that have or load a model.
    fn replicas<'b>(&'b self, model: &Model) -> impl Iterator<Item = &'b EngineState> + use<'b> {
        let positions = self.replicas.get(model).map_or(&[][..], Vec::as_slice);
        positions.iter().map(|position| &self.view.engines[*position])
    }

    /// Returns the engines in service on which a model is resident.
    fn resident_replicas<'b>(&'b self, model: &'b Model) -> impl Iterator<Item = &'b EngineState> {
        self.replicas(model).filter(move |engine| engine.resident.contains(model))
    }

    /// Returns the data centres with an engine that has or loads the model.
    fn data_centres(&self, model: &Model) -> BTreeSet<DataCentre> {
        self.replicas(model).map(|engine| engine.data_centre.clone()).collect()
    }

    /// Returns the gain of one more replica: the tokens a second by which it relieves each of the
    /// others, weighted by how loaded they are.
    fn gain(&self, model: &Model, need: &Need) -> f64 {
        let count = self.replicas(model).count() as f64;
        if count == 0.0 {
            return f64::INFINITY;
        }
        need.demand * self.weight(model, None) / (count * (count + 1.0))
    }

    /// Returns the loss if a replica is removed: the tokens a second that each remaining replica
    /// takes over, weighted by how loaded they are.
    fn loss(&self, engine: &EngineState, model: &Model) -> f64 {
        let count = self.resident_replicas(model).count() as f64;
        let demand = self.view.needs.get(model).map_or(0.0, |need| need.demand);
        let local_replicas =
            self.resident_replicas(model).filter(|other| other.data_centre == engine.data_centre);
        let factor = if local_replicas.count() == 1 { SOLE_REPLICA_FACTOR } else { 1.0 };
        let weight = self.weight(model, Some(&engine.endpoint));
        demand * weight * factor / (count * (count - 1.0)).max(1.0)
    }

    /// Returns the weight of a model's demand, which grows with the load of its least loaded
    /// replica. The replica at endpoint `excluded` is ignored.
    fn weight(&self, model: &Model, excluded: Option<&EndpointId>) -> f64 {
        let others =
            self.resident_replicas(model).filter(|engine| Some(&engine.endpoint) != excluded);
        let load = others.map(|engine| engine.load).min().unwrap_or(0) as f64 / 1_000.0;
        IDLE_WEIGHT + LOADED_WEIGHT * load * load
    }
}

/// Replicas to unload at one engine.
struct Eviction {
    /// Endpoint of the engine.
    endpoint: EndpointId,
    /// Models whose replicas are unloaded.
    models: Vec<Model>,
    /// Sum of the losses of the replicas, in weighted tokens a second.
    loss: f64,
}

inventory::submit! { PlacementPlugin { name: "marginal", policy: &Marginal } }
