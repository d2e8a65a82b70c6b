//! What each kind, team and size of requests gets under a load that the engines cannot serve in time.

use std::{sync::Arc, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::grants::{Action, EndpointEntry, GrantRequest, ModelWork, Outcome, Scheduler},
};

use super::{
    fleet::{
        LEADING, START, catalog, deliver_reports, end_request, engine, granted, key, model_request,
        refused, scheduler,
    },
    play::{Fate, Play},
};

const MS: Duration = Duration::from_millis(1);

/// Returns a play with these engines, each with its models. No team has a limit.
fn play(engines: &[(&str, &[&str])]) -> Play {
    let entries = engines.iter().map(|(id, models)| engine(id, models)).collect();
    let mut scheduler = scheduler(LEADING, entries);
    scheduler.set_catalog(catalog(0.0));
    Play::new(scheduler, START)
}

/// Returns a request with a prompt of its own.
fn request(play: &Play, number: u64, tokens: u32, team: &str, priority: u8) -> GrantRequest {
    let work = ModelWork { parts: vec![(number, tokens)], ..work_of("m0", tokens) };
    GrantRequest {
        team: Some(team.into()),
        priority,
        fingerprint: number + 1,
        work: Some(work),
        ..model_request("m0", tokens, play.now)
    }
}

fn work_of(model: &str, tokens: u32) -> ModelWork {
    model_request(model, tokens, START).work.expect("a request for a model")
}

/// Returns whether a request is one of every `n`, beginning with `first`.
fn one_of(n: u64, first: u64) -> impl Fn(u64) -> bool {
    move |number| number % n == first
}

#[test]
fn urgent_requests_get_no_less_than_others() {
    let mut play = play(&[("e1", &["m0"])]);
    // Both kinds need 0.75 s of prefill a second each, the engine does one.
    for number in 0..200 {
        let request = request(&play, number, 6_000, "shop", (number % 2 * 2) as u8);
        play.send(number, request);
        play.pass(MS * 100);
    }
    let (urgent, other) = (play.served(one_of(2, 0)), play.served(one_of(2, 1)));
    assert!(urgent >= 95, "{urgent} of 100 urgent requests are served");
    assert!(other >= 20, "the rest of the engine is for the others: {other} of 100");
    let longest = play.longest(one_of(2, 0));
    assert!(longest <= MS * 800, "urgent requests are in time: {longest:?}");
}

#[test]
fn team_below_fair_share_served_beside_flood() {
    let mut play = play(&[("e1", &["m0"])]);
    // One team asks for 1 s of prefill a second, two others for 0.27 s each, in larger requests.
    for number in 0..600 {
        let team = ["flood", "small", "flood", "flood", "tiny", "flood"][number as usize % 6];
        let tokens = if team == "flood" { 3_000 } else { 3_200 };
        let request = request(&play, number, tokens, team, 1);
        play.send(number, request);
        play.pass(MS * 50);
    }
    for (first, team) in [(1, "small"), (4, "tiny")] {
        let served = play.served(one_of(6, first));
        assert!(served >= 95, "{served} of 100 requests of {team} are served");
        let longest = play.longest(one_of(6, first));
        assert!(longest <= MS * 1_000, "{team}: {longest:?}");
    }
    let flood = play.served(|number| ![1, 4].contains(&(number % 6)));
    assert!(flood >= 150, "the rest of the engine is for the other team: {flood} of 400");
}

#[test]
fn refused_request_goes_before_new_ones() {
    let mut play = play(&[("e1", &["m0"])]);
    let mut refused = None;
    for number in 0..60 {
        let request = request(&play, number, 12_000, "shop", 1);
        play.send(number, request);
        if let Some(Fate::Refused(retry)) = play.fates.get(&number) {
            refused = Some((number, *retry));
            break;
        }
    }
    let (number, retry) = refused.expect("the engine cannot serve 18 s of prefill in 5 s");
    assert!(retry <= Duration::from_secs(5) / 3, "callers wait for a third of their time");
    play.pass(retry);
    let again = request(&play, number, 12_000, "shop", 1);
    play.send(100, again);
    play.pass(MS * 1_000);
    assert!(
        matches!(play.fates.get(&100), Some(Fate::Served(_))),
        "it has the next place: {:?}",
        play.fates.get(&100)
    );
}

