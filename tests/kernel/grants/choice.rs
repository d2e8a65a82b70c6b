//! Which endpoint is granted to a request, and which requests are queued or refused.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::grants::{EndpointEntry, Mode, Outcome, Reason, Scheduler},
};

use super::fleet::{
    LEADING, START, desk, end_request, engine, granted, key, model_request, plain_request, refused,
    scheduler,
};

#[test]
fn request_prefers_engine_with_cached_prompt() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"]), engine("e2", &["m0"])]);
    let first = scheduler.handle_request(key(1), model_request("m0", 9_000, START), START);
    let first = granted(&first).expect("the request is granted").endpoint.clone();
    end_request(&mut scheduler, 1, Outcome::Whole, START);
    let later = START + Duration::from_secs(3);
    let second = scheduler.handle_request(key(2), model_request("m0", 9_000, later), later);
    assert_eq!(granted(&second).expect("the request is granted").endpoint, first);
}

#[test]
fn request_different_prompts_spread_over_engines() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"]), engine("e2", &["m0"])]);
    let endpoints: Vec<_> = (0..2)
        .map(|number| {
            let actions = scheduler.handle_request(
                key(number),
                model_request("m0", 8_000 + number as u32, START),
                START,
            );
            granted(&actions).expect("the request is granted").endpoint.clone()
        })
        .collect();
    assert_ne!(endpoints[0], endpoints[1]);
}

#[test]
fn request_busy_engine_queued_then_granted() {
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
    let actions = end_request(&mut scheduler, 0, Outcome::Whole, later);
    assert!(granted(&actions).is_some(), "request {waiting} is granted next");
}

#[test]
fn request_unknown_model_refused_at_once() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    let actions = scheduler.handle_request(key(1), model_request("m9", 100, START), START);
    assert_eq!(refused(&actions).expect("the request is refused").reason, Reason::NoModel);
}

#[test]
fn request_no_endpoint_refused_at_once() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    let actions = scheduler.handle_request(key(1), plain_request(START), START);
    assert_eq!(refused(&actions).expect("the request is refused").reason, Reason::NoEndpoint);
}

#[test]
fn request_overdue_refused_before_deadline() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    let draining = EndpointEntry { draining: true, ..engine("e1", &["m0"]) };
    for number in 0..8 {
        scheduler.handle_request(
            key(number),
            model_request("m0", 9_000 + number as u32, START),
            START,
        );
    }
    assert!(scheduler.queue_len() > 0);
    scheduler.set_endpoints(vec![draining, engine("e2", &["m1"])], START);
    let waiting = scheduler.queue_len();
    let later = START + Duration::from_millis(4_500);
    assert_eq!(refused(&scheduler.tick(later)), None, "the requests can still end in time");
    assert_eq!(scheduler.queue_len(), waiting);
    let overdue = START + Duration::from_millis(4_990);
    let actions = scheduler.tick(overdue);
    assert!(refused(&actions).is_some(), "no request can end in 10 ms");
    assert_eq!(scheduler.queue_len(), 0);
}

#[test]
fn request_cold_engine_rate_bounded() {
    let cold = EndpointEntry { cold_remaining: Duration::from_secs(3), ..engine("e1", &["m0"]) };
    let mut scheduler = scheduler(LEADING, vec![cold]);
    let grants = (0..50).filter(|number| {
        granted(&scheduler.handle_request(key(*number), model_request("m0", 10, START), START))
            .is_some()
    });
    assert!(grants.count() <= 6);
}

#[test]
fn request_alone_never_to_cold_endpoint() {
    let cold = EndpointEntry { cold_remaining: Duration::from_secs(3), ..engine("e1", &["m0"]) };
    let mut scheduler = scheduler(Mode::Alone { share: 0.1 }, vec![cold]);
    assert!(
        granted(&scheduler.handle_request(key(1), model_request("m0", 10, START), START)).is_none()
    );
}

