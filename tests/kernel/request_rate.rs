//! Tests of the peak of the rate at which requests arrive.

use std::time::Duration;

use cardamomshore::{clock::Time, kernel::request_rate::RequestRate};

const START: Time = Time::from_millis(1_000_000);

/// Records `rate` requests a second for some seconds.
fn load(meter: &mut RequestRate, from: Time, seconds: u32, rate: u32) -> Time {
    for index in 0..seconds * rate {
        meter.record(from + Duration::from_secs(1) * index / rate);
    }
    from + Duration::from_secs(seconds.into())
}

#[test]
fn peak_survives_quiet_moment() {
    let mut meter = RequestRate::default();
    let busy = load(&mut meter, START, 10, 500);
    assert!((490.0..510.0).contains(&meter.peak(busy)), "{}", meter.peak(busy));
    let quiet = load(&mut meter, busy, 30, 10);
    assert!(meter.peak(quiet) >= 490.0);
}

#[test]
fn peak_forgotten_after_a_while() {
    let mut meter = RequestRate::default();
    let busy = load(&mut meter, START, 10, 500);
    let quiet = load(&mut meter, busy, 70, 10);
    assert!(meter.peak(quiet) <= 11.0, "{}", meter.peak(quiet));
    assert_eq!(meter.peak(quiet + Duration::from_secs(120)), 0.0, "no request for long");
}

#[test]
fn peak_follows_rise_within_seconds() {
    let mut meter = RequestRate::default();
    let quiet = load(&mut meter, START, 10, 10);
    let busy = load(&mut meter, quiet, 2, 400);
    assert!(meter.peak(busy) >= 390.0, "{}", meter.peak(busy));
}
