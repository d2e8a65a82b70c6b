//! When a request would get a place at an endpoint, its first event and its last.
//!
//! The functions are pure. They use measured speeds, the runs at the endpoint and its pace.

use std::{sync::Arc, time::Duration};

use super::{Endpoint, ModelWork, pace::ModelSpeed, run::ActiveRun};
use crate::clock::Time;

/// Prompt tokens that an engine prefills in a second, before its speed is known.
pub(super) const PREFILL_TOKENS_PER_S: f64 = 40_000.0;

/// Time by which each request at an engine delays a further one, which shares its batches.
const RUN_DELAY: Duration = Duration::from_millis(2);

/// Time that a plain endpoint with all slots in use takes longer than an idle one, as a fraction. It
/// spreads requests over endpoints of equal speed.
const CROWD_FRACTION: f64 = 0.5;

/// Expected times of a request at an endpoint, counted from now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Forecast {
    /// When the endpoint begins to work on the request.
    pub place: Duration,
    /// When the first event, or the response of a plain service, is due.
    pub first_event: Duration,
    /// When the last event is due.
    pub last_event: Duration,
    /// Prompt tokens that the endpoint has cached.
    pub cached_tokens: u64,
    /// Prompt tokens that the endpoint fetches from another one.
    pub fetched_tokens: u64,
    /// Prompt tokens that must be prefilled.
    pub prefill_tokens: u64,
    /// Time of the prefill alone.
    pub prefill: Duration,
    /// Prefill time that the prefix cache saves.
    pub saved: Duration,
}

/// Returns the time to prefill `tokens` at an engine.
pub(super) fn prefill_time(
    endpoint: &Endpoint,
    tokens: u64,
    speed: ModelSpeed,
    now: Time,
) -> Duration {
    let ratio = speed.prefill * endpoint.pace.start.ratio(now) * endpoint.pace.pace(now);
    Duration::from_secs_f64(tokens as f64 / PREFILL_TOKENS_PER_S * ratio)
}

/// Returns the least time that the queued prefill still takes.
///
/// An engine that is slower than expected still has all streams without a first event before it, except
/// for what it has done of the first one. Of other responses nothing shows when their prompts are done.
fn late_prefill(endpoint: &Endpoint, speed: ModelSpeed, now: Time) -> Duration {
    let (streams, tokens) = endpoint.running.queued_streams();
    if streams < 2 {
        return Duration::ZERO;
    }
    let left = (streams - 1) as f64 / streams as f64;
    prefill_time(endpoint, tokens, speed, now).mul_f64(left)
}

/// Returns the time from the first to the last event of a request at an engine.
///
/// Each chunk of prefill delays the next token of every request that runs there.
pub(super) fn decode_time(
    endpoint: &Endpoint,
    output_tokens: u64,
    speed: ModelSpeed,
    now: Time,
) -> Duration {
    let ratio = endpoint.pace.decode.ratio(now) * endpoint.pace.pace(now);
    let seconds = output_tokens as f64 * speed.token * ratio * (1.0 + endpoint.usage(now));
    Duration::from_secs_f64(seconds)
}

/// Returns the expected times of a request at an engine that has a place for it.
pub(super) fn at_engine(
    endpoint: &Endpoint,
    work: &ModelWork,
    priority: u8,
    speed: ModelSpeed,
    now: Time,
) -> Forecast {
    let cached = endpoint.kv_cache.cached_tokens(work).min(work.prompt_tokens);
    let prefill_tokens = (work.prompt_tokens - cached).max(1);
    let prefill = prefill_time(endpoint, prefill_tokens, speed, now);
    // The engine prefills urgent prompts first, but ends the one that it has begun.
    let queued = endpoint.prefill_end.since(now).max(late_prefill(endpoint, speed, now));
    let place = queued.mul_f64(endpoint.running.queued_fraction(priority));
    // Others' requests are not in the queued prefill; each takes about a turn of the batch.
    let crowd = RUN_DELAY.mul_f64(endpoint.expected_requests(now));
    let first_event = place + prefill + crowd + Duration::from_secs_f64(speed.overhead);
    Forecast {
        place,
        first_event,
        last_event: first_event + decode_time(endpoint, work.output_tokens, speed, now),
        cached_tokens: cached,
        fetched_tokens: 0,
        prefill_tokens,
        prefill,
        saved: prefill_time(endpoint, cached, speed, now),
    }
}

