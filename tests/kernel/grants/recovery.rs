//! Requests at a new leader, at instances without a leader, and at restarted endpoints.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::grants::{
        ActiveGrant, EndpointEntry, GrantRequest, Incarnation, Mode, Outcome, Scheduler,
    },
};

use super::fleet::{
    LEADING, START, catalog, desk, end_request, engine, granted, key, limits, model_request,
    plain_request, refused, scheduler,
};

#[test]
fn request_before_endpoints_known_waits() {
    let mut scheduler = scheduler(Mode::Alone { share: 0.1 }, Vec::new());
    let mut request = plain_request(START);
    request.deadline = START + Duration::from_secs(2);
    let actions = scheduler.handle_request(key(1), request, START);
    assert!(actions.is_empty(), "a newly started instance refuses nothing: {actions:?}");
    scheduler.set_endpoints(vec![desk("d1")], START);
    assert!(granted(&scheduler.tick(START)).is_some());
}

#[test]
fn request_without_leader_waits() {
    let mut scheduler = scheduler(Mode::Alone { share: 0.1 }, vec![engine("e1", &["m0"])]);
    let mut long_deadline = model_request("m1", 100, START);
    long_deadline.deadline = START + Duration::from_secs(15);
    assert!(
        scheduler.handle_request(key(1), long_deadline, START).is_empty(),
        "the next leader can load the model"
    );
    let short_deadline = scheduler.handle_request(key(2), model_request("m2", 100, START), START);
    assert!(
        refused(&short_deadline).is_some(),
        "a load of four seconds does not fit into five seconds"
    );
}

#[test]
fn adopt_counts_running_requests() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1")]);
    for number in 0..12 {
        let granted = ActiveGrant { request: plain_request(START), endpoint: "d1".into() };
        scheduler.adopt(key(number), granted, START);
    }
    assert!(
        granted(&scheduler.handle_request(key(50), plain_request(START), START)).is_none(),
        "d1 is full"
    );
    let actions = end_request(&mut scheduler, 0, Outcome::Whole, START);
    assert!(granted(&actions).is_some());
}

#[test]
fn remove_instance_frees_slots() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1")]);
    for number in 0..12 {
        scheduler.handle_request(key(number), plain_request(START), START);
    }
    assert!(granted(&scheduler.handle_request(key(50), plain_request(START), START)).is_none());
    scheduler.remove_instance("entry", START);
    assert!(granted(&scheduler.handle_request(key(51), plain_request(START), START)).is_some());
}

#[test]
fn set_endpoints_restarted_endpoint_is_idle() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1")]);
    for number in 0..12 {
        scheduler.handle_request(key(number), plain_request(START), START);
    }
    let restarted = EndpointEntry { incarnation: Incarnation(2), ..desk("d1") };
    scheduler.set_endpoints(vec![restarted], START);
    assert!(granted(&scheduler.handle_request(key(50), plain_request(START), START)).is_some());
}

#[test]
fn leading_half_of_fleet_uses_half_of_rate() {
    let count = |mode| {
        let mut scheduler = scheduler(mode, vec![engine("e1", &["m0"])]);
        let within_rate = (0..60).filter(|number| {
            let actions =
                scheduler.handle_request(key(*number), model_request("m0", 9_000, START), START);
            refused(&actions).is_none_or(|refusal| {
                refusal.reason != cardamomshore::kernel::grants::Reason::OverRate
            })
        });
        within_rate.count()
    };
    let whole = count(LEADING);
    let part = count(Mode::Leading { may_order: true, share: 0.5 });
    assert!(
        part * 10 < whole * 6,
        "{part} requests within half the rate, but {whole} within the whole rate"
    );
}

/// Floods a scheduler at one point in time and returns the granted tokens.
fn flood(scheduler: &mut Scheduler, number: &mut u64, now: Time) -> u64 {
    let mut taken = 0;
    loop {
        *number += 1;
        let request = GrantRequest { charge: 9_000, ..plain_request(now) };
        let actions = scheduler.handle_request(key(*number), request, now);
        if granted(&actions).is_none() {
            return taken;
        }
        taken += 9_000;
        end_request(scheduler, *number, Outcome::Whole, now);
    }
}

#[test]
fn leader_change_under_flood_stays_within_tolerance() {
    const RATE: f64 = 386_000.0;
    const WINDOW: Duration = Duration::from_secs(8);
    let new = |mode, started_at| {
        let mut scheduler = Scheduler::new(limits(), mode, started_at);
        scheduler.set_catalog(catalog(RATE));
        scheduler.set_endpoints(vec![desk("d1")], started_at);
        scheduler
    };
    let (leader_lost, leader_elected) =
        (START + Duration::from_secs(4), START + Duration::from_secs(6));
    let mut old_leader = new(LEADING, START - Duration::from_secs(60));
    let mut alone: Vec<Scheduler> =
        (0..76).map(|_| new(Mode::Alone { share: 1.0 / 76.0 }, leader_lost)).collect();
    let mut new_leader = new(LEADING, leader_elected);
    let mut taken: Vec<(Time, u64)> = Vec::new();
    let mut number = 0;
    for step in 0..1_400 {
        let now = START + Duration::from_millis(10) * step;
        let tokens = match () {
            () if now < leader_lost => flood(&mut old_leader, &mut number, now),
            () if now < leader_elected => {
                alone.iter_mut().map(|s| flood(s, &mut number, now)).sum()
            }
            () => flood(&mut new_leader, &mut number, now),
        };
        taken.push((now, tokens));
    }
    let bound = (RATE * WINDOW.as_secs_f64() + RATE) * 1.1 + 110_000.0;
    for (from, _) in &taken {
        let within = taken.iter().filter(|(at, _)| *at >= *from && at.since(*from) < WINDOW);
        let sum: u64 = within.map(|(_, tokens)| tokens).sum();
        assert!(
            sum as f64 <= bound,
            "{sum} tokens in the window from {from:?}, but the bound is {bound}"
        );
    }
}

/// Guards against a change of single endpoints that costs work for all of them, or loses the state of the
/// others.
#[test]
fn change_endpoints_keeps_others() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1"), desk("d2")]);
    for number in 0..24 {
        scheduler.handle_request(key(number), plain_request(START), START);
    }
    assert!(granted(&scheduler.handle_request(key(50), plain_request(START), START)).is_none());
    scheduler.change_endpoints(vec![desk("d1")], &[], START);
    assert!(granted(&scheduler.tick(START)).is_none(), "nothing has changed, both are full");
    scheduler.change_endpoints(vec![desk("d3")], &["d2".into()], START);
    assert_eq!(granted(&scheduler.tick(START)).map(|grant| &*grant.endpoint), Some("d3"));
    let names: Vec<&str> = scheduler.endpoints().map(|endpoint| &*endpoint.info.id).collect();
    assert_eq!(names, ["d1", "d3"]);
}
