//! Requests that run: how they begin and end, and what their endpoints learn from it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::Scheduler;
use crate::{
    catalog::Service,
    clock::Time,
    kernel::{
        grants::{
            Action, ActiveGrant, Endpoint, GrantKey, GrantRequest, Incarnation, Outcome, choice,
            endpoint::Run,
        },
        suspect::CrashId,
    },
    names::EndpointId,
};

/// Expected time from grant to first event beside prefill.
const FIRST_EVENT: Duration = Duration::from_millis(25);

/// Time for which an endpoint that shed a request is left alone.
const FULL_PAUSE: Duration = Duration::from_millis(60);

impl Scheduler {
    /// Counts a request that was granted by another scheduler.
    pub fn adopt(&mut self, key: GrantKey, granted: ActiveGrant, now: Time) {
        let ActiveGrant { request: ask, endpoint: id } = granted;
        let Some(service) = self.catalog.services.get(&ask.service).cloned() else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        start(endpoint, &key, &ask, &service, 1.0, now);
        self.places.insert(key, id);
    }

    /// Notes that the first event of an answer has come.
    pub fn record_first_event(&mut self, key: &GrantKey, now: Time) {
        let Some(endpoint) = self.places.get(key).and_then(|id| self.endpoints.get_mut(id)) else {
            return;
        };
        let Some(run) = endpoint.running.get_mut(key) else { return };
        if std::mem::replace(&mut run.started, true) {
            return;
        }
        let work = run.ask.work.clone();
        let (granted, ahead, reads) = (run.granted, run.ahead, run.reads);
        endpoint.reached();
        if let Some(work) = work {
            let pace = self.paces.entry(work.model.clone()).or_insert(1.0);
            let own = Duration::from_secs_f64(reads as f64 / 4e4 * *pace * endpoint.slowness);
            let ratio =
                now.since(granted).as_secs_f64() / (ahead + own + FIRST_EVENT).as_secs_f64();
            let ratio = ratio.clamp(0.25, 4.0);
            *pace = (*pace * ratio.powf(0.06)).clamp(0.2, 3.0);
            endpoint.slowness = (endpoint.slowness * ratio.powf(0.1)).clamp(0.6, 6.0);
        }
        settle_prefill(endpoint, &self.paces, now);
    }

    /// Takes a waiting request back.
    pub fn cancel_waiting(&mut self, key: &GrantKey) {
        if let Some(position) = self.queue.iter().position(|waiting| waiting.key == *key) {
            let waiting = self.queue.swap_remove(position);
            self.give_back(&waiting.ask);
        }
    }

    /// Notes that a granted request has ended, or that its caller left while it waited.
    pub fn handle_outcome(&mut self, key: &GrantKey, outcome: Outcome, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.cancel_waiting(key);
        if let Some(endpoint) = self.finish(key, outcome, now) {
            self.pump_at(&endpoint, now, &mut actions);
        }
        actions
    }

    /// Returns the endpoint that has room again.
    fn finish(&mut self, key: &GrantKey, outcome: Outcome, now: Time) -> Option<Arc<str>> {
        let id = self.places.remove(key)?;
        let endpoint = self.endpoints.get_mut(&id)?;
        let alone = endpoint.running.len() == 1;
        let run = endpoint.running.remove(key)?;
        let place = run.ask.data_centre.clone();
        match outcome {
            Outcome::Whole => {
                endpoint.reached();
                endpoint.failures.note(&place, false, now);
                self.suspects.clear(run.ask.fingerprint);
            }
            Outcome::Failed => endpoint.failures.note(&place, true, now),
            Outcome::Silent => endpoint.failures.note(&place, true, now),
            Outcome::Broke => {
                endpoint.failures.note(&place, true, now);
                let Incarnation(born) = endpoint.info.incarnation;
                let crash = CrashId::of(&EndpointId::from(&*id), born, alone);
                self.suspects.record_crashes(run.ask.fingerprint, [crash], now);
            }
            Outcome::Unreached => endpoint.unreached(now),
            Outcome::Full => endpoint.paused = endpoint.paused.max(now + FULL_PAUSE),
            Outcome::Misplaced => endpoint.misplaced(now),
            Outcome::Left => {}
        }
        settle_prefill(endpoint, &self.paces, now);
        if matches!(outcome, Outcome::Unreached | Outcome::Full | Outcome::Misplaced) {
            self.give_back(&run.ask);
        }
        Some(id)
    }

    /// Forgets all requests of an instance that is gone.
    pub fn remove_instance(&mut self, asker: &str, now: Time) -> Vec<Action> {
        self.queue.retain(|waiting| &*waiting.key.instance != asker);
        let gone: Vec<GrantKey> =
            self.places.keys().filter(|key| &*key.instance == asker).cloned().collect();
        for key in gone {
            self.finish(&key, Outcome::Left, now);
        }
        self.tick(now)
    }
}

/// Begins a run at an endpoint.
pub(super) fn start(
    endpoint: &mut Endpoint,
    key: &GrantKey,
    ask: &GrantRequest,
    service: &Service,
    pace: f64,
    now: Time,
) {
    let (mut reads, mut room) = (0, 0);
    let ahead = endpoint.prefill.since(now);
    if let (Some(work), Some(spec)) = (&ask.work, &service.engine) {
        let (tokens, reading) = choice::prefill(endpoint, work, pace);
        reads = tokens;
        endpoint.use_prefill(reading, now);
        room = spec.kv_tokens.saturating_sub(endpoint.reserved());
    }
    let run = Run { ask: ask.clone(), granted: now, reads, ahead, started: false };
    endpoint.begin(key.clone(), run, room, now);
}

/// Corrects the prefill that an engine still has to do by what has not started.
fn settle_prefill(endpoint: &mut Endpoint, paces: &HashMap<Arc<str>, f64>, now: Time) {
    let open = endpoint.running.values().filter(|run| !run.started);
    let open = open.filter_map(|run| run.ask.work.as_ref().map(|work| (work, run.reads)));
    let seconds: f64 = open
        .map(|(work, reads)| reads as f64 / 4e4 * paces.get(&work.model).copied().unwrap_or(1.0))
        .sum();
    let left = Duration::from_secs_f64(seconds * endpoint.slowness);
    endpoint.prefill = endpoint.prefill.min(now + left);
}
