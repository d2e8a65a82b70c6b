//! Evaluates how well an endpoint fits a request; the scheduler grants the one with the lowest
//! cost.

use std::time::Duration;

use super::{Endpoint, GrantRequest, ModelWork, VersionNeed};
use crate::{
    catalog::{EngineSpec, Service},
    clock::Time,
};

/// Prompt tokens that an engine prefills in a millisecond, before its slowdown is known.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;

/// Cost of each running request at an engine, as prefill time.
const RUN_COST: Duration = Duration::from_millis(2);

/// Cost of an engine that prefills all the time, as prefill time.
///
/// Each chunk of prefill delays the next token of every request that runs there.
const USAGE_COST: Duration = Duration::from_millis(300);

/// Cost of loading an adapter, as prefill time.
const ADAPTER_LOAD_COST: Duration = Duration::from_millis(15);

/// Cost of a hop to another data centre, as prefill time.
const HOP_COST: Duration = Duration::from_millis(1);

/// Cost of an endpoint that fails all requests, as prefill time.
const FAILURE_COST: Duration = Duration::from_millis(900);

/// Cost of a cold endpoint, as prefill time.
const COLD_COST: Duration = Duration::from_millis(40);

/// Cost of a plain service's endpoint whose slots are all in use, as prefill time.
const SLOT_COST: Duration = Duration::from_millis(60);

/// Fraction of an engine's KV cache that requests may reserve.
const MAX_RESERVED_FRACTION: f64 = 0.95;

/// Slots of an engine that are reserved for the most urgent requests.
const RESERVED_SLOTS: usize = 2;

/// Requests beyond its slots that an endpoint of a plain service may have, as a fraction of the
/// slots.
const EXCESS_SLOT_FRACTION: f64 = 1.0;

/// Prefill time that may be queued at an engine ahead of a request, by its priority.
///
/// Urgent requests may queue at the engine. Other requests wait in the scheduler, so that urgent
/// ones find a short queue at the engine.
const MAX_QUEUED_PREFILL: [Duration; 3] =
    [Duration::from_millis(400), Duration::from_millis(250), Duration::from_millis(120)];

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
    /// Ratio of the model's measured time to the first event to the expected time.
    pub model_slowdown: f64,
    /// Current time.
    pub now: Time,
}

/// Returns the tokens of a prompt that are not in the KV cache and the time to prefill them.
pub(super) fn estimate_prefill(
    endpoint: &Endpoint,
    work: &ModelWork,
    model_slowdown: f64,
) -> (u64, Duration) {
    let tokens = work.prompt_tokens.saturating_sub(endpoint.kv_cache.cached_tokens(work)).max(1);
    let ms = tokens as f64 / PREFILL_TOKENS_PER_MS * model_slowdown * endpoint.slowdown;
    (tokens, Duration::from_secs_f64(ms / 1e3))
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
    let slots = f64::from(endpoint.info.slots.max(1));
    // Requests that wait at a brittle endpoint may be refused, which makes it fail.
    let excess = if endpoint.is_brittle() { 0.0 } else { EXCESS_SLOT_FRACTION };
    let limit = (slots * (1.0 + excess) * context.fill_fraction).ceil().max(1.0);
    let at_capacity = endpoint.running.len() as f64 >= limit;
    let closed_until = endpoint.closed_until(context.service, context.rate_share, context.now);
    if at_capacity || closed_until.is_some() {
        return Fit::Full { until: closed_until.filter(|_| !at_capacity), for_all: true };
    }
    let slot_cost = SLOT_COST.mul_f64(endpoint.running.len() as f64 / slots * endpoint.slowdown);
    Fit::Ready(slot_cost + common_cost(endpoint, request, context))
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
    let queued_prefill = endpoint.prefill_end.since(context.now);
    let limit = MAX_QUEUED_PREFILL[usize::from(request.priority).min(MAX_QUEUED_PREFILL.len() - 1)];
    let at_capacity = endpoint.running.len() + reserved >= slots;
    let prefills_until = (queued_prefill > limit && !idle).then(|| endpoint.prefill_end - limit);
    let closed_until = endpoint.closed_until(context.service, context.rate_share, context.now);
    let shut_until = prefills_until.max(closed_until);
    if at_capacity || !kv_fits || shut_until.is_some() {
        let until = shut_until.filter(|_| !at_capacity && kv_fits);
        return Fit::Full { until, for_all: at_capacity || shut_until.is_some() };
    }
    let (_, prefill) = estimate_prefill(endpoint, work, context.model_slowdown);
    let needs_break = |max| endpoint.needs_prefill_break(prefill, max, context.now);
    if !idle && context.max_prefill.is_some_and(needs_break) {
        return Fit::Full { until: Some(endpoint.prefill_break_end()), for_all: false };
    }
    let run_cost = RUN_COST * endpoint.running.len() as u32;
    let usage_cost = USAGE_COST.mul_f64(endpoint.usage(context.now));
    let cost =
        queued_prefill + prefill + run_cost + usage_cost + common_cost(endpoint, request, context);
    if adapter_present {
        return Fit::Ready(cost);
    }
    if endpoint.has_adapter_room(spec) {
        Fit::NeedsAdapter(cost + ADAPTER_LOAD_COST)
    } else {
        lacks_adapter
    }
}
