//! Tests the token bucket and the moving average of demand.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::quota::{Charge, DemandAverage, TokenBucket},
};

const START: Time = Time::from_millis(10_000);

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

#[test]
fn charge_starts_empty_and_waits() {
    let mut bucket = TokenBucket::empty(100.0, 50.0, START);
    assert_eq!(bucket.charge(10.0, START), Charge::Wait(Duration::from_millis(100)));
    assert_eq!(bucket.charge(10.0, after(100)), Charge::Taken);
    assert_eq!(bucket.charge(51.0, after(10_000)), Charge::Never);
}

#[test]
fn refund_stops_at_burst() {
    let mut bucket = TokenBucket::empty(100.0, 50.0, START);
    bucket.refund(500.0, START);
    assert_eq!(bucket.level(START), 50.0);
}

#[test]
fn resize_never_adds_tokens() {
    let mut bucket = TokenBucket::empty(100.0, 50.0, START);
    bucket.resize(1_000.0, 500.0, after(200));
    assert_eq!(bucket.level(after(200)), 20.0);
    bucket.resize(1_000.0, 5.0, after(200));
    assert_eq!(bucket.level(after(200)), 5.0);
}

#[test]
fn refill_ignores_a_clock_that_steps_back() {
    let mut bucket = TokenBucket::empty(100.0, 50.0, START);
    assert_eq!(bucket.level(after(100)), 10.0);
    assert_eq!(bucket.level(after(50)), 10.0);
    assert_eq!(bucket.level(after(100)), 10.0);
}

#[test]
fn demand_follows_a_steady_load() {
    let mut demand = DemandAverage::default();
    for step in 0..200 {
        demand.record(50.0, after(step * 100));
    }
    let rate = demand.rate(after(20_000));
    assert!((450.0..550.0).contains(&rate), "{rate}");
    assert!(demand.rate(after(40_000)) < 1.0);
}
