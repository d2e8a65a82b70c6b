//! Endpoints that name a limit of the request rate in their responses.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::grants::{
        Action, Command, EndpointEntry, EndpointLimit, Grant, Incarnation, Mode, Outcome, Refusal,
        Scheduler,
    },
};

use super::fleet::{
    LEADING, START, accept_orders, deliver_reports, end_request, engine, granted, key,
    model_request, refused, scheduler,
};

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

/// Returns the limit that a response to a granted request names.
fn named(grant: &Grant, rate: Option<f64>) -> EndpointLimit {
    EndpointLimit { endpoint: grant.endpoint.clone(), incarnation: grant.incarnation, rate }
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
                scheduler.record_rate_limit(&named(&grant, limit), now);
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

#[test]
fn endpoint_limit_held_after_change_of_leader() {
    let engines = vec![engine("e1", &["m0"]), engine("e2", &["m0"])];
    let mut first = scheduler(LEADING, engines.clone());
    let mut times = play(&mut first, START, CONTACT_TIME, Some(1.0));
    let mut next = scheduler(LEADING, engines);
    let now = START + CONTACT_TIME;
    for limit in first.rate_limits() {
        next.record_rate_limit(&limit, now);
    }
    times.extend(play(&mut next, now, Duration::from_secs(10), Some(1.0)));
    times.retain(|at| *at >= START + Duration::from_secs(2));
    assert!(max_in_window(&times) <= tolerated(1.0), "{}", max_in_window(&times));
}

#[test]
fn endpoint_limit_shared_without_leader() {
    let engines = vec![engine("e1", &["m0"]), engine("e2", &["m0"])];
    let mut times = Vec::new();
    for _ in 0..8 {
        let mut alone = scheduler(Mode::Alone { share: 0.125 }, engines.clone());
        play(&mut alone, START, Duration::from_millis(100), Some(1.0));
        let now = START + CONTACT_TIME;
        times.extend(play(&mut alone, now, Duration::from_secs(20), Some(1.0)));
    }
    assert!(max_in_window(&times) <= 8 + 4, "{}", max_in_window(&times));
}

#[test]
fn endpoint_limit_ends_with_later_response() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    let actions = scheduler.handle_request(key(1), model_request("m0", 100, START), START);
    let grant = granted(&actions).expect("nothing else runs").clone();
    let later = START + Duration::from_secs(1);
    scheduler.observe_rate_limit(&named(&grant, Some(1.0)), START, later);
    assert!(
        !scheduler.observe_rate_limit(&named(&grant, None), START, later),
        "the response may be older than the limit"
    );
    assert!(scheduler.observe_rate_limit(&named(&grant, None), later, later));
    assert!(scheduler.rate_limits().is_empty());
}

#[test]
fn endpoint_limit_ends_with_incarnation() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    play(&mut scheduler, START, Duration::from_millis(50), Some(1.0));
    assert_eq!(scheduler.rate_limits().len(), 1);
    let restarted = EndpointEntry { incarnation: Incarnation(2), ..engine("e1", &["m0"]) };
    scheduler.set_endpoints(vec![restarted], START);
    assert!(scheduler.rate_limits().is_empty());
}

#[test]
fn endpoint_limit_unknown_to_leader_is_removed() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    play(&mut scheduler, START, Duration::from_millis(50), Some(1.0));
    scheduler.replace_rate_limits(&[], START);
    assert!(scheduler.rate_limits().is_empty());
}

#[test]
fn request_beyond_limit_of_only_endpoint_refused_at_once() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    play(&mut scheduler, START, Duration::from_millis(50), Some(1.0));
    let refusals = (0..10).filter_map(|number| {
        refused(&scheduler.handle_request(key(number), model_request("m0", 100, START), START))
    });
    let refusals: Vec<Refusal> = refusals.collect();
    assert!((5..=6).contains(&refusals.len()), "four or five fit into five seconds: {refusals:?}");
    // A place comes free each second, and a caller waits for a third of its time.
    let third = Duration::from_secs(5) / 3;
    let retries = refusals.iter().map(|refusal| refusal.retry);
    assert!(retries.into_iter().all(|retry| retry >= Duration::from_millis(900) && retry <= third));
}

#[test]
fn request_waits_for_turn_at_limited_endpoint() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    play(&mut scheduler, START, Duration::from_millis(50), Some(1.0));
    let actions = scheduler.handle_request(key(1), model_request("m0", 100, START), START);
    assert!(actions.is_empty(), "the request fits into the limit a second later");
    let later = START + Duration::from_millis(1_100);
    assert!(granted(&scheduler.tick(later)).is_some());
}

#[test]
fn busy_model_of_limited_engine_loaded_elsewhere() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"]), engine("e2", &["m1"])]);
    deliver_reports(&mut scheduler, START);
    play(&mut scheduler, START, Duration::from_secs(1), Some(1.0));
    let orders = accept_orders(&mut scheduler, START + Duration::from_secs(1), WINDOW);
    let is_load = |order: &Action| {
        let load = Command::Load { model: "m0".into() };
        matches!(order, Action::Order { endpoint, order, .. }
            if &**endpoint == "e2" && order.command == load)
    };
    assert!(orders.iter().any(is_load), "{orders:?}");
}

#[test]
fn limited_engines_alone_still_load_models() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"]), engine("e2", &["m0"])]);
    deliver_reports(&mut scheduler, START);
    for id in ["e1", "e2"] {
        let (endpoint, incarnation) = (id.into(), Incarnation(1));
        let limit = EndpointLimit { endpoint, incarnation, rate: Some(1.0) };
        scheduler.record_rate_limit(&limit, START);
    }
    scheduler.handle_request(key(1), model_request("m3", 100, START), START);
    let orders = accept_orders(&mut scheduler, START, WINDOW);
    assert!(!orders.is_empty(), "the model is loaded at one of them");
}
