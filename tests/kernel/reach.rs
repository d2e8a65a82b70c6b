//! Tests of whether an instance has lost its path to the endpoints.

use std::{sync::Arc, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::reach::{Path, PendingRequest, Reach, Way, choose_way},
};

const START: Time = Time::from_millis(100_000);

const SERVICE: &str = "desk";

fn endpoint(number: usize) -> Arc<str> {
    format!("e{number}").into()
}

fn record(reach: &mut Reach, number: usize, reached: bool, at: Time) -> Option<bool> {
    reach.record(&SERVICE.into(), &endpoint(number), reached, at)
}

/// Returns what was seen by attempts at the endpoints `e0`, `e1` and so on.
fn reach(attempts: &[bool]) -> Reach {
    let mut reach = Reach::default();
    for (number, reached) in attempts.iter().enumerate() {
        record(&mut reach, number, *reached, START);
    }
    reach
}

#[test]
fn path_one_endpoint_down_sound() {
    assert_eq!(reach(&[false]).path(SERVICE, START), Path::Sound);
    assert_eq!(reach(&[false, true, true]).path(SERVICE, START), Path::Sound);
}

#[test]
fn path_same_endpoint_fails_often_sound() {
    let mut reach = Reach::default();
    for _ in 0..9 {
        record(&mut reach, 0, false, START);
    }
    assert_eq!(reach.path(SERVICE, START), Path::Sound);
}

#[test]
fn path_most_endpoints_unreached_cut() {
    assert_eq!(reach(&[false, false]).path(SERVICE, START), Path::Cut);
    assert_eq!(reach(&[true, false, false]).path(SERVICE, START), Path::Cut);
}

#[test]
fn path_some_endpoints_unreached_doubtful() {
    assert_eq!(reach(&[true, true, true, false, false]).path(SERVICE, START), Path::Doubtful);
}

#[test]
fn path_three_unreached_since_last_success_cut() {
    let mut reach = reach(&[true; 12]);
    for number in [0, 1] {
        record(&mut reach, number, false, START);
    }
    assert_eq!(reach.cut_for(START), None, "two endpoints may have crashed");
    assert_eq!(record(&mut reach, 2, false, START), Some(true), "nothing is reached any more");
}

#[test]
fn path_unreached_between_successes_not_cut() {
    let mut reach = reach(&[true; 12]);
    for number in 0..4 {
        record(&mut reach, number, false, START);
        assert_eq!(record(&mut reach, 10 + number % 2, true, START), None);
    }
}

#[test]
fn path_one_service_cut_others_sound() {
    let mut reach = reach(&[false, false]);
    for number in 10..14 {
        reach.record(&"engines".into(), &endpoint(number), true, START);
    }
    assert_eq!(reach.path(SERVICE, START), Path::Cut);
    assert_eq!(reach.path("engines", START), Path::Sound);
    assert_eq!(reach.cut_for(START), None, "not all services");
}

#[test]
fn path_all_services_cut_untried_one_too() {
    let reach = reach(&[false, false]);
    assert_eq!(reach.path("engines", START), Path::Cut);
    assert_eq!(reach.cut_for(START), Some(Duration::ZERO));
}

#[test]
fn path_old_attempts_do_not_count() {
    let mut reach = reach(&[false]);
    let later = START + Duration::from_secs(4);
    record(&mut reach, 1, false, later);
    assert_eq!(reach.path(SERVICE, later), Path::Sound);
}

#[test]
fn path_cut_lasts_until_endpoints_are_reached() {
    let mut reach = reach(&[false, false]);
    let later = START + Duration::from_secs(10);
    assert_eq!(reach.path(SERVICE, later), Path::Cut, "nothing was tried meanwhile");
    assert_eq!(record(&mut reach, 3, true, later), None, "one may be spared");
    assert_eq!(record(&mut reach, 3, true, later), None, "still the same one");
    assert_eq!(record(&mut reach, 4, true, later), Some(false));
    assert_eq!(reach.path(SERVICE, later), Path::Sound);
}

#[test]
fn path_half_of_endpoints_down_mends() {
    let mut reach = reach(&[false, false]);
    for (number, reached) in [(2, true), (0, false), (3, true), (1, false)] {
        record(&mut reach, number, reached, START);
    }
    assert_eq!(reach.path(SERVICE, START), Path::Doubtful, "the crash of two is no cut");
}

const NEW: PendingRequest = PendingRequest {
    is_relayed: false,
    was_declined: false,
    was_unreached: false,
    may_have_run: false,
};

#[test]
fn way_of_request_by_path() {
    let unreached = PendingRequest { was_unreached: true, ..NEW };
    assert_eq!(choose_way(Path::Sound, unreached), Way::Direct);
    assert_eq!(choose_way(Path::Doubtful, NEW), Way::Direct);
    assert_eq!(choose_way(Path::Doubtful, unreached), Way::Relay);
    assert_eq!(choose_way(Path::Cut, NEW), Way::Relay);
}

#[test]
fn way_relayed_request_not_relayed_again() {
    for was_unreached in [false, true] {
        let request = PendingRequest { is_relayed: true, was_unreached, ..NEW };
        assert_eq!(choose_way(Path::Cut, request), Way::Reject);
        assert_eq!(choose_way(Path::Doubtful, request), Way::Direct);
        assert_eq!(choose_way(Path::Sound, request), Way::Direct);
    }
}

#[test]
fn way_declined_request_tried_directly_once() {
    let declined = PendingRequest { was_declined: true, ..NEW };
    let unreached = PendingRequest { was_unreached: true, ..declined };
    for path in [Path::Sound, Path::Doubtful, Path::Cut] {
        assert_eq!(choose_way(path, declined), Way::Direct);
        assert_eq!(choose_way(path, unreached), Way::Reject);
    }
}

#[test]
fn way_request_that_may_have_run_is_never_refused_as_not_run() {
    for path in [Path::Sound, Path::Doubtful, Path::Cut] {
        for flags in 0..8 {
            let request = PendingRequest {
                is_relayed: flags & 1 > 0,
                was_declined: flags & 2 > 0,
                was_unreached: flags & 4 > 0,
                may_have_run: true,
            };
            assert_eq!(choose_way(path, request), Way::Direct, "{path:?} {request:?}");
        }
    }
}
