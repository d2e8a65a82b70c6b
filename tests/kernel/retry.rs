//! Tests that retries stay within the budget, the deadline and the number of endpoints that one
//! request may cost.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::retry::{Attempts, Loss, Retry, RetryBudget, attempt_time},
};

const START: Time = Time::from_millis(1_000);

fn deadline() -> Time {
    START + Duration::from_secs(20)
}

/// Returns the number of retries of one request if every attempt is lost in the same way.
fn retries(loss: Loss, budget: &mut RetryBudget) -> usize {
    let mut attempts = Attempts::new(deadline());
    let lost = |draw: &u64| attempts.next_retry(loss, budget, START, *draw) != Retry::Stop;
    (0..100).take_while(lost).count()
}

#[test]
fn next_retry_crash_costs_two_endpoints() {
    assert_eq!(retries(Loss::Crash, &mut RetryBudget::default()), 1);
}

#[test]
fn next_retry_cut_without_progress_costs_two_endpoints() {
    assert_eq!(retries(Loss::Cut { progress: false }, &mut RetryBudget::default()), 1);
}

#[test]
fn next_retry_other_losses_bounded() {
    for loss in [Loss::NotRun, Loss::LinkLost, Loss::Cut { progress: true }] {
        assert_eq!(retries(loss, &mut RetryBudget::default()), 5, "{loss:?}");
    }
}

#[test]
fn next_retry_moved_spends_no_budget() {
    let mut budget = RetryBudget::default();
    while budget.take() {}
    assert_eq!(
        retries(Loss::Moved, &mut budget),
        5,
        "only the number of attempts must limit the retries"
    );
    assert_eq!(retries(Loss::NotRun, &mut budget), 0);
}

#[test]
fn next_retry_past_deadline() {
    let mut attempts = Attempts::new(deadline());
    let late = deadline() - Duration::from_millis(5);
    let retry = attempts.next_retry(Loss::NotRun, &mut RetryBudget::default(), late, u64::MAX);
    assert_eq!(retry, Retry::Stop);
}

#[test]
fn next_retry_backoff_jittered_and_longer() {
    let mut backoffs = Vec::new();
    for draw in [0, 9_999, 123_456] {
        let mut attempts = Attempts::new(deadline());
        let mut budget = RetryBudget::default();
        for _ in 0..3 {
            match attempts.next_retry(Loss::NotRun, &mut budget, START, draw) {
                Retry::After(backoff) => backoffs.push(backoff.as_micros()),
                Retry::Stop => panic!("no retry although the budget allows it"),
            }
        }
    }
    assert_ne!(backoffs[0], backoffs[3], "the backoffs must have jitter");
    for request_backoffs in backoffs.chunks(3) {
        assert!((10_000..=20_000).contains(&request_backoffs[0]), "{request_backoffs:?}");
        assert!((20_000..=40_000).contains(&request_backoffs[1]), "{request_backoffs:?}");
        assert!((40_000..=80_000).contains(&request_backoffs[2]), "{request_backoffs:?}");
    }
}

#[test]
fn budget_fraction_of_requests() {
    let mut budget = RetryBudget::default();
    while budget.take() {}
    for _ in 0..1_000 {
        budget.record_request();
        retries(Loss::NotRun, &mut budget);
    }
    let mut remaining = 0;
    while budget.take() {
        remaining += 1;
    }
    assert!(remaining <= 1, "the retries that the requests added must be used up");
    // In an outage in which every request fails, retries add only their fraction to the load.
    let mut retries_made = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retries_made += retries(Loss::NotRun, &mut budget);
    }
    assert!((190..=210).contains(&retries_made), "{retries_made} retries for 1000 requests");
}

#[test]
fn attempt_without_time_left_not_begun() {
    let limit = Duration::from_secs(1);
    assert_eq!(attempt_time(limit, Duration::ZERO), None, "a timeout of zero still polls once");
    assert_eq!(attempt_time(limit, Duration::from_millis(1)), Some(Duration::from_millis(1)));
    assert_eq!(attempt_time(limit, Duration::from_secs(3)), Some(limit));
}
