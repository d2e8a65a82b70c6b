//! Evaluates how well an endpoint fits a request; the scheduler grants the one with the lowest
//! cost: the one where the request is expected to end first.

use std::{cell::LazyCell, time::Duration};

use super::{
    Endpoint, GrantRequest, ModelWork, VersionNeed, fetch,
    fetch::{FetchStep, Holder},
    forecast,
    forecast::Forecast,
    pace::ModelSpeed,
};
use crate::{
    catalog::{EngineSpec, Service},
    clock::Time,
};

/// Cost of loading an adapter, as prefill time.
const ADAPTER_LOAD_COST: Duration = Duration::from_millis(15);

/// Cost of a hop to another data centre, as prefill time.
const HOP_COST: Duration = Duration::from_millis(1);

/// Cost of an endpoint that fails all requests, as prefill time.
const FAILURE_COST: Duration = Duration::from_millis(900);

/// Cost of a cold endpoint, as prefill time.
const COLD_COST: Duration = Duration::from_millis(40);

/// Interval at which an endpoint is looked at again that is full of requests of others.
const OTHERS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Fraction of an engine's KV cache that requests may reserve.
const MAX_RESERVED_FRACTION: f64 = 0.95;

/// Slots of an engine that are reserved for the most urgent requests.
const RESERVED_SLOTS: usize = 2;

/// Requests beyond its slots that an endpoint of a plain service may have, as a fraction of the
/// slots.
const EXCESS_SLOT_FRACTION: f64 = 1.0;

/// Prefill that is queued at an engine ahead of a request when the request is sent there: a wake-up of the
/// scheduler, a grant, and the request's way, so that the engine is never idle meanwhile.
///
/// Other requests wait in the scheduler, where they can be ordered. What is less urgent is not
/// counted, since the engine prefills urgent prompts first.
const QUEUE_LEAD: Duration = Duration::from_millis(150);

/// The same for the most urgent requests. They may queue longer, since no later one goes before them.
const URGENT_QUEUE_LEAD: Duration = Duration::from_millis(300);

/// Longest time by which a request may queue longer at an engine whose prefix cache saves as much.
const MAX_CACHE_LEAD: Duration = Duration::from_millis(500);

/// How an endpoint fits a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fit {
    /// The request may be sent at once, at this cost.
    Ready(Duration),
    /// The request may be sent once its adapter is loaded, at this cost.
    NeedsAdapter(Duration),
    /// The endpoint serves requests like this one but is full.
    Full {
        /// When it takes requests again by time alone; `None` if only a further event makes room.
        until: Option<Time>,
        /// Whether it is full for every request of this priority or a less urgent one.
        for_all: bool,
    },
    /// The endpoint cannot serve the request.
    Unsuitable,
}

/// Engines that hold the beginning of a prompt; they are searched for when an evaluation needs them.
pub(super) type HolderSearch<'a> =
    LazyCell<Vec<Holder<'a>>, Box<dyn FnOnce() -> Vec<Holder<'a>> + 'a>>;

/// What an evaluation depends on besides the endpoint and the request.
pub(super) struct FitContext<'a> {
    /// Service of the request.
    pub service: &'a Service,
    /// Whether this scheduler may send orders to engines.
    pub may_order: bool,
    /// Fraction of each endpoint's capacity that this scheduler may use.
    pub fill_fraction: f64,
    /// Fraction of the rates that endpoints name which this scheduler may use.
    pub rate_share: f64,
    /// Longest prefill without a break at engines with running streams; `None` if the route of the
    /// request allows any pause, or if the request is one of the most urgent.
    pub max_prefill: Option<Duration>,
    /// Measured speed of the request's model.
    pub speed: ModelSpeed,
    /// Seconds that a request of a plain service takes.
    pub service_time: f64,
    /// Engines from which others may fetch the beginning of the prompt.
    pub holders: HolderSearch<'a>,
    /// Current time.
    pub now: Time,
}

/// Returns how an endpoint fits a request.
pub(super) fn evaluate(
    endpoint: &Endpoint,
    request: &GrantRequest,
    context: &FitContext<'_>,
) -> Fit {
    let tried = request.tried.contains(&endpoint.info.id);
    let is_other_version = match &request.version {
        VersionNeed::Exactly(version) => *version != endpoint.info.version,
        VersionNeed::Any | VersionNeed::Origin => false,
    };
    let is_other_service = endpoint.info.service != request.service;
    if is_other_service || is_other_version || endpoint.is_leaving() || tried {
        return Fit::Unsuitable;
    }
    if !context.may_order && endpoint.is_cold(context.now) && context.service.cold_rate > 0.0 {
        // Only the leader knows how many requests all instances send to a cold endpoint.
        return Fit::Unsuitable;
    }
    match (&request.work, &context.service.engine) {
        (Some(work), Some(spec)) => evaluate_engine(endpoint, request, work, spec, context),
        _ => evaluate_plain(endpoint, request, context),
    }
}

