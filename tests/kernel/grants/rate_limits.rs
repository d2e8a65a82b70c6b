//! Endpoints that name a limit of the request rate in their responses.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::grants::{Outcome, Scheduler},
};

use super::fleet::{LEADING, START, end_request, engine, granted, key, model_request, scheduler};

/// Window in which the platform counts the requests that an endpoint gets.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after an endpoint first named its limit from which the platform counts.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Interval at which requests arrive.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the largest number of requests that the platform tolerates in a [`WINDOW`].
fn tolerated(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Grants requests for a `length` of time, which all complete at once. The responses of `e1` name
/// `limit`. Returns when `e1` got requests.
fn play(scheduler: &mut Scheduler, from: Time, length: Duration, limit: Option<f64>) -> Vec<Time> {
    let mut times = Vec::new();
    let mut now = from;
    let mut number = from.0;
    while now < from + length {
        let request = model_request("m0", 100, now);
        let mut actions = scheduler.handle_request(key(number), request, now);
        actions.extend(scheduler.tick(now));
        if let Some(grant) = granted(&actions).cloned() {
            if &*grant.endpoint == "e1" {
                times.push(now);
                scheduler.record_rate_limit(&grant, limit);
            }
            end_request(scheduler, number, Outcome::Whole, now);
        }
        number += 1;
        now = now + ARRIVAL_INTERVAL;
    }
    times
}

/// Returns the largest number of times that lie in one [`WINDOW`].
fn max_in_window(times: &[Time]) -> usize {
    let count = |start: &Time| {
        times.iter().filter(|at| **at >= *start && at.since(*start) < WINDOW).count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

#[test]
fn endpoint_limit_exceeded_by_nobody() {
    let engines = vec![engine("e1", &["m0"]), engine("e2", &["m0"])];
    let mut scheduler = scheduler(LEADING, engines);
    play(&mut scheduler, START, CONTACT_TIME, Some(1.0));
    let times = play(&mut scheduler, START + CONTACT_TIME, Duration::from_secs(20), Some(1.0));
    let most = max_in_window(&times);
    assert!(most <= tolerated(1.0), "{most} requests in a window, {} tolerated", tolerated(1.0));
    assert!(times.len() >= 10, "the endpoint gets what it takes: {}", times.len());
}
