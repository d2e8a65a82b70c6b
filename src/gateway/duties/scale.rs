//! Measures demand and orders engines from the platform.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use futures_util::future::join_all;
use tokio::time::sleep;

use super::{super::Gateway, Duties};
use crate::{
    clock::Time,
    kernel::{
        duties::{
            demand::{Demand, DemandTable, Subject, TICK},
            scaling::{ScaleOrder, ScalingSpec, SubjectState},
            usage::CallResult,
        },
        grants::{GrantKey, GrantRequest, Outcome},
    },
    platform::duties::{Caller, call_result, scale_request},
};

/// Scales services while this instance leads.
pub async fn scale(gateway: Arc<Gateway>) {
    let Some(duties) = &gateway.duties else { return };
    if !duties.settings.scaling {
        return;
    }
    let mut last_term = 0;
    loop {
        sleep(TICK).await;
        let now = Time::now();
        let term = gateway.leadership.lock().term();
        if term != last_term {
            last_term = term;
            duties.demand.lock().clear();
            let mut state = duties.state.lock();
            let known = std::mem::take(&mut state.known_orders);
            state.scaler.begin(known);
        }
        if term == 0 {
            continue;
        }
        duties.demand.lock().tick(now);
        if gateway.may_call_in(term, now) {
            let orders = duties.due_orders(&gateway, now);
            join_all(orders.into_iter().map(|order| duties.send_order(&gateway, term, order)))
                .await;
        }
    }
}

impl Duties {
    /// Returns the orders that are due for all services.
    fn due_orders(&self, gateway: &Gateway, now: Time) -> Vec<ScaleOrder> {
        let Some(catalog) = gateway.catalog.load_full() else { return Vec::new() };
        let demand: BTreeMap<Subject, Demand> = {
            let table = self.demand.lock();
            table.all().map(|(subject, demand)| (subject.clone(), demand.clone())).collect()
        };
        let scaled = catalog.services.values().filter_map(|service| {
            let spec = service.scaling?;
            let slots = service.engine.as_ref().map_or(0, |engine| engine.slots);
            Some((service.name.clone(), spec, slots))
        });
        let mut orders = Vec::new();
        for (service, spec, slots) in scaled {
            let states = self.service_state(gateway, &service, slots, &demand);
            orders.extend(self.decide(&states, &spec, now));
        }
        orders
    }

    fn decide(
        &self,
        states: &BTreeMap<Subject, SubjectState>,
        spec: &ScalingSpec,
        now: Time,
    ) -> Vec<ScaleOrder> {
        self.state.lock().scaler.decide(states, spec, now)
    }

    /// Returns the state of a service in each data centre where it has engines, or had some when they
    /// were ordered last. Demand of callers elsewhere is shared among these data centres. Data centres
    /// that are out of service are left alone.
    fn service_state(
        &self,
        gateway: &Gateway,
        service: &Arc<str>,
        slots: u32,
        demand: &BTreeMap<Subject, Demand>,
    ) -> BTreeMap<Subject, SubjectState> {
        let mut states: BTreeMap<Subject, SubjectState> = BTreeMap::new();
        let mut evacuated: BTreeSet<Subject> = BTreeSet::new();
        let mut endpoints = gateway.usable_endpoints();
        endpoints.retain(|entry| entry.service == *service);
        let slots = {
            let mut state = self.state.lock();
            let known = state.slots.entry(service.clone()).or_insert(slots);
            *known = endpoints.iter().map(|entry| entry.slots).max().unwrap_or(0).max(*known);
            *known
        };
        for (subject, _) in self.state.lock().scaler.ordered() {
            if subject.service == *service {
                states.insert(subject.clone(), empty_state(slots));
            }
        }
        for entry in &endpoints {
            let (service, data_centre) = (service.clone(), entry.data_centre.clone());
            let subject = Subject { service, data_centre };
            if gateway.scheduler.lock().is_evacuated(&entry.id) {
                evacuated.insert(subject);
                continue;
            }
            let state = states.entry(subject).or_insert_with(|| empty_state(slots));
            state.ready += 1;
            if entry.slots > 0 {
                state.slots = entry.slots;
            }
        }
        for (service, data_centre) in gateway.draining_endpoints() {
            if let Some(state) = states.get_mut(&Subject { service, data_centre }) {
                state.leaving += 1;
            }
        }
        states.retain(|subject, _| !evacuated.contains(subject));
        let elsewhere: Vec<&Demand> = demand
            .iter()
            .filter(|(subject, _)| subject.service == *service && !states.contains_key(subject))
            .map(|(_, demand)| demand)
            .collect();
        let parts = states.len() as f64;
        for (subject, state) in &mut states {
            state.demand = demand.get(subject).cloned().unwrap_or_default();
            elsewhere.iter().for_each(|other| state.demand.add_part(other, parts));
        }
        states
    }

