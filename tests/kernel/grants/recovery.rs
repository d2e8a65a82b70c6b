//! What a new leader and an instance without one do.

use std::time::Duration;

use cardamomshore::kernel::grants::{Granted, Incarnation, Mode, Outcome, Registration};

use super::fleet::{
    LEADING, START, ask, desk, done, engine, granted, key, plain, refused, scheduler,
};

#[test]
fn ask_before_the_table_is_read_waits() {
    let mut scheduler = scheduler(Mode::Alone { share: 0.1 }, Vec::new());
    let mut request = plain(START);
    request.deadline = START + Duration::from_secs(2);
    let actions = scheduler.ask(key(1), request, START);
    assert!(actions.is_empty(), "an instance that has just started refuses nothing: {actions:?}");
    scheduler.set_endpoints(vec![desk("d1")], START);
    assert!(granted(&scheduler.tick(START)).is_some());
}

#[test]
fn ask_without_leader_waits_for_one() {
    let mut scheduler = scheduler(Mode::Alone { share: 0.1 }, vec![engine("e1", &["m0"])]);
    let mut chat = ask("m1", 100, START);
    chat.deadline = START + Duration::from_secs(15);
    assert!(scheduler.ask(key(1), chat, START).is_empty(), "the next leader can load the model");
    let hurried = scheduler.ask(key(2), ask("m2", 100, START), START);
    assert!(refused(&hurried).is_some(), "five seconds are too short for a load of four");
}

#[test]
fn adopt_counts_what_runs() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1")]);
    for number in 0..12 {
        let granted = Granted { ask: plain(START), endpoint: "d1".into() };
        scheduler.adopt(key(number), granted, START);
    }
    assert!(granted(&scheduler.ask(key(50), plain(START), START)).is_none(), "d1 is full");
    let actions = done(&mut scheduler, 0, Outcome::Whole, START);
    assert!(granted(&actions).is_some());
}

#[test]
fn drop_asker_frees_its_places() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1")]);
    for number in 0..12 {
        scheduler.ask(key(number), plain(START), START);
    }
    assert!(granted(&scheduler.ask(key(50), plain(START), START)).is_none());
    scheduler.drop_asker("entry", START);
    assert!(granted(&scheduler.ask(key(51), plain(START), START)).is_some());
}

#[test]
fn restarted_endpoint_begins_anew() {
    let mut scheduler = scheduler(LEADING, vec![desk("d1")]);
    for number in 0..12 {
        scheduler.ask(key(number), plain(START), START);
    }
    let restarted = Registration { incarnation: Incarnation(2), ..desk("d1") };
    scheduler.set_endpoints(vec![restarted], START);
    assert!(granted(&scheduler.ask(key(50), plain(START), START)).is_some());
}

#[test]
fn lead_part_of_fleet_uses_part_of_rate() {
    let count = |mode| {
        let mut scheduler = scheduler(mode, vec![engine("e1", &["m0"])]);
        let asks = (0..60).filter(|number| {
            let actions = scheduler.ask(key(*number), ask("m0", 9_000, START), START);
            refused(&actions).is_none_or(|refusal| {
                refusal.reason != cardamomshore::kernel::grants::Reason::OverRate
            })
        });
        asks.count()
    };
    let whole = count(LEADING);
    let part = count(Mode::Leading { orders: true, share: 0.5 });
    assert!(part * 10 < whole * 6, "{part} of {whole}");
}