#[test]
fn refused_requests_return_one_after_the_other() {
    let mut play = play(&[("e1", &["m0"])]);
    for number in 0..60 {
        let request = request(&play, number, 4_000, "shop", 1);
        play.send(number, request);
    }
    let retries = play.fates.values().filter_map(|fate| match fate {
        Fate::Refused(retry) => Some(retry.as_millis()),
        Fate::Served(_) => None,
    });
    let mut retries: Vec<u128> = retries.collect();
    let count = retries.len();
    assert!(count >= 6, "{count} of 60 requests are refused");
    retries.sort();
    retries.dedup();
    assert!(retries.len() >= 6, "they return at different times: {retries:?}");
}

#[test]
fn request_that_can_end_in_time_not_refused() {
    let mut play = play(&[("e1", &["m0"])]);
    // 4.4 s of prefill for a deadline of 5 s.
    for number in 0..22 {
        let request = request(&play, number, 8_000, "shop", 1);
        play.send(number, request);
    }
    assert!(play.fates.is_empty(), "nothing is refused on arrival: {:?}", play.fates);
    play.pass(MS * 5_000);
    assert_eq!(play.served(|_| true), 22, "{:?}", play.fates);
}

#[test]
fn request_that_cannot_end_in_time_refused_on_arrival() {
    let mut play = play(&[("e1", &["m0"])]);
    for number in 0..40 {
        let request = request(&play, number, 8_000, "shop", 1);
        play.send(number, request);
    }
    let refused = play.fates.len();
    assert!((12..=19).contains(&refused), "8 s of prefill for 5 s: {refused} are refused");
    play.pass(MS * 5_000);
    let served = play.served(|_| true);
    assert!(served >= 40 - refused - 2, "who is let in is served: {served}, {refused} refused");
}

#[test]
fn small_request_goes_before_large_one_of_its_time() {
    let mut play = play(&[("e1", &["m0"])]);
    for number in 0..10 {
        let tokens = if number < 5 { 9_000 } else { 1_000 };
        let request = request(&play, number, tokens, "shop", 1);
        play.send(number, request);
    }
    play.pass(MS * 5_000);
    let small = play.longest(|number| number >= 5);
    let large = play.longest(|number| number < 5);
    assert!(small < large, "{small:?} and {large:?}");
    assert_eq!(play.served(|_| true), 10);
}

#[test]
fn request_in_time_goes_before_late_one() {
    let mut play = play(&[("e1", &["m0"])]);
    for number in 0..8 {
        let request = request(&play, number, 9_000, "shop", 1);
        play.send(number, request);
    }
    play.pass(MS * 900);
    let new = request(&play, 100, 9_000, "shop", 1);
    play.send(100, new);
    play.pass(MS * 4_000);
    let Some(Fate::Served(time)) = play.fates.get(&100) else { panic!("{:?}", play.fates) };
    assert!(*time <= MS * 800, "those that are late already let it pass: {time:?}");
}

#[test]
fn no_model_starves_beside_crowded_one() {
    let mut play = play(&[("e1", &["m0", "m1"])]);
    for number in 0..200 {
        let mut request = request(&play, number, 6_000, "shop", 1);
        if number % 10 == 0 {
            let parts = vec![(number, 6_000)];
            request.work = Some(ModelWork { parts, ..work_of("m1", 6_000) });
        }
        play.send(number, request);
        play.pass(MS * 50);
    }
    let (rare, common) = (play.served(one_of(10, 0)), play.served(|number| number % 10 != 0));
    assert!(rare >= 4, "{rare} of 20 requests of the rare model are served");
    assert!(common >= 40, "{common} of 180 requests of the common model are served");
}

#[test]
fn no_large_prompt_starves_beside_small_ones() {
    let mut play = play(&[("e1", &["m0"])]);
    for number in 0..300 {
        // A large prompt alone takes longer than the target latency of 800 ms.
        let tokens = if number % 30 == 0 { 36_000 } else { 1_950 };
        let request = request(&play, number, tokens, "shop", 1);
        play.send(number, request);
        play.pass(MS * 50);
    }
    let large = play.served(one_of(30, 0));
    assert!(large >= 3, "{large} of 10 large prompts are served");
}

#[test]
fn slow_engine_found_out_in_the_middle_of_its_runs() {
    let mut play = play(&[("e1", &["m0"])]);
    play.slowdown = 400;
    for number in 0..100 {
        let request = request(&play, number, 4_000, "shop", 1);
        play.send(number, request);
        play.pass(MS * 200);
    }
    // The engine serves 2.5 requests a second, half of those that arrive.
    let late = play.fates.range(60..).filter(|(_, fate)| match fate {
        Fate::Served(time) => *time > MS * 5_000,
        Fate::Refused(_) => false,
    });
    assert_eq!(late.count(), 0, "no request is served after its deadline");
    let refused = play.fates.range(60..).filter(|(_, fate)| matches!(fate, Fate::Refused(_)));
    assert!(refused.count() >= 5, "what cannot be served is refused");
}

