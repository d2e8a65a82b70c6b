//! Which endpoint serves a request best.

use std::time::Duration;

use super::{Endpoint, GrantRequest, ModelWork};
use crate::{
    catalog::{EngineSpec, Service},
    clock::Time,
};

/// Prompt tokens that an engine reads in a millisecond, before its slowness is known.
const PREFILL_PER_MS: f64 = 40.0;

/// Price of one more running request at an engine, as prefill time.
const RUN_PRICE: Duration = Duration::from_millis(2);

/// Price of an engine that reads prompts all the time, as prefill time.
///
/// Each piece of a prompt delays the next token of everything that runs there.
const USAGE_PRICE: Duration = Duration::from_millis(300);

/// Price of a load of an adapter, as prefill time.
const ADAPTER_PRICE: Duration = Duration::from_millis(15);

/// Price of a hop to another data centre, as prefill time.
const HOP_PRICE: Duration = Duration::from_millis(1);

/// Price of an endpoint that fails all requests, as prefill time.
const FAILURE_PRICE: Duration = Duration::from_millis(900);

/// Price of a cold endpoint, as prefill time.
const COLD_PRICE: Duration = Duration::from_millis(40);

/// Price of one running request at a plain service, as a part of its slots.
const SLOT_PRICE: Duration = Duration::from_millis(60);

/// Part of an engine's memory that requests may reserve.
const MEMORY_PART: f64 = 0.95;

/// Slots of an engine that only the most urgent requests use.
const SPARE_SLOTS: usize = 2;

/// Requests beyond its slots that an endpoint of a plain service may be given, as a part of them.
const PLAIN_EXCESS: f64 = 1.0;

/// Prefill time that may lie ahead of a request at an engine, by its urgency.
///
/// What is urgent may queue at the engine; other requests wait here, so that it finds a short queue.
const AHEAD_LIMITS: [Duration; 3] =
    [Duration::from_millis(400), Duration::from_millis(250), Duration::from_millis(120)];

/// How an endpoint suits a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fit {
    /// The request may be sent at once; the lowest cost is best.
    Now(Duration),
    /// The request may be sent once its adapter is loaded.
    Adapter(Duration),
    /// The endpoint serves requests like this one, but is full now.
    Full,
    /// The endpoint cannot serve it.
    Never,
}

/// What the judgement of an endpoint depends on besides the endpoint.
pub(super) struct Terms<'a> {
    /// Service of the request.
    pub service: &'a Service,
    /// Whether engines may be given orders.
    pub orders: bool,
    /// Part of each endpoint that this scheduler may fill.
    pub share: f64,
    /// How much slower than expected the model is, as a factor.
    pub pace: f64,
    /// Present time.
    pub now: Time,
}

/// Returns the time that an engine needs to read the parts of a prompt that it does not keep.
pub(super) fn prefill(endpoint: &Endpoint, work: &ModelWork, pace: f64) -> (u64, Duration) {
    let reads = work.prompt_tokens.saturating_sub(endpoint.cache.kept(work)).max(1);
    let ms = reads as f64 / PREFILL_PER_MS * pace * endpoint.slowness;
    (reads, Duration::from_secs_f64(ms / 1e3))
}

/// Judges an endpoint for a request.
pub(super) fn judge(endpoint: &Endpoint, ask: &GrantRequest, terms: &Terms<'_>) -> Fit {
    let tried = ask.tried.contains(&endpoint.info.id);
    if endpoint.info.service != ask.service || endpoint.is_leaving() || tried {
        return Fit::Never;
    }
    if !terms.orders && endpoint.is_cold(terms.now) && terms.service.cold_rate > 0.0 {
        // Only the leader knows how many requests all instances send to a cold endpoint.
        return Fit::Never;
    }
    match (&ask.work, &terms.service.engine) {
        (Some(work), Some(spec)) => judge_engine(endpoint, ask, work, spec, terms),
        _ => judge_plain(endpoint, ask, terms),
    }
}

fn judge_plain(endpoint: &Endpoint, ask: &GrantRequest, terms: &Terms<'_>) -> Fit {
    let slots = f64::from(endpoint.info.slots.max(1));
    let limit = (slots * (1.0 + PLAIN_EXCESS) * terms.share).ceil().max(1.0);
    let full = endpoint.running.len() as f64 >= limit;
    if full || !endpoint.is_open(terms.now) || !endpoint.bears(terms.service, terms.now) {
        return Fit::Full;
    }
    let load = SLOT_PRICE.mul_f64(endpoint.running.len() as f64 / slots * endpoint.slowness);
    Fit::Now(load + common_price(endpoint, ask, terms))
}

fn common_price(endpoint: &Endpoint, ask: &GrantRequest, terms: &Terms<'_>) -> Duration {
    let failing = FAILURE_PRICE.mul_f64(endpoint.failures.rate(&ask.data_centre, terms.now));
    let away = endpoint.info.data_centre != ask.data_centre;
    let hop = if away { HOP_PRICE } else { Duration::ZERO };
    let cold = if endpoint.is_cold(terms.now) { COLD_PRICE } else { Duration::ZERO };
    failing + hop + cold
}

fn judge_engine(
    endpoint: &Endpoint,
    ask: &GrantRequest,
    work: &ModelWork,
    spec: &EngineSpec,
    terms: &Terms<'_>,
) -> Fit {
    if !endpoint.holds(&work.model) || work.prompt_tokens + work.output_tokens > spec.kv_tokens {
        return Fit::Never;
    }
    let present = work.adapter.is_none() || endpoint.adapter(work).is_some();
    if !present && !terms.orders {
        return Fit::Never;
    }
    let slots = (f64::from(spec.slots) * terms.share).ceil() as usize;
    let spare = if ask.priority == 0 { 0 } else { SPARE_SLOTS.min(slots / 4) };
    let memory = (spec.kv_tokens as f64 * MEMORY_PART * terms.share) as u64;
    let idle = endpoint.running.is_empty();
    let room = idle || endpoint.reserved() + work.prompt_tokens + work.output_tokens <= memory;
    let ahead = endpoint.prefill.since(terms.now);
    let limit = AHEAD_LIMITS[usize::from(ask.priority).min(AHEAD_LIMITS.len() - 1)];
    if endpoint.running.len() + spare >= slots
        || !room
        || (ahead > limit && !idle)
        || !endpoint.is_open(terms.now)
        || !endpoint.bears(terms.service, terms.now)
    {
        return Fit::Full;
    }
    let (_, reading) = prefill(endpoint, work, terms.pace);
    let runs = RUN_PRICE * endpoint.running.len() as u32;
    let usage = USAGE_PRICE.mul_f64(endpoint.usage(terms.now));
    let cost = ahead + reading + runs + usage + common_price(endpoint, ask, terms);
    if present {
        return Fit::Now(cost);
    }
    if endpoint.makes_room(spec) { Fit::Adapter(cost + ADAPTER_PRICE) } else { Fit::Full }
}
