//! Load and pace that endpoints report, and their use in the choice of an endpoint.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::grants::{Incarnation, LoadFigures, LoadReport, Outcome, Scheduler, SightedLoad},
};

use super::fleet::{
    LEADING, START, desk, end_request, engine, granted, key, model_request, plain_request,
    scheduler,
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a report of the first incarnation that arrives at `seen_at`.
fn sighted(running: u32, waiting: u32, pace: Option<u32>, seen_at: Time) -> SightedLoad {
    let figures = LoadFigures { running, waiting, slots: Some(6), pace };
    let report = LoadReport::try_from(figures).expect("the figures are in range");
    SightedLoad { report, seen_at, incarnation: Incarnation(1) }
}

/// Starts plain requests until `d1` has one; returns its number.
fn start_on_first(scheduler: &mut Scheduler, now: Time) -> u64 {
    (0..10)
        .find(|number| {
            let actions = scheduler.handle_request(key(*number), plain_request(now), now);
            &*granted(&actions).expect("the request is granted").endpoint == "d1"
        })
        .expect("the first endpoint gets a request")
}

/// Returns how many of ten further plain requests get `d1`, each ended before the next.
fn grants_of_first(scheduler: &mut Scheduler, now: Time) -> usize {
    let chosen = (100..110).filter(|number| {
        let actions = scheduler.handle_request(key(*number), plain_request(now), now);
        let endpoint = granted(&actions).expect("the request is granted").endpoint.clone();
        end_request(scheduler, *number, Outcome::Left, now);
        &*endpoint == "d1"
    });
    chosen.count()
}

/// Returns the grants of `d1` after it has reported `load`.
fn grants_after(load: SightedLoad, now: Time) -> usize {
    let mut scheduler = scheduler(LEADING, vec![desk("d1"), desk("d2")]);
    let number = start_on_first(&mut scheduler, START);
    scheduler.record_load(&key(number), Some(load), now);
    end_request(&mut scheduler, number, Outcome::Left, now);
    grants_of_first(&mut scheduler, now)
}

#[test]
fn load_of_others_sends_requests_elsewhere() {
    let soon = START + Duration::from_millis(5);
    assert_eq!(grants_after(sighted(6, 3, None, soon), soon), 0);
    assert_eq!(grants_after(sighted(1, 0, None, soon), soon), 10, "the report shows its own only");
}

#[test]
fn load_fades_with_age() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1"), desk("d2")]);
    let number = start_on_first(&mut scheduler, START);
    scheduler.record_load(&key(number), Some(sighted(6, 3, None, START)), START);
    end_request(&mut scheduler, number, Outcome::Left, START);
    assert_eq!(grants_of_first(&mut scheduler, START), 0);
    assert_eq!(grants_of_first(&mut scheduler, START + SECOND * 20), 10);
}

#[test]
fn load_old_ignored() {
    assert_eq!(grants_after(sighted(6, 3, None, START), START + SECOND * 3), 10);
}

#[test]
fn load_of_other_incarnation_ignored() {
    let load = SightedLoad { incarnation: Incarnation(2), ..sighted(6, 3, None, START) };
    assert_eq!(grants_after(load, START), 10);
}

#[test]
fn load_older_than_known_one_ignored() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1"), desk("d2")]);
    let number = start_on_first(&mut scheduler, START);
    let soon = START + Duration::from_millis(50);
    scheduler.record_load(&key(number), Some(sighted(6, 3, None, soon)), soon);
    scheduler.record_load(&key(number), Some(sighted(1, 0, None, START)), soon);
    end_request(&mut scheduler, number, Outcome::Left, soon);
    assert_eq!(grants_of_first(&mut scheduler, soon), 0);
}

#[test]
fn load_out_of_range_is_no_report() {
    let usual = LoadFigures { running: 3, waiting: 1, slots: Some(8), pace: Some(100) };
    let wrong = [
        LoadFigures { running: u32::MAX, ..usual },
        LoadFigures { waiting: u32::MAX, ..usual },
        LoadFigures { slots: Some(0), ..usual },
        LoadFigures { pace: Some(0), ..usual },
        LoadFigures { pace: Some(1_000_000), ..usual },
    ];
    assert!(LoadReport::try_from(usual).is_ok());
    for figures in wrong {
        assert!(LoadReport::try_from(figures).is_err(), "{figures:?}");
    }
}

#[test]
fn pace_of_plain_endpoint_sends_requests_elsewhere() {
    assert_eq!(grants_after(sighted(1, 0, Some(300), START), START), 0);
}

#[test]
fn pace_of_engine_sends_requests_elsewhere() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"]), engine("e2", &["m0"])]);
    let first = scheduler.handle_request(key(1), model_request("m0", 100, START), START);
    let first = granted(&first).expect("the request is granted").endpoint.clone();
    scheduler.record_load(&key(1), Some(sighted(1, 0, Some(400), START)), START);
    end_request(&mut scheduler, 1, Outcome::Left, START);
    let actions = scheduler.handle_request(key(2), model_request("m0", 5_000, START), START);
    assert_ne!(granted(&actions).expect("the request is granted").endpoint, first);
}

#[test]
fn speed_of_plain_endpoint_learned_and_forgotten() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1"), desk("d2")]);
    let mut now = START;
    for number in 1_000..1_200 {
        let actions = scheduler.handle_request(key(number), plain_request(now), now);
        let is_slow = &*granted(&actions).expect("the request is granted").endpoint == "d1";
        now = now + Duration::from_millis(if is_slow { 120 } else { 30 });
        end_request(&mut scheduler, number, Outcome::Whole, now);
    }
    assert_eq!(grants_of_first(&mut scheduler, now), 0);
    // An endpoint that got no requests for long is tried again.
    let later = now + SECOND * 600;
    assert_eq!(grants_of_first(&mut scheduler, later), 10);
}