#[test]
fn silent_engine_gets_no_further_requests() {
    let mut play = play(&[("e1", &["m0"]), ("e2", &["m0"])]);
    let silent = request(&play, 0, 9_000, "shop", 1);
    let actions = play.scheduler.handle_request(key(0), silent, play.now);
    let silent = granted(&actions).expect("the request is granted").endpoint.clone();
    // The prefill should be done by now, but the engine has sent no first event.
    let later = START + MS * 1_000;
    let next = model_request("m0", 9_000, later);
    let actions = play.scheduler.handle_request(key(1), next, later);
    assert_ne!(granted(&actions).expect("the request is granted").endpoint, silent);
}

/// Guards against responses that are no streams, of which no first event is reported, and which would count
/// as prompts that the engine has not prefilled until they end.
#[test]
fn responses_without_events_leave_engine_usable() {
    let mut play = play(&[("e1", &["m0"])]);
    for number in 0..20 {
        let now = START + MS * 200 * number as u32;
        let request =
            GrantRequest { fingerprint: number, ..request(&play, number, 4_000, "shop", 1) };
        let request = GrantRequest { due: now + MS * 800, deadline: now + MS * 9_000, ..request };
        let actions = play.scheduler.handle_request(key(number), request, now);
        assert!(granted(&actions).is_some(), "{number}: the engine prefills half of the time");
    }
}

/// Guards against adapters whose requests wait without end where all adapters of the engine are in use.
#[test]
fn no_adapter_starves_beside_busy_ones() {
    let mut play = play(&[("e1", &["m0"])]);
    play.carries_out_orders = true;
    // Requests of two adapters overlap, so that both are always in use; the engine has room for two.
    for number in 0..1_200 {
        let adapter = if number % 20 == 7 { 2 } else { number % 2 };
        let mut request = request(&play, number, 200, "shop", 1);
        let work = request.work.as_mut().expect("a request for a model");
        work.adapter = Some(format!("a{adapter}").into());
        play.send(number, request);
        play.pass(MS * 10);
    }
    play.pass(MS * 6_000);
    let (rare, common) = (play.served(one_of(20, 7)), play.served(|number| number % 20 != 7));
    assert!(rare >= 45, "{rare} of 60 requests of the rare adapter are served");
    assert!(common >= 1_000, "{common} of 1,140 requests of the others are served");
}

/// Guards against adapters whose requests wait without end where the runs of the others are so long that
/// their adapter takes requests again before they have ended.
#[test]
fn no_adapter_starves_beside_long_runs() {
    let mut play = play(&[("e1", &["m0"])]);
    play.carries_out_orders = true;
    play.decode_time = MS * 3_000;
    // Runs of two adapters overlap, so that both are always in use; the engine has room for two.
    for number in 0..600 {
        let adapter = if number % 20 == 7 { 2 } else { number % 2 };
        let request = request(&play, number, 200, "shop", 1);
        let mut request = GrantRequest { deadline: play.now + MS * 20_000, ..request };
        let work = request.work.as_mut().expect("a request for a model");
        work.adapter = Some(format!("a{adapter}").into());
        play.send(number, request);
        // Ticks come at other intervals than the checks of the waiting requests.
        play.pass(MS * 103);
    }
    play.pass(MS * 20_000);
    let (rare, common) = (play.served(one_of(20, 7)), play.served(|number| number % 20 != 7));
    assert!(rare >= 24, "{rare} of 30 requests of the rare adapter are served");
    assert!(common >= 450, "{common} of 570 requests of the others are served");
}

/// Returns an engine whose two adapters are in use by requests of this priority, and a request for a third
/// adapter, which waits.
fn third_adapter_waits(urgent: u8, waiting: u8) -> Scheduler {
    let adapters = ["a0", "a1"].map(Arc::from).to_vec();
    let entry = EndpointEntry {
        models: [(Arc::from("m0"), adapters)].into_iter().collect(),
        ..engine("e1", &["m0"])
    };
    let mut scheduler = scheduler(LEADING, vec![entry]);
    deliver_reports(&mut scheduler, START);
    for (number, adapter) in [(0, "a0"), (1, "a1")] {
        let request = with_adapter(adapter, urgent, START);
        let actions = scheduler.handle_request(key(number), request, START);
        assert!(granted(&actions).is_some(), "{adapter} is loaded");
    }
    let actions = scheduler.handle_request(key(2), with_adapter("a2", waiting, START), START);
    assert!(granted(&actions).is_none() && refused(&actions).is_none(), "{actions:?}");
    scheduler
}

