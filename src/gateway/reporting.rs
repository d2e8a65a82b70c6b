//! Logs and metrics of what the leader decides: queues, refused teams, forecasts and pauses.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::Gateway;
use crate::{
    clock::Time,
    kernel::grants::{ModelBacklog, Observations, TeamUse},
};

/// Interval of the log lines about queues and refused teams.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Models that are logged in each interval, one line each.
const MAX_LOGGED_BACKLOGS: usize = 4;

/// Adds the leader's observations to the metrics. Other instances know only a part of the requests.
pub(super) fn record_observations(observations: &Observations) {
    let Observations {
        first_event_ratios,
        end_ratios,
        paces,
        cached_tokens,
        prefill_tokens,
        fetched_tokens,
        fetches,
    } = observations;
    let first_event = metrics::histogram!("cardamomshore_forecast_ratio", "of" => "first_event");
    first_event_ratios.iter().for_each(|ratio| first_event.record(*ratio));
    let end = metrics::histogram!("cardamomshore_forecast_ratio", "of" => "end");
    end_ratios.iter().for_each(|ratio| end.record(*ratio));
    let reported = metrics::histogram!("cardamomshore_reported_pace");
    paces.iter().for_each(|pace| reported.record(*pace));
    let tokens =
        [("cached", cached_tokens), ("prefill", prefill_tokens), ("fetched", fetched_tokens)];
    for (expected, tokens) in tokens {
        metrics::counter!("cardamomshore_prompt_tokens_total", "expected" => expected)
            .increment(*tokens);
    }
    metrics::counter!("cardamomshore_prompt_fetches_total").increment(*fetches);
}

/// Reports the models for which requests wait, the teams that were refused by their rate, and the bounds
/// of prefill that follow from pauses. Does not end.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        sleep(LOG_INTERVAL).await;
        let (backlogs, refused, bounds) = {
            let mut scheduler = gateway.scheduler.lock();
            let backlogs = scheduler.model_backlogs(Time::now());
            (backlogs, scheduler.take_refused_teams(), scheduler.prefill_bounds())
        };
        backlogs.iter().take(MAX_LOGGED_BACKLOGS).for_each(log_backlog);
        if !gateway.leads() {
            continue;
        }
        refused.iter().for_each(|(team, used)| log_refused(team, used));
        for (service, factor) in bounds {
            metrics::gauge!("cardamomshore_prefill_bound", "service" => service.to_string())
                .set(factor);
        }
    }
}

fn log_backlog(backlog: &ModelBacklog) {
    log::info!(
        "event=waiting model={} waiting={} copies={} coming={} work={:.2} usage={:.2}",
        backlog.model,
        backlog.waiting,
        backlog.replicas,
        backlog.loading,
        backlog.demand,
        backlog.usage
    );
}

fn log_refused(team: &str, used: &TeamUse) {
    log::info!(
        "event=team_over_rate team={team} rate={:.0} asked={} admitted={} refunded={} refused={}",
        used.rate,
        used.asked,
        used.admitted,
        used.refunded,
        used.refused
    );
}
