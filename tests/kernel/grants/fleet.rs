//! A small fleet for the tests of the scheduler.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cardamomshore::{
    catalog::{Catalog, EngineSpec, ModelSpec, Service, Team},
    clock::Time,
    kernel::grants::{
        Action, EndpointEntry, EngineReport, Grant, GrantKey, GrantRequest, Incarnation, Mode,
        ModelWork, OrderResult, Outcome, Refusal, RetryLimits, Scheduler, SchedulerLimits,
        VersionNeed,
    },
};

/// Time at which a test starts.
pub const START: Time = Time::from_millis(100_000);

/// Mode of a leader that is linked to all instances.
pub const LEADING: Mode = Mode::Leading { may_order: true, share: 1.0 };

/// Returns limits like those of the production platform.
pub fn limits() -> SchedulerLimits {
    SchedulerLimits {
        retries: RetryLimits { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10) },
        load_window: Duration::from_secs(5),
        rate_slack: 110_000.0,
    }
}

/// Returns the specification of a model with weights of this size in megabytes.
fn model(weights_mb: f64) -> ModelSpec {
    ModelSpec {
        weights_mb,
        adapter_mb: 66.0,
        load_time: Duration::from_secs(4),
        disk_time: Duration::from_millis(800),
        memory_time: Duration::from_millis(400),
    }
}

/// Returns a catalog with engines for models `m0` to `m5`, a plain service and one team.
pub fn catalog(rate: f64) -> Arc<Catalog> {
    let models = (0..6).map(|n| (Arc::from(format!("m{n}")), model(70_000.0)));
    let engine = EngineSpec {
        slots: 64,
        kv_tokens: 200_000,
        weights_mb: 200_000.0,
        adapter_slots: 2,
        load_rate: 2.0,
        models: models.collect(),
        fetch: None,
    };
    let engines =
        Service { name: "llm".into(), cold_rate: 6.0, engine: Some(engine), scaling: None };
    let desk = Service { name: "desk".into(), cold_rate: 0.0, engine: None, scaling: None };
    let team = Team { name: "shop".into(), rate, burst: rate, priority: None, default_tokens: 200 };
    let services = [engines, desk].map(|service| (service.name.clone(), Arc::new(service)));
    Arc::new(Catalog {
        version: 1,
        services: services.into_iter().collect(),
        keys: HashMap::from([("key".into(), Arc::new(team))]),
        keys_required: true,
        ..Catalog::default()
    })
}

/// Returns the entry of an engine on which `models` are loaded.
pub fn engine(id: &str, models: &[&str]) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        version: "v1".into(),
        incarnation: Incarnation(1),
        service: "llm".into(),
        address: "10.0.0.1:8000".parse().expect("an address"),
        data_centre: "a".into(),
        slots: 64,
        draining: false,
        removed_in: None,
        cold_remaining: Duration::ZERO,
        models: models.iter().map(|model| (Arc::from(*model), Vec::new())).collect(),
        in_memory: Vec::new(),
        on_disk: models.iter().map(|model| Arc::from(*model)).collect(),
    }
}

/// Returns the entry of an endpoint of the plain service.
pub fn desk(id: &str) -> EndpointEntry {
    EndpointEntry { service: "desk".into(), slots: 6, ..engine(id, &[]) }
}

/// Returns a scheduler in `mode` that knows these endpoints.
pub fn scheduler(mode: Mode, entries: Vec<EndpointEntry>) -> Scheduler {
    let mut scheduler = Scheduler::new(limits(), mode, START - Duration::from_secs(60));
    scheduler.set_catalog(catalog(100_000.0));
    scheduler.set_endpoints(entries, START);
    scheduler
}

/// Returns the key of the request with this number.
pub fn key(number: u64) -> GrantKey {
    GrantKey { instance: "entry".into(), number }
}

/// Returns a request for a model, with a prompt of `tokens` tokens.
pub fn model_request(model: &str, tokens: u32, now: Time) -> GrantRequest {
    let work = ModelWork {
        model: model.into(),
        adapter: None,
        parts: vec![(u64::from(tokens), tokens)],
        prompt_tokens: tokens.into(),
        output_tokens: 50,
    };
    GrantRequest {
        service: "llm".into(),
        data_centre: "a".into(),
        team: Some("shop".into()),
        charge: u64::from(tokens) + 50,
        priority: 1,
        due: now + Duration::from_millis(800),
        deadline: now + Duration::from_secs(5),
        max_pause: None,
        work: Some(work),
        tried: Vec::new(),
        is_retry: false,
        fingerprint: 0,
        stream: None,
        version: VersionNeed::Any,
    }
}

/// Returns a request for the plain service.
pub fn plain_request(now: Time) -> GrantRequest {
    GrantRequest { service: "desk".into(), work: None, charge: 200, ..model_request("m0", 1, now) }
}

/// Returns the first grant among the actions.
pub fn granted(actions: &[Action]) -> Option<&Grant> {
    actions.iter().find_map(|action| match action {
        Action::Grant(_, grant) => Some(grant),
        _ => None,
    })
}

/// Returns the first refusal among the actions.
pub fn refused(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse(_, refusal) => Some(*refusal),
        _ => None,
    })
}

/// Carries out one action: a report lists the models that the scheduler knows, and an order is
/// accepted.
///
/// Returns the action if it was an order.
pub fn carry_out_order(scheduler: &mut Scheduler, action: Action, now: Time) -> Option<Action> {
    match &action {
        Action::Report { endpoint, .. } => {
            let known = scheduler.endpoints().find(|known| known.info.id == *endpoint);
            let models = known.map(|known| known.snapshot(now).models).unwrap_or_default();
            let report = EngineReport { models, ..EngineReport::default() };
            scheduler.handle_report(endpoint, Some(report), now);
            None
        }
        Action::Order { endpoint, order, .. } => {
            scheduler.handle_order_result(endpoint, order, OrderResult::Accepted, now);
            Some(action)
        }
        Action::Grant(..) | Action::Refuse(..) => None,
    }
}

/// Delivers the first reports, so that orders can be sent.
pub fn deliver_reports(scheduler: &mut Scheduler, now: Time) {
    for action in scheduler.tick(now) {
        carry_out_order(scheduler, action, now);
    }
}

/// Ticks for a `length` of time and accepts every order at once; returns the orders.
pub fn accept_orders(scheduler: &mut Scheduler, from: Time, length: Duration) -> Vec<Action> {
    let mut orders = Vec::new();
    let mut now = from;
    while now < from + length {
        for action in scheduler.tick(now) {
            orders.extend(carry_out_order(scheduler, action, now));
        }
        now = now + Duration::from_millis(20);
    }
    orders
}

/// Ends a request with an outcome and returns the actions that follow.
pub fn end_request(
    scheduler: &mut Scheduler,
    number: u64,
    outcome: Outcome,
    now: Time,
) -> Vec<Action> {
    scheduler.handle_outcome(&key(number), outcome, now)
}
