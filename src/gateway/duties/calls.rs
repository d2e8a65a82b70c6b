//! Fixes usage reports in the store and sends them to the platform API.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::{sleep, timeout};

use super::{super::Gateway, Duties};
use crate::{
    clock::Time,
    http::pool::SendError,
    kernel::{
        duties::{
            counts::{UsageTable, Window},
            ledger::Ledger,
            roster::Roster,
            usage::{CallResult, GiveUpReason, Holding, Report, UsageStep},
        },
        revision::Revision,
    },
    platform::{
        duties::{Caller, USAGE_KEY, call_result, decode_ledger, encode_ledger, usage_request},
        store::{Put, PutResult, StoreError},
    },
};

/// Interval at which an instance checks whether it holds the duties.
const HOLD_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of opening a connection to the platform API.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a call. A call that is given up is reset long before another instance may make its first
/// one: that is at least the order gap after the end of the lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for which an idle connection to the platform API is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(3);

/// Largest response of the platform API in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Time beyond the platform's `order_gap` for which a new holder waits before its first call. The wait
/// does not go by names, since a process with the name of the former holder may be another one.
const HOLDER_MARGIN: Duration = Duration::from_millis(150);

/// Time after its election for which a leader waits for the clocks of the other instances before it
/// fixes a window.
const CLOCK_WAIT: Duration = Duration::from_secs(4);

/// Carries out the duties while this instance leads.
pub async fn report(gateway: Arc<Gateway>) {
    let Some(duties) = &gateway.duties else { return };
    if !duties.settings.usage {
        return;
    }
    let mut last_term = 0;
    loop {
        let now = Time::now();
        let holding = gateway.duty_holding(now);
        if holding.term != last_term {
            log::info!("event=duty_holder term={} former_term={last_term}", holding.term);
            last_term = holding.term;
            duties.begin_term(&gateway, now);
            metrics::gauge!("cardamomshore_duty_term").set(last_term as f64);
            metrics::counter!("cardamomshore_duty_changes_total").increment(1);
        }
        let step = duties.next_step(holding, now);
        match step {
            UsageStep::Hold => sleep(HOLD_INTERVAL).await,
            UsageStep::Read => duties.read_ledger(&gateway).await,
            UsageStep::Record(ledger, revision) => {
                duties.write_ledger(&gateway, ledger, revision).await;
            }
            UsageStep::Send(report) => duties.send_report(&gateway, holding.term, report).await,
            UsageStep::Wait(until) => sleep(until.since(now)).await,
            UsageStep::GiveUp(window, reason) => record_given_up(window, reason),
        }
    }
}

/// Logs and counts a window that is not reported.
fn record_given_up(window: u64, reason: GiveUpReason) {
    let name = match reason {
        GiveUpReason::StoreReturned => "store_returned",
        GiveUpReason::NotCounted => "not_counted",
        GiveUpReason::Refused => "refused",
    };
    metrics::counter!("cardamomshore_usage_given_up_total", "reason" => name).increment(1);
    log::warn!("event=usage_given_up window={window} reason={name}");
}

impl Gateway {
    /// Returns what this instance may do as the holder of the duties.
    fn duty_holding(&self, now: Time) -> Holding {
        let Some((term, led_for)) = self.leading_for() else {
            return Holding {
                term: 0,
                led_for: Duration::ZERO,
                may_record: false,
                may_call: false,
            };
        };
        Holding {
            term,
            led_for,
            may_record: self.leadership.lock().holds_lease(now) && self.has_clocks(led_for),
            may_call: self.may_call_in(term, now),
        }
    }

    /// Returns whether this instance may call the platform API as the leader of `term`.
    pub(super) fn may_call_in(&self, term: u64, now: Time) -> bool {
        let Some(duties) = &self.duties else { return false };
        if !duties.state.lock().has_settled_clocks(now) {
            return false;
        }
        let leadership = self.leadership.lock();
        let (_, led_for) = leadership.succession(now);
        led_for >= self.settings.order_gap + HOLDER_MARGIN && leadership.may_order_in(term, now)
    }

    /// Returns whether enough clocks are known to tell true time, or were waited for.
    fn has_clocks(&self, led_for: Duration) -> bool {
        let Some(duties) = &self.duties else { return false };
        let clocks = duties.state.lock().time.clock_count();
        led_for >= CLOCK_WAIT || clocks * 2 > self.fleet_size()
    }
}

impl Duties {
    /// Waits from now on for the counts of the instances that this one knows of.
    fn begin_term(&self, gateway: &Gateway, now: Time) {
        let members = gateway.members.load();
        let others = members.list.iter().filter(|member| !gateway.is_self(&member.instance));
        let others = others.map(|member| member.instance.clone());
        let count = gateway.fleet_size().saturating_sub(1);
        let mut state = self.state.lock();
        let since = self.settings.limits.window_at(state.true_time(now));
        state.table.set_roster(Roster::new(others, count, since));
    }

    fn next_step(&self, holding: Holding, now: Time) -> UsageStep {
        let mut state = self.state.lock();
        let wall = state.true_time(now);
        let super::State { reporter, table, pace, .. } = &mut *state;
        let step = reporter.next_step(holding, table, pace, wall, now);
        metrics::gauge!("cardamomshore_usage_backlog").set(reporter.backlog() as f64);
        step
    }

