//! Which endpoint is granted to a request, and which requests are queued or refused.

use std::time::Duration;

use cardamomshore::kernel::grants::{Mode, Outcome, Reason, Registration};

use super::fleet::{
    LEADING, START, desk, done, engine, granted, key, model_request, plain_request, refused,
    scheduler,
};

#[test]
fn ask_prefers_engine_that_keeps_prompt() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"]), engine("e2", &["m0"])]);
    let first = scheduler.handle_request(key(1), model_request("m0", 9_000, START), START);
    let first = granted(&first).expect("granted").endpoint.clone();
    done(&mut scheduler, 1, Outcome::Whole, START);
    let later = START + Duration::from_secs(3);
    let second = scheduler.handle_request(key(2), model_request("m0", 9_000, later), later);
    assert_eq!(granted(&second).expect("granted").endpoint, first);
}

#[test]
fn ask_spreads_prompts_over_engines() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"]), engine("e2", &["m0"])]);
    let endpoints: Vec<_> = (0..2)
        .map(|number| {
            let actions = scheduler.handle_request(
                key(number),
                model_request("m0", 8_000 + number as u32, START),
                START,
            );
            granted(&actions).expect("granted").endpoint.clone()
        })
        .collect();
    assert_ne!(endpoints[0], endpoints[1]);
}

#[test]
fn ask_busy_engine_queues_and_serves_later() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    let mut waiting = None;
    for number in 0..8 {
        let actions = scheduler.handle_request(
            key(number),
            model_request("m0", 9_000 + number as u32, START),
            START,
        );
        if granted(&actions).is_none() {
            assert_eq!(refused(&actions), None, "the request can wait");
            waiting.get_or_insert(number);
        }
    }
    let waiting = waiting.expect("the engine prefills only some prompts at once");
    let later = START + Duration::from_millis(300);
    let actions = done(&mut scheduler, 0, Outcome::Whole, later);
    assert!(granted(&actions).is_some(), "request {waiting} is granted next");
}

#[test]
fn ask_unknown_model_refused_at_once() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    let actions = scheduler.handle_request(key(1), model_request("m9", 100, START), START);
    assert_eq!(refused(&actions).expect("refused").reason, Reason::NoModel);
}

#[test]
fn ask_no_endpoint_refused_at_once() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    let actions = scheduler.handle_request(key(1), plain_request(START), START);
    assert_eq!(refused(&actions).expect("refused").reason, Reason::NoEndpoint);
}

#[test]
fn ask_overdue_refused_before_its_deadline() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    let entry = Registration { draining: true, ..engine("e1", &["m0"]) };
    for number in 0..8 {
        scheduler.handle_request(
            key(number),
            model_request("m0", 9_000 + number as u32, START),
            START,
        );
    }
    assert!(scheduler.queue_len() > 0);
    scheduler.set_endpoints(vec![entry, engine("e2", &["m1"])], START);
    let overdue = START + Duration::from_millis(3_100);
    let actions = scheduler.tick(overdue);
    assert!(refused(&actions).is_some(), "the requests have waited 3.1 of 5 s");
    assert_eq!(scheduler.queue_len(), 0);
}

#[test]
fn ask_cold_engine_gets_no_more_than_it_bears() {
    let cold = Registration { cold_remaining: Duration::from_secs(3), ..engine("e1", &["m0"]) };
    let mut scheduler = scheduler(LEADING, vec![cold]);
    let grants = (0..50).filter(|number| {
        granted(&scheduler.handle_request(key(*number), model_request("m0", 10, START), START))
            .is_some()
    });
    assert!(grants.count() <= 6);
}

#[test]
fn ask_alone_never_cold() {
    let cold = Registration { cold_remaining: Duration::from_secs(3), ..engine("e1", &["m0"]) };
    let mut scheduler = scheduler(Mode::Alone { share: 0.1 }, vec![cold]);
    assert!(
        granted(&scheduler.handle_request(key(1), model_request("m0", 10, START), START)).is_none()
    );
}

#[test]
fn ask_draining_or_evacuated_gets_nothing() {
    let draining = Registration { draining: true, ..desk("d1") };
    let mut other = desk("d2");
    other.data_centre = "b".into();
    let mut scheduler = scheduler(LEADING, vec![draining, other]);
    scheduler.set_evacuated(["b".into()].into());
    let actions = scheduler.handle_request(key(1), plain_request(START), START);
    assert!(granted(&actions).is_none());
}

#[test]
fn ask_failing_endpoint_avoided_for_its_data_centre() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1"), desk("d2")]);
    for number in 0..40 {
        let actions = scheduler.handle_request(key(number), plain_request(START), START);
        let endpoint = granted(&actions).expect("granted").endpoint.clone();
        let outcome = if &*endpoint == "d1" { Outcome::Failed } else { Outcome::Whole };
        done(&mut scheduler, number, outcome, START);
    }
    let chosen = (100..120).filter(|number| {
        let actions = scheduler.handle_request(key(*number), plain_request(START), START);
        let endpoint = granted(&actions).expect("granted").endpoint.clone();
        done(&mut scheduler, *number, Outcome::Whole, START);
        &*endpoint == "d1"
    });
    assert_eq!(chosen.count(), 0);
}

#[test]
fn ask_crashing_request_refused_after_three_endpoints() {
    let engines = ["e1", "e2", "e3", "e4"].map(|id| engine(id, &["m0"]));
    let mut scheduler = scheduler(LEADING, engines.to_vec());
    let mut crashes = 0;
    for number in 0..10 {
        let now = START + Duration::from_secs(5) * number as u32;
        let mut request = model_request("m0", 100, now);
        request.fingerprint = 7;
        let actions = scheduler.handle_request(key(number), request, now);
        if let Some(refusal) = refused(&actions) {
            assert_eq!(refusal.reason, Reason::Crashes);
            break;
        }
        crashes += 1;
        done(&mut scheduler, number, Outcome::Broke, now);
    }
    assert!(crashes <= 3, "{crashes} endpoints crashed");
}
