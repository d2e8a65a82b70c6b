//! Whether an engine fetches the beginning of a prompt from another engine that has it cached, instead of
//! prefilling it.
//!
//! The decision is pure. The load for which it is made: prompts that share their beginnings arrive at more
//! engines than those that have prefilled them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Endpoint, forecast::Forecast, pace::ModelSpeed};
use crate::{catalog::FetchSpec, clock::Time, kernel::grants::forecast::PREFILL_TOKENS_PER_S};

/// Time from the request for a transfer until its first byte. It is some milliseconds and not known
/// exactly; an estimate that is too high only forgoes short transfers.
const SETUP_TIME: Duration = Duration::from_millis(5);

/// Prefill time that a transfer must save for each second that it takes at an idle engine. A transfer also
/// uses the link of the holder, its bytes are charged, and it may bring less than expected.
const MIN_GAIN: f64 = 4.0;

/// Factor of the transfer time between two data centres.
const REMOTE_FACTOR: u32 = 2;

/// Rate of failed requests from which an engine is not named as a holder: one failure counts for about
/// three seconds.
const MAX_FAILURE_RATE: f64 = 0.1;

/// Time after the expected end of all queued prefill from which an engine without a first event counts as
/// silent.
const SILENT_AFTER: Duration = Duration::from_millis(500);

/// Bound of a transfer time in the price, which keeps the sum of times within their range.
const MAX_TRANSFER: Duration = Duration::from_secs(3_600);

/// An engine that holds the beginning of a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder<'a> {
    /// The engine.
    pub endpoint: &'a Endpoint,
    /// Leading tokens of the prompt that it has cached.
    pub tokens: u64,
}

/// A transfer of the beginning of a prompt to an engine.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Fetch {
    /// Engine that holds the tokens.
    pub holder: Arc<str>,
    /// Address of the holder.
    pub address: SocketAddr,
    /// Tokens beyond those that the receiving engine has cached.
    pub tokens: u64,
    /// Prefill time that the transfer saves.
    pub saved: Duration,
    /// Time until the transfer is done, with the wait for both links.
    pub delay: Duration,
    /// What the transfer costs beyond its delay, as prefill time.
    pub price: Duration,
}

impl Fetch {
    /// Returns the times of a request that begins with this fetch, from those without one.
    pub fn apply(&self, forecast: &Forecast) -> Forecast {
        let later = |time: Duration| time.saturating_sub(self.saved).saturating_add(self.delay);
        Forecast {
            first_event: later(forecast.first_event),
            last_event: later(forecast.last_event),
            fetched_tokens: self.tokens,
            prefill_tokens: forecast.prefill_tokens - self.tokens,
            prefill: forecast.prefill.saturating_sub(self.saved),
            ..*forecast
        }
    }
}

/// How an engine gets the part of a prompt that it lacks.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum FetchStep {
    /// It prefills all of it.
    Prefill,
    /// It fetches what another engine holds and prefills the rest.
    Fetch(Fetch),
}

/// Returns whether a transfer of `tokens` can pay off at a busy engine of average speed with idle links.
pub(super) fn can_pay(tokens: u64, spec: &FetchSpec, speed: ModelSpeed) -> bool {
    let prefill = tokens as f64 / PREFILL_TOKENS_PER_S * speed.prefill;
    let transfer = SETUP_TIME.saturating_add(spec.transfer_time(tokens));
    prefill * 2.0 > transfer.as_secs_f64() * MIN_GAIN
}

/// Returns whether an engine can be named as a holder, whatever it holds.
pub(super) fn is_available(endpoint: &Endpoint, model: &str, now: Time) -> bool {
    let is_silent =
        endpoint.running.queued_streams().0 > 0 && now.since(endpoint.prefill_end) > SILENT_AFTER;
    endpoint.is_serving()
        && endpoint.accepts_requests(now)
        && endpoint.can_serve(model)
        && endpoint.crash_state.is_sound()
        && endpoint.failures.highest(now) < MAX_FAILURE_RATE
        && !is_silent
}

/// Decides how an engine gets the part of a prompt that it lacks.
///
/// `forecast` is that of the engine with its own cache alone. At an engine that is busy with prefill a
/// saved second counts up to twice, since it also serves those that wait.
pub(super) fn decide(
    endpoint: &Endpoint,
    forecast: &Forecast,
    holders: &[Holder<'_>],
    spec: &FetchSpec,
    now: Time,
) -> FetchStep {
    let load = endpoint.usage(now).min(1.0);
    let gain = |fetch: &Fetch| {
        let cost = fetch.delay + fetch.price;
        fetch.saved.as_secs_f64() * (1.0 + load) - cost.as_secs_f64()
    };
    let fetches =
        holders.iter().filter_map(|holder| transfer_from(holder, endpoint, forecast, spec, now));
    let paying = fetches.map(|fetch| (gain(&fetch), fetch)).filter(|(gain, _)| *gain > 0.0);
    match paying.max_by(|(a, _), (b, _)| a.total_cmp(b)) {
        Some((_, fetch)) => FetchStep::Fetch(fetch),
        None => FetchStep::Prefill,
    }
}

/// Returns the transfer from a holder to an engine; `None` if it would bring nothing that the engine can
/// use.
fn transfer_from(
    holder: &Holder<'_>,
    endpoint: &Endpoint,
    forecast: &Forecast,
    spec: &FetchSpec,
    now: Time,
) -> Option<Fetch> {
    let Holder { endpoint: source, tokens } = *holder;
    let is_other = source.info.id != endpoint.info.id
        && source.info.address != endpoint.info.address
        && source.info.service == endpoint.info.service
        && source.info.version == endpoint.info.version;
    // The last token of a prompt is always prefilled.
    let missing = forecast.prefill_tokens.saturating_sub(1);
    let tokens = tokens.saturating_sub(forecast.cached_tokens).min(missing);
    if !is_other || tokens == 0 {
        return None;
    }
    let is_remote = source.info.data_centre != endpoint.info.data_centre;
    let factor = if is_remote { REMOTE_FACTOR } else { 1 };
    let transfer = SETUP_TIME.saturating_add(spec.transfer_time(tokens).saturating_mul(factor));
    let wait = source.link_free.max(endpoint.link_free).since(now);
    Some(Fetch {
        holder: source.info.id.clone(),
        address: source.info.address,
        tokens,
        saved: forecast.prefill.mul_f64(tokens as f64 / forecast.prefill_tokens as f64),
        delay: wait.saturating_add(transfer),
        price: transfer.min(MAX_TRANSFER).mul_f64(MIN_GAIN - 1.0),
    })
}