fn with_adapter(adapter: &str, priority: u8, now: Time) -> GrantRequest {
    let work = ModelWork { adapter: Some(adapter.into()), ..work_of("m0", 200) };
    let deadline = now + MS * 20_000;
    GrantRequest { priority, deadline, work: Some(work), ..model_request("m0", 200, now) }
}

/// Ticks from one time to another, and returns when a request is granted first.
fn tick_until_grant(scheduler: &mut Scheduler, from: u32, to: u32) -> Option<u32> {
    (from..to).step_by(20).find(|ms| {
        let now = START + MS * *ms;
        granted(&scheduler.tick(now)).is_some()
    })
}

/// Guards against requests that nothing wakes at the end of the time for which their adapter yields.
#[test]
fn yielding_adapter_goes_on_after_waiting_request_left() {
    let mut scheduler = third_adapter_waits(1, 1);
    assert_eq!(tick_until_grant(&mut scheduler, 20, 320), None);
    let now = START + MS * 320;
    end_request(&mut scheduler, 2, Outcome::Left, now);
    // One of the two adapters yields; which one depends on their names.
    for (number, adapter) in [(3, "a0"), (4, "a1")] {
        let actions = scheduler.handle_request(key(number), with_adapter(adapter, 1, now), now);
        assert_eq!(granted(&actions).is_some(), adapter == "a1", "{adapter}");
    }
    let granted_at = tick_until_grant(&mut scheduler, 340, 5_000).expect("the request is granted");
    assert!((2_200..2_500).contains(&granted_at), "granted after {granted_at} ms");
}

/// Guards against requests that keep an adapter of more urgent ones from being used.
#[test]
fn adapter_of_more_urgent_requests_does_not_yield() {
    let mut scheduler = third_adapter_waits(0, 1);
    assert_eq!(tick_until_grant(&mut scheduler, 20, 1_020), None);
    let now = START + MS * 1_020;
    for (number, adapter) in [(3, "a0"), (4, "a1")] {
        let actions = scheduler.handle_request(key(number), with_adapter(adapter, 0, now), now);
        assert!(granted(&actions).is_some(), "{adapter} takes requests");
    }
}

/// Guards against raised requests that take the slots which are reserved for the most urgent ones.
#[test]
fn raised_request_uses_no_reserved_slot() {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0"])]);
    let small = |priority| GrantRequest { priority, ..model_request("m0", 10, START) };
    // All slots but the two that are reserved are in use.
    for number in 0..62 {
        let actions = scheduler.handle_request(key(number), small(0), START);
        assert!(granted(&actions).is_some(), "{number}: the engine has 64 slots");
    }
    // From the second one on, the kind has asked for enough to be raised.
    for number in 62..66 {
        let actions = scheduler.handle_request(key(number), small(2), START);
        assert!(granted(&actions).is_none(), "{number} uses a reserved slot");
    }
    let now = START + MS * 100;
    assert_eq!(granted(&scheduler.tick(now)), None);
    // A raised request has the next place before an urgent one.
    let urgent = GrantRequest { priority: 0, ..model_request("m0", 10, now) };
    scheduler.handle_request(key(66), urgent, now);
    let actions = end_request(&mut scheduler, 0, Outcome::Whole, now);
    let first = actions.iter().find_map(|action| match action {
        Action::Grant(key, _) => Some(key.number),
        _ => None,
    });
    assert_eq!(first, Some(63), "{actions:?}");
}

/// Guards against a kind that gets nothing while more urgent kinds use all places.
#[test]
fn less_urgent_kind_gets_a_quarter_of_its_share() {
    let mut play = play(&[("e1", &["m0"])]);
    // The urgent kind alone asks for half more than the engine does, the other for half of it.
    for number in 0..600 {
        let priority = if number % 4 == 0 { 2 } else { 0 };
        let request = request(&play, number, 4_000, "shop", priority);
        play.send(number, request);
        play.pass(MS * 50);
    }
    play.pass(MS * 6_000);
    let (urgent, other) = (play.served(|number| number % 4 != 0), play.served(one_of(4, 0)));
    let all = (urgent + other) as f64 / 600.0;
    let (urgent, other) = (urgent as f64 / 450.0, other as f64 / 150.0);
    assert!(other >= all / 4.0, "less urgent: {other:.2} of all, any: {all:.2}");
    assert!(other <= urgent + 0.05, "less urgent: {other:.2}, more urgent: {urgent:.2}");
}
