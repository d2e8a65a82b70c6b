//! Places copies where a byte of memory gains most.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use super::{EngineState, Need, PlacementPolicy, Step, View};
use crate::{
    kernel::registry::PlacementPlugin,
    names::{DataCentre, EndpointId, Model},
};

/// Tokens a second that a further copy must relieve to be worth a load into free memory.
const MIN_GAIN: f64 = 20.0;

/// Gain of a new copy over the loss of an old one from which they are exchanged.
const HYSTERESIS: f64 = 4.0;

/// Tokens that an exchange must gain within [`HORIZON_SECS`] to pay for its load.
const LOAD_COST_TOKENS: f64 = 6_000.0;

/// Time for which demand is taken to last, in seconds.
const HORIZON_SECS: f64 = 60.0;

/// Models for which room is sought in one round, since each costs a look at every endpoint.
const MAX_EXCHANGE_MODELS: usize = 4;

/// Factor on the loss of a copy that is its data centre's only one.
const SOLE_REPLICA_FACTOR: f64 = 2.0;

/// Weight of demand whose copies are idle.
const IDLE_WEIGHT: f64 = 0.1;

/// Weight of demand whose copies run at their limit, for each limit's worth of requests there.
const LOADED_WEIGHT: f64 = 4.0;

/// Keeps one copy of each model, then two data centres where memory allows, and gives the rest
/// of the memory to the copies that relieve most requests per byte.
#[derive(Debug)]
pub struct Marginal;

impl PlacementPolicy for Marginal {
    fn plan(&self, view: &View, keepers: &BTreeMap<Model, EndpointId>) -> Vec<Step> {
        let holders = replicas_by_model(view);
        let mut draft = Draft { view: view.clone(), keepers, replicas: holders, steps: Vec::new() };
        draft.load_missing();
        draft.add_second_data_centres();
        draft.add_replicas();
        draft.exchange_replicas();
        draft.steps
    }
}

/// A plan in the making; `view` shows the state after its steps.
struct Draft<'a> {
    view: View,
    keepers: &'a BTreeMap<Model, EndpointId>,
    /// Positions of the open endpoints that hold or load each model.
    replicas: HashMap<Model, Vec<usize>>,
    steps: Vec<Step>,
}

fn replicas_by_model(view: &View) -> HashMap<Model, Vec<usize>> {
    let mut holders: HashMap<Model, Vec<usize>> = HashMap::new();
    for (position, site) in view.engines.iter().enumerate().filter(|(_, site)| site.in_service) {
        for model in site.resident.union(&site.loading) {
            holders.entry(model.clone()).or_default().push(position);
        }
    }
    holders
}

