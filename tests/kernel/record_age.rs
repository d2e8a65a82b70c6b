//! Tests of the age of what an instance knows from the store.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::record_age::{
        CallFailures, LoneStep, MAX_OPERATOR_AGE, RecordAge, WATCH_WAIT, WatchTimes,
        first_read_wait, lone_step, max_record_age, max_table_age, read_backoff, watch_delay,
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

/// Time after which an endpoint that drains gets no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time after the leader's last heartbeat within which the next one is elected: the rest of its lease,
/// the wait of the candidates, and two calls to the store.
const ELECTED_AFTER: Duration = Duration::from_millis(2_000);

const SECOND: Duration = Duration::from_secs(1);

fn instances(count: usize) -> impl Iterator<Item = String> {
    (0..count).map(|number| format!("edge-{number}"))
}

/// Guards against all instances listing the endpoints while the store must elect a leader: with 300
/// instances and 3,000 endpoints that is 450 MB within 300 ms.
#[test]
fn max_table_age_large_fleet_expects_leader() {
    for fleet_size in [100, 300, LARGE_FLEET] {
        let ages = instances(fleet_size).map(|it| max_table_age(DRAIN_TIME, &it, fleet_size));
        let mut ages: Vec<Duration> = ages.collect();
        ages.sort();
        let early = ages.iter().filter(|age| **age < ELECTED_AFTER).count();
        assert!((1..=32).contains(&early), "{early} of {fleet_size} read before the election");
        let first = ages[early];
        let in_1_s = ages.iter().filter(|age| (first..first + SECOND).contains(age)).count();
        assert!(in_1_s < 130, "{in_1_s} of {fleet_size} read within a second");
    }
}

/// Guards against a change for small fleets, which the store serves at once.
#[test]
fn max_table_age_small_fleet_reads_in_time() {
    for fleet_size in [1, 9, 66, 77] {
        for instance in instances(fleet_size) {
            let age = max_table_age(DRAIN_TIME, &instance, fleet_size);
            assert!(age <= DRAIN_TIME * 6 / 10, "{age:?} of {fleet_size}");
            assert_eq!(
                lone_step(DRAIN_TIME * 10, Duration::ZERO, DRAIN_TIME, fleet_size),
                LoneStep::Grant
            );
        }
    }
}

/// Guards against requests to an endpoint that drains while an instance without a leader waits for its
/// turn to read the endpoints.
#[test]
fn lone_step_old_table_defers_requests() {
    let step = |age, failing| lone_step(age, failing, DRAIN_TIME, 300);
    assert_eq!(step(Duration::from_millis(900), Duration::ZERO), LoneStep::Grant);
    assert_eq!(step(DRAIN_TIME * 8 / 10, Duration::ZERO), LoneStep::Defer);
    assert_eq!(step(DRAIN_TIME * 8 / 10, ELECTED_AFTER), LoneStep::Defer, "a store that is slow");
}

/// Guards against refusals of all requests for as long as the store is down, if the leader is lost
/// meanwhile.
#[test]
fn lone_step_lost_store_grants_by_old_table() {
    assert_eq!(lone_step(DRAIN_TIME * 10, SECOND * 4, DRAIN_TIME, 300), LoneStep::Grant);
}

/// Guards against all instances of a fleet that was killed listing the endpoints at once when the former
/// leader refuses their links.
#[test]
fn first_read_wait_large_fleet_expects_leader() {
    let waits = instances(300).map(|instance| first_read_wait(&instance, 300, true));
    let (early, late): (Vec<Duration>, Vec<Duration>) = waits.partition(|it| *it < ELECTED_AFTER);
    assert!((1..=32).contains(&early.len()), "{} serve callers meanwhile", early.len());
    assert!(late.iter().all(|wait| *wait < Duration::from_secs(7)), "{late:?}");
    assert_eq!(first_read_wait("edge-1", 9, true), Duration::ZERO);
    assert_eq!(first_read_wait("edge-1", 9, false), Duration::from_millis(500));
}

/// Guards against more watch calls than the store takes while no instance has a leader.
#[test]
fn watch_delay_bounds_calls_of_fleet() {
    for fleet_size in [9, 77, 300, LARGE_FLEET] {
        let delay = watch_delay(Duration::from_millis(40), DRAIN_TIME, fleet_size);
        let calls = fleet_size as f64 / delay.as_secs_f64();
        assert!(calls <= 2_000.0, "{calls} watch calls a second of {fleet_size} instances");
    }
}

/// Guards against an instance that defers requests between the responses to its watch though the watch works.
#[test]
fn watch_delay_leaves_table_young() {
    for drain_time in [SECOND, DRAIN_TIME, SECOND * 10] {
        for fleet_size in [100, 300, LARGE_FLEET] {
            let delay = watch_delay(Duration::from_millis(40), drain_time, fleet_size);
            let step = lone_step(delay * 2, Duration::ZERO, drain_time, fleet_size);
            assert_eq!(step, LoneStep::Grant, "{delay:?} of {drain_time:?} with {fleet_size}");
        }
    }
}

/// Guards against an old table in use because of one failed call while the store responds, or because of
/// one that failed minutes ago.
#[test]
fn call_failures_count_without_response() {
    let mut failures = CallFailures::default();
    failures.record_failure(START);
    assert_eq!(failures.failing_time(START + SECOND), Duration::ZERO, "one call is no time");
    failures.record_failure(START + SECOND * 4);
    assert_eq!(failures.failing_time(START + SECOND * 4), SECOND * 4);
    let later = START + SECOND * 600;
    assert_eq!(failures.failing_time(later), Duration::ZERO);
    failures.record_failure(later);
    assert_eq!(failures.failing_time(later), Duration::ZERO);
    failures.record_failure(later + SECOND * 3);
    failures.record_response();
    failures.record_failure(later + SECOND * 4);
    assert_eq!(failures.failing_time(later + SECOND * 4), Duration::ZERO, "it has responded");
}