/// Returns the expected times of a request at an endpoint of a plain service, whose requests take
/// `service_time` seconds on average.
pub(super) fn at_plain(endpoint: &Endpoint, service_time: f64, now: Time) -> Forecast {
    let slots = f64::from(endpoint.pace.slots(endpoint.info.slots));
    let requests = endpoint.expected_requests(now);
    let time = service_time * endpoint.pace.start.ratio(now) * endpoint.pace.pace(now);
    let place = time * (requests + 1.0 - slots).max(0.0) / slots;
    let run = time * (1.0 + CROWD_FRACTION * requests / slots);
    let first_event = Duration::from_secs_f64(place + run);
    let place = Duration::from_secs_f64(place);
    Forecast { place, first_event, last_event: first_event, ..Forecast::default() }
}

/// Returns the time until a run is expected to end; zero for one that should have ended.
pub(super) fn remaining_time(
    endpoint: &Endpoint,
    run: &ActiveRun,
    speed: ModelSpeed,
    service_time: f64,
    now: Time,
) -> Duration {
    let total = match &run.request.work {
        Some(work) if run.started => decode_time(endpoint, work.output_tokens, speed, now),
        Some(work) => {
            let prefill = prefill_time(endpoint, run.forecast.prefill_tokens, speed, now);
            run.forecast.place + prefill + decode_time(endpoint, work.output_tokens, speed, now)
        }
        None => {
            let ratio = endpoint.pace.start.ratio(now) * endpoint.pace.pace(now);
            Duration::from_secs_f64(service_time * ratio * run.load.max(1.0))
        }
    };
    total.saturating_sub(now.since(run.started_at))
}

/// Part of the expected time of a response that a refusal counts. Responses are often shorter than their
/// bound, and a request that can end in time must not be refused.
const COUNTED_DECODE_FRACTION: f64 = 0.5;

/// Returns the time from the start of a request to its first event and to its end at an endpoint of
/// average speed, without a wait.
pub(super) fn run_time(
    work: Option<&ModelWork>,
    speed: ModelSpeed,
    service_time: f64,
) -> (Duration, Duration) {
    let Some(work) = work else {
        let time = Duration::from_secs_f64(service_time);
        return (time, time);
    };
    let prefill = work.prompt_tokens as f64 / PREFILL_TOKENS_PER_S * speed.prefill * speed.uncached;
    let decode = work.output_tokens as f64 * speed.token * COUNTED_DECODE_FRACTION;
    let first_event = Duration::from_secs_f64(speed.overhead + prefill);
    (first_event, first_event + Duration::from_secs_f64(decode))
}

/// What endpoints can take of the requests that wait for the same model or plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Supply {
    /// Time until the first place comes free.
    pub place: Duration,
    /// Seconds of prefill a second, at the average speed.
    pub prefill: f64,
    /// Requests a second.
    pub requests: f64,
}

/// Requests that wait before another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Ahead {
    /// Number of requests.
    pub count: usize,
    /// Tokens of their prompts.
    pub prompt_tokens: u64,
}

impl Supply {
    /// Returns the time until a request has a place that waits behind others.
    pub fn wait(&self, ahead: Ahead, speed: ModelSpeed) -> Duration {
        let prefill =
            ahead.prompt_tokens as f64 / PREFILL_TOKENS_PER_S * speed.prefill * speed.uncached;
        let by_prefill = if prefill > 0.0 { prefill / self.prefill } else { 0.0 };
        let by_count = if ahead.count > 0 { ahead.count as f64 / self.requests } else { 0.0 };
        let behind = Duration::try_from_secs_f64(by_prefill.max(by_count));
        self.place.saturating_add(behind.unwrap_or(Duration::MAX))
    }
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// Send it to this endpoint.
    Send(Arc<str>),
    /// Let it wait; it is expected to have a place at this time.
    Wait(Time),
    /// Refuse it; a place comes free for a retry after this time.
    Refuse(Duration),
}

/// Decides about a request that gets a place after `wait` and must start until `start_by`. `retry` is the
/// time after which its caller may return if it is refused.
pub(super) fn decide(
    wait: Duration,
    start_by: Time,
    now: Time,
    retry: impl FnOnce() -> Duration,
) -> Decision {
    match now + wait {
        place if place <= start_by => Decision::Wait(place),
        _ => Decision::Refuse(retry()),
    }
}