    /// Reads the record of the fixed windows.
    async fn read_ledger(&self, gateway: &Gateway) {
        let page = gateway.store.range(USAGE_KEY).await;
        let now = Time::now();
        let mut state = self.state.lock();
        let page = match page {
            Ok(page) => page,
            Err(err) => {
                log::info!("event=usage_not_read reason={err}");
                return state.reporter.record_store_failure(now);
            }
        };
        let item = page.items.iter().find(|item| item.key == USAGE_KEY);
        let stored = item.map(|item| (decode_ledger(&item.value), item.revision));
        let stored = match stored {
            Some((Ok(ledger), revision)) => Some((ledger, revision)),
            None => None,
            Some((Err(err), _)) => {
                // A record of a later release may hold fixed windows, so it is not overwritten.
                log::error!("event=usage_unreadable reason={err}");
                return state.reporter.record_store_failure(now);
            }
        };
        let current = self.settings.limits.window_at(state.true_time(now));
        let era = page.revision.era();
        let next = stored.as_ref().map_or(0, |(ledger, _)| ledger.next);
        log::info!("event=usage_read era={era} next={next} current={current}");
        state.reporter.record_read(stored, era, current);
    }

    /// Writes the record of the fixed windows in place of the one with this revision.
    async fn write_ledger(&self, gateway: &Gateway, ledger: Ledger, revision: Revision) {
        let value = encode_ledger(&ledger);
        let put = Put { key: USAGE_KEY, value: &value, lease: None };
        let written = gateway.store.put_if(USAGE_KEY, revision, &[put]).await;
        let now = Time::now();
        let mut state = self.state.lock();
        match written {
            Ok(PutResult::Done(revision)) => {
                for report in state.reporter.record_written(ledger, revision) {
                    log_missing(&state.table, report.window);
                    log_report("usage_fixed", self, &report, state.true_time(now), "recorded");
                }
            }
            Ok(PutResult::Conflict | PutResult::NoLease) => {
                log::info!("event=usage_not_recorded next={} reason=conflict", ledger.next);
                state.reporter.record_store_failure(now);
            }
            Err(err) => {
                let is_returned = matches!(err, StoreError::Returned);
                log::info!(
                    "event=usage_not_recorded next={} returned={is_returned} reason={err}",
                    ledger.next
                );
                state.reporter.record_store_failure(now);
            }
        }
    }

    /// Sends a report and records the result.
    async fn send_report(&self, gateway: &Gateway, term: u64, report: Report) {
        let window = report.window;
        {
            let mut state = self.state.lock();
            state.reporter.record_call(window);
            state.pace.record_call(Time::now());
        }
        let caller =
            Caller { holder: &gateway.settings.instance, term, host: self.settings.address };
        let answer = self.call(gateway, term, usage_request(&caller, &report)).await;
        let result = match &answer {
            Ok(status) => call_result(*status),
            Err(_) => CallResult::Failed,
        };
        let text = answer.map_or_else(|err| err.to_string(), |status| status.as_u16().to_string());
        let label = if result == CallResult::Accepted { "accepted" } else { "failed" };
        metrics::counter!("cardamomshore_usage_calls_total", "result" => label).increment(1);
        let now = Time::now();
        let mut state = self.state.lock();
        state.pace.record_result(result == CallResult::Accepted, now);
        state.reporter.record_result(window, result);
        log_report("usage_report", self, &report, state.true_time(now), &text);
    }

    /// Makes a call that was decided in `term`, unless this instance may make none in that term once
    /// the connection is open.
    pub(super) async fn call(
        &self,
        gateway: &Gateway,
        term: u64,
        request: Request<Full<Bytes>>,
    ) -> Result<StatusCode, SendError> {
        let exchange = async {
            let mut connection = self.pool.acquire(self.settings.address, CONNECT_TIMEOUT).await?;
            // The lease may have ended while the connection was opened or the process was paused.
            if !gateway.may_call_in(term, Time::now()) {
                return Err(SendError::NotSent("no longer the holder".to_owned()));
            }
            let response = connection.send(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            if body.is_ok() {
                self.pool.release(connection, KEEP_ALIVE);
            }
            Ok(status)
        };
        let result = timeout(CALL_TIMEOUT, exchange).await;
        result.unwrap_or_else(|_| Err(SendError::Unknown("no answer in time".to_owned())))
    }
}

/// Logs that counts of instances which have not joined are missing in the report of a window.
fn log_missing(table: &UsageTable, window: Window) {
    let missing = table.roster().missing_in(window);
    if missing > 0 {
        log::warn!("event=usage_instances_missing window={window} instances={missing}");
    }
}

/// Logs a report: its age since the end of its window, the number of teams and the sum of the counts.
fn log_report(event: &str, duties: &Duties, report: &Report, wall: u64, result: &str) {
    let age_ms = wall.saturating_sub(duties.settings.limits.end_of(report.window));
    if event == "usage_report" {
        metrics::histogram!("cardamomshore_usage_age_seconds").record(age_ms as f64 / 1e3);
    }
    log::info!(
        "event={event} window={} age_ms={age_ms} teams={} sum={} attempt={} result={result}",
        report.window,
        report.counts.len(),
        report.counts.values().sum::<u64>(),
        report.attempt
    );
}
