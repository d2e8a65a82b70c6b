//! Tests of the age of what an instance knows from the store.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::record_age::{
        MAX_OPERATOR_AGE, RecordAge, WATCH_WAIT, WatchTimes, max_record_age, read_backoff,
    },
};

/// Time in which a confirmed change must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time in which a confirmed change must be in force in the largest fleet.
const LARGE_APPLY_TIME: Duration = Duration::from_secs(4);

/// Instances of the largest fleet.
const LARGE_FLEET: usize = 960;

const START: Time = Time::from_millis(100_000);

#[test]
fn record_age_counts_from_response_to_leader() {
    let age = RecordAge::new(START);
    let now = START + Duration::from_secs(10);
    age.record(Duration::from_millis(400), now);
    assert_eq!(age.get(now), Duration::from_millis(400));
    assert_eq!(age.get(now + Duration::from_millis(100)), Duration::from_millis(500));
}

#[test]
fn record_age_not_lowered_by_leader_that_lacks_store() {
    let age = RecordAge::new(START);
    age.record(Duration::ZERO, START + Duration::from_secs(1));
    let later = START + Duration::from_secs(5);
    age.record(Duration::from_secs(60), later);
    assert_eq!(age.get(later), Duration::from_secs(4));
}

#[test]
fn max_record_age_leaves_time_to_read() {
    for (fleet_size, apply_time) in
        [(1, APPLY_TIME), (9, APPLY_TIME), (LARGE_FLEET, LARGE_APPLY_TIME)]
    {
        for number in 0..fleet_size {
            let max = max_record_age(MAX_OPERATOR_AGE, &format!("edge-{number}"), fleet_size);
            assert!(max >= MAX_OPERATOR_AGE, "{max:?}");
            assert!(max + apply_time / 3 < apply_time, "{max:?} of {fleet_size}");
        }
    }
}

#[test]
fn max_record_age_spreads_large_fleet() {
    let ages = (0..LARGE_FLEET)
        .map(|number| max_record_age(MAX_OPERATOR_AGE, &format!("edge-{number}"), LARGE_FLEET));
    let mut ages: Vec<Duration> = ages.collect();
    ages.sort();
    let in_100_ms = |start: &Duration| {
        ages.iter()
            .filter(|age| *age >= start && **age < *start + Duration::from_millis(100))
            .count()
    };
    let most = ages.iter().map(in_100_ms).max().unwrap_or(0);
    assert!(most < LARGE_FLEET / 5, "{most} in 100 ms");
}

#[test]
fn read_backoff_grows_with_fleet() {
    let backoff = Duration::from_millis(250);
    assert_eq!(read_backoff(backoff, 9, 0.5), backoff);
    assert!(read_backoff(backoff, LARGE_FLEET, 0.0) > backoff);
}

/// Guards against a watch that falls silent while others, or other calls, still get responses.
#[test]
fn watch_times_as_old_as_older_watch() {
    let at = |ms| Time::from_millis(ms);
    let times = WatchTimes::default();
    times.record_operator(at(10_000));
    assert_eq!(times.age(at(10_500)), Duration::from_millis(10_500), "no endpoints were read");
    times.record_endpoints(at(10_200));
    times.record_endpoints(at(13_000));
    assert_eq!(times.age(at(13_000)), Duration::from_secs(3), "the operators' records are old");
    times.record_operator(at(12_900));
    assert_eq!(times.age(at(13_000)), Duration::from_millis(100));
}

#[test]
fn watch_times_contact_counts_while_watches_live() {
    // Guards against a short wait of each watch call only to show that the store responds.
    let times = WatchTimes::default();
    times.record_operator(START);
    times.record_endpoints(START);
    let now = START + WATCH_WAIT;
    assert_eq!(times.source_age(Duration::from_millis(300), now), Duration::from_millis(300));
}

#[test]
fn watch_times_silent_watch_counts_despite_contact() {
    // Guards against a withdrawn key in use while one watch is silent and other calls get responses.
    let times = WatchTimes::default();
    times.record_operator(START);
    let now = START + WATCH_WAIT + Duration::from_secs(1);
    times.record_endpoints(now);
    assert!(times.source_age(Duration::ZERO, now) > MAX_OPERATOR_AGE);
}