/// Returns how an endpoint of a plain service, which is not an engine, fits a request.
fn evaluate_plain(endpoint: &Endpoint, request: &GrantRequest, context: &FitContext<'_>) -> Fit {
    let slots = f64::from(endpoint.pace.slots(endpoint.info.slots));
    let requests = endpoint.expected_requests(context.now);
    // Requests that wait at a brittle endpoint may be refused, which makes it fail.
    let excess = if endpoint.is_brittle() { 0.0 } else { EXCESS_SLOT_FRACTION };
    let limit = (slots * (1.0 + excess) * context.fill_fraction).ceil().max(1.0);
    let at_capacity = requests >= limit;
    let closed_until = endpoint.closed_until(context.service, context.rate_share, context.now);
    if at_capacity || closed_until.is_some() {
        // Requests of others fade with time, which no event tells.
        let only_others = (endpoint.running.len() as f64) < limit;
        let fades_at = (at_capacity && only_others).then(|| context.now + OTHERS_CHECK_INTERVAL);
        let until = closed_until.max(fades_at).filter(|_| !at_capacity || only_others);
        return Fit::Full { until, for_all: true };
    }
    let forecast = forecast::at_plain(endpoint, context.service_time, context.now);
    Fit::Ready(forecast.last_event + common_cost(endpoint, request, context))
}

/// Returns the cost that endpoints of all kinds have in common.
fn common_cost(endpoint: &Endpoint, request: &GrantRequest, context: &FitContext<'_>) -> Duration {
    let failure = FAILURE_COST.mul_f64(endpoint.failures.rate(&request.data_centre, context.now));
    let remote = endpoint.info.data_centre != request.data_centre;
    let hop = if remote { HOP_COST } else { Duration::ZERO };
    let cold = if endpoint.is_cold(context.now) { COLD_COST } else { Duration::ZERO };
    failure + hop + cold
}

/// Returns how an engine fits a request.
fn evaluate_engine(
    endpoint: &Endpoint,
    request: &GrantRequest,
    work: &ModelWork,
    spec: &EngineSpec,
    context: &FitContext<'_>,
) -> Fit {
    if !endpoint.can_serve(&work.model) || work.prompt_tokens + work.output_tokens > spec.kv_tokens
    {
        return Fit::Unsuitable;
    }
    let adapter = endpoint.adapter_state(work);
    let lacks_adapter = Fit::Full { until: None, for_all: false };
    if adapter.is_some_and(|state| !state.is_usable()) {
        return lacks_adapter;
    }
    if let Some(yielding) = endpoint.yielding_adapter(work, context.now) {
        return Fit::Full { until: Some(yielding.until()), for_all: false };
    }
    let adapter_present = work.adapter.is_none() || adapter.is_some();
    if !adapter_present && !context.may_order {
        return Fit::Unsuitable;
    }
    let slots = (f64::from(spec.slots) * context.fill_fraction).ceil() as usize;
    let reserved = if request.priority == 0 { 0 } else { RESERVED_SLOTS.min(slots / 4) };
    let max_reserved =
        (spec.kv_tokens as f64 * MAX_RESERVED_FRACTION * context.fill_fraction) as u64;
    let idle = endpoint.running.is_empty();
    let kv_fits = idle
        || endpoint.reserved_tokens() + work.prompt_tokens + work.output_tokens <= max_reserved;
    let forecast =
        forecast::at_engine(endpoint, work, request.priority, context.speed, context.now);
    let Forecast { place, saved, .. } = forecast;
    let at_capacity = endpoint.running.len() + reserved >= slots;
    // A second of prefill at a busy engine also delays those that come later.
    let load = endpoint.usage(context.now).min(1.0);
    let lead = if request.priority == 0 { URGENT_QUEUE_LEAD } else { QUEUE_LEAD };
    let limit = lead + saved.mul_f64(1.0 + load).min(MAX_CACHE_LEAD);
    let prefills_until =
        (place > limit && !idle).then(|| context.now + place.saturating_sub(limit));
    let closed_until = endpoint.closed_until(context.service, context.rate_share, context.now);
    let shut_until = prefills_until.max(closed_until);
    if at_capacity || !kv_fits || shut_until.is_some() {
        let until = shut_until.filter(|_| !at_capacity && kv_fits);
        // Another request may queue longer if its prompt is cached.
        let is_long = place > lead + MAX_CACHE_LEAD && !idle;
        return Fit::Full { until, for_all: at_capacity || closed_until.is_some() || is_long };
    }
    let fetch_step = match &spec.fetch {
        Some(fetch) => fetch::decide(endpoint, &forecast, &context.holders, fetch, context.now),
        None => FetchStep::Prefill,
    };
    let (Forecast { prefill, last_event, .. }, price) = match fetch_step {
        FetchStep::Fetch(fetch) => (fetch.apply(&forecast), fetch.price),
        FetchStep::Prefill => (forecast, Duration::ZERO),
    };
    let needs_break = |max| endpoint.needs_prefill_break(prefill, max, context.now);
    if !idle && context.max_prefill.is_some_and(needs_break) {
        return Fit::Full { until: Some(endpoint.prefill_break_end()), for_all: false };
    }
    let cost = last_event + price + prefill.mul_f64(load) + common_cost(endpoint, request, context);
    if adapter_present {
        return Fit::Ready(cost);
    }
    if endpoint.has_adapter_room(spec) {
        Fit::NeedsAdapter(cost + ADAPTER_LOAD_COST)
    } else {
        lacks_adapter
    }
}