    /// Sends an order and records the result.
    async fn send_order(&self, gateway: &Gateway, term: u64, order: ScaleOrder) {
        let decided_at = Time::now();
        let at = self.state.lock().pace.reserve(decided_at);
        sleep(at.since(Time::now())).await;
        let caller =
            Caller { holder: &gateway.settings.instance, term, host: self.settings.address };
        let request = scale_request(&caller, &order.subject, order.count);
        let answer = self.call(gateway, term, request).await;
        let result = answer.as_ref().map_or(CallResult::Failed, |status| call_result(*status));
        let is_accepted = result == CallResult::Accepted;
        let label = if is_accepted { "accepted" } else { "failed" };
        metrics::counter!("cardamomshore_scale_orders_total", "result" => label).increment(1);
        let text = answer.map_or_else(|err| err.to_string(), |status| status.as_u16().to_string());
        let now = Time::now();
        let mut state = self.state.lock();
        state.scaler.record_order(&order.subject, order.count, is_accepted, now);
        state.pace.record_result(is_accepted, now);
        let ScaleOrder { subject, count, former, state: inputs } = &order;
        let demand = &inputs.demand;
        log::info!(
            "event=scale service={} zone={} count={count} former={} ready={} rate={:.2} \
             trend={:.3} work_ms={} prefill_ms={} waiting={} running={} slots={} age_ms={} \
             result={text}",
            subject.service,
            subject.data_centre,
            former.map_or("none".to_owned(), |former| former.to_string()),
            inputs.ready,
            demand.rate,
            demand.trend,
            demand.work.as_millis(),
            demand.prefill.as_millis(),
            demand.waiting,
            demand.running,
            inputs.slots,
            at.since(decided_at).as_millis(),
        );
    }
}

/// Returns the state of a data centre in which no engine serves.
fn empty_state(slots: u32) -> SubjectState {
    // Where no endpoint has ever named its slots, the demand says nothing of the number of endpoints.
    let slots = if slots > 0 { slots } else { u32::MAX };
    SubjectState { demand: Demand::default(), ready: 0, leaving: 0, slots }
}

fn subject_of(request: &GrantRequest) -> Subject {
    Subject { service: request.service.clone(), data_centre: request.data_centre.clone() }
}

impl Gateway {
    /// Applies `record` to the table of demand, if this instance leads and scales services.
    fn with_demand(&self, record: impl FnOnce(&mut DemandTable, Time)) {
        if let Some(duties) = self.duties.as_ref().filter(|duties| duties.settings.scaling)
            && self.leads()
        {
            record(&mut duties.demand.lock(), Time::now());
        }
    }

    /// Records that a request waits for a grant of this leader.
    pub(in super::super) fn record_demand(&self, key: &GrantKey, request: &GrantRequest) {
        self.with_demand(|table, _| {
            table.record_request(key.clone(), subject_of(request), request.is_retry);
        });
    }

    /// Records that this leader has granted a request.
    pub(in super::super) fn record_demand_granted(&self, key: &GrantKey) {
        self.with_demand(|table, now| table.record_grant(key, now));
    }

    /// Records that a request runs under a grant of a former leader.
    pub(in super::super) fn adopt_demand(&self, key: &GrantKey, request: &GrantRequest) {
        self.with_demand(|table, now| table.adopt(key.clone(), subject_of(request), now));
    }

    /// Records the first event of a request.
    pub(in super::super) fn record_demand_begun(&self, key: &GrantKey) {
        self.with_demand(|table, now| table.record_first_event(key, now));
    }

    /// Records the end of a request; `outcome` is that of its run, and `None` if it got no grant.
    pub(in super::super) fn record_demand_ended(&self, key: &GrantKey, outcome: Option<Outcome>) {
        self.with_demand(|table, now| {
            table.record_end(key, outcome == Some(Outcome::Whole), now);
        });
    }

    /// Forgets the requests of an instance that has left.
    pub(in super::super) fn forget_demand(&self, instance: &str) {
        self.with_demand(|table, _| table.remove_instance(instance));
    }
}
