//! Search for the engines that hold the beginning of a prompt, and the transfers between engines.
//!
//! The load for which it is made: thousands of requests a second whose prompts begin with parts that some
//! of many engines have cached. The search looks at a few engines only, those that hold most first.

use std::sync::Arc;

use super::{Mode, Scheduler};
use crate::{
    catalog::FetchSpec,
    clock::Time,
    kernel::grants::{
        Endpoint, GrantRequest,
        choice::HolderSearch,
        fetch,
        fetch::{Fetch, FetchStep, Holder},
        forecast,
        holders::{PartChange, PartKey},
    },
};

/// Holders of a prompt among which an engine can choose: enough to find one in its data centre, of its
/// version and with a free link.
const MAX_HOLDERS: usize = 6;

/// Engines that one search looks at.
const MAX_LOOKED_AT: usize = 16;

impl Scheduler {
    /// Returns how engines fetch prompt parts, if this scheduler may name holders. An instance that decides
    /// without a leader knows only what its own requests have shown.
    pub(super) fn fetch_spec(&self, service: &str) -> Option<&FetchSpec> {
        match self.mode {
            Mode::Leading { .. } => self.engine_spec(service)?.fetch.as_ref(),
            Mode::Alone { .. } => None,
        }
    }

    /// Returns the search for engines from which others may fetch the beginning of a request's prompt.
    pub(super) fn holder_search<'a>(
        &'a self,
        request: &'a GrantRequest,
        now: Time,
    ) -> HolderSearch<'a> {
        HolderSearch::new(match self.fetch_spec(&request.service) {
            Some(spec) => Box::new(move || self.find_holders(request, spec, now)),
            None => Box::new(Vec::new),
        })
    }

    /// Returns engines that hold the beginning of a request's prompt; those that hold most come first.
    pub(super) fn find_holders(
        &self,
        request: &GrantRequest,
        spec: &FetchSpec,
        now: Time,
    ) -> Vec<Holder<'_>> {
        let Some(work) = &request.work else { return Vec::new() };
        let speed = self.model_speed(request);
        let mut found: Vec<Holder<'_>> = Vec::new();
        let mut looked_at = 0;
        let mut tokens: u64 = work.parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum();
        // Whoever has a later part cached has all earlier ones as a rule, and later parts have fewer holders.
        for (part, part_tokens) in work.parts.iter().rev() {
            if !fetch::can_pay(tokens, spec, speed) {
                break;
            }
            tokens -= u64::from(*part_tokens);
            let key = PartKey::new(&work.model, work.adapter.as_deref(), *part);
            let engines = self.holders.of(key);
            // Requests begin at different ones, so that they use all links.
            let first = request.fingerprint as usize % engines.len().max(1);
            let in_turn = engines[first..].iter().chain(&engines[..first]);
            for endpoint in in_turn.filter_map(|id| self.endpoints.get(id)) {
                if looked_at >= MAX_LOOKED_AT || found.len() >= MAX_HOLDERS {
                    return found;
                }
                looked_at += 1;
                let is_known = found.iter().any(|known| known.endpoint.info.id == endpoint.info.id);
                if !is_known && self.may_hold(endpoint, request, &work.model, now) {
                    let tokens = endpoint.kv_cache.held_tokens(work);
                    found.push(Holder { endpoint, tokens });
                }
            }
        }
        found
    }

    /// Returns whether an engine can be named as the holder of a request's prompt.
    fn may_hold(
        &self,
        endpoint: &Endpoint,
        request: &GrantRequest,
        model: &str,
        now: Time,
    ) -> bool {
        endpoint.info.service == request.service
            && !request.tried.contains(&endpoint.info.id)
            && !self.evacuated.contains(&endpoint.info.data_centre)
            && fetch::is_available(endpoint, model, now)
    }

    /// Returns the transfer with which an engine begins a request; `None` if it prefills what it lacks.
    pub(super) fn choose_fetch(
        &self,
        request: &GrantRequest,
        id: &str,
        now: Time,
    ) -> Option<Fetch> {
        let spec = self.fetch_spec(&request.service)?;
        let (work, endpoint) = (request.work.as_ref()?, self.endpoints.get(id)?);
        let speed = self.model_speed(request);
        let forecast = forecast::at_engine(endpoint, work, request.priority, speed, now);
        let holders = self.find_holders(request, spec, now);
        match fetch::decide(endpoint, &forecast, &holders, spec, now) {
            FetchStep::Fetch(fetch) => Some(fetch),
            FetchStep::Prefill => None,
        }
    }

    /// Records that the links of an engine and of its holder are used until a transfer is done.
    pub(super) fn record_fetch(&mut self, id: &str, fetch: &Fetch, now: Time) {
        for id in [id, &fetch.holder] {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.link_free = now + fetch.delay;
            }
        }
        self.observations.record_fetch();
    }

    /// Applies what has changed in an engine's cache to the index of holders.
    pub(super) fn update_holders(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let service = self.catalog.services.get(&endpoint.info.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let is_indexed = engine.is_some_and(|engine| engine.fetch.is_some());
        let id = &endpoint.info.id;
        for change in endpoint.kv_cache.take_changes().filter(|_| is_indexed) {
            self.holders.apply(id, change);
        }
    }

    /// Removes an engine that has left from the index of holders.
    pub(super) fn remove_holder(&mut self, endpoint: &Endpoint) {
        for part in endpoint.kv_cache.held_parts() {
            self.holders.apply(&endpoint.info.id, PartChange::Evicted(part));
        }
    }

    /// Builds the index of holders anew, after services have begun or ceased to fetch.
    pub(super) fn rebuild_holders(&mut self) {
        self.holders.clear();
        for endpoint in self.endpoints.values_mut() {
            endpoint.kv_cache.take_changes().for_each(drop);
        }
        let indexed = self.endpoints.values().filter(|endpoint| {
            let service = self.catalog.services.get(&endpoint.info.service);
            let engine = service.and_then(|service| service.engine.as_ref());
            engine.is_some_and(|engine| engine.fetch.is_some())
        });
        for endpoint in indexed {
            let id: &Arc<str> = &endpoint.info.id;
            for part in endpoint.kv_cache.held_parts() {
                self.holders.apply(id, PartChange::Cached(part));
            }
        }
    }
}