#[test]
fn request_never_to_draining_or_evacuated() {
    let draining = EndpointEntry { draining: true, ..desk("d1") };
    let mut other = desk("d2");
    other.data_centre = "b".into();
    let mut scheduler = scheduler(LEADING, vec![draining, other]);
    scheduler.set_evacuated(["b".into()].into());
    let actions = scheduler.handle_request(key(1), plain_request(START), START);
    assert!(granted(&actions).is_none());
}

#[test]
fn request_failing_endpoint_avoided_by_data_centre() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1"), desk("d2")]);
    for number in 0..40 {
        let actions = scheduler.handle_request(key(number), plain_request(START), START);
        let endpoint = granted(&actions).expect("the request is granted").endpoint.clone();
        let outcome = if &*endpoint == "d1" { Outcome::Failed } else { Outcome::Whole };
        end_request(&mut scheduler, number, outcome, START);
    }
    let chosen = (100..120).filter(|number| {
        let actions = scheduler.handle_request(key(*number), plain_request(START), START);
        let endpoint = granted(&actions).expect("the request is granted").endpoint.clone();
        end_request(&mut scheduler, *number, Outcome::Whole, START);
        &*endpoint == "d1"
    });
    assert_eq!(chosen.count(), 0);
}

#[test]
fn request_crashing_refused_after_three_endpoints() {
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
        end_request(&mut scheduler, number, Outcome::Broke, now);
    }
    assert!(crashes <= 3, "the request crashed {crashes} endpoints");
}

#[test]
fn request_endpoint_said_to_leave_not_granted() {
    let engines = || vec![engine("e1", &["m0"]), engine("e2", &["m0"])];
    let mut scheduler = scheduler(LEADING, engines());
    let actions = scheduler.handle_request(key(1), model_request("m0", 9_000, START), START);
    let leaving = granted(&actions).expect("the request is granted").endpoint.clone();
    end_request(&mut scheduler, 1, Outcome::Leaving, START);
    scheduler.set_endpoints(engines(), START);
    for number in 2..20 {
        let later = START + Duration::from_secs(number);
        let request = model_request("m0", 9_000, later);
        let actions = scheduler.handle_request(key(number), request, later);
        assert_ne!(granted(&actions).expect("the request is granted").endpoint, leaving);
        end_request(&mut scheduler, number, Outcome::Whole, later);
    }
}

/// Sends plain requests until the endpoint is full. Returns how many were granted.
fn fill_desk(scheduler: &mut Scheduler, first: u64, now: Time) -> usize {
    let grants = (first..first + 40).filter(|number| {
        granted(&scheduler.handle_request(key(*number), plain_request(now), now)).is_some()
    });
    grants.count()
}

#[test]
fn request_brittle_endpoint_gets_no_more_than_its_slots() {
    let entry = desk("d1");
    let slots = entry.slots as usize;
    let mut sound = scheduler(LEADING, vec![entry.clone()]);
    assert!(fill_desk(&mut sound, 0, START) > slots);

    let mut brittle = scheduler(LEADING, vec![entry]);
    brittle.handle_request(key(99), plain_request(START), START);
    brittle.record_max_refusals(&key(99), Some(6), Outcome::Whole);
    end_request(&mut brittle, 99, Outcome::Whole, START);
    assert_eq!(fill_desk(&mut brittle, 0, START), slots);
}

#[test]
fn request_brittle_endpoint_that_refused_rests() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1")]);
    scheduler.handle_request(key(99), plain_request(START), START);
    scheduler.record_max_refusals(&key(99), Some(6), Outcome::Full);
    end_request(&mut scheduler, 99, Outcome::Full, START);
    let soon = START + Duration::from_millis(900);
    let actions = scheduler.handle_request(key(1), plain_request(soon), soon);
    assert!(granted(&actions).is_none(), "it has just refused a request");
    let later = START + Duration::from_millis(1_100);
    let actions = scheduler.handle_request(key(2), plain_request(later), later);
    assert!(granted(&actions).is_some() || !scheduler.tick(later).is_empty());
}