impl Draft<'_> {
    /// Loads models without a copy, the most wanted first, and makes room where none is left.
    fn load_missing(&mut self) {
        let lost = self.models_by_need(|draft, model| draft.replicas(model).next().is_none());
        for (model, need) in lost {
            match self.best_engine(&model, &need) {
                Some(endpoint) => self.load(endpoint, &model),
                None => {
                    self.make_room(&model, &need, f64::INFINITY);
                }
            }
        }
    }

    /// Gives models a copy in a second data centre where memory is free.
    fn add_second_data_centres(&mut self) {
        let single = self.models_by_need(|draft, model| draft.data_centres(model).len() == 1);
        for (model, need) in single {
            let known = self.data_centres(&model);
            let elsewhere = |site: &EngineState| !known.contains(&site.data_centre);
            if let Some(endpoint) = self.best_engine_where(&model, &need, elsewhere) {
                self.load(endpoint, &model);
            }
        }
    }

    /// Adds the copies with the highest gain per byte in free memory.
    fn add_replicas(&mut self) {
        for (model, need) in self.models_by_gain(|gain, need| gain / need.bytes.max(1) as f64) {
            if self.gain(&model, &need) >= MIN_GAIN
                && let Some(endpoint) = self.best_engine(&model, &need)
            {
                self.load(endpoint, &model);
            }
        }
    }

    /// Begins the exchange of copies that gains most, whatever its size, since exchanges are rarer
    /// than bytes.
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

    /// Returns whether every endpoint of the pool holds the model.
    fn is_on_every_engine(&self, model: &Model, need: &Need) -> bool {
        let mut sites = self.view.engines.iter().filter(|s| s.in_service && s.pool == need.pool);
        sites.all(|site| site.has_or_loads(model))
    }

    fn models_by_need(&self, wanted: impl Fn(&Self, &Model) -> bool) -> Vec<(Model, Need)> {
        let needs = self.view.needs.iter().filter(|(model, _)| wanted(self, model));
        let mut needs: Vec<(Model, Need)> = needs.map(|(m, n)| (m.clone(), n.clone())).collect();
        needs.sort_by(|(_, a), (_, b)| {
            b.waiting.cmp(&a.waiting).then(b.demand.total_cmp(&a.demand))
        });
        needs
    }

    /// Returns the models with a copy, those first whose next copy is worth most.
    fn models_by_gain(&self, worth: impl Fn(f64, &Need) -> f64) -> Vec<(Model, Need)> {
        let needs = self.models_by_need(|draft, model| draft.replicas(model).next().is_some());
        let worth_of = |(m, n): &(Model, Need)| worth(self.gain(m, n), n);
        let mut needs: Vec<_> = needs.into_iter().map(|entry| (worth_of(&entry), entry)).collect();
        needs.sort_by(|a, b| b.0.total_cmp(&a.0));
        needs.into_iter().map(|(_, entry)| entry).collect()
    }

    fn best_engine(&self, model: &Model, need: &Need) -> Option<EndpointId> {
        self.best_engine_where(model, need, |_| true)
    }

    /// Returns the endpoint with room in the data centre that holds the fewest copies.
    fn best_engine_where(
        &self,
        model: &Model,
        need: &Need,
        wanted: impl Fn(&EngineState) -> bool,
    ) -> Option<EndpointId> {
        let fits = |site: &&EngineState| {
            site.in_service
                && site.pool == need.pool
                && site.free >= need.bytes
                && !site.has_or_loads(model)
        };
        let near = |site: &EngineState| {
            let same = |other: &&EngineState| other.data_centre == site.data_centre;
            self.replicas(model).filter(same).count()
        };
        let sites = self.view.engines.iter().filter(fits).filter(|site| wanted(site));
        let best = sites.min_by_key(|site| {
            (near(site), site.load, site.loading.len(), Reverse(site.free), &site.endpoint)
        });
        best.map(|site| site.endpoint.clone())
    }

    fn load(&mut self, endpoint: EndpointId, model: &Model) {
        let bytes = self.view.needs.get(model).map_or(0, |need| need.bytes);
        let position = self.view.engines.iter().position(|site| site.endpoint == endpoint);
        if let Some(position) = position {
            let site = &mut self.view.engines[position];
            site.loading.insert(model.clone());
            site.free = site.free.saturating_sub(bytes);
            self.replicas.entry(model.clone()).or_default().push(position);
        }
        self.steps.push(Step::Load { endpoint, model: model.clone() });
    }

    /// Unloads copies at the endpoint where room costs least, if a copy of `gain` pays for it.
    ///
    /// The load follows in a later round, once the endpoint reports the memory free. Returns
    /// whether room is being made.
    fn make_room(&mut self, model: &Model, need: &Need, gain: f64) -> bool {
        if self.reserve_freeing_memory(model, need) {
            return true;
        }
        let wanted = |site: &&EngineState| {
            site.in_service && site.pool == need.pool && !site.has_or_loads(model)
        };
        let sites = self.view.engines.iter().filter(wanted);
        let urgent = gain.is_infinite();
        let rooms = sites.filter_map(|site| self.find_eviction(site, need.bytes, urgent));
        let Some(room) = rooms.min_by(|a, b| a.loss.total_cmp(&b.loss)) else { return false };
        let pays =
            gain > room.loss * HYSTERESIS && (gain - room.loss) * HORIZON_SECS > LOAD_COST_TOKENS;
        if !pays {
            return false;
        }
        for model in room.models {
            if let Some(site) = self.view.engine_mut(&room.endpoint) {
                site.resident.remove(&model);
                site.free = 0;
            }
            let view = &self.view;
            if let Some(holders) = self.replicas.get_mut(&model) {
                holders.retain(|position| view.engines[*position].endpoint != room.endpoint);
            }
            self.steps.push(Step::Unload { endpoint: room.endpoint.clone(), model });
        }
        true
    }

    /// Claims the memory that unloads in progress will free, and returns whether it suffices.
    fn reserve_freeing_memory(&mut self, model: &Model, need: &Need) -> bool {
        let fits = |site: &&mut EngineState| {
            site.in_service
                && site.pool == need.pool
                && !site.has_or_loads(model)
                && site.freeing > 0
                && site.free + site.freeing >= need.bytes
        };
        let Some(site) = self.view.engines.iter_mut().find(fits) else { return false };
        site.freeing = (site.free + site.freeing).saturating_sub(need.bytes);
        site.free = 0;
        true
    }

    /// Returns the copies to unload at an endpoint for `bytes` of free memory, cheapest first.
    fn find_eviction(&self, site: &EngineState, bytes: u64, urgent: bool) -> Option<Eviction> {
        let mut victims: Vec<(f64, &Model)> = site
            .resident
            .iter()
            .filter(|model| {
                self.is_evictable(site, model)
                    && (urgent || self.keeps_two_data_centres(site, model))
            })
            .map(|model| (self.loss(site, model), model))
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut room = Eviction { endpoint: site.endpoint.clone(), models: Vec::new(), loss: 0.0 };
        let mut free = site.free;
        for (loss, model) in victims {
            if free >= bytes {
                break;
            }
            free += self.view.needs.get(model).map_or(0, |need| need.bytes);
            room.loss += loss;
            room.models.push(model.clone());
        }
        (free >= bytes && !room.models.is_empty()).then_some(room)
    }

    /// Returns whether the copies that remain are in two data centres, so that the next round does
    /// not load the copy again.
    fn keeps_two_data_centres(&self, site: &EngineState, model: &Model) -> bool {
        let others = self.resident_replicas(model).filter(|other| other.endpoint != site.endpoint);
        others.map(|other| &other.data_centre).collect::<BTreeSet<_>>().len() > 1
    }

    /// Returns whether another resident copy remains and the endpoint is not the model's keeper.
    fn is_evictable(&self, site: &EngineState, model: &Model) -> bool {
        let keeper = self.keepers.get(model);
        let others = self.resident_replicas(model).filter(|other| other.endpoint != site.endpoint);
        keeper.is_some_and(|keeper| *keeper != site.endpoint) && others.count() > 0
    }

    fn replicas<'b>(&'b self, model: &Model) -> impl Iterator<Item = &'b EngineState> + use<'b> {
        let positions = self.replicas.get(model).map_or(&[][..], Vec::as_slice);
        positions.iter().map(|position| &self.view.engines[*position])
    }

    fn resident_replicas<'b>(&'b self, model: &'b Model) -> impl Iterator<Item = &'b EngineState> {
        self.replicas(model).filter(move |site| site.resident.contains(model))
    }

    fn data_centres(&self, model: &Model) -> BTreeSet<DataCentre> {
        self.replicas(model).map(|site| site.data_centre.clone()).collect()
    }

    /// Returns what one more copy gains: the tokens a second by which it relieves each of the
    /// others, weighted by how loaded they are.
    fn gain(&self, model: &Model, need: &Need) -> f64 {
        let copies = self.replicas(model).count() as f64;
        if copies == 0.0 {
            return f64::INFINITY;
        }
        need.demand * self.weight(model, None) / (copies * (copies + 1.0))
    }

    /// Returns what the removal of a copy loses: the tokens a second that each remaining copy
    /// would take over, weighted by how loaded they are.
    fn loss(&self, site: &EngineState, model: &Model) -> f64 {
        let copies = self.resident_replicas(model).count() as f64;
        let demand = self.view.needs.get(model).map_or(0.0, |need| need.demand);
        let near =
            self.resident_replicas(model).filter(|other| other.data_centre == site.data_centre);
        let factor = if near.count() == 1 { SOLE_REPLICA_FACTOR } else { 1.0 };
        let weight = self.weight(model, Some(&site.endpoint));
        demand * weight * factor / (copies * (copies - 1.0)).max(1.0)
    }

    /// Returns the weight of a model's demand by the load of its least loaded copy, of which one
    /// may be left out.
    fn weight(&self, model: &Model, without: Option<&EndpointId>) -> f64 {
        let others = self.resident_replicas(model).filter(|site| Some(&site.endpoint) != without);
        let load = others.map(|site| site.load).min().unwrap_or(0) as f64 / 1_000.0;
        IDLE_WEIGHT + LOADED_WEIGHT * load * load
    }
}

/// Copies to unload at one endpoint.
struct Eviction {
    endpoint: EndpointId,
    models: Vec<Model>,
    loss: f64,
}

inventory::submit! { PlacementPlugin { name: "marginal", policy: &Marginal } }
